"""Generator of short plans from a seed: `drawn-17` is the same plan everywhere.

At most one fault of a plan keeps proxies from the endpoint list, for less than the time after which a proxy counts as
notified (`deemed_s`): two consecutive faults could withhold a drain from a proxy for longer, and it could not keep rule 3.
"""

from random import Random

from sloeferry.fault_testing.fault_generator import SCENARIO_FAULTS, FaultGenerator, PlanTable, rolling_deploy
from sloeferry.fault_testing.generated_plan import IDLE_TIMEOUTS_SECONDS, IMPATIENT_CLIENT_RATIOS, GeneratedPlan, request_classes

PLAN_SECONDS = 9.0
TARGET_RATIOS = [0.1, 0.3, 0.6]
CLOCK_OFFSETS_SECONDS = [-7200.0, 30.0, 7200.0]
SLOW_BACKENDS: PlanTable = {"what": "slow", "at": 2.0, "lasts": 4.0, "part": 0.3, "times": 3}


def generate_plan(seed: int) -> GeneratedPlan:
    """Return the plan of that seed; changing the order of the random draws changes the plan of every seed."""
    rng = Random(f"plan {seed}")
    proxy_count = rng.choice([6, 12, 18, 24])
    cores_per_backend = rng.choice([1, 2, 4])
    backend_count = rng.choice([6, 10, 16])
    work_ms = rng.choice([2, 10, 20, 40])
    load_ratio = rng.uniform(0.2, 0.7)
    is_cold = rng.random() < 0.6
    classes = _generate_request_classes(rng, work_ms)
    faults = _generate_faults(rng)
    more_scenario_faults = rng.sample([*SCENARIO_FAULTS, SLOW_BACKENDS], rng.randint(0, 2))
    return GeneratedPlan(
        name=f"drawn-{seed}",
        seconds=PLAN_SECONDS,
        proxy_count=proxy_count,
        backend_count=backend_count,
        cores_per_backend=cores_per_backend,
        is_cold=is_cold,
        work_ms=work_ms,
        load_ratio=load_ratio,
        max_requests_per_second=300.0,
        client_count=48,
        request_classes=classes,
        faults=faults,
        scenario_faults=[rolling_deploy(lasts_seconds=4.0, drain_seconds=0.6), *more_scenario_faults],
        idle_timeout_seconds=rng.choice(IDLE_TIMEOUTS_SECONDS),
        impatient_client_ratio=rng.choice(IMPATIENT_CLIENT_RATIOS),
        discovery_mode=rng.choice(["subscribe", "automatic"]),
    )


def _generate_request_classes(rng: Random, work_ms: int) -> list[PlanTable]:
    pull_share = rng.choice([1, 3])
    push_group = rng.choice(["all", "zone"])
    push_body_bytes = rng.choice([100, 3000])
    classes = request_classes(work_ms, pull_share, push_group, push_body_bytes)
    return rng.sample(classes, rng.randint(1, 3))


def _generate_faults(rng: Random) -> list[PlanTable]:
    """Return one fault that affects discovery, and one to four others."""
    generator = FaultGenerator(rng, PLAN_SECONDS, TARGET_RATIOS)
    discovery_faults = [*generator.discovery_faults(), lambda: generator.link_fault("discovery")]
    other_faults = [
        *generator.process_faults(),
        lambda: generator.reload(objective_ratios=[0.7, 1.5]),
        lambda: generator.clock_step(CLOCK_OFFSETS_SECONDS),
        *generator.link_faults(),
    ]
    first = rng.choice(discovery_faults)()
    return [first, *(rng.choice(other_faults)() for _ in range(rng.randint(1, 4)))]
