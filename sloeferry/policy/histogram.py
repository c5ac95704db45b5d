"""A small fading histogram on a logarithmic scale."""

from collections.abc import Iterable
from math import log2
from typing import Any

BINS_PER_DOUBLING = 2
BINS_ABOVE_UNIT = 12  # up to some 45 times the unit
BINS_BELOW_UNIT = 10  # down to a 32nd of it
MANY_BINS_BELOW_UNIT = 30  # down to a 32,768th of it, for work far below its latency objective
SMALLEST_VALUE = 1e-6
MAX_RESTORED_COUNT = 1e9  # of one bin


class Histogram:
    """Counts values in a few coarse bins; all are halved each time `max_count` is reached, so that the past fades."""

    def __init__(self, unit: float, max_count: float, guesses: Iterable[float] = (), bins_below: int = BINS_BELOW_UNIT):
        self.unit = unit
        self.max_count = max_count
        self.count = 0.0
        self._bins_below = bins_below
        self._size = bins_below + BINS_ABOVE_UNIT
        self._bins = [0.0] * self._size
        self._lowest = self._size  # no bin below it holds anything
        self._quantiles: dict[float, float] = {}  # worked out since the last value came
        for guess in guesses:
            self.add(guess)

    def add(self, value: float) -> None:
        """Counts one value."""
        self._quantiles.clear()
        if self.count >= self.max_count:
            self._bins = [bin_count / 2 for bin_count in self._bins]
            self.count /= 2
        at = int(BINS_PER_DOUBLING * log2(max(value, SMALLEST_VALUE) / self.unit) + self._bins_below + 0.5)
        at = max(0, min(self._size - 1, at))
        self._lowest = min(self._lowest, at)
        self._bins[at] += 1
        self.count += 1

    def quantile(self, fraction: float) -> float:
        """The value that this fraction of all lie under."""
        if fraction not in self._quantiles:
            self._quantiles[fraction] = self._find(self.count * fraction)
        return self._quantiles[fraction]

    def _find(self, rank: float) -> float:
        for at in range(self._lowest, self._size):
            bin_count = self._bins[at]
            if bin_count and rank <= bin_count:
                return self.unit * 2 ** ((at + rank / bin_count - self._bins_below - 0.5) / BINS_PER_DOUBLING)
            rank -= bin_count
        return self.unit * 2 ** ((self._size - self._bins_below) / BINS_PER_DOUBLING)

    def fraction_below(self, value: float) -> float:
        """The fraction of all that lies under this value."""
        if value <= 0:
            return 0.0
        at = BINS_PER_DOUBLING * log2(value / self.unit) + self._bins_below + 0.5
        full = max(0, min(self._size, int(at)))
        partial = self._bins[full] * (at - full) if 0 <= at < self._size else 0
        return (sum(self._bins[self._lowest : full]) + partial) / max(self.count, 1)

    def to_list(self) -> list[float]:
        """The bins, for a snapshot."""
        return list(self._bins)

    def restore(self, bins: Any) -> "Histogram":
        """Takes over the bins of a snapshot; raises ValueError where they cannot be such."""
        if bins != [0.0] * self._size and not self._are_bins(bins):
            raise ValueError("no bins of a histogram")
        self._bins = list(bins)
        self.count = float(sum(bins))
        self._quantiles = {}
        self._lowest = next((at for at, bin_count in enumerate(bins) if bin_count), self._size)
        return self

    def _are_bins(self, bins: Any) -> bool:
        return (
            isinstance(bins, list)
            and len(bins) == self._size
            and sum(bins) > 0
            and all(type(bin_count) in (int, float) and 0 <= bin_count < MAX_RESTORED_COUNT for bin_count in bins)
        )
