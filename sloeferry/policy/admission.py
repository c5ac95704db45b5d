"""Admission control: sends requests that can meet their latency objective, holds those that may soon, and rejects the others."""

from math import inf

from sloeferry.policy.endpoint_selection import EndpointSelector
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.load_refresh import LoadRefresher
from sloeferry.policy.models import Models
from sloeferry.policy.request_table import RequestTable
from sloeferry.policy.requests import Request
from sloeferry.policy.retry_policy import RetryPolicy
from sloeferry.policy.timers import Timers

# Of the probability that an idle endpoint answers in time: below it, the endpoint's queue is too long.
IDLE_PROBABILITY_RATIO = 0.75
MIN_SUCCESS_PROBABILITY = 0.05
# A request is held for a quarter of its latency objective, scaled by its weight relative to the mean.
MAX_HOLD_RATIO, MAX_RELATIVE_WEIGHT = 1 / 4, 2.0
MAX_MISSES_PER_REVIEW = 3  # the next review goes on after that many held requests without a suitable endpoint
MAX_SEARCHES_WHEN_LATE = 9
REVIEWS_PER_OBJECTIVE = 20
AT_FAULT_PAUSE_OBJECTIVES = 4  # latency objectives until the next attempt of a class or tenant that is at fault


class AdmissionController:
    """Holds requests for a short time and sends those of the highest weight per millisecond of work first."""

    def __init__(
        self,
        timers: Timers,
        requests: RequestTable,
        retries: RetryPolicy,
        selector: EndpointSelector,
        models: Models,
        load_refresher: LoadRefresher,
    ):
        self._timers = timers
        self._requests = requests
        self._retries = retries
        self._selector = selector
        self._load = models.load
        self._latency = models.latency
        self._table = models.table
        self._classes = models.classes
        self._arrivals = models.arrivals
        self._load_refresher = load_refresher
        reporting = models.reporting
        self._has_health_check_reports = bool(reporting.health_checks_per_request) or reporting.reports_only_with_health_checks
        self._max_lateness_ms = models.check_timeout_ms / 2
        self.held: list[Request] = []
        self._is_review_scheduled = False

    def admit(self, request: Request, now: float) -> None:
        """Hold a request and review all that are held."""
        self.held.append(request)
        self.review(now)

    def review(self, now: float) -> None:
        """Send the requests that are likely to be answered in time, the highest weight per millisecond of work first.

        A request is given up if it was held for too long, exceeds the expected capacity, has a class or tenant that is at fault
        and may not send another attempt yet, or would no longer be answered in time even by an idle endpoint.
        """
        still_held: list[Request] = []
        misses = searches = 0
        max_searches = MAX_SEARCHES_WHEN_LATE if self._is_host_late() else inf
        self.held.sort(key=lambda request: (-request.weight / request.typical_latency_ms(), request.objective_at))
        mean_weight = self._classes.mean_weight or 1.0
        for request in self.held:
            objective_ms = request.request_class.objective_ms
            pause_ms = AT_FAULT_PAUSE_OBJECTIVES * objective_ms
            if any(tracker.must_wait(now, pause_ms) for tracker in request.trackers):
                self._requests.give_up(request)
            if request.is_answered:
                continue
            max_held_ms = objective_ms * MAX_HOLD_RATIO * min(MAX_RELATIVE_WEIGHT, request.weight / mean_weight)
            has_waited = now - request.arrived_at > max_held_ms
            may_search = misses < MAX_MISSES_PER_REVIEW or has_waited and searches < max_searches
            searches += may_search
            if not self._send_or_give_up(request, now, may_search, has_waited):
                misses += 1
                still_held.append(request)
        self._give_up_excess(still_held)
        self.held = still_held
        if still_held and not self._is_review_scheduled:
            self._is_review_scheduled = True
            next_review = now + still_held[0].request_class.objective_ms / REVIEWS_PER_OBJECTIVE
            self._timers.schedule(next_review, self._review_periodically)

    def _is_host_late(self) -> bool:
        """Return whether the host fires timers so late that it has no time for further searches."""
        return self._timers.lateness_ms > self._max_lateness_ms

    def _send_or_give_up(self, request: Request, now: float, may_search: bool, has_waited: bool) -> bool:
        """Send the request, give it up, or leave it held; return False if it stays held."""
        endpoint, probability, expected_ms = self._selector.choose(request, now) if may_search else (None, 0.0, 0.0)
        slowdown = self._latency.slowdown(endpoint, now) if endpoint else 1.0
        idle_ms = request.typical_latency_ms() * self._latency.level_slowdowns[0] * slowdown
        spread = self._latency.spread
        min_probability = IDLE_PROBABILITY_RATIO * spread.fraction_below(request.request_class.objective_ms / idle_ms)
        if endpoint is not None:
            is_likely_in_time = probability >= min_probability and probability > MIN_SUCCESS_PROBABILITY
            if (
                is_likely_in_time
                or self._is_uninformed(endpoint, now)
                and self._load.may_send_without_reports(self._selector.candidates.all)
            ):
                self._retries.send(request, endpoint, now, expected_ms)
                return True
        if may_search and has_waited or spread.fraction_below((request.objective_at - now) / idle_ms) < min_probability:
            self._requests.give_up(request)
            return True
        return False

    def _is_uninformed(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether only an attempt can show the endpoint's load.

        That is so where requests arrive faster than health checks are answered, and where no health check brings load
        reports and the latest report is old.
        """
        if self._arrivals.is_faster_than_health_checks():
            return True
        return not self._has_health_check_reports and now - endpoint.reported_at > self._load.report_half_life_ms

    def _give_up_excess(self, still_held: list[Request]) -> None:
        """Give up the last requests beyond what the endpoints complete while a request may be held, by Little's law."""
        in_flight = sum(endpoint.own_in_flight for endpoint in self._table.active.values()) if still_held else 0
        while len(still_held) > 1:
            last_class = still_held[-1].request_class
            if len(still_held) <= 1 + in_flight * last_class.objective_ms / 4 / last_class.typical_latency_ms():
                return
            self._requests.give_up(still_held.pop())

    def _review_periodically(self, now: float) -> None:
        self._is_review_scheduled = False
        if self.held and self._timers.lateness_ms < self._max_lateness_ms:  # else this proxy has no time for health checks
            self._load_refresher.refresh(now)
        self.review(now)
