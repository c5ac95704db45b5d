"""Defines the commands of `sloeferry rehearse`: parses their arguments, runs scenarios and prints the results."""

import json
import pathlib
import statistics
import sys
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

import click

from sloeferry.rehearsal import scenario as scenarios
from sloeferry.rehearsal.baselines import DESIGN, POLICIES
from sloeferry.rehearsal.report import clear_progress_line, format_record, make_progress_reporter
from sloeferry.rehearsal.scenario import Scenario, ScenarioError

MAX_SEEDS = 100


class SeedComparison(NamedTuple):
    """The services and violations of one seed, run with the design and with a baseline."""

    seed: int
    design_service: float
    baseline_service: float
    design_violations: int
    baseline_violations: int


class MeanDifference(NamedTuple):
    """A mean with its uncertainty, `noise`, which is two standard errors."""

    mean: float
    noise: float


@click.group()
def rehearse() -> None:
    """Run scenarios with real proxies and stand-in nodes, discovery and clients; check the rules on the wire.

    All figures are simulated.
    """


def print_shipped(names: Iterable[str], read: Callable[[str], Scenario], name_width: int) -> None:
    """Print a line for each shipped scenario or plan."""
    for name in names:
        scenario = read(name)
        backend_count = sum(backends.count for backends in scenario.backends)
        click.echo(
            f"{name:{name_width}s} {scenario.seconds:4.0f} s  {scenario.proxies.count:3d} proxies  "
            f"{backend_count:3d} nodes  {scenario.about}"
        )


def write_record(path: pathlib.Path | None, text: str) -> None:
    """Write a record to a file, if one is given.  Raises ScenarioError."""
    if path:
        try:
            path.write_text(text)
        except OSError as error:
            raise ScenarioError(f"--record: {path} can't be written: {error.strerror}") from None


def print_to_stderr(text: str) -> None:
    """Print a line to standard error."""
    click.echo(text, err=True)


@rehearse.command("run")
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--live", is_flag=True, help="Run real daemons on loopback addresses, in real time.")
@click.option(
    "--policy",
    type=click.Choice(POLICIES),
    default=DESIGN,
    show_default=True,
    help="The endpoint selection policy: the design, or a baseline (not with --live).",
)
@click.option(
    "--chance",
    "environment_seed",
    type=click.IntRange(0),
    default=0,
    show_default=True,
    help="Another random seed for the network and the proxies, with the same requests and faults (not with --live).",
)
@click.option(
    "--record", type=click.Path(dir_okay=False, path_type=pathlib.Path), help="The file to which the record is written, as JSON."
)
@click.option("--json", "as_json", is_flag=True, help="Print the record as JSON to standard output.")
@click.option("--log", is_flag=True, help="Print the logs of the proxies to standard error.")
def run_scenario(
    scenario: str,
    seed: int,
    live: bool,
    policy: str,
    environment_seed: int,
    record: pathlib.Path | None,
    as_json: bool,
    log: bool,
) -> None:
    """Run SCENARIO, a shipped name or a path.  Exit status 0: rules kept, 1: a rule broken, 2: invalid scenario or option."""
    checked = scenarios.read_scenario(scenario)
    if live and policy != DESIGN:
        raise ScenarioError("--policy: has to be design in a live run; baselines run in virtual time only")
    if live and environment_seed:
        raise ScenarioError("--chance: has to be 0 in a live run; it seeds the simulated network and proxies only")
    if record and not record.parent.is_dir():
        raise ScenarioError(f"--record: {record.parent} is not a folder")
    run_record = record_run(checked, seed, live, policy, environment_seed, print_to_stderr if log else None)
    clear_progress_line()
    text = json.dumps(run_record, indent=1, sort_keys=True) + "\n"
    write_record(record, text)
    click.echo(text if as_json else format_record(run_record), nl=not as_json)
    is_clean = not any(run_record["rules"].values()) and not run_record["faults"]
    sys.exit(0 if is_clean else 1)


def record_run(
    scenario: Scenario, seed: int, live: bool, policy: str, environment_seed: int, show_line: Callable[[str], object] | None
) -> dict[str, Any]:
    """Run a scenario in virtual time or live, and return its record."""
    progress = make_progress_reporter(scenario.name)
    # Imported here, since the modules are slow to import and the other commands do not need them.
    if live:
        from sloeferry.rehearsal import live as live_run

        return live_run.run_live(scenario, seed, progress, show_line)
    from sloeferry.rehearsal import simulation

    return simulation.simulate(scenario, seed, policy, progress, show_line, environment_seed)


@rehearse.command("list")
def list_scenarios() -> None:
    """List the shipped scenarios."""
    print_shipped(scenarios.shipped_names(), scenarios.read_scenario, 20)


@rehearse.command("check")
@click.argument("scenario")
def check(scenario: str) -> None:
    """Validate SCENARIO.  Exit status 2 with one line of text if it is not valid."""
    checked = scenarios.read_scenario(scenario)
    backend_count = sum(backends.count for backends in checked.backends)
    click.echo(
        f"{checked.name}: {checked.seconds:g} s, {checked.proxies.count} proxies, {backend_count} nodes, "
        f"{len(checked.scenario_faults)} troubles: valid"
    )


def parse_seeds(text: str) -> range:
    """Return the seeds of a range like 1-8, or a single one."""
    first, _, last = text.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError:
        raise ScenarioError(f"--seeds: {text!r} is neither a seed, like 3, nor a range of seeds, like 1-8") from None
    if not 1 <= len(seeds) <= MAX_SEEDS:
        raise ScenarioError(f"--seeds: {text!r} has to name 1 to {MAX_SEEDS} seeds, in ascending order")
    return seeds


def mean_difference(pairs: Sequence[SeedComparison]) -> MeanDifference:
    """Return the mean of the design's service minus the baseline's."""
    differences = [pair.design_service - pair.baseline_service for pair in pairs]
    mean = statistics.fmean(differences)
    if len(differences) == 1:
        return MeanDifference(mean, float("nan"))
    return MeanDifference(mean, 2 * statistics.stdev(differences) / len(differences) ** 0.5)


@rehearse.command("compare")
@click.argument("scenario")
@click.option("--seeds", default="1-4", show_default=True)
@click.option("--vs", "baseline", type=click.Choice(POLICIES[1:]), default="random", show_default=True)
@click.option("--json", "as_json", is_flag=True)
def compare(scenario: str, seeds: str, baseline: str, as_json: bool) -> None:
    """Run SCENARIO with the design and with a baseline for each seed, and print the mean difference with its uncertainty."""
    checked = scenarios.read_scenario(scenario)
    pairs = [compare_seed(checked, seed, baseline) for seed in parse_seeds(seeds)]
    mean, noise = mean_difference(pairs)
    if as_json:
        click.echo(json.dumps({"scenario": checked.name, "vs": baseline, "pairs": pairs, "mean": mean, "noise": noise}))
        return
    click.echo(f"{checked.name}: design compared with {baseline}\n  seed  design  {baseline}")
    for pair in pairs:
        violations = pair.design_violations, pair.baseline_violations
        text = f"  breaches: {violations[0]}, {violations[1]}" if any(violations) else ""
        click.echo(f"  {pair.seed:4d}  {pair.design_service:6.3f}  {pair.baseline_service:6.3f}" + text)
    click.echo(f"  difference {mean:+.3f} +/- {noise:.3f}")


def compare_seed(scenario: Scenario, seed: int, baseline: str) -> SeedComparison:
    """Run one seed with the design, then with a baseline."""
    from sloeferry.rehearsal.simulation import simulate

    records = [
        simulate(scenario, seed, policy, make_progress_reporter(f"{scenario.name} {seed} {policy}"))
        for policy in (DESIGN, baseline)
    ]
    clear_progress_line()
    services = [record["service"]["total"] for record in records]
    violations = [sum(record["rules"].values()) for record in records]
    return SeedComparison(seed, *services, *violations)
