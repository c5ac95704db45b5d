"""Selects the endpoint of each attempt: the lowest load estimate wins, ties are broken at random.

The exceptions to that rule are:
- an endpoint whose queue alone takes most of the latency objective is skipped (`OVERLOAD_LATENCY_RATIO`);
- a slow endpoint, or one behind a bad path, ranks worse than its estimate (`LoadEstimator.rank`, `path_quality`);
- an endpoint that has probably cached the request's key ranks better (`KeyAffinity`);
- a long request goes where it is expected to finish first (`LONG_WORK_RATIO`);
- where new connections are often refused, endpoints with an open one are preferred (`HIGH_UNREACHABLE_RATE`);
- an endpoint in another zone is selected only where the gain exceeds the cost of crossing zones.
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

# An endpoint counts as overloaded where an attempt is expected to take more than this ratio of the latency objective
# and more than this multiple of its latency at an idle endpoint: sending it there would only add to the overload.
OVERLOAD_LATENCY_RATIO, OVERLOAD_SLOWDOWN = 0.55, 1.5
LONG_WORK_RATIO = 0.3  # of the latency objective
# Rate of failed connects above which an endpoint without an open connection ranks worse: its rank is scaled by the inverse of the
# probability that a connect succeeds, which is assumed to be at least the second value.
HIGH_UNREACHABLE_RATE, MIN_CONNECT_PROBABILITY = 0.1, 0.05
# Ratio of the mean request weight that each queue position costs the requests behind it.
QUEUE_POSITION_COST = 0.1


class Choice(NamedTuple):
    """The endpoint chosen for an attempt."""

    endpoint: Endpoint | None  # None where no endpoint may get the attempt
    success_probability: float = 0.0  # of an answer within the latency objective
    expected_ms: float = 0.0


NO_CHOICE = Choice(None)


class _RankedEndpoint(NamedTuple):
    """The endpoint with the lowest rank in a group."""

    endpoint: Endpoint
    expected_ms: float
    is_overloaded: bool
    rank: float


class EndpointSelector:
    """Selects the endpoint of each attempt."""

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
        self.checks_load_per_request = bool(models.reporting.health_checks_per_request)
        self._classes = models.classes
        self._arrivals = models.arrivals
        self._is_report_age_unknown = models.reporting.is_report_age_unknown
        self._cross_zone_cost = settings.costs.cross_zone

    def choose(self, request: Request, now: float, excluded: Collection[Endpoint] = ()) -> Choice:
        """Return the endpoint for the request's next attempt, leaving out the excluded ones."""
        self.candidates.refresh(now)
        search = _Search(self, request, now, excluded)
        best, best_value, lowest_rank = None, 0.0, inf
        for endpoints in search.endpoint_groups():
            # Remote endpoints are not searched where even a success probability of 1 would not pay for crossing zones.
            if best and not self._is_report_age_unknown and (1 - best_value) * request.weight <= self._crossing_cost():
                break
            group_best = search.group_best(endpoints) if endpoints else None
            if group_best is None:
                continue
            success_probability = 0.0
            if not group_best.is_overloaded:
                success_probability = self.latency.spread.fraction_below((request.objective_at - now) / group_best.expected_ms)
            value = success_probability * group_best.endpoint.path_quality
            if best is None or (value - best_value) * request.weight > self._crossing_cost(lowest_rank - group_best.rank):
                best, best_value = group_best, value
            lowest_rank = min(lowest_rank, group_best.rank)
        if best is None:
            return NO_CHOICE
        return Choice(best.endpoint, best_value / best.endpoint.path_quality, best.expected_ms)

    def _crossing_cost(self, saved_positions: float = 0.0) -> float:
        """Return the cost of an attempt in another zone, as request weight.

        Where endpoints can't be health-checked for load, the queue positions saved are deducted, since other requests wait there.
        """
        saved_cost = QUEUE_POSITION_COST * saved_positions if self._is_report_age_unknown and saved_positions < inf else 0.0
        return (self._cross_zone_cost - saved_cost) * self._classes.mean_weight

    def may_send_uninformed(self) -> bool:
        """Return whether requests arrive too fast for health checks and too few are in flight to bring load reports."""
        return self._arrivals.is_faster_than_health_checks() and self.load.may_send_without_reports(self.candidates.all)

    def skips_overloaded(self) -> bool:
        """Return whether overloaded endpoints are skipped.

        Requests that trigger health checks skip them, unless only the requests themselves can bring load reports.
        """
        return not self.may_send_uninformed() and self.checks_load_per_request


class _Search:
    """The search for one attempt's endpoint, with its inputs and the decisions it caches."""

    __slots__ = (
        "_selector",
        "_request",
        "_now",
        "_excluded",
        "_work_ms",
        "_overload_ms",
        "_is_retry",
        "_is_long",
        "_affine_endpoints",
        "_connect_probability",
        "_skips_overloaded",
    )

    def __init__(self, selector: EndpointSelector, request: Request, now: float, excluded: Collection[Endpoint]):
        self._selector = selector
        self._request = request
        self._now = now
        self._excluded = excluded
        request_class = request.request_class
        self._work_ms = request.typical_latency_ms()
        self._overload_ms = OVERLOAD_LATENCY_RATIO * request_class.objective_ms
        self._is_retry = bool(request.attempts)
        idle_ms = self._work_ms * selector.latency.level_slowdowns[0]
        self._is_long = request_class.mean_cost_hint and idle_ms > LONG_WORK_RATIO * request_class.objective_ms
        self._affine_endpoints = selector.affinity.affine_endpoints(request.affinity_key, selector.table.ready)
        connect_failure_rate = selector.outliers.unreachable_rate
        self._connect_probability = (
            max(MIN_CONNECT_PROBABILITY, 1 - connect_failure_rate) if connect_failure_rate > HIGH_UNREACHABLE_RATE else 1.0
        )
        self._skips_overloaded: bool | None = None  # None until first needed

    def endpoint_groups(self) -> tuple[Sequence[Endpoint], Sequence[Endpoint]]:
        """Return the local and the remote endpoints to select from: the candidates and the endpoints affine to the key."""
        candidates = self._selector.candidates
        if not self._affine_endpoints or not candidates.all:
            return candidates.local, candidates.remote
        added = [
            each
            for each in self._affine_endpoints
            if each.endpoint_id not in candidates.ejected_endpoint_ids and each not in candidates.all
        ]
        local_zone = self._selector.candidates.local_zone
        return (
            candidates.local + [each for each in added if each.zone == local_zone],
            candidates.remote + [each for each in added if each.zone != local_zone],
        )

    def group_best(self, endpoints: Sequence[Endpoint]) -> _RankedEndpoint | None:
        """Return the endpoint with the lowest rank, ties broken at random; None where none may get the attempt."""
        selector, now, work_ms, affine_endpoints = self._selector, self._now, self._work_ms, self._affine_endpoints
        estimate_of, slowdown_of, rank_of = selector.load.estimate, selector.latency.slowdown, selector.load.rank
        level_slowdowns, is_within_budget = selector.latency.level_slowdowns, selector.slow_start.may_send
        warm_if_started_by = now - selector.slow_start.duration_ms
        lowest, ties = inf, []
        for endpoint in endpoints:
            if (endpoint.class_ejections or self._is_retry) and not self._is_eligible(endpoint):
                continue
            estimate, slowdown = estimate_of(endpoint, now), slowdown_of(endpoint, now)
            key_ratio = selector.affinity.affine_ratio if endpoint in affine_endpoints else 1.0
            expected_ms = work_ms * slowdown * key_ratio * level_slowdowns[bisect(LOAD_LEVEL_BOUNDS, estimate)]
            is_overloaded = (
                expected_ms > self._overload_ms
                and expected_ms > OVERLOAD_SLOWDOWN * work_ms * slowdown * key_ratio * level_slowdowns[0]
            )
            if is_overloaded:
                if self._skips_overloaded is None:
                    self._skips_overloaded = selector.skips_overloaded()
                if self._skips_overloaded:
                    continue
            # The comparison of start times spares the call for the many endpoints that are warm.
            if endpoint.started_at > warm_if_started_by and not is_within_budget(endpoint, now, work_ms):
                continue
            has_connection = endpoint.own_in_flight < endpoint.open_connections
            quality = endpoint.path_quality * (1.0 if has_connection else self._connect_probability)
            rank = expected_ms / quality if self._is_long else rank_of(estimate, slowdown, key_ratio / quality)
            if rank < lowest:
                lowest, ties = rank, [(endpoint, expected_ms, is_overloaded)]
            elif rank == lowest:
                ties.append((endpoint, expected_ms, is_overloaded))
        return _RankedEndpoint(*selector.rng.choice(ties), lowest) if ties else None

    def _is_eligible(self, endpoint: Endpoint) -> bool:
        """Return whether the request's next attempt may go to the endpoint.

        It may not if the endpoint is ejected for the request's class, nor, for a retry, if it is excluded or unsafe to retry at.
        """
        if endpoint.is_ejected_for(self._request.request_class, self._now):
            return False
        if not self._is_retry:
            return True
        return endpoint not in self._excluded and self._selector.rules.would_deduplicate(self._request, endpoint)
