"""The command line of `sloeferry rig`."""

import json
import pathlib
import sys
from dataclasses import dataclass
from typing import Any

import click

from sloeferry.fault_testing import plan as plans
from sloeferry.fault_testing.plan import Plan
from sloeferry.fault_testing.planted_faults import PLANTED
from sloeferry.fault_testing.record_text import record_text
from sloeferry.fault_testing.run_options import RunOptions
from sloeferry.fault_testing.verdict import Verdict
from sloeferry.rehearsal.cli import print_shipped, write_record
from sloeferry.rehearsal.report import format_record
from sloeferry.rehearsal.scenario import ScenarioError

NAME_WIDTH = 16  # characters of the name column in the list of plans
EXIT_CODES = {Verdict.KEPT: 0, Verdict.BROKEN: 1, Verdict.VOID: 3}


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """A run's record, its text form and its verdict."""

    record: dict[str, Any]
    text: str
    verdict: Verdict


@click.group()
def rig() -> None:
    """Run plans with real proxy processes and injected faults.  Loopback only; figures come from stand-ins."""


@rig.command()
@click.argument("plan")
@click.option("--proxies", type=click.IntRange(1, plans.MAX_PROXIES), help="Number of proxies, in place of the plan's.")
@click.option("--nodes", type=click.IntRange(1, 1000), help="Total number of backends; the load is scaled with it.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--record", type=click.Path(dir_okay=False, path_type=pathlib.Path), help="File to write the record to, as JSON.")
@click.option(
    "--keep-logs",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Folder to copy all processes' records and logs to.",
)
@click.option("--plant", help="Fault to plant in the proxies' code (see `rig plants`).")
@click.option("--virtual", is_flag=True, help="Run in virtual time; faults that do not exist there are left out and listed.")
@click.option("--json", "as_json", is_flag=True)
def run(
    plan: str,
    proxies: int | None,
    nodes: int | None,
    seed: int,
    record: pathlib.Path | None,
    keep_logs: pathlib.Path | None,
    plant: str | None,
    virtual: bool,
    as_json: bool,
) -> None:
    """Run PLAN: a shipped name, `drawn-N`, `soak-N`, `hostile-N` or `slow-N` with a seed N, or a path.

    Exit status 0: kept, 1: broken, 2: the plan cannot be run, 3: void.
    """
    resized = plans.resize(plans.read_plan(plan), proxies, nodes)
    if record and not record.parent.is_dir():
        raise ScenarioError(f"--record: {record.parent} is not a folder")
    if virtual:
        if plant:
            raise ScenarioError("--plant: requires real processes and cannot be combined with --virtual")
        outcome = _run_virtual(resized, seed)
    else:
        options = RunOptions(plans.read_plan_text(plan), resized, seed, proxies, nodes)
        outcome = _run_real(options, plant, keep_logs)
    record_json = json.dumps(outcome.record, indent=1, sort_keys=True) + "\n"
    write_record(record, record_json)
    click.echo(record_json if as_json else outcome.text, nl=not as_json)
    sys.exit(EXIT_CODES[outcome.verdict])


def _run_virtual(plan: Plan, seed: int) -> RunOutcome:
    from sloeferry.rehearsal.simulation import simulate

    scenario, left_out = plans.to_virtual_scenario(plan)
    record = simulate(scenario, seed)
    record["without"] = left_out
    text = format_record(record)
    if left_out:
        text += f"\n  without: {', '.join(left_out)}"
    is_broken = any(record["rules"].values()) or bool(record["faults"])
    return RunOutcome(record, text, Verdict.BROKEN if is_broken else Verdict.KEPT)


def _run_real(options: RunOptions, planted_fault: str | None, keep_logs: pathlib.Path | None) -> RunOutcome:
    from sloeferry.fault_testing.plan_run import run_and_judge

    record = run_and_judge(options, planted_fault, keep_logs)
    return RunOutcome(record, record_text(record), Verdict(record["verdict"]))


@rig.command("list")
def list_plans() -> None:
    """List the shipped plans."""
    print_shipped(plans.shipped_names(), plans.read_plan, NAME_WIDTH)


@rig.command()
@click.argument("plan")
def check(plan: str) -> None:
    """Validate PLAN and list its faults that do not exist in virtual time; exit status 2 if it is invalid."""
    checked = plans.read_plan(plan)
    _, left_out = plans.to_virtual_scenario(checked)
    backends = sum(group.count for group in checked.backends)
    click.echo(
        f"{checked.name}: {checked.seconds:g} s, {checked.proxies.count} proxies, {backends} nodes, "
        f"{len(checked.scenario_faults)} troubles, {len(checked.process_faults)} faults: valid"
    )
    click.echo("  in virtual time: " + (f"all except {', '.join(left_out)}" if left_out else "all faults"))


@rig.command()
def plants() -> None:
    """List the faults that can be planted, and the plan that detects each."""
    for name, fault in PLANTED.items():
        click.echo(f"{name:20s} {fault.plan:12s} {fault.about}")
