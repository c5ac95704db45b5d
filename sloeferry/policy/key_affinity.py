"""Which endpoints are likely to know a request's key, so that they answer it sooner.

The order in which endpoints stand for a key is the same at every proxy, by key and endpoint id alone (rendezvous hashing):
an endpoint that comes or goes moves its own keys and no others.
"""

from collections import Counter
from collections.abc import Hashable, Sequence
from hashlib import blake2b

from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.histogram import Histogram

SPREAD_FACTOR = 1.5  # a key fills at most 1 / 1.5 of an endpoint's part of the requests
COUNTED_REQUESTS = 400  # over which keys are counted; then the counts are halved
MAX_REMEMBERED_KEYS = 4 * COUNTED_REQUESTS
RATIO_SAMPLES = 200
HASH_BYTES = 8


class KeyAffinity:
    """How often each key comes, and which endpoints stand for it."""

    def __init__(self):
        self._counts: Counter = Counter()
        self._total = 0.0
        self._ranked_by_key: dict[Hashable, tuple[list[Endpoint], ...]] = {}
        self._ratios_at_affine = Histogram(1.0, RATIO_SAMPLES, [0.5] * 8)
        self._ratios_elsewhere = Histogram(1.0, RATIO_SAMPLES, [1.0] * 8)
        self.affine_ratio = 0.5  # of its usual time, that a request takes where its key is likely known

    def learn(self, is_affine: bool, ratio: float) -> None:
        """An attempt took `ratio` times what was expected, at an endpoint that stands for its key or elsewhere."""
        (self._ratios_at_affine if is_affine else self._ratios_elsewhere).add(ratio)
        self.affine_ratio = min(1.0, self._ratios_at_affine.quantile(0.5) / self._ratios_elsewhere.quantile(0.5))

    def count(self, key: Hashable) -> None:
        """A request with that key has come; 0 is no key."""
        if not key:
            return
        self._counts[key] += 1
        self._total += 1
        if self._total > COUNTED_REQUESTS:
            self._counts = Counter({k: n / 2 for k, n in self._counts.items() if n > 1})
            self._total = sum(self._counts.values())

    def affine_endpoints(self, key: Hashable, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """The endpoints that are likely to know this key: the first of each zone, more of them the more often it comes."""
        if not key:
            return ()
        share = SPREAD_FACTOR * (self._counts[key] / max(1, self._total))
        return [one for zone in self._ranked(key, endpoints) for one in zone[: 1 + int(share * len(zone))]]

    def forget_rankings(self) -> None:
        """The list of endpoints has changed."""
        self._ranked_by_key.clear()

    def _ranked(self, key: Hashable, endpoints: Sequence[Endpoint]) -> tuple[list[Endpoint], ...]:
        """The endpoints of each zone in this key's order."""
        if key not in self._ranked_by_key:
            if len(self._ranked_by_key) >= MAX_REMEMBERED_KEYS:  # keys are ever new
                self._ranked_by_key.clear()
            by_zone: dict[Hashable, list[Endpoint]] = {}
            for endpoint in sorted(endpoints, key=lambda each: _rank(key, each)):
                by_zone.setdefault(endpoint.zone, []).append(endpoint)
            self._ranked_by_key[key] = tuple(by_zone.values())
        return self._ranked_by_key[key]


def _rank(key: Hashable, endpoint: Endpoint) -> bytes:
    return blake2b(f"{key} {endpoint.endpoint_id}".encode(), digest_size=HASH_BYTES).digest()
