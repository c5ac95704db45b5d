"""Saturation search, and runs at multiples of saturation, optionally in alternation with an earlier revision."""

from collections.abc import Callable, Sequence
from dataclasses import replace

from sloeferry.load_testing.deployment import Deployment
from sloeferry.load_testing.load_run import run_load
from sloeferry.load_testing.plan import CurvePiece, LoadPlan, LoadPlanError
from sloeferry.load_testing.step_report import StepRuns, format_line

DEFAULT_FACTORS = (0.5, 1.0, 1.5, 2.0, 4.0, 8.0)
MIN_IN_TIME_RATIO = 0.95  # of the requests are served in time at a rate below saturation
# Requests per second that one worker process sends without falling behind.
MAX_RATE_PER_WORKER = 1500
MAX_WORKERS = 5
# Saturation search: seconds per run, rates per second that it stays between, and the relative gap at which it stops.
SEARCH_RUN_SECONDS = 4.0
INITIAL_RATE, MIN_RATE, MAX_RATE = 200.0, 50.0, 20000.0
RATE_GROWTH_FACTOR = 1.6
PRECISION_RATIO = 0.06

ReportLine = Callable[[str], None]


def constant_load(plan: LoadPlan, rate_per_second: float, seconds: float) -> LoadPlan:
    """Return the plan with a constant rate."""
    return replace(plan, curve=(CurvePiece(seconds, rate_per_second),))


def with_workers_for(deployment: Deployment, rate_per_second: float) -> Deployment:
    """Return the deployment with enough worker processes for a rate."""
    worker_count = min(MAX_WORKERS, 1 + int(rate_per_second // MAX_RATE_PER_WORKER))
    return replace(deployment, worker_count=max(deployment.worker_count, worker_count))


def find_saturation(plan: LoadPlan, deployment: Deployment, report_line: ReportLine = lambda text: None) -> float:
    """Return the highest rate found at which MIN_IN_TIME_RATIO of the requests are served in time.

    Grows the rate exponentially, then bisects.  Raises LoadPlanError if even MIN_RATE is too high.
    """

    def is_sustained(rate: float) -> bool:
        figures = run_load(constant_load(plan, rate, SEARCH_RUN_SECONDS), with_workers_for(deployment, rate))
        ratio = figures.in_time_per_second / max(1e-9, figures.offered_per_second)
        report_line(f"  {rate:7.0f} requests/s: {ratio:6.1%} in time")
        return ratio >= MIN_IN_TIME_RATIO

    sustained_rate = 0.0
    unsustained_rate = INITIAL_RATE
    while is_sustained(unsustained_rate):
        sustained_rate = unsustained_rate
        unsustained_rate *= RATE_GROWTH_FACTOR
        if unsustained_rate > MAX_RATE:
            return sustained_rate
    while unsustained_rate - sustained_rate > PRECISION_RATIO * unsustained_rate and unsustained_rate > MIN_RATE:
        middle_rate = (sustained_rate + unsustained_rate) / 2
        if is_sustained(middle_rate):
            sustained_rate = middle_rate
        else:
            unsustained_rate = middle_rate
    if not sustained_rate:
        raise LoadPlanError(f"saturation: fewer than {MIN_RATE:.0f} requests per second are served in time")
    return sustained_rate


def run_steps(
    plan: LoadPlan,
    deployment: Deployment,
    saturation: float,
    factors: Sequence[float],
    seconds: float,
    pairs: int,
    earlier_tree: str | None,
    report_line: ReportLine,
) -> list[StepRuns]:
    """Run each factor `pairs` times, in alternation with the earlier source tree if there is one."""
    rows = []
    for factor in factors:
        row = StepRuns(factor, [], [])
        rate = saturation * factor
        deployment_now = with_workers_for(deployment, rate)
        for pair in range(pairs):
            pair_plan = replace(constant_load(plan, rate, seconds), seed=plan.seed + pair)
            row.current.append(run_load(pair_plan, deployment_now))
            report_line(format_line(factor, row.current[-1], "now"))
            if earlier_tree:
                row.earlier.append(run_load(pair_plan, replace(deployment_now, source_tree=earlier_tree)))
                report_line(format_line(factor, row.earlier[-1], "then"))
        rows.append(row)
    return rows
