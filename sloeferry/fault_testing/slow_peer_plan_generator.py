"""Generator of the plans of the soak with slow peers from a seed: `slow-17` is the same plan everywhere.

Clients upload long bodies, at full speed, evenly and slowly, or with pauses; backends read them at full speed, slowly, with a
halt or not to the end, and answer at once, late, slowly, or before they have read.  Sockets have small buffers in most plans.
Proxies get SIGTERM one after the other, and SIGKILL as early as the platform allows; some plans have a crowd, bad clients, or
reloads.  No fault ends a backend, so that an answer that is cut off was cut off by its proxy.
"""

from random import Random

from sloeferry.fault_testing.fault_generator import FaultGenerator, PlanTable
from sloeferry.fault_testing.generated_plan import GeneratedPlan, request_classes

PLAN_SECONDS = 16.0
TARGET_RATIOS = [0.3, 0.6]
DEADLINES_MS = [600, 800, 2000]
PROXY_BUFFERS_BYTES = [0, 16384, 16384, 65536]  # 0: the system's
BACKEND_BUFFERS_BYTES = [0, 8192, 8192]
CROWD_RATIO = 0.4  # of the plans
CROWD_CLIENTS = 150  # more would make those who measure late
MISUSE_RATIO = 0.4
RELOAD_RATIO = 0.4


def generate_plan(seed: int) -> GeneratedPlan:
    """Return the plan of that seed; changing the order of the random draws changes the plan of every seed."""
    rng = Random(f"slow {seed}")
    work_ms = rng.choice([5, 20])
    deadline_ms = rng.choice(DEADLINES_MS)
    classes = request_classes(work_ms, pull_share=2, push_group="all", push_body_bytes=300)
    return GeneratedPlan(
        name=f"slow-{seed}",
        seconds=PLAN_SECONDS,
        proxy_count=rng.choice([3, 4, 6]),
        backend_count=rng.choice([8, 12]),
        cores_per_backend=4,
        is_cold=False,
        work_ms=work_ms,
        load_ratio=0.2,
        max_requests_per_second=80.0,
        client_count=16,
        request_classes=[{**each, "sla_ms": deadline_ms / 2, "expiry_ms": deadline_ms} for each in classes],
        faults=_generate_faults(rng),
        scenario_faults=[],
        idle_timeout_seconds=30,
        impatient_client_ratio=0,
        memory_mb=rng.choice([48, 96, 192]),
        max_sockets=rng.choice([512, 1024]),
        proxy_buffer_bytes=rng.choice(PROXY_BUFFERS_BYTES),
        backend_buffer_bytes=rng.choice(BACKEND_BUFFERS_BYTES),
    )


def _generate_faults(rng: Random) -> list[PlanTable]:
    generator = FaultGenerator(rng, PLAN_SECONDS, TARGET_RATIOS)
    faults = [generator.uploads() for _ in range(rng.randint(2, 3))]
    faults += [generator.fault("term", 3) for _ in range(rng.randint(1, 3))]
    if rng.random() < CROWD_RATIO:
        faults.append(generator.crowd(CROWD_CLIENTS))
    if rng.random() < MISUSE_RATIO:
        faults.append(generator.bad_clients())
    if rng.random() < RELOAD_RATIO:
        faults.append(generator.reload(objective_ratios=[]))
    return faults
