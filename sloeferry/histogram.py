"""How things measured are spread: a type that the decision module counts in.  No decisions."""
from math import log2


class Histogram:
    """A few coarse bins, two to a doubling, halved now and then so that the past fades."""
    BINS, BELOW = 22, 10             # from a 32nd of the unit to some 45 times it

    def __init__(self, unit, keep, guesses=()):
        self.unit, self.keep, self.count = unit, keep, 0.0
        self.bins, self.read = [0.0] * self.BINS, {}     # what `at` has worked out since the last figure
        for guess in guesses:
            self.add(guess)

    def add(self, figure):
        self.read.clear()
        if self.count >= self.keep:
            self.bins = [n / 2 for n in self.bins]
            self.count /= 2
        at = int(2 * log2(max(figure, 1e-6) / self.unit) + self.BELOW + 0.5)
        self.bins[max(0, min(self.BINS - 1, at))] += 1
        self.count += 1

    def at(self, part):
        """The figure that this part of all lie under."""
        if part not in self.read:
            self.read[part] = self.find(self.count * part)
        return self.read[part]

    def find(self, want):
        for at, n in enumerate(self.bins):
            if n and want <= n:
                return self.unit * 2 ** ((at + want / n - self.BELOW - 0.5) / 2)
            want -= n
        return self.unit * 2 ** ((self.BINS - self.BELOW) / 2)

    def under(self, figure):
        """The part of all that lies under this figure."""
        if figure <= 0:
            return 0.0
        at = 2 * log2(figure / self.unit) + self.BELOW + 0.5
        full = max(0, min(self.BINS, int(at)))
        more = self.bins[full] * (at - full) if 0 <= at < self.BINS else 0
        return (sum(self.bins[:full]) + more) / max(self.count, 1)
