"""Predicts the latency of attempts by request class, endpoint load and endpoint slowdown, with its distribution."""

from bisect import bisect
from math import inf

from sloeferry.policy.arrivals import ArrivalRate
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.extension_points import ExtensionPoints
from sloeferry.policy.histogram import Histogram
from sloeferry.policy.interface import AttemptOutcome
from sloeferry.policy.key_affinity import KeyAffinity
from sloeferry.policy.load_reporting import REPORT_MAX_AGE_MS, LoadReporting
from sloeferry.policy.request_classes import RequestClasses
from sloeferry.policy.requests import Attempt, Request
from sloeferry.policy.slow_start import SlowStart

# Load estimates are grouped into coarse levels; each bound separates two adjacent levels.
LOAD_LEVELS = (0, 1, 2, 3, 5, 8, 13)
LOAD_LEVEL_BOUNDS = (0.5, 1.5, 2.5, 3.4, 4.8, 6.7)
# Attempts after which a level's histogram is halved, and the least attempts for it to be used.
LEVEL_SAMPLES, MIN_LEVEL_SAMPLES = 60, 3
SPREAD_SAMPLES = 400
LONGEST_LATENCY_QUANTILE = 0.98
OVERDUE_QUANTILE, MIN_OVERDUE_FACTOR = 0.9, 3.0
MIN_ENDPOINT_SAMPLES = 6  # attempts from which on an endpoint's measured slowdown replaces the minimum assumed in its warm-up
SLOWDOWN_HALF_LIFE_MS = 4 * REPORT_MAX_AGE_MS
HIGH_RATE_SAMPLING_INTERVAL = 3  # at high arrival rates one attempt in three is a sufficient sample


class LatencyModel:
    """The expected latency of attempts, learned from those that ended."""

    def __init__(
        self,
        classes: RequestClasses,
        arrivals: ArrivalRate,
        slow_start: SlowStart,
        affinity: KeyAffinity,
        extensions: ExtensionPoints,
        reporting: LoadReporting,
    ):
        self._classes = classes
        self._arrivals = arrivals
        self._slow_start = slow_start
        self._affinity = affinity
        self._extensions = extensions
        self._is_report_age_unknown = reporting.is_report_age_unknown
        self._checks_load_per_request = bool(reporting.health_checks_per_request)
        self._sample_index = 0
        self.level_ratios = [Histogram(1.0, LEVEL_SAMPLES) for _ in LOAD_LEVELS]
        self.level_slowdowns = [1.0 + level for level in LOAD_LEVELS]  # latency at each load level, relative to the typical one
        self.spread = Histogram(1.0, SPREAD_SAMPLES, [0.5, 0.7, 1.0, 1.4, 2.0])  # of measured to expected latency
        self.refresh()

    def refresh(self) -> None:
        """Recompute the slowdown of each load level, the longest latency and the factor at which an attempt is overdue."""
        self.longest_ms = max([each.typical_latency_ms() for each in self._classes.all]) * self.spread.quantile(
            LONGEST_LATENCY_QUANTILE
        )
        self.overdue_factor = max(MIN_OVERDUE_FACTOR, self.spread.quantile(OVERDUE_QUANTILE))
        # At high arrival rates, slowdowns learned from late attempts at startup would keep all requests from being sent, and so
        # would never be corrected.
        self._refresh_level_slowdowns(
            is_growth_bounded=self._checks_load_per_request and self._arrivals.is_faster_than_health_checks()
        )

    def _refresh_level_slowdowns(self, is_growth_bounded: bool) -> None:
        """Recompute the slowdown of each load level.

        A level without enough samples is extrapolated from the level below, in proportion to the requests in flight.  Level 0
        is learned as well unless the age of reports is unknown: then an endpoint at level 0 may not be idle.
        """
        below = 0.0
        for level, latency_ratios in enumerate(self.level_ratios):
            extrapolated = below * (LOAD_LEVELS[level] + 1) / (LOAD_LEVELS[level - 1] + 1) if level else 1.0
            learned = extrapolated
            if latency_ratios.count >= MIN_LEVEL_SAMPLES and (level or not self._is_report_age_unknown):
                learned = max(latency_ratios.quantile(0.5), below)
            below = self.level_slowdowns[level] = (
                extrapolated if is_growth_bounded and level and extrapolated < learned else learned
            )

    def slowdown(self, endpoint: Endpoint, now: float) -> float:
        """Return the endpoint's latency relative to the typical one: as measured, or at least as its warm-up suggests."""
        if endpoint.latency_ratios.count < MIN_ENDPOINT_SAMPLES:
            fraction = self._slow_start.warm_up_fraction(endpoint, now)
            if fraction < 1.0:
                return max(endpoint.slowdown, 1 / fraction)
        # A learned slowdown decays, since an endpoint found slow would otherwise never be tried again.
        return endpoint.decayed_slowdown(0.5 ** ((now - endpoint.learned_at) / SLOWDOWN_HALF_LIFE_MS))

    def learn(
        self,
        request: Request,
        attempt: Attempt,
        took_ms: float,
        now: float,
        ready: list[Endpoint],
        outcome: AttemptOutcome = AttemptOutcome.SERVED,
    ) -> None:
        """Update the latencies of the request's class, of the endpoint and of all attempts.

        The attempt learned from was served, given up or rejected.
        """
        self._sample_index = (self._sample_index + 1) % HIGH_RATE_SAMPLING_INTERVAL
        if (
            self._sample_index
            and self._arrivals.is_faster_than_health_checks()
            or self._extensions.is_overloaded()
            or request.is_at_fault()
        ):
            return
        typical_ms, level, endpoint = (
            request.typical_latency_ms(),
            bisect(LOAD_LEVEL_BOUNDS, attempt.estimate_when_sent),
            attempt.endpoint,
        )
        unadjusted_ms = took_ms
        if request.affinity_key:  # normalises the latency to that of a request without a key
            is_affine = endpoint in self._affinity.affine_endpoints(request.affinity_key, ready)
            self._affinity.learn(is_affine, took_ms / (typical_ms * self.level_slowdowns[level]))
            took_ms /= self._affinity.affine_ratio if is_affine else 1.0
        endpoint.learn(took_ms / (typical_ms * self.level_slowdowns[level]), self.spread, now)
        if self._slow_start.warm_up_fraction(endpoint, now) < 1.0:  # its latency says nothing about load levels elsewhere
            return
        if outcome is AttemptOutcome.SERVED if self._is_report_age_unknown else level == 0:
            latency_ms = took_ms * self.level_slowdowns[0] / self.level_slowdowns[level] / request.relative_size
            request.request_class.idle_latency.add(latency_ms)
        self.level_ratios[level].add(took_ms / typical_ms)
        self.spread.add(unadjusted_ms / attempt.expected_ms)
        self.refresh()

    def overdue_after_ms(self, request: Request, expected_ms: float, min_ms: float) -> float:
        """Return the time after which an attempt of this expected latency is overdue, at most the latency objective."""
        return min(request.request_class.objective_ms, max(min_ms, self.overdue_factor * expected_ms))

    def review_after_ms(self, expected_ms: float, may_hedge: bool) -> float:
        """Return the time after which an attempt that is still in flight is reviewed."""
        # Where hedging is allowed, a review does not have to cancel the attempt to replace it, so that it may come earlier.
        return min(self.longest_ms, 3 * expected_ms if may_hedge else inf)
