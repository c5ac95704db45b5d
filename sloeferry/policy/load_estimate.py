"""How many requests an endpoint holds now: its latest report, and this proxy's own attempts since."""

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

# Of the mean weight of a request: where a cross-zone attempt costs more, the zones are loaded apart.
ZONES_APART_COST = 0.01
NOTABLE_SLOWDOWN = 1.6  # from there on reports mislead: an endpoint so slow is rated worse than its load says
MIN_FADE_GAPS = 16  # gaps between requests: a few reports must not speak for all endpoints
SENDS_PER_REPORT_AGE = 8
RANK_DIGITS = 9  # rounded, or float noise would leave no ties
SHARED_PART_RATIO = 1 / 3  # where a proxy's part is below one request, a third of them keep it informed


class LoadEstimator:
    """The load estimate of each endpoint, and the mean load that stands for endpoints of which nothing is known."""

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
        self._are_zones_apart = settings.costs.cross_zone > ZONES_APART_COST
        # By whether the endpoint is in this proxy's own zone: [elsewhere, home].
        self.mean_load = [0.0, 0.0]
        self._mean_own_in_flight = [0.0, 0.0]
        self.turnover_ms = 1.0  # the typical latency of the quickest class: a full endpoint is less full by then
        self.fade_ms = 1.0  # half-life of a report that says an endpoint is loaded
        self._ready_count = 0

    def estimate(self, endpoint: Endpoint, now: float) -> float:
        """Requests in flight at the endpoint.

        The latest report of what others hold there, and this proxy's own attempts.  A report decays to the mean of fresh
        ones, by half in the time an attempt takes, and is void past `REPORT_MAX_AGE_MS`: else all proxies would send to
        the endpoint that looked empty last.
        """
        ended = endpoint.counted_until  # roughly in order: one behind a later end is counted until that
        while ended and ended[0] <= now:
            ended.pop(0)
        own = endpoint.own_in_flight + len(ended)
        age_ms = now - endpoint.reported_at
        mean = self.mean_load[endpoint.zone == self._fleet.zone]
        if endpoint.started_at > now - self._slow_start.duration_ms:
            slowdown = self._latency.slowdown(endpoint, now)
            if slowdown > NOTABLE_SLOWDOWN:  # of the load that all share, an endpoint that warms up holds less
                mean = max(0.0, (mean + 1) / slowdown - 1)
        if age_ms > REPORT_MAX_AGE_MS:
            return own + mean
        # One that looked empty fills at once, by all who heard of it; one that was full stays so while reports hold.
        half_life_ms = self.fade_ms if endpoint.others_in_flight > mean else self.turnover_ms
        return own + mean + (endpoint.others_in_flight - mean) * 0.5 ** (age_ms / half_life_ms)

    def rank(self, estimate: float, slowdown: float, factor: float = 1.0) -> float:
        """What endpoints are compared by: the estimate; worse for slow ones, whose reports mislead, and by `factor`."""
        return round((estimate + 1) * (slowdown if slowdown > NOTABLE_SLOWDOWN else 1.0) * factor - 1, RANK_DIGITS)

    def current_rank(self, endpoint: Endpoint, now: float) -> float:
        """The rank of an endpoint now."""
        return self.rank(self.estimate(endpoint, now), self._latency.slowdown(endpoint, now))

    def refresh(self, now: float, elapsed_ms: float, candidates: Sequence[Endpoint], ready_count: int) -> None:
        """Works out the mean load anew, `elapsed_ms` after the last time."""
        self._ready_count = ready_count
        self.turnover_ms = min([each.typical_latency_ms() for each in self._classes.all])
        self.fade_ms = REPORT_MAX_AGE_MS / 2 if self._is_report_age_unknown else self.turnover_ms
        reports = self._weighted_reports(now, candidates)
        for is_home in (False, True):
            # Where crossing zones is dear they are loaded apart: a full home zone must not make the others look full.
            these = [each for each in reports if each[2] == is_home or not self._are_zones_apart]
            # Not heard of and never tried, a zone with room would stay so: it counts as empty until it reports.
            these = these or (reports if is_home or not self._is_report_age_unknown else [])
            mean = 0.0
            if these:
                mean = sum(weight * load for weight, load, _ in these) / sum(each[0] for each in these)
            self.mean_load[is_home] = mean
            if self._is_report_age_unknown:
                self._raise_mean_by_own(is_home, elapsed_ms)

    def _weighted_reports(self, now: float, candidates: Sequence[Endpoint]) -> list[tuple[float, float, bool]]:
        """(weight by age, load, whether at home) of each report that is not too old; warm endpoints' if there are any."""
        half_life_ms = max(self.fade_ms, MIN_FADE_GAPS * self._arrivals.mean_gap_ms)
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

    def _raise_mean_by_own(self, is_home: bool, elapsed_ms: float) -> None:
        """What takes long reports late: what this proxy has out tells before it, if all proxies do alike."""
        out = sum(
            each.own_in_flight + len(each.counted_until)
            for each in self._table.active.values()
            if (each.zone == self._fleet.zone) == is_home
        )
        weight = 1 - 0.5 ** (SENDS_PER_REPORT_AGE * elapsed_ms / REPORT_MAX_AGE_MS)
        self._mean_own_in_flight[is_home] += (out - self._mean_own_in_flight[is_home]) * weight
        other_proxies_per_endpoint = (self._fleet.instance_count - 1) / max(self._ready_count, 1)
        by_own = self._mean_own_in_flight[is_home] * other_proxies_per_endpoint
        self.mean_load[is_home] = max(self.mean_load[is_home], by_own)

    def may_send_uninformed(self, candidates: Collection[Endpoint]) -> bool:
        """Whether to send although nothing is known: less is out than this proxy's part of one request an endpoint.

        Only what is sent brings reports then.  Where their age is unknown it draws from `rng`, so that a part of the
        requests is sent.
        """
        if not self._is_report_age_unknown:
            out = sum(each.own_in_flight for each in candidates)
            return out < max(1, self._ready_count / self._fleet.instance_count)
        out = sum(each.own_in_flight + len(each.counted_until) for each in self._table.active.values())
        if out >= max(1, self._ready_count / self._fleet.instance_count):
            return False
        return self._rng.random() < SHARED_PART_RATIO
