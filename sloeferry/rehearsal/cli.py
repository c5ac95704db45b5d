"""`sloeferry rehearse`: what is typed, checked and handed on."""

import json
import pathlib
import statistics
import sys
import time

import click

from sloeferry.rehearsal import scenario as s
from sloeferry.rehearsal.baselines import POLICIES
from sloeferry.rehearsal.judge import WINDOW


@click.group()
def rehearse():
    """Plays days: stand-in nodes, discovery and clients round real proxies, judged on the wire.  All figures are simulated."""


def progress(text):
    """A line that is written over on a terminal; nothing in a pipe."""
    if not sys.stderr.isatty():
        return None
    begun = time.monotonic()

    def show(now, bank):
        ended = sum(1 for ask in bank.judge.asks if ask.how)
        click.echo(f"\r{text}: {now:5.1f} s played in {time.monotonic() - begun:.0f} s, {ended} txns ended ", nl=False, err=True)

    return show


def say_shipped(kind, wide):
    """A line for each that `kind`, a module of scenarios or of plans, has shipped."""
    for name in kind.shipped():
        told = kind.read(name)
        click.echo(
            f"{name:{wide}s} {told.seconds:4.0f} s  {told.bank.proxies:3d} proxies  "
            f"{sum(nodes.count for nodes in told.nodes):3d} nodes  {told.about}"
        )


def clear():
    if sys.stderr.isatty():
        click.echo("\r\033[K", nl=False, err=True)


def short(record):
    """A record in some lines."""
    service, txns = record["service"], record["txns"]
    parts = " ".join(f"{key} {value:.3f}" for key, value in service.items() if isinstance(value, float) and key != "total")
    prices = " ".join(f"{key} {value:.3f}" for key, value in service["prices"].items())
    lines = [
        f"{record['scenario']}, seed {record['seed']}, {record['policy']}: service {service['total']:.3f}",
        f"  {parts}; prices: {prices}",
        "  txns: " + ", ".join(f"{value} {key.replace('_', ' ')}" for key, value in txns.items() if value),
        "  seconds  asked  service  declined  reversed",
    ]
    for window in record["windows"]:
        share = "      -" if window["service"] is None else f"{window['service']:7.3f}"
        lines.append(
            f"  {window['at']:3.0f}-{window['at'] + WINDOW:3.0f}  {window['asked']:5d}  {share}"
            f"  {window['declined']:8d}  {window['reversed']:8d}"
        )
    broken = {rule: count for rule, count in record["rules"].items() if count}
    lines.append(
        "  rules kept" if not broken else "  RULES BROKEN: " + ", ".join(f"{rule}: {count}" for rule, count in broken.items())
    )
    lines += [f"    {text}" for text in record["breaches"]]
    lines += [f"  fault in a process: {text}" for text in record["faults"]]
    return "\n".join(lines)


def keep(record, text):
    """Writes a record where one is wanted."""
    if record:
        try:
            record.write_text(text)
        except OSError as fault:
            raise s.ScenarioError(f"--record: {record} can't be written: {fault.strerror}") from None


@rehearse.command("run")
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--live", is_flag=True, help="Real daemons on loopback, in real time.")
@click.option(
    "--policy",
    type=click.Choice(POLICIES),
    default="design",
    show_default=True,
    help="A baseline in the place of the design; not live.",
)
@click.option(
    "--chance",
    type=click.IntRange(0),
    default=0,
    show_default=True,
    help="The same day with other luck: of the network and the proxies alone; not live.",
)
@click.option("--record", type=click.Path(dir_okay=False, path_type=pathlib.Path), help="Where the record is written, as JSON.")
@click.option("--json", "as_json", is_flag=True, help="The record on standard output.")
@click.option("--log", is_flag=True, help="The proxies' log on standard error.")
def run_one(scenario, seed, live, policy, chance, record, as_json, log):
    """Plays SCENARIO (a shipped name, or a path).  Exit 0: rules kept, 1: one broken, 2: can't be played."""
    told, show = s.read(scenario), (lambda text: click.echo(text, err=True)) if log else None
    if live and policy != "design":
        raise s.ScenarioError("--policy: a live play has the design alone")
    if live and chance:
        raise s.ScenarioError("--chance: a live play has luck of its own")
    if record and not record.parent.is_dir():
        raise s.ScenarioError(f"--record: {record.parent} is no folder")
    if live:
        from sloeferry.rehearsal.live import play

        said = play(told, seed, progress(told.name), show)
    else:
        from sloeferry.rehearsal.play import play

        said = play(told, seed, policy, progress(told.name), show, chance)
    clear()
    text = json.dumps(said, indent=1, sort_keys=True) + "\n"
    keep(record, text)
    click.echo(text if as_json else short(said), nl=not as_json)
    sys.exit(0 if not any(said["rules"].values()) and not said["faults"] else 1)


@rehearse.command("list")
def list_all():
    """The scenarios that are shipped."""
    say_shipped(s, 20)


@rehearse.command("check")
@click.argument("scenario")
def check(scenario):
    """Reads and checks SCENARIO; exit 2 and one line where it can't be played."""
    told = s.read(scenario)
    click.echo(
        f"{told.name}: {told.seconds:g} s, {told.bank.proxies} proxies, {sum(n.count for n in told.nodes)} nodes, "
        f"{len(told.trouble)} troubles: good"
    )


def span(text):
    first, _, last = text.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError:
        raise s.ScenarioError(f"--seeds: {text!r} is not of the form 1-8") from None
    if not 1 <= len(seeds) <= 100:
        raise s.ScenarioError(f"--seeds: {text!r} are not 1 to 100 seeds")
    return seeds


def noise(differences):
    """The mean, and by how much it may be off: two standard errors."""
    mean = statistics.fmean(differences)
    return mean, 2 * statistics.stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else float("nan")


@rehearse.command("compare")
@click.argument("scenario")
@click.option("--seeds", default="1-4", show_default=True)
@click.option("--vs", type=click.Choice(POLICIES[1:]), default="random", show_default=True)
@click.option("--json", "as_json", is_flag=True)
def compare(scenario, seeds, vs, as_json):
    """Plays SCENARIO with the design and with a baseline, seed by seed, and tells the difference and its noise."""
    from sloeferry.rehearsal.play import play

    told, pairs = s.read(scenario), []
    for seed in span(seeds):
        pair = [play(told, seed, policy, progress(f"{told.name} {seed} {policy}")) for policy in ("design", vs)]
        clear()
        pairs.append((seed, *[one["service"]["total"] for one in pair], *[sum(one["rules"].values()) for one in pair]))
    mean, off = noise([ours - other for _, ours, other, _, _ in pairs])
    if as_json:
        click.echo(json.dumps({"scenario": told.name, "vs": vs, "pairs": pairs, "mean": mean, "noise": off}))
        return
    click.echo(f"{told.name}: the design against {vs}\n  seed  design  {vs}")
    for seed, ours, other, *broken in pairs:
        click.echo(f"  {seed:4d}  {ours:6.3f}  {other:6.3f}" + (f"  breaches: {broken[0]}, {broken[1]}" if any(broken) else ""))
    click.echo(f"  difference {mean:+.3f}, give or take {off:.3f}")
