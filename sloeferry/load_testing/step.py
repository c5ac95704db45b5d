"""Finds saturation, then plays shares and multiples of it; alone, or in turn with an earlier revision."""

from dataclasses import replace
from statistics import median

from sloeferry.load_testing.plan import LoadPlanError, Plan
from sloeferry.load_testing.play import Rig, play

FACTORS = (0.5, 1.0, 1.5, 2.0, 4.0, 8.0)
GOOD = 0.95  # share in time that a rate under saturation has
SHORT, LEAST, MOST = 4.0, 50.0, 20000.0  # seconds of a play in the search; rates that it keeps between


def flat(plan: Plan, rate: float, seconds: float) -> Plan:
    return replace(plan, curve=((seconds, rate),))


def rig_for(rig: Rig, rate: float) -> Rig:
    """Workers enough for a rate: one sends some 1,500 txns a second without running late itself."""
    return replace(rig, workers=max(rig.workers, min(5, 1 + int(rate // 1500))))


def saturation(plan: Plan, rig: Rig, say=lambda text: None) -> float:
    """The highest rate found at which GOOD of the txns are answered in time, by doubling and halving the gap."""

    def good(rate):
        said = play(flat(plan, rate, SHORT), rig_for(rig, rate))
        share = said["in_time"] / max(1e-9, said["offered"])
        say(f"  {rate:7.0f} a second: {share:6.1%} in time")
        return share >= GOOD

    low, high = 0.0, 200.0
    while good(high):
        low, high = high, high * 1.6
        if high > MOST:
            return low
    while high - low > 0.06 * high and high > LEAST:
        middle = (low + high) / 2
        low, high = (middle, high) if good(middle) else (low, middle)
    if not low:
        raise LoadPlanError(f"saturation: fewer than {LEAST:.0f} txns a second are answered in time")
    return low


def steps(plan: Plan, rig: Rig, rate: float, factors=FACTORS, seconds=6.0, pairs=1, against=None, say=lambda text: None):
    """Rows of (factor, figures, figures of the other tree): each factor played `pairs` times, A B A B."""
    rows = []
    for factor in factors:
        own, other = [], []
        for at in range(pairs):
            shaped = replace(flat(plan, rate * factor, seconds), seed=plan.seed + at)
            own.append(play(shaped, rig_for(rig, rate * factor)))
            say(line(factor, own[-1], "now"))
            if against:
                other.append(play(shaped, rig_for(replace(rig, tree=str(against)), rate * factor)))
                say(line(factor, other[-1], "then"))
        rows.append((factor, own, other))
    return rows


HEAD = "  factor       offered  in time declined    late    lost  unsent    p50    p99  p99.9  decl.  cpu/txn  lag50  lag99"


def line(factor, said, name):
    return (
        f"  {factor:<5g} {name:>5} {said['offered']:8.0f} {said['in_time']:8.0f} {said['declined']:8.0f} "
        f"{said['late'] + said['overdue']:7.0f} {said['lost']:7.0f} {said['unsent']:7.0f} {said['p50']:6.1f} "
        f"{said['p99']:6.1f} {said['p99.9']:6.1f} {said['decline_p50']:6.1f} {said.get('cpu_us', 0):7.0f}us "
        f"{said.get('lag_p50', 0):6.1f} {said.get('lag_p99', 0):6.1f}"
    )


def held(rows):
    """Goodput of each factor over the best of all: what overload leaves of it."""
    best = max(median(f["in_time"] for f in own) for _, own, _ in rows)
    return {factor: median(f["in_time"] for f in own) / max(best, 1e-9) for factor, own, _ in rows}


def ratios(rows, key):
    """By factor: (least, median, most) of the pairs' ratios, now over then."""
    said = {}
    for factor, own, other in rows:
        pairs = sorted(a[key] / b[key] for a, b in zip(own, other) if b.get(key))
        if pairs:
            said[factor] = (pairs[0], median(pairs), pairs[-1])
    return said


def plot(rows, path, title):
    """Goodput over offered load, one line a tree, as SVG."""
    import pygal

    chart = pygal.XY(
        title=title,
        x_title="offered, txns a second",
        y_title="in time, txns a second",
        width=820,
        height=460,
        js=[],
        dots_size=4,
        legend_at_bottom=True,
    )
    for name, at in (("now", 1), ("then", 2)):
        points = [(median(f["offered"] for f in row[at]), median(f["in_time"] for f in row[at])) for row in rows if row[at]]
        if points:
            chart.add(name, sorted(points))
    chart.render_to_file(path)
