"""Report of runs at multiples of saturation: text lines, a JSON record and a plot."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import median
from typing import Any, NamedTuple

from sloeferry.load_testing.figures import LoadFigures

Metric = Callable[[LoadFigures], float | None]


class StepRuns(NamedTuple):
    """Runs at one multiple of saturation."""

    factor: float
    current: list[LoadFigures]
    earlier: list[LoadFigures]  # of the earlier revision


class RatioSpread(NamedTuple):
    """Ratios between paired runs."""

    minimum: float
    median: float
    maximum: float


HEADER = "  factor       offered  in time declined    late    lost  unsent    p50    p99  p99.9  decl.  cpu/txn  lag50  lag99"


def format_line(factor: float, figures: LoadFigures, name: str) -> str:
    """Format the figures of one run as a row below HEADER."""
    record = figures.as_json()
    return (
        f"  {factor:<5g} {name:>5} {record['offered']:8.0f} {record['in_time']:8.0f} {record['declined']:8.0f} "
        f"{record['late'] + record['overdue']:7.0f} {record['lost']:7.0f} {record['unsent']:7.0f} {record['p50']:6.1f} "
        f"{record['p99']:6.1f} {record['p99.9']:6.1f} {record['decline_p50']:6.1f} {record.get('cpu_us', 0):7.0f}us "
        f"{record.get('lag_p50', 0):6.1f} {record.get('lag_p99', 0):6.1f}"
    )


def goodput_to_best_ratios(rows: Sequence[StepRuns]) -> dict[float, float]:
    """Return, by factor, the ratio of goodput to the best goodput: the part that remains under overload."""
    goodputs = [median(figures.in_time_per_second for figures in row.current) for row in rows]
    best = max(*goodputs, 1e-9)
    return {row.factor: goodput / best for row, goodput in zip(rows, goodputs, strict=True)}


def ratios_to_earlier_revision(rows: Sequence[StepRuns], metric: Metric) -> dict[float, RatioSpread]:
    """Return, by factor, the spread of the ratios between pairs of runs.

    Factors without a pair of runs to compare are left out.
    """
    spreads = {}
    for row in rows:
        pairs = [(metric(current), metric(earlier)) for current, earlier in zip(row.current, row.earlier, strict=False)]
        ratios = sorted(current / earlier for current, earlier in pairs if current is not None and earlier)
        if ratios:
            spreads[row.factor] = RatioSpread(ratios[0], median(ratios), ratios[-1])
    return spreads


def draw_goodput(rows: Sequence[StepRuns], path: str, title: str) -> None:
    """Plot goodput over offered load as SVG, with one line per source tree."""
    import pygal

    chart = pygal.XY(
        title=title,
        x_title="offered, requests per second",
        y_title="served in time, requests per second",
        width=820,
        height=460,
        js=[],
        dots_size=4,
        legend_at_bottom=True,
    )
    for name in ("now", "then"):
        runs = [getattr(row, name) for row in rows if getattr(row, name)]
        points = [_median_point(each) for each in runs]
        if points:
            chart.add(name, sorted(points))
    chart.render_to_file(path)


def _median_point(runs: Sequence[LoadFigures]) -> tuple[float, float]:
    offered = median(figures.offered_per_second for figures in runs)
    return offered, median(figures.in_time_per_second for figures in runs)


@dataclass(frozen=True)
class StepReport:
    """Summary that `load step` prints at its end."""

    saturation: float
    rows: list[StepRuns]

    def _goodput_ratios(self) -> dict[float, float]:
        return goodput_to_best_ratios(self.rows)

    def _ratios(self, metric: Metric) -> dict[float, RatioSpread]:
        return ratios_to_earlier_revision(self.rows, metric)

    def cpu_ratios(self) -> dict[float, RatioSpread]:
        """Return the ratios of CPU time per request to the earlier revision, by factor."""
        return self._ratios(lambda figures: figures.cpu_us_per_request)

    def goodput_ratios(self) -> dict[float, RatioSpread]:
        """Return the ratios of goodput to the earlier revision, by factor."""
        return self._ratios(lambda figures: figures.in_time_per_second)

    def lines(self) -> list[str]:
        """Return the report as text lines."""
        held = ", ".join(f"{factor:g}x {ratio:.2f}" for factor, ratio in self._goodput_ratios().items())
        lines = [f"goodput over its best: {held}"]
        for name, spreads in (("cpu a txn", self.cpu_ratios()), ("goodput", self.goodput_ratios())):
            for factor, spread in spreads.items():
                lines.append(
                    f"{name} at {factor:g}x, now over then: {spread.median:.2f} ({spread.minimum:.2f} to {spread.maximum:.2f})"
                )
        return lines

    def as_json(self) -> dict[str, Any]:
        """Return the report as a JSON document."""
        return {
            "saturation": self.saturation,
            "held": self._goodput_ratios(),
            "cpu": self.cpu_ratios(),
            "goodput": self.goodput_ratios(),
            "rows": [(row.factor, _records(row.current), _records(row.earlier)) for row in self.rows],
        }


def _records(runs: Sequence[LoadFigures]) -> list[dict[str, Any]]:
    return [figures.as_json() for figures in runs]
