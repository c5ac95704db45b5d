"""`sloeferry load`: what is typed, checked and handed on."""

import json

import click

from sloeferry.load_testing import cases as hard
from sloeferry.load_testing import day as days
from sloeferry.load_testing import plan as p
from sloeferry.load_testing import step as s
from sloeferry.load_testing.play import Rig, play
from sloeferry.load_testing.proxies import tree_of, workshop


def common(command):
    """Options of every play."""
    for option in reversed(
        (
            click.option(
                "--cores",
                type=click.FloatRange(0.0, 1.0),
                default=0.7,
                show_default=True,
                help="Share of a core a daemon gets; 0: no throttle.",
            ),
            click.option("--daemons", type=click.IntRange(1, 4), default=1, show_default=True),
            click.option("--workers", type=click.IntRange(1, 6), default=2, show_default=True, help="Caller processes at least."),
            click.option("--seed", type=int, default=1, show_default=True),
            click.option("--retries", type=click.IntRange(0, 5), default=1, show_default=True),
            click.option(
                "--fresh",
                type=click.FloatRange(0, 1),
                default=0.0,
                show_default=True,
                help="Share of txns on a connection of their own.",
            ),
            click.option(
                "--connections",
                type=click.IntRange(1, 20000),
                default=320,
                show_default=True,
                help="Connections that all callers may hold.",
            ),
            click.option(
                "--work-ms",
                type=click.FloatRange(0, 1000),
                default=4.0,
                show_default=True,
                help="Mean work of a stand-in backend.",
            ),
            click.option("--target", help="host:port of a proxy that runs already; loopback only."),
            click.option("--json", "as_json", is_flag=True, help="The figures as JSON."),
        )
    ):
        command = option(command)
    return command


def laid(cores, daemons, workers, seed, retries, fresh, connections, work_ms, target):
    """Plan and rig of the common options."""
    if target and not target.startswith("127."):
        raise p.LoadPlanError(f"--target: {target!r} is no loopback address")
    habits = p.Habits(retries=retries, fresh=fresh, connections=connections)
    return p.Plan(((1.0, 0.0),), seed, habits=habits), Rig(cores or None, daemons, workers, work_ms=work_ms, target=target)


def plain(said):
    return {key: value for key, value in said.items() if not callable(value)}


@click.group()
def load():
    """Open-loop load on loopback: find saturation, play beyond it, compare with an earlier revision."""


@load.command()
@click.option("--curve", default="5:300", show_default=True, help="seconds:rate,seconds:rate,...")
@common
def run(curve, as_json, **options):
    """Plays one curve."""
    plan, rig = laid(**options)
    said = play(s.replace(plan, curve=p.parse_curve(curve)), rig)
    click.echo(json.dumps(plain(said)) if as_json else f"{s.HEAD}\n{s.line(1, said, 'now')}")


@load.command()
@click.option("--saturation", type=float, help="Txns a second; unset, it is searched for.")
@click.option("--factors", default=",".join(f"{f:g}" for f in s.FACTORS), show_default=True)
@click.option("--seconds", type=click.FloatRange(2, 600), default=6.0, show_default=True, help="Of each play.")
@click.option("--against", metavar="REV", help="An earlier revision, played in turn.")
@click.option("--pairs", type=click.IntRange(1, 20), default=1, show_default=True)
@click.option("--plot", type=click.Path(dir_okay=False, writable=True), help="Draws the curve as SVG.")
@common
def step(saturation, factors, seconds, against, pairs, plot, as_json, **options):
    """Finds saturation, then plays multiples of it."""
    plan, rig = laid(**options)
    try:
        factors = [float(text) for text in factors.split(",")]
    except ValueError:
        raise p.LoadPlanError(f"--factors: {factors!r} is no list of numbers") from None

    def say(text):
        click.echo(text, err=as_json)

    with workshop() as folder:
        rate = saturation or s.saturation(plan, rig, say)
        say(f"saturation: {rate:.0f} txns a second")
        say(s.HEAD)
        rows = s.steps(plan, rig, rate, factors, seconds, pairs, tree_of(against, folder) if against else None, say)
    held, cost, good = s.held(rows), s.ratios(rows, "cpu_us"), s.ratios(rows, "in_time")
    say("goodput over its best: " + ", ".join(f"{factor:g}x {part:.2f}" for factor, part in held.items()))
    for name, pairs_of in (("cpu a txn", cost), ("goodput", good)):
        for factor, (low, middle, high) in pairs_of.items():
            say(f"{name} at {factor:g}x, now over then: {middle:.2f} ({low:.2f} to {high:.2f})")
    if plot:
        s.plot(rows, plot, f"Goodput past saturation ({rate:.0f} a second), simulated backends")
    if as_json:
        click.echo(
            json.dumps(
                {
                    "saturation": rate,
                    "held": held,
                    "cpu": cost,
                    "goodput": good,
                    "rows": [(factor, [plain(f) for f in own], [plain(f) for f in other]) for factor, own, other in rows],
                }
            )
        )


@load.command()
@click.argument("name", type=click.Choice(["all", *hard.CASES]))
@click.option("--saturation", type=float, required=True, help="Txns a second.")
@common
def case(name, saturation, as_json, **options):
    """Plays hard cases and prints how long each took to recover."""
    plan, rig = laid(**options)
    for one in hard.CASES if name == "all" else [name]:
        said = hard.run(one, plan, rig, saturation)
        if as_json:
            click.echo(json.dumps(plain(said) | {"case": one}))
        else:
            back = "never" if said["recovery"] is None else f"{said['recovery']:.0f} s"
            click.echo(
                f"{one:14} back after {back:>6}; gain {said['gain']:.2f}, lost {said['lost']:.0f}/s, overdue "
                f"{said['overdue']:.0f}/s, undecided {said.get('undecided', 0)}   ({hard.CASES[one].about})"
            )


@load.command()
@click.argument("name", type=click.Choice(["all", *days.PARTS]))
def day(name):
    """Measures what operators do: calls under load, processes replaced, long answers, waiting connections."""
    for one in days.PARTS if name == "all" else [name]:
        click.echo(json.dumps({one: days.measure(one)}))
