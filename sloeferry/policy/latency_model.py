"""How long an attempt takes: at an idle endpoint, at a loaded one, at a slow one, and how that spreads."""

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

# Load estimates are told apart by coarse levels; the bounds lie between one level and the next.
LOAD_LEVELS = (0, 1, 2, 3, 5, 8, 13)
LOAD_LEVEL_BOUNDS = (0.5, 1.5, 2.5, 3.4, 4.8, 6.7)
LEVEL_SAMPLES, MIN_LEVEL_SAMPLES = 60, 3  # attempts after which a level's histogram is halved; from which on it is believed
SPREAD_SAMPLES = 400
LONGEST_QUANTILE = 0.98
OVERDUE_QUANTILE, MIN_OVERDUE_FACTOR = 0.9, 3.0
MIN_ENDPOINT_SAMPLES = 6  # attempts from which on an endpoint's own latency goes before the least of its warm-up
SLOWDOWN_HALF_LIFE_MS = 4 * REPORT_MAX_AGE_MS
RUSH_SAMPLING = 3  # in a rush one attempt of three teaches as much


class LatencyModel:
    """What attempts are expected to take."""

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
        self._can_ask = bool(reporting.health_checks_per_request)
        self._sample = 0
        self.level_ratios = [Histogram(1.0, LEVEL_SAMPLES) for _ in LOAD_LEVELS]
        self.stretch = [1.0 + level for level in LOAD_LEVELS]  # how much longer an attempt takes at each level
        self.spread = Histogram(1.0, SPREAD_SAMPLES, [0.5, 0.7, 1.0, 1.4, 2.0])  # of what attempts took against the expected
        self.refresh()

    def refresh(self) -> None:
        """Works out anew what is usual and from when on an attempt is overdue."""
        self.longest_ms = max([each.typical_latency_ms() for each in self._classes.all]) * self.spread.quantile(LONGEST_QUANTILE)
        self.overdue_factor = max(MIN_OVERDUE_FACTOR, self.spread.quantile(OVERDUE_QUANTILE))
        # In a rush, what a late start taught would keep all requests from being sent, and so from better knowledge.
        self._refresh_stretch(is_growth_bounded=self._can_ask and self._arrivals.is_faster_than_health_checks())

    def _refresh_stretch(self, is_growth_bounded: bool) -> None:
        """A level that was not met yet grows from the one below as a full endpoint's would.

        Level 0 is known to be idle unless the age of reports is unknown.
        """
        below = 0.0
        for at, ratios in enumerate(self.level_ratios):
            guess = below * (LOAD_LEVELS[at] + 1) / (LOAD_LEVELS[at - 1] + 1) if at else 1.0
            learned = guess
            if ratios.count >= MIN_LEVEL_SAMPLES and (at or not self._is_report_age_unknown):
                learned = max(ratios.quantile(0.5), below)
            below = self.stretch[at] = guess if is_growth_bounded and at and guess < learned else learned

    def slowdown(self, endpoint: Endpoint, now: float) -> float:
        """How much longer than usual an attempt takes at the endpoint: as measured, or the least that its warm-up says."""
        if endpoint.latency_ratios.count < MIN_ENDPOINT_SAMPLES:
            fraction = self._slow_start.warm_up_fraction(endpoint, now)
            if fraction < 1.0:
                return max(endpoint.slowdown, 1 / fraction)
        # What was slow is believed ever less, or it would never be tried again.
        return endpoint.slowdown_believed(0.5 ** ((now - endpoint.learned_at) / SLOWDOWN_HALF_LIFE_MS))

    def learn(
        self,
        request: Request,
        attempt: Attempt,
        took_ms: float,
        now: float,
        ready: list[Endpoint],
        outcome: AttemptOutcome = AttemptOutcome.SERVED,
    ) -> None:
        """What an attempt that was served (or given up) tells of its class, its endpoint and all attempts."""
        self._sample = (self._sample + 1) % RUSH_SAMPLING
        if (
            self._sample
            and self._arrivals.is_faster_than_health_checks()
            or self._extensions.is_overloaded()
            or request.is_at_fault()
        ):
            return
        typical, level, endpoint = (
            request.typical_latency_ms(),
            bisect(LOAD_LEVEL_BOUNDS, attempt.estimate_when_sent),
            attempt.endpoint,
        )
        unadjusted_ms = took_ms
        if request.affinity_key:  # against what it would take without a key
            is_affine = endpoint in self._affinity.affine_endpoints(request.affinity_key, ready)
            self._affinity.learn(is_affine, took_ms / (typical * self.stretch[level]))
            took_ms /= self._affinity.affine_ratio if is_affine else 1.0
        endpoint.learn(took_ms / (typical * self.stretch[level]), self.spread, now)
        if self._slow_start.warm_up_fraction(endpoint, now) < 1.0:  # that it takes long tells of no queue elsewhere
            return
        if outcome is AttemptOutcome.SERVED if self._is_report_age_unknown else level == 0:
            latency_ms = took_ms * self.stretch[0] / self.stretch[level] / request.relative_size
            request.request_class.idle_latency.add(latency_ms)
        self.level_ratios[level].add(took_ms / typical)
        self.spread.add(unadjusted_ms / attempt.expected_ms)
        self.refresh()

    def overdue_after_ms(self, request: Request, expected_ms: float, min_ms: float) -> float:
        """After how long an attempt that is expected to take so long is overdue; no longer than the latency objective."""
        return min(request.request_class.objective_ms, max(min_ms, self.overdue_factor * expected_ms))

    def review_after_ms(self, expected_ms: float, may_hedge: bool) -> float:
        """After how long an attempt that is still out is looked at."""
        return min(self.longest_ms, 3 * expected_ms if may_hedge else inf)
