"""Finds saturation, then runs shares and multiples of it; alone, or in turn with an earlier revision."""

from collections.abc import Callable, Sequence
from dataclasses import replace

from sloeferry.load_testing.deployment import Deployment
from sloeferry.load_testing.load_run import run_load
from sloeferry.load_testing.plan import CurvePiece, LoadPlan, LoadPlanError
from sloeferry.load_testing.step_report import StepRuns, format_line

DEFAULT_FACTORS = (0.5, 1.0, 1.5, 2.0, 4.0, 8.0)
GOOD_RATIO = 0.95  # of the requests are served in time, at a rate under saturation
# One worker sends so many requests a second without running late itself.
RATE_PER_WORKER = 1500
MAX_WORKERS = 5
# The search: seconds of a run, rates that it keeps between, and what it stops at.
SEARCH_RUN_SECONDS = 4.0
FIRST_RATE, LEAST_RATE, MAX_RATE = 200.0, 50.0, 20000.0
GROWTH = 1.6
PRECISION_RATIO = 0.06

Report = Callable[[str], None]


def constant_load(plan: LoadPlan, rate_per_second: float, seconds: float) -> LoadPlan:
    """The plan at one rate throughout."""
    return replace(plan, curve=(CurvePiece(seconds, rate_per_second),))


def with_workers_for(deployment: Deployment, rate_per_second: float) -> Deployment:
    """Workers enough for a rate."""
    workers = min(MAX_WORKERS, 1 + int(rate_per_second // RATE_PER_WORKER))
    return replace(deployment, workers=max(deployment.workers, workers))


def find_saturation(plan: LoadPlan, deployment: Deployment, report: Report = lambda text: None) -> float:
    """The highest rate found that is GOOD_RATIO in time, by growing and then halving the gap; raises LoadPlanError."""

    def is_good(rate: float) -> bool:
        figures = run_load(constant_load(plan, rate, SEARCH_RUN_SECONDS), with_workers_for(deployment, rate))
        ratio = figures.in_time_per_second / max(1e-9, figures.offered_per_second)
        report(f"  {rate:7.0f} a second: {ratio:6.1%} in time")
        return ratio >= GOOD_RATIO

    good_rate = 0.0
    bad_rate = FIRST_RATE
    while is_good(bad_rate):
        good_rate = bad_rate
        bad_rate *= GROWTH
        if bad_rate > MAX_RATE:
            return good_rate
    while bad_rate - good_rate > PRECISION_RATIO * bad_rate and bad_rate > LEAST_RATE:
        middle = (good_rate + bad_rate) / 2
        if is_good(middle):
            good_rate = middle
        else:
            bad_rate = middle
    if not good_rate:
        raise LoadPlanError(f"saturation: fewer than {LEAST_RATE:.0f} txns a second are answered in time")
    return good_rate


def run_steps(
    plan: LoadPlan,
    deployment: Deployment,
    saturation: float,
    factors: Sequence[float],
    seconds: float,
    pairs: int,
    earlier_tree: str | None,
    report: Report,
) -> list[StepRuns]:
    """Each factor run `pairs` times, in turn with the earlier tree if there is one."""
    rows = []
    for factor in factors:
        row = StepRuns(factor, [], [])
        rate = saturation * factor
        deployment_now = with_workers_for(deployment, rate)
        for pair in range(pairs):
            pair_plan = replace(constant_load(plan, rate, seconds), seed=plan.seed + pair)
            row.now.append(run_load(pair_plan, deployment_now))
            report(format_line(factor, row.now[-1], "now"))
            if earlier_tree:
                row.then.append(run_load(pair_plan, replace(deployment_now, tree=earlier_tree)))
                report(format_line(factor, row.then[-1], "then"))
        rows.append(row)
    return rows
