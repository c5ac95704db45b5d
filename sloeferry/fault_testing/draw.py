"""Short plans drawn from a seed: `drawn-17` is the same plan everywhere.

One fault at the most keeps a proxy from the endpoint list, and for less than the time after which it counts as notified
(`deemed_s`): two in a row could keep a drain from a proxy for longer, and no proxy could keep rule 3 then.
"""

from random import Random

from sloeferry.fault_testing.draw_faults import SCENARIO_FAULTS, FaultDrawer, PlanTable, rolling_deploy
from sloeferry.fault_testing.drawn_plan import IDLE_SECONDS, IMPATIENT_RATIOS, DrawnPlan, request_classes

PLAN_SECONDS = 9.0
STRUCK_RATIOS = [0.1, 0.3, 0.6]
CLOCK_OFFSETS_SECONDS = [-7200.0, 30.0, 7200.0]
SLOW_BACKENDS: PlanTable = {"what": "slow", "at": 2.0, "lasts": 4.0, "part": 0.3, "times": 3}


def draw_plan(seed: int) -> DrawnPlan:
    """The plan of that seed.  The order of the draws is what a seed stands for."""
    rng = Random(f"plan {seed}")
    proxies = rng.choice([6, 12, 18, 24])
    cores = rng.choice([1, 2, 4])
    backends = rng.choice([6, 10, 16])
    work_ms = rng.choice([2, 10, 20, 40])
    load_ratio = rng.uniform(0.2, 0.7)
    is_cold = rng.random() < 0.6
    classes = _draw_request_classes(rng, work_ms)
    faults = _draw_faults(rng)
    more_scenario_faults = rng.sample([*SCENARIO_FAULTS, SLOW_BACKENDS], rng.randint(0, 2))
    return DrawnPlan(
        name=f"drawn-{seed}",
        seconds=PLAN_SECONDS,
        proxies=proxies,
        backends=backends,
        cores=cores,
        is_cold=is_cold,
        work_ms=work_ms,
        load_ratio=load_ratio,
        max_requests_per_second=300.0,
        clients=48,
        request_classes=classes,
        faults=faults,
        scenario_faults=[rolling_deploy(lasts_seconds=4.0, drain_seconds=0.6), *more_scenario_faults],
        idle_seconds=rng.choice(IDLE_SECONDS),
        impatient_ratio=rng.choice(IMPATIENT_RATIOS),
        discovery_mode=rng.choice(["subscribe", "automatic"]),
    )


def _draw_request_classes(rng: Random, work_ms: int) -> list[PlanTable]:
    pull_share = rng.choice([1, 3])
    push_group = rng.choice(["all", "zone"])
    push_body_bytes = rng.choice([100, 3000])
    classes = request_classes(work_ms, pull_share, push_group, push_body_bytes)
    return rng.sample(classes, rng.randint(1, 3))


def _draw_faults(rng: Random) -> list[PlanTable]:
    """One fault that discovery has part in, and up to four others."""
    drawer = FaultDrawer(rng, PLAN_SECONDS, STRUCK_RATIOS)
    discovery_faults = [*drawer.discovery_faults(), lambda: drawer.link_fault("discovery")]
    other_faults = [
        *drawer.process_faults(),
        lambda: drawer.reload(objective_ratios=[0.7, 1.5]),
        lambda: drawer.clock_step(CLOCK_OFFSETS_SECONDS),
        *drawer.link_faults(),
    ]
    first = rng.choice(discovery_faults)()
    return [first, *(rng.choice(other_faults)() for _ in range(rng.randint(1, 4)))]
