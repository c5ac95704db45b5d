"""Estimates the requests in flight at each endpoint from its latest load report and this proxy's own attempts."""

from collections.abc import Collection, Sequence
from random import Random

from sloeferry.config.settings import Settings
from sloeferry.policy.arrivals import ArrivalRate
from sloeferry.policy.endpoint_table import EndpointTable
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.fleet import FleetShare
from sloeferry.policy.latency_model import LatencyModel
from sloeferry.policy.load_reporting import REPORT_MAX_AGE_MS, LoadReporting
from sloeferry.policy.request_classes import RequestClasses
from sloeferry.policy.slow_start import SlowStart

# Ratio of the mean request weight: where a cross-zone attempt costs more than this, the mean load is kept per zone.
SEPARATE_ZONES_COST = 0.01
# Above this slowdown the reported load is misleading, so that the endpoint ranks worse than its load alone suggests.
NOTABLE_SLOWDOWN = 1.6
# Least half-life of a report's weight in the mean load, in gaps between requests: few reports don't represent all endpoints.
MIN_HALF_LIFE_GAPS = 16
OWN_LOAD_HALF_LIVES = 8  # half-lives of the mean of own requests in flight per `REPORT_MAX_AGE_MS`
RANK_DIGITS = 9  # ranks are rounded, since floating-point noise would leave no ties
# Ratio of requests sent without load reports where their age is unknown. It informs proxies whose share is below one request.
UNREPORTED_SEND_RATIO = 1 / 3


class LoadEstimator:
    """The load estimate of each endpoint, and the mean load assumed for endpoints without a valid report."""

    def __init__(
        self,
        settings: Settings,
        fleet: FleetShare,
        table: EndpointTable,
        classes: RequestClasses,
        latency: LatencyModel,
        slow_start: SlowStart,
        arrivals: ArrivalRate,
        reporting: LoadReporting,
        rng: Random,
    ):
        self._fleet = fleet
        self._table = table
        self._classes = classes
        self._latency = latency
        self._slow_start = slow_start
        self._arrivals = arrivals
        self._rng = rng
        self._is_report_age_unknown = reporting.is_report_age_unknown
        self._has_mean_per_zone = settings.costs.cross_zone > SEPARATE_ZONES_COST
        # Indexed by whether the endpoint is in this proxy's own zone: [remote, local].
        self.mean_load = [0.0, 0.0]
        self._mean_own_in_flight = [0.0, 0.0]
        # Typical latency of the fastest class, the time in which a loaded endpoint has finished some of its requests.
        self.shortest_latency_ms = 1.0
        self.report_half_life_ms = 1.0  # of a report of more load than the mean
        self._ready_count = 0

    def estimate(self, endpoint: Endpoint, now: float) -> float:
        """Return the estimated number of requests in flight at the endpoint.

        That is the latest report of the other proxies' requests plus this proxy's own attempts.  A report decays
        exponentially towards the mean of fresh ones, with a half-life of the fastest class's typical latency, or of half
        `REPORT_MAX_AGE_MS` for loaded endpoints where the age of reports is unknown.  It is ignored beyond
        `REPORT_MAX_AGE_MS`.  Without the decay all proxies would send to the endpoint that last reported itself idle.
        """
        # The times are roughly in order; an entry is dropped only after those before it.
        ended = endpoint.counted_in_flight_until
        while ended and ended[0] <= now:
            ended.pop(0)
        own = endpoint.own_in_flight + len(ended)
        age_ms = now - endpoint.reported_at
        mean = self.mean_load[endpoint.zone == self._fleet.zone]
        if endpoint.started_at > now - self._slow_start.duration_ms:
            slowdown = self._latency.slowdown(endpoint, now)
            if slowdown > NOTABLE_SLOWDOWN:  # an endpoint that warms up gets a smaller share of the load than warm ones
                mean = max(0.0, (mean + 1) / slowdown - 1)
        if age_ms > REPORT_MAX_AGE_MS:
            return own + mean
        # An endpoint reported as idle fills at once, since every proxy that got the report sends there. One reported as loaded
        # stays loaded for as long as other proxies act on that report.
        half_life_ms = self.report_half_life_ms if endpoint.others_in_flight > mean else self.shortest_latency_ms
        return own + mean + (endpoint.others_in_flight - mean) * 0.5 ** (age_ms / half_life_ms)

    def rank(self, estimate: float, slowdown: float, factor: float = 1.0) -> float:
        """Return the rank by which endpoints are compared, lowest first.

        It is the estimate, scaled by `factor` and by the slowdown of slow endpoints, whose reports are misleading.
        """
        return round((estimate + 1) * (slowdown if slowdown > NOTABLE_SLOWDOWN else 1.0) * factor - 1, RANK_DIGITS)

    def current_rank(self, endpoint: Endpoint, now: float) -> float:
        """Return the rank of an endpoint at the given time."""
        return self.rank(self.estimate(endpoint, now), self._latency.slowdown(endpoint, now))

    def refresh(self, now: float, elapsed_ms: float, candidates: Sequence[Endpoint], ready_count: int) -> None:
        """Recompute the mean load, `elapsed_ms` after the previous refresh."""
        self._ready_count = ready_count
        self.shortest_latency_ms = min([each.typical_latency_ms() for each in self._classes.all])
        self.report_half_life_ms = REPORT_MAX_AGE_MS / 2 if self._is_report_age_unknown else self.shortest_latency_ms
        reports = self._weighted_reports(now, candidates)
        for is_local in (False, True):
            # Where crossing zones is costly, zones differ in load: a loaded local zone must not make the others look loaded.
            zone_reports = [each for each in reports if each[2] == is_local or not self._has_mean_per_zone]
            # A remote zone without reports counts as idle until it reports: otherwise it would never be tried.
            zone_reports = zone_reports or (reports if is_local or not self._is_report_age_unknown else [])
            mean = 0.0
            if zone_reports:
                mean = sum(weight * load for weight, load, _ in zone_reports) / sum(each[0] for each in zone_reports)
            self.mean_load[is_local] = mean
            if self._is_report_age_unknown:
                self._raise_mean_to_own_load(is_local, elapsed_ms)

    def _weighted_reports(self, now: float, candidates: Sequence[Endpoint]) -> list[tuple[float, float, bool]]:
        """Return the weight by age, the load and whether it is local of each valid report, of warm endpoints if there are any."""
        half_life_ms = max(self.report_half_life_ms, MIN_HALF_LIFE_GAPS * self._arrivals.mean_gap_ms)
        reported = [each for each in candidates if now - each.reported_at <= REPORT_MAX_AGE_MS]
        warm = [each for each in reported if each.started_at <= now - self._slow_start.duration_ms]
        return [
            (
                2 ** ((each.reported_at - now) / half_life_ms),
                each.others_in_flight if warm else self.rank(each.others_in_flight, self._latency.slowdown(each, now)),
                each.zone == self._fleet.zone,
            )
            for each in warm or reported
        ]

    def _raise_mean_to_own_load(self, is_local: bool, elapsed_ms: float) -> None:
        """Raise the mean load to the one that this proxy's own requests in flight suggest.

        Long requests report late.  If all proxies send alike, this proxy's own requests in flight show the load earlier.
        """
        total_in_flight = sum(
            each.own_in_flight + len(each.counted_in_flight_until)
            for each in self._table.active.values()
            if (each.zone == self._fleet.zone) == is_local
        )
        weight = 1 - 0.5 ** (OWN_LOAD_HALF_LIVES * elapsed_ms / REPORT_MAX_AGE_MS)
        self._mean_own_in_flight[is_local] += (total_in_flight - self._mean_own_in_flight[is_local]) * weight
        other_proxies_per_endpoint = (self._fleet.instance_count - 1) / max(self._ready_count, 1)
        by_own_load = self._mean_own_in_flight[is_local] * other_proxies_per_endpoint
        self.mean_load[is_local] = max(self.mean_load[is_local], by_own_load)

    def may_send_without_reports(self, candidates: Collection[Endpoint]) -> bool:
        """Return whether to send although no load is known, since only requests bring load reports then.

        It is true while this proxy has fewer requests in flight than its share of one request per endpoint.  Where the age of
        reports is unknown, only a random part of the requests is sent.
        """
        if not self._is_report_age_unknown:
            total_in_flight = sum(each.own_in_flight for each in candidates)
            return total_in_flight < max(1, self._ready_count / self._fleet.instance_count)
        total_in_flight = sum(each.own_in_flight + len(each.counted_in_flight_until) for each in self._table.active.values())
        if total_in_flight >= max(1, self._ready_count / self._fleet.instance_count):
            return False
        return self._rng.random() < UNREPORTED_SEND_RATIO
