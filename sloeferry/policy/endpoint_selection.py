"""Which endpoint an attempt goes to: the lowest load estimate wins, ties at random.

Where that breaks, the smallest exception; each stands here by name:
- an endpoint whose queue alone takes most of the latency objective is passed over (`CROWDED_RATIO`);
- a slow endpoint, or one behind a bad path, is rated worse than its estimate (`LoadEstimator.rank`, `path_quality`);
- one that likely knows the request's key is rated better (`KeyAffinity`);
- a request of long work goes where it ends first (`LONG_WORK_RATIO`);
- where new connections are often refused, open ones go first (`NOTABLE_UNREACHABLE_RATE`);
- another zone is chosen only where what that gains exceeds what crossing costs.
"""

from bisect import bisect
from collections.abc import Collection, Sequence
from math import inf
from random import Random
from typing import NamedTuple

from sloeferry.config.settings import Settings
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.latency_model import LOAD_LEVEL_BOUNDS
from sloeferry.policy.models import Models
from sloeferry.policy.requests import Request
from sloeferry.policy.safety_rules import SafetyRules

# Of the latency objective: an attempt expected to take longer only overloads its endpoint,
# if it takes this many times as long as at an idle one.
CROWDED_RATIO, CROWDED_STRETCH = 0.55, 1.5
LONG_WORK_RATIO = 0.3  # of the latency objective
NOTABLE_UNREACHABLE_RATE, MIN_CONNECT_ODDS = 0.1, 0.05
# Of the mean weight of a request: what each place in a queue costs those behind it.
QUEUE_PLACE_COST = 0.1


class Choice(NamedTuple):
    """The endpoint chosen for an attempt."""

    endpoint: Endpoint | None  # None: there is none that may get it
    odds: float = 0.0  # that its answer comes within the latency objective
    expected_ms: float = 0.0


NO_CHOICE = Choice(None)


class _Leader(NamedTuple):
    """The lowest of one group of endpoints."""

    endpoint: Endpoint
    expected_ms: float
    is_crowded: bool
    rank: float


class EndpointSelector:
    """Chooses the endpoint of each attempt."""

    def __init__(self, settings: Settings, models: Models, rules: SafetyRules, rng: Random):
        self.table = models.table
        self.candidates = models.candidates
        self.load = models.load
        self.latency = models.latency
        self.affinity = models.affinity
        self.slow_start = models.slow_start
        self.outliers = models.outliers
        self.rules = rules
        self.rng = rng
        self.can_ask = bool(models.reporting.health_checks_per_request)
        self._classes = models.classes
        self._arrivals = models.arrivals
        self._is_report_age_unknown = models.reporting.is_report_age_unknown
        self._cross_zone_cost = settings.costs.cross_zone

    def choose(self, request: Request, now: float, excluded: Collection[Endpoint] = ()) -> Choice:
        """The endpoint for the request's next attempt, without the excluded ones."""
        self.candidates.refresh(now)
        search = _Search(self, request, now, excluded)
        best, best_value, lowest_rank = None, 0.0, inf
        for endpoints in search.groups():
            # Where not even certainty elsewhere would pay for crossing zones, the others need no look.
            if best and not self._is_report_age_unknown and (1 - best_value) * request.weight <= self._crossing_cost():
                break
            leader = search.leader(endpoints) if endpoints else None
            if leader is None:
                continue
            odds = 0.0
            if not leader.is_crowded:
                odds = self.latency.spread.fraction_below((request.objective_at - now) / leader.expected_ms)
            value = odds * leader.endpoint.path_quality
            if best is None or (value - best_value) * request.weight > self._crossing_cost(lowest_rank - leader.rank):
                best, best_value = leader, value
            lowest_rank = min(lowest_rank, leader.rank)
        if best is None:
            return NO_CHOICE
        return Choice(best.endpoint, best_value / best.endpoint.path_quality, best.expected_ms)

    def _crossing_cost(self, places_spared: float = 0.0) -> float:
        """What an attempt in another zone costs, in weight.

        Where no endpoint can be asked, the queue that is spared counts for it, too: others wait in it.
        """
        spared = QUEUE_PLACE_COST * places_spared if self._is_report_age_unknown and places_spared < inf else 0.0
        return (self._cross_zone_cost - spared) * self._classes.mean_weight

    def is_uninformed_in_rush(self) -> bool:
        """Whether requests come too fast to ask, and too little is out to learn from."""
        return self._arrivals.is_faster_than_health_checks() and self.load.may_send_uninformed(self.candidates.all)

    def passes_over_crowded(self) -> bool:
        """Whether crowded endpoints are passed over: where endpoints were just asked, unless this proxy knows too little."""
        return not self.is_uninformed_in_rush() and self.can_ask


class _Search:
    """The search for one attempt: its inputs, and what was decided on the way."""

    __slots__ = (
        "_selector",
        "_request",
        "_now",
        "_excluded",
        "_work_ms",
        "_crowded_ms",
        "_is_retry",
        "_is_long",
        "_affine_endpoints",
        "_connect_odds",
        "_passes_over_crowded",
    )

    def __init__(self, selector: EndpointSelector, request: Request, now: float, excluded: Collection[Endpoint]):
        self._selector = selector
        self._request = request
        self._now = now
        self._excluded = excluded
        request_class = request.request_class
        self._work_ms = request.typical_latency_ms()
        self._crowded_ms = CROWDED_RATIO * request_class.objective_ms
        self._is_retry = bool(request.attempts)
        idle_ms = self._work_ms * selector.latency.stretch[0]
        self._is_long = request_class.mean_cost_hint and idle_ms > LONG_WORK_RATIO * request_class.objective_ms
        self._affine_endpoints = selector.affinity.affine_endpoints(request.affinity_key, selector.table.ready)
        unreachable = selector.outliers.unreachable_rate
        self._connect_odds = max(MIN_CONNECT_ODDS, 1 - unreachable) if unreachable > NOTABLE_UNREACHABLE_RATE else 1.0
        self._passes_over_crowded: bool | None = None  # not decided yet

    def groups(self) -> tuple[Sequence[Endpoint], Sequence[Endpoint]]:
        """The endpoints to choose from, at home and elsewhere: candidates, and those that stand for the request's key."""
        candidates = self._selector.candidates
        if not self._affine_endpoints or not candidates.all:
            return candidates.home, candidates.elsewhere
        added = [
            each for each in self._affine_endpoints if each.endpoint_id not in candidates.ejected and each not in candidates.all
        ]
        home_zone = self._selector.candidates.home_zone
        return (
            candidates.home + [each for each in added if each.zone == home_zone],
            candidates.elsewhere + [each for each in added if each.zone != home_zone],
        )

    def leader(self, endpoints: Sequence[Endpoint]) -> _Leader | None:
        """The endpoint with the lowest rank, ties at random; None where none may get the attempt."""
        selector, now, work_ms, affine_endpoints = self._selector, self._now, self._work_ms, self._affine_endpoints
        estimate_of, slowdown_of, rank_of = selector.load.estimate, selector.latency.slowdown, selector.load.rank
        stretch, may_start = selector.latency.stretch, selector.slow_start.may_send
        warm_since = now - selector.slow_start.duration_ms
        lowest, ties = inf, []
        for endpoint in endpoints:
            if (endpoint.class_ejections or self._is_retry) and not self._may_get_it(endpoint):
                continue
            estimate, slowdown = estimate_of(endpoint, now), slowdown_of(endpoint, now)
            key_ratio = selector.affinity.affine_ratio if endpoint in affine_endpoints else 1.0
            expected_ms = work_ms * slowdown * key_ratio * stretch[bisect(LOAD_LEVEL_BOUNDS, estimate)]
            is_crowded = (
                expected_ms > self._crowded_ms and expected_ms > CROWDED_STRETCH * work_ms * slowdown * key_ratio * stretch[0]
            )
            if is_crowded:
                if self._passes_over_crowded is None:
                    self._passes_over_crowded = selector.passes_over_crowded()
                if self._passes_over_crowded:
                    continue
            # Few endpoints are warming up: a call costs time.
            if endpoint.started_at > warm_since and not may_start(endpoint, now, work_ms):
                continue
            has_connection = endpoint.own_in_flight < endpoint.open_connections
            quality = endpoint.path_quality * (1.0 if has_connection else self._connect_odds)
            rank = expected_ms / quality if self._is_long else rank_of(estimate, slowdown, key_ratio / quality)
            if rank < lowest:
                lowest, ties = rank, [(endpoint, expected_ms, is_crowded)]
            elif rank == lowest:
                ties.append((endpoint, expected_ms, is_crowded))
        return _Leader(*selector.rng.choice(ties), lowest) if ties else None

    def _may_get_it(self, endpoint: Endpoint) -> bool:
        """Not an endpoint ejected for the request's class; of a retry, only one that was not excluded and is safe."""
        if endpoint.is_ejected_for(self._request.request_class, self._now):
            return False
        if not self._is_retry:
            return True
        return endpoint not in self._excluded and self._selector.rules.would_deduplicate(self._request, endpoint)
