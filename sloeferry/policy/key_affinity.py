"""Key affinity: the endpoints that have probably cached a request's key, and so answer the request faster.

Endpoints are ordered for a key by rendezvous hashing of the key and the endpoint id, which gives the same order at every proxy.
An endpoint that is added or removed moves its own keys and no others.
"""

from collections import Counter
from collections.abc import Hashable, Sequence
from hashlib import blake2b

from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.histogram import Histogram

SPREAD_FACTOR = 1.5  # a key takes at most 1 / 1.5 of an endpoint's share of the requests
COUNTED_REQUESTS = 400  # requests after which the counts of keys are halved
MAX_CACHED_RANKINGS = 4 * COUNTED_REQUESTS
RATIO_SAMPLES = 200
HASH_BYTES = 8


class KeyAffinity:
    """The frequency of each key and the endpoints that are affine to it."""

    def __init__(self):
        self._counts: Counter = Counter()
        self._total = 0.0
        self._ranked_by_key: dict[Hashable, tuple[list[Endpoint], ...]] = {}
        self._ratios_at_affine = Histogram(1.0, RATIO_SAMPLES, [0.5] * 8)
        self._ratios_at_others = Histogram(1.0, RATIO_SAMPLES, [1.0] * 8)
        self.affine_ratio = 0.5  # latency at an affine endpoint relative to others

    def learn(self, is_affine: bool, ratio: float) -> None:
        """Record an attempt that took `ratio` times the expected latency, at an affine endpoint or at another."""
        (self._ratios_at_affine if is_affine else self._ratios_at_others).add(ratio)
        self.affine_ratio = min(1.0, self._ratios_at_affine.quantile(0.5) / self._ratios_at_others.quantile(0.5))

    def count(self, key: Hashable) -> None:
        """Count a request with this key; a key of 0 means none."""
        if not key:
            return
        self._counts[key] += 1
        self._total += 1
        if self._total > COUNTED_REQUESTS:
            self._counts = Counter({each: number / 2 for each, number in self._counts.items() if number > 1})
            self._total = sum(self._counts.values())

    def affine_endpoints(self, key: Hashable, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints affine to this key: the first of each zone, and more of each for a frequent key."""
        if not key:
            return ()
        share = SPREAD_FACTOR * (self._counts[key] / max(1, self._total))
        return [endpoint for zone in self._ranked(key, endpoints) for endpoint in zone[: 1 + int(share * len(zone))]]

    def forget_rankings(self) -> None:
        """Drop the cached order of endpoints for each key, after a change of the endpoint list."""
        self._ranked_by_key.clear()

    def _ranked(self, key: Hashable, endpoints: Sequence[Endpoint]) -> tuple[list[Endpoint], ...]:
        """Return the endpoints of each zone in this key's order."""
        if key not in self._ranked_by_key:
            if len(self._ranked_by_key) >= MAX_CACHED_RANKINGS:  # the number of distinct keys is unbounded
                self._ranked_by_key.clear()
            by_zone: dict[Hashable, list[Endpoint]] = {}
            for endpoint in sorted(endpoints, key=lambda each: _rank(key, each)):
                by_zone.setdefault(endpoint.zone, []).append(endpoint)
            self._ranked_by_key[key] = tuple(by_zone.values())
        return self._ranked_by_key[key]


def _rank(key: Hashable, endpoint: Endpoint) -> bytes:
    return blake2b(f"{key} {endpoint.endpoint_id}".encode(), digest_size=HASH_BYTES).digest()
