"""Generator of the plans of the fault soak from a seed: `soak-17` is the same plan everywhere.

A plan has 10 to 40 proxies, a rolling deploy of the backends, and five to nine faults that may overlap in time: processes
killed, stopped, terminated or reloaded; wall clocks off; system calls that fail; links held, delayed, cut, half open or
broken; discovery down, lagging, answering from an older replica, restarting its revisions, or failing each call in one way
for longer than the time after which proxies count as notified.  The test oracle is the safety rules and each proxy's own
send guard (docs/fault-testing.md).
"""

from random import Random

from sloeferry.fault_testing.fault_generator import SCENARIO_FAULTS, FaultGenerator, PlanTable, rolling_deploy
from sloeferry.fault_testing.generated_plan import IDLE_TIMEOUTS_SECONDS, IMPATIENT_CLIENT_RATIOS, GeneratedPlan, request_classes
from sloeferry.stand_ins.call_failures import CallFailure

PLAN_SECONDS = 16.0
TARGET_RATIOS = [0.1, 0.3]
CLOCK_OFFSETS_SECONDS = [-3600.0, -5.0, 5.0, 3600.0]
MAX_CALL_FAILURE_SECONDS = 9.0  # longer than the 6 s after which proxies count as notified


def generate_plan(seed: int) -> GeneratedPlan:
    """Return the plan of that seed; changing the order of the random draws changes the plan of every seed."""
    rng = Random(f"soak {seed}")
    proxy_count = rng.choice([10, 14, 20, 28, 40])
    backend_count = rng.choice([8, 12, 16])
    work_ms = rng.choice([5, 10, 20])
    faults = _generate_faults(rng)
    classes = request_classes(work_ms, pull_share=2, push_group=rng.choice(["all", "zone"]), push_body_bytes=300)
    deploy = rolling_deploy(lasts_seconds=8.0, drain_seconds=rng.choice([0.6, 8.0]))
    more_scenario_faults = rng.sample(SCENARIO_FAULTS, rng.randint(0, 2))
    return GeneratedPlan(
        name=f"soak-{seed}",
        seconds=PLAN_SECONDS,
        proxy_count=proxy_count,
        backend_count=backend_count,
        cores_per_backend=2,
        is_cold=rng.random() < 0.5,
        work_ms=work_ms,
        load_ratio=0.4,
        max_requests_per_second=240.0,
        client_count=64,
        request_classes=classes,
        faults=faults,
        scenario_faults=[deploy, *more_scenario_faults],
        idle_timeout_seconds=rng.choice(IDLE_TIMEOUTS_SECONDS),
        impatient_client_ratio=rng.choice(IMPATIENT_CLIENT_RATIOS),
    )


def _generate_faults(rng: Random) -> list[PlanTable]:
    """Return one or two faults of discovery, of which failing calls have twice the weight, and four to seven others."""
    generator = FaultGenerator(rng, PLAN_SECONDS, TARGET_RATIOS)
    failures = [failure.value for failure in CallFailure]

    def generate_failing_discovery() -> PlanTable:
        return generator.fault("list-fail", MAX_CALL_FAILURE_SECONDS, how=rng.choice(failures))

    discovery_faults = [generate_failing_discovery, generate_failing_discovery, *generator.discovery_faults()]
    other_faults = [
        *generator.process_faults(),
        lambda: generator.reload(objective_ratios=[]),
        lambda: generator.clock_step(CLOCK_OFFSETS_SECONDS),
        lambda: generator.fault("calls", 1),
        *generator.link_faults(),
    ]
    chosen_discovery_faults = [rng.choice(discovery_faults)() for _ in range(rng.randint(1, 2))]
    return chosen_discovery_faults + [rng.choice(other_faults)() for _ in range(rng.randint(4, 7))]
