"""A small decaying histogram with logarithmic bins."""

from collections.abc import Iterable
from math import log2
from typing import Any

BINS_PER_DOUBLING = 2
BINS_ABOVE_UNIT = 12  # up to about 45 times the unit
BINS_BELOW_UNIT = 10  # down to 1/32 of the unit
MANY_BINS_BELOW_UNIT = 30  # down to 1/32,768 of the unit, for latencies far below the latency objective
SMALLEST_VALUE = 1e-6
MAX_RESTORED_COUNT = 1e9  # per bin


class Histogram:
    """Counts values in a few coarse bins, all of which are halved each time `max_count` is reached, so that old values decay."""

    def __init__(self, unit: float, max_count: float, guesses: Iterable[float] = (), bins_below: int = BINS_BELOW_UNIT):
        self.unit = unit
        self.max_count = max_count
        self.count = 0.0
        self._bins_below = bins_below
        self._number_of_bins = bins_below + BINS_ABOVE_UNIT
        self._bins = [0.0] * self._number_of_bins
        self._lowest_used = self._number_of_bins  # all bins below it are empty
        self._quantiles: dict[float, float] = {}  # cached until the next value
        for guess in guesses:
            self.add(guess)

    def add(self, value: float) -> None:
        """Count one value."""
        self._quantiles.clear()
        if self.count >= self.max_count:
            self._bins = [bin_count / 2 for bin_count in self._bins]
            self.count /= 2
        index = int(BINS_PER_DOUBLING * log2(max(value, SMALLEST_VALUE) / self.unit) + self._bins_below + 0.5)
        index = max(0, min(self._number_of_bins - 1, index))
        self._lowest_used = min(self._lowest_used, index)
        self._bins[index] += 1
        self.count += 1

    def quantile(self, fraction: float) -> float:
        """Return the value below which this fraction of all values lie."""
        if fraction not in self._quantiles:
            self._quantiles[fraction] = self._value_at_rank(self.count * fraction)
        return self._quantiles[fraction]

    def _value_at_rank(self, rank: float) -> float:
        for index in range(self._lowest_used, self._number_of_bins):
            bin_count = self._bins[index]
            if bin_count and rank <= bin_count:
                return self.unit * 2 ** ((index + rank / bin_count - self._bins_below - 0.5) / BINS_PER_DOUBLING)
            rank -= bin_count
        return self.unit * 2 ** ((self._number_of_bins - self._bins_below) / BINS_PER_DOUBLING)

    def fraction_below(self, value: float) -> float:
        """Return the fraction of all values that lie below this one."""
        if value <= 0:
            return 0.0
        position = BINS_PER_DOUBLING * log2(value / self.unit) + self._bins_below + 0.5
        full_bins = max(0, min(self._number_of_bins, int(position)))
        part_of_bin = self._bins[full_bins] * (position - full_bins) if 0 <= position < self._number_of_bins else 0
        return (sum(self._bins[self._lowest_used : full_bins]) + part_of_bin) / max(self.count, 1)

    def to_list(self) -> list[float]:
        """Return the bins, for a snapshot."""
        return list(self._bins)

    def restore(self, bins: Any) -> "Histogram":
        """Restore the bins from a snapshot; raise ValueError if they are invalid."""
        if bins != [0.0] * self._number_of_bins and not self._are_bins(bins):
            raise ValueError("invalid histogram bins: expected one non-negative count per bin")
        self._bins = list(bins)
        self.count = float(sum(bins))
        self._quantiles = {}
        self._lowest_used = next((index for index, bin_count in enumerate(bins) if bin_count), self._number_of_bins)
        return self

    def _are_bins(self, bins: Any) -> bool:
        return (
            isinstance(bins, list)
            and len(bins) == self._number_of_bins
            and sum(bins) > 0
            and all(type(bin_count) in (int, float) and 0 <= bin_count < MAX_RESTORED_COUNT for bin_count in bins)
        )
