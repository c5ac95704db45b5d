"""Plans of the fault soak, drawn from a seed: `soak-17` is the same plan everywhere.

10 to 40 proxies, backends that are replaced, and five to nine faults that overlap in time: processes killed, stopped, told
to leave, given new settings; wall clocks off; system calls that fail; links held, cut, half open, broken; discovery down,
late, behind, counting anew, or failing each call in one way, for longer than proxies may go without being notified.  The
rules are the oracle, with each proxy's own guard of sending (docs/fault-testing.md).
"""

from random import Random

from sloeferry.fault_testing.fault_generator import SCENARIO_FAULTS, FaultGenerator, PlanTable, rolling_deploy
from sloeferry.fault_testing.generated_plan import IDLE_TIMEOUTS_SECONDS, IMPATIENT_CLIENT_RATIOS, GeneratedPlan, request_classes
from sloeferry.stand_ins.call_failures import CallFailure

PLAN_SECONDS = 16.0
TARGET_RATIOS = [0.1, 0.3]
CLOCK_OFFSETS_SECONDS = [-3600.0, -5.0, 5.0, 3600.0]
MAX_CALL_FAILURE_SECONDS = 9.0  # past the 6 s after which proxies count as notified


def generate_plan(seed: int) -> GeneratedPlan:
    """The plan of that seed.  The order of the draws is what a seed stands for."""
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
    """One or two faults of discovery, failing calls twice as likely, and four to seven others."""
    generator = FaultGenerator(rng, PLAN_SECONDS, TARGET_RATIOS)
    failures = [failure.value for failure in CallFailure]

    def failing_call_proxies() -> PlanTable:
        return generator.fault("list-fail", MAX_CALL_FAILURE_SECONDS, how=rng.choice(failures))

    discovery_faults = [failing_call_proxies, failing_call_proxies, *generator.discovery_faults()]
    other_faults = [
        *generator.process_faults(),
        lambda: generator.reload(objective_ratios=[]),
        lambda: generator.clock_step(CLOCK_OFFSETS_SECONDS),
        lambda: generator.fault("calls", 1),
        *generator.link_faults(),
    ]
    of_discovery = [rng.choice(discovery_faults)() for _ in range(rng.randint(1, 2))]
    return of_discovery + [rng.choice(other_faults)() for _ in range(rng.randint(4, 7))]
