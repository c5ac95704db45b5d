"""How things measured are spread: a type that the decision module counts in.  No decisions."""

from math import log2


class Histogram:
    """A few coarse bins, two to a doubling, halved now and then so that the past fades."""

    ABOVE = 12  # to some 45 times the unit
    BELOW, FAR_BELOW = 10, 30  # from a 32nd of it; from a 32,768th, for work far below its SLA time

    def __init__(self, unit, keep, guesses=(), below=BELOW):
        self.unit, self.keep, self.count = unit, keep, 0.0
        self.below, self.size = below, below + self.ABOVE
        self.bins, self.read = [0.0] * self.size, {}  # what `at` has worked out since the last figure
        self.low = self.size  # no bin below holds anything
        for guess in guesses:
            self.add(guess)

    def add(self, figure):
        self.read.clear()
        if self.count >= self.keep:
            self.bins = [n / 2 for n in self.bins]
            self.count /= 2
        at = int(2 * log2(max(figure, 1e-6) / self.unit) + self.below + 0.5)
        at = max(0, min(self.size - 1, at))
        self.low = min(self.low, at)
        self.bins[at] += 1
        self.count += 1

    def at(self, part):
        """The figure that this part of all lie under."""
        if part not in self.read:
            self.read[part] = self.find(self.count * part)
        return self.read[part]

    def find(self, want):
        for at in range(self.low, self.size):
            n = self.bins[at]
            if n and want <= n:
                return self.unit * 2 ** ((at + want / n - self.below - 0.5) / 2)
            want -= n
        return self.unit * 2 ** ((self.size - self.below) / 2)

    def under(self, figure):
        """The part of all that lies under this figure."""
        if figure <= 0:
            return 0.0
        at = 2 * log2(figure / self.unit) + self.below + 0.5
        full = max(0, min(self.size, int(at)))
        more = self.bins[full] * (at - full) if 0 <= at < self.size else 0
        return (sum(self.bins[self.low : full]) + more) / max(self.count, 1)

    def as_list(self):
        """The bins as they are, to be handed on."""
        return list(self.bins)

    def of_list(self, bins):
        """Bins handed on; raises ValueError where they can't be such."""
        if not (
            isinstance(bins, list)
            and len(bins) == self.size
            and sum(bins) > 0
            and all(type(n) in (int, float) and 0 <= n < 1e9 for n in bins)
        ):
            if bins != [0.0] * self.size:
                raise ValueError("no bins of a histogram")
        self.bins, self.count, self.read = list(bins), float(sum(bins)), {}
        self.low = next((at for at, n in enumerate(bins) if n), self.size)
        return self
