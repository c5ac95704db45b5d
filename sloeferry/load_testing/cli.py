"""Command line of `sloeferry load`: parses and checks the options, then starts the run."""

import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import click

from sloeferry.load_testing import operations
from sloeferry.load_testing.deployment import Deployment, temporary_folder
from sloeferry.load_testing.load_run import run_load
from sloeferry.load_testing.overload_cases import OVERLOAD_CASES, CaseResult, run_case
from sloeferry.load_testing.plan import ClientProfile, CurvePiece, LoadPlan, LoadPlanError, parse_curve
from sloeferry.load_testing.proxy_process import extract_revision
from sloeferry.load_testing.saturation import DEFAULT_FACTORS, find_saturation, run_steps
from sloeferry.load_testing.step_report import HEADER, StepReport, draw_goodput, format_line

PLACEHOLDER_CURVE = (CurvePiece(1.0, 0.0),)  # replaced by the curve of the command

COMMON_OPTIONS = (
    click.option(
        "--cores",
        "cpu_share",
        type=click.FloatRange(0.0, 1.0),
        default=0.7,
        show_default=True,
        help="Share of a CPU core per proxy; 0: not throttled.",
    ),
    click.option("--daemons", "proxies", type=click.IntRange(1, 4), default=1, show_default=True),
    click.option(
        "--workers", type=click.IntRange(1, 6), default=2, show_default=True, help="Minimum number of client processes."
    ),
    click.option("--seed", type=int, default=1, show_default=True),
    click.option("--retries", type=click.IntRange(0, 5), default=1, show_default=True),
    click.option(
        "--fresh",
        "new_connection_ratio",
        type=click.FloatRange(0, 1),
        default=0.0,
        show_default=True,
        help="Ratio of requests sent on a new connection.",
    ),
    click.option(
        "--connections",
        type=click.IntRange(1, 20000),
        default=320,
        show_default=True,
        help="Maximum number of connections of all clients together.",
    ),
    click.option(
        "--work-ms",
        type=click.FloatRange(0, 1000),
        default=4.0,
        show_default=True,
        help="Mean service time of a stand-in backend, in ms.",
    ),
    click.option("--target", help="host:port of a running proxy; loopback addresses only."),
    click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON."),
)


def common_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that all load runs share."""
    for option in reversed(COMMON_OPTIONS):
        command = option(command)
    return command


def plan_and_deployment(
    *,
    cpu_share: float,
    proxies: int,
    workers: int,
    seed: int,
    retries: int,
    new_connection_ratio: float,
    connections: int,
    work_ms: float,
    target: str | None,
) -> tuple[LoadPlan, Deployment]:
    """Return the plan, with a placeholder curve, and the deployment of the common options.

    Raises LoadPlanError.
    """
    if target and not target.startswith("127."):
        raise LoadPlanError(f"--target: {target!r} is not a loopback address (127.*)")
    clients = ClientProfile(max_retries=retries, new_connection_ratio=new_connection_ratio, max_connections=connections)
    return LoadPlan(PLACEHOLDER_CURVE, seed, clients=clients), Deployment(
        cpu_share or None, proxies, workers, work_ms=work_ms, target=target
    )


@click.group()
def load() -> None:
    """Generate open-loop load on loopback, find saturation, and compare with an earlier revision."""


@load.command()
@click.option("--curve", default="5:300", show_default=True, help="seconds:rate,seconds:rate,...")
@common_options
def run(curve: str, as_json: bool, **options: Any) -> None:
    """Run one load curve."""
    plan, deployment = plan_and_deployment(**options)
    figures = run_load(replace(plan, curve=parse_curve(curve)), deployment)
    click.echo(json.dumps(figures.as_json()) if as_json else f"{HEADER}\n{format_line(1, figures, 'now')}")


@load.command()
@click.option("--saturation", type=float, help="Saturation in requests per second; searched for when unset.")
@click.option("--factors", default=",".join(f"{factor:g}" for factor in DEFAULT_FACTORS), show_default=True)
@click.option("--seconds", type=click.FloatRange(2, 600), default=6.0, show_default=True, help="Duration of each run.")
@click.option("--against", "revision", metavar="REV", help="Earlier revision to run in alternation.")
@click.option("--pairs", type=click.IntRange(1, 20), default=1, show_default=True)
@click.option("--plot", "plot_path", type=click.Path(dir_okay=False, writable=True), help="Write the goodput curve as SVG.")
@common_options
def step(
    saturation: float | None,
    factors: str,
    seconds: float,
    revision: str | None,
    pairs: int,
    plot_path: str | None,
    as_json: bool,
    **options: Any,
) -> None:
    """Find saturation, then run multiples of it."""
    plan, deployment = plan_and_deployment(**options)
    factor_values = _parse_factors(factors)

    def print_line(text: str) -> None:
        click.echo(text, err=as_json)

    with temporary_folder() as folder:
        rate = saturation or find_saturation(plan, deployment, print_line)
        print_line(f"saturation: {rate:.0f} txns a second")
        print_line(HEADER)
        earlier_tree = str(extract_revision(revision, folder)) if revision else None
        rows = run_steps(plan, deployment, rate, factor_values, seconds, pairs, earlier_tree, print_line)
    report = StepReport(rate, rows)
    for line in report.lines():
        print_line(line)
    if plot_path:
        draw_goodput(rows, plot_path, f"Goodput beyond saturation ({rate:.0f} requests/s), simulated backends")
    if as_json:
        click.echo(json.dumps(report.as_json()))


def _parse_factors(text: str) -> list[float]:
    try:
        return [float(part) for part in text.split(",")]
    except ValueError:
        raise LoadPlanError(f"--factors: {text!r} is not a comma-separated list of numbers") from None


@load.command("case")
@click.argument("name", type=click.Choice(["all", *OVERLOAD_CASES]))
@click.option("--saturation", type=float, required=True, help="Saturation in requests per second.")
@common_options
def case(name: str, saturation: float, as_json: bool, **options: Any) -> None:
    """Run overload cases and print the recovery time of each."""
    plan, deployment = plan_and_deployment(**options)
    for case_name in OVERLOAD_CASES if name == "all" else [name]:
        result = run_case(case_name, plan, deployment, saturation)
        record = result.figures.as_json() | {"recovery": result.recovery_seconds, "case": case_name}
        click.echo(json.dumps(record) if as_json else _case_line(case_name, result))


def _case_line(name: str, result: CaseResult) -> str:
    record = result.figures.as_json()
    recovery = "never" if result.recovery_seconds is None else f"{result.recovery_seconds:.0f} s"
    return (
        f"{name:14} back after {recovery:>6}; gain {record['gain']:.2f}, lost {record['lost']:.0f}/s, overdue "
        f"{record['overdue']:.0f}/s, undecided {record.get('undecided', 0)}   ({OVERLOAD_CASES[name].description})"
    )


@load.command("day")
@click.argument("name", type=click.Choice(["all", *operations.MEASUREMENTS]))
def day(name: str) -> None:
    """Measure operations: admin calls under load, takeovers, long responses, idle connections."""
    for part in operations.MEASUREMENTS if name == "all" else [name]:
        click.echo(json.dumps({part: operations.measure(part)}))
