"""Generator of the plans of the soak with bad clients from a seed: `hostile-17` is the same plan everywhere.

Each is the plan of the fault soak with limits of memory and descriptors, a deadline, one or two faults of bad clients,
a crowd in some, and proxies that get SIGTERM one after the other; SIGKILL follows as early as the platform allows.  The test
oracle is that of the soak, and two more checks: no process is over its memory limit, and no unsound request is served.
"""

from dataclasses import replace
from random import Random

from sloeferry.fault_testing import soak_plan_generator
from sloeferry.fault_testing.fault_generator import FaultGenerator, PlanTable
from sloeferry.fault_testing.generated_plan import GeneratedPlan

TARGET_RATIOS = [0.1, 0.3]
MEMORY_LIMITS_MB = [32, 48, 96, 192]
DESCRIPTOR_LIMITS = [256, 512, 1024]
DEADLINES_MS = [300, 800, 2000]
# Where accept fails for half a second on end (flaky_sockets.py), nobody could answer a request with a shorter deadline in time.
MIN_DEADLINE_WITH_FAILING_CALLS_MS = 800
CROWD_RATIO = 0.4  # of the plans
MAX_PROXIES = 14  # hundreds of clients and many proxies at once would make those who measure late


def generate_plan(seed: int) -> GeneratedPlan:
    """Return the plan of that seed; changing the order of the random draws changes the plan of every seed."""
    rng = Random(f"hostile {seed}")
    plan = soak_plan_generator.generate_plan(seed)
    deadline_ms = rng.choice(DEADLINES_MS)
    if any(fault["what"] == "calls" for fault in plan.faults):
        deadline_ms = max(deadline_ms, MIN_DEADLINE_WITH_FAILING_CALLS_MS)
    classes = [{**each, "sla_ms": deadline_ms / 2, "expiry_ms": deadline_ms} for each in plan.request_classes]
    return replace(
        plan,
        name=f"hostile-{seed}",
        proxy_count=min(plan.proxy_count, MAX_PROXIES),
        request_classes=classes,
        faults=plan.faults + _generate_misuse(rng, plan.seconds),
        memory_mb=rng.choice(MEMORY_LIMITS_MB),
        max_sockets=rng.choice(DESCRIPTOR_LIMITS),
    )


def _generate_misuse(rng: Random, plan_seconds: float) -> list[PlanTable]:
    generator = FaultGenerator(rng, plan_seconds, TARGET_RATIOS)
    faults = [generator.bad_clients() for _ in range(rng.randint(1, 2))]
    if rng.random() < CROWD_RATIO:
        faults.append(generator.crowd())
    return faults + [generator.fault("term", 3) for _ in range(rng.randint(1, 3))]
