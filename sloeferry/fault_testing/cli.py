"""`sloeferry rig`: what is typed, checked and handed on."""

import json
import os
import pathlib
import shutil
import sys
import tempfile

import click

from sloeferry.fault_testing import plan as p
from sloeferry.rehearsal import scenario as s
from sloeferry.rehearsal.cli import print_shipped, write_record
from sloeferry.rehearsal.report import format_record

MEMORY = "/dev/shm"
ERRORS_SHOWN = 3  # lines of a proxy's log
EXPECTED = "SIGHUP, all stays as it was"  # the one error that a plan asks for: a file that can't be used


@click.group()
def rig():
    """Plays plans with real proxies, each a process, and faults between them.  Loopback only; figures of stand-ins."""


def short(said):
    """A record in some lines."""
    txns, figures = said["txns"], said["figures"]
    lines = [
        f"{said['plan']}, seed {said['seed']}: {said['verdict']}",
        "  txns: " + ", ".join(f"{value} {key.replace('_', ' ')}" for key, value in txns.items() if value),
        f"  service {said['service']['whole']:.3f}" if said["service"]["whole"] is not None else "  nobody asked",
        "  late by, ms: " + (", ".join(f"{role} {ms:g}" for role, ms in said["late_ms"].items()) or "nobody"),
    ]
    lines += [
        f"  {name}: least {least:g}, mean {mean:g}, most {most:g}"
        for name, (least, mean, most) in ((name, each) for name, each in figures.items() if isinstance(each, list))
    ]
    if "ready_s" in figures:
        lines.append(f"  {figures['ready']} ready after {figures['ready_s']:g} s")
    if "audit" in said:
        audit = said["audit"]
        lines.append(
            f"  audit: {audit['current']} current, {audit['straggler']} behind, {audit['unknown']} unknown; "
            + ", ".join(audit["causes"])
        )
    lines += [f"  VOID: {text}" for text in said["void"]] + [f"  FAILED: {text}" for text in said["failed"]]
    broken = {rule: count for rule, count in said["rules"].items() if count}
    lines.append("  rules kept" if not broken else "  RULES BROKEN: " + ", ".join(f"{r}: {n}" for r, n in broken.items()))
    for one in said["evidence"]:
        lines.append(f"    {one['rule']}: {one['text']}")
        lines += [f"      {' '.join(map(str, event))}" for event in one["events"]]
    return "\n".join(lines)


@rig.command()
@click.argument("plan")
@click.option("--proxies", type=click.IntRange(1, p.MOST), help="In the place of the plan's own number.")
@click.option("--nodes", type=click.IntRange(1, 1000), help="In all; the load goes with them.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--record", type=click.Path(dir_okay=False, path_type=pathlib.Path), help="Where the record is written, as JSON.")
@click.option(
    "--keep-logs", type=click.Path(file_okay=False, path_type=pathlib.Path), help="Where all processes' records and logs go."
)
@click.option("--plant", help="A wrong line planted in the proxies' code (see `rig plants`).")
@click.option("--virtual", is_flag=True, help="Its twin in virtual time: what has no part there is left out, and said.")
@click.option("--json", "as_json", is_flag=True)
def run(plan, proxies, nodes, seed, record, keep_logs, plant, virtual, as_json):
    """Plays PLAN (a shipped name, `drawn-` and a seed, or a path).  Exit 0: kept, 1: broken, 3: void, 2: can't be played."""
    told = p.altered(p.read(plan), proxies, nodes)
    if record and not record.parent.is_dir():
        raise s.ScenarioError(f"--record: {record.parent} is no folder")
    if virtual:
        from sloeferry.rehearsal.play import play as play_virtual

        if plant:
            raise s.ScenarioError("--plant: for real processes alone")
        scenario, without = p.twin(told)
        said = play_virtual(scenario, seed)
        said["without"] = without
        text, broken = format_record(said), any(said["rules"].values()) or bool(said["faults"])
        text += f"\n  without: {', '.join(without)}" if without else ""
    else:
        said = play_real(p.text(plan), told, seed, proxies, nodes, plant, keep_logs)
        text, broken = short(said), said["verdict"] == "broken"
    whole = json.dumps(said, indent=1, sort_keys=True) + "\n"
    write_record(record, whole)
    click.echo(whole if as_json else text, nl=not as_json)
    sys.exit(1 if broken else 3 if said.get("verdict") == "void" else 0)


def log_errors(folder):
    """What proxies logged as errors, a violation of their own guard of sending among them; some of each."""
    found = []
    for path in sorted(folder.glob("p*.log")):
        with open(path, errors="replace") as file:
            found += [f"{path.stem}: {line.strip()[:200]}" for line in file if " ERROR " in line and EXPECTED not in line][
                :ERRORS_SHOWN
            ]
    return found


def play_real(text, told, seed, proxies=None, nodes=None, plant=None, keep_logs=None):
    """One play with processes, judged."""
    from sloeferry.fault_testing import planted_faults as planted
    from sloeferry.fault_testing import verdict
    from sloeferry.fault_testing import worker_processes as crew

    # A disk may take most of a second for a file that is cut short, and the driver would be late with it.
    with tempfile.TemporaryDirectory(prefix="rig-", dir=MEMORY if os.path.isdir(MEMORY) else None) as folder:
        tree = planted.plant(plant, folder) if plant else None
        try:
            records, struck, figures, faults = crew.play(text, told, seed, folder, proxies, nodes, tree)
            faults += log_errors(pathlib.Path(folder))
            return verdict.judge(told, seed, records, struck, figures, faults)
        finally:
            if keep_logs:
                keep_logs.mkdir(parents=True, exist_ok=True)
                for path in pathlib.Path(folder).iterdir():
                    if path.is_file():
                        shutil.copy(path, keep_logs / path.name)


@rig.command("list")
def list_all():
    """The plans that are shipped."""
    print_shipped(p.shipped(), p.read, 16)


@rig.command()
@click.argument("plan")
def check(plan):
    """Reads and checks PLAN, and says what of it has no part in virtual time; exit 2 and one line where it can't be played."""
    told = p.read(plan)
    _, without = p.twin(told)
    click.echo(
        f"{told.name}: {told.seconds:g} s, {told.proxies.count} proxies, {sum(n.count for n in told.backends)} nodes, "
        f"{len(told.scenario_faults)} troubles, {len(told.fault)} faults: good"
    )
    click.echo("  in virtual time: " + (f"all but {', '.join(without)}" if without else "all of it"))


@rig.command()
def plants():
    """The wrong lines that can be planted, and the plan that convicts each."""
    from sloeferry.fault_testing import planted_faults as planted

    for name, one in planted.PLANTED.items():
        click.echo(f"{name:20s} {one.plan:12s} {one.about}")
