"""What a proxy knows of txns' keys: how often each comes, and in which order backends stand for it.  No decisions.

The order is the same at every proxy, by key and id alone: who comes or goes moves its own keys and no others.
"""

from collections import Counter
from hashlib import blake2b

from sloeferry.core.histogram import Histogram

SPLIT = 1.5  # a key fills this part of a backend's due at the most: 1 / 1.5
OFTEN = 400  # txns over which keys are counted, halved then


class Keys:
    def __init__(self):
        self.counts, self.total, self.orders = Counter(), 0, {}
        self.knew, self.new = Histogram(1.0, 200, [0.5] * 8), Histogram(1.0, 200, [1.0] * 8)
        self.known = 0.5  # the part of its time that a txn takes where its key is likely known

    def learn(self, kept, ratio):
        """What it took against what was expected, at a backend that stands for its key or elsewhere."""
        (self.knew if kept else self.new).add(ratio)
        self.known = min(1.0, self.knew.at(0.5) / self.new.at(0.5))

    def met(self, key):
        if not key:  # none: nothing to tell apart
            return
        self.counts[key] += 1
        self.total += 1
        if self.total > OFTEN:
            self.counts = Counter({k: n / 2 for k, n in self.counts.items() if n > 1})
            self.total = sum(self.counts.values())

    def part(self, key):
        """Of all txns, those with this key, as far as this proxy has seen; 1 for the first one met."""
        return self.counts[key] / max(1, self.total)

    def keepers(self, key, backends):
        """Who is likely to have met this key: the first in each zone, more of them the more often it comes."""
        if not key:
            return ()
        often = SPLIT * self.part(key)
        return [b for row in self.order(key, backends) for b in row[: 1 + int(often * len(row))]]

    def order(self, key, backends):
        """The backends of each zone in this key's order; forgotten when the list changes (`orders`)."""
        if key not in self.orders:
            if len(self.orders) >= 4 * OFTEN:  # keys are ever new: what is not asked for again is forgotten
                self.orders.clear()
            rows = {}
            for b in sorted(backends, key=lambda b: blake2b(f"{key} {b.ident}".encode(), digest_size=8).digest()):
                rows.setdefault(b.zone, []).append(b)
            self.orders[key] = tuple(rows.values())
        return self.orders[key]
