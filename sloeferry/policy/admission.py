"""Admission: a request that can meet its latency objective is sent, one that may meet it soon is held, others are rejected."""

from math import inf

from sloeferry.policy.endpoint_selection import EndpointSelector
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.load_refresh import LoadRefresher
from sloeferry.policy.models import Models
from sloeferry.policy.request_table import RequestTable
from sloeferry.policy.requests import Request
from sloeferry.policy.retry_policy import RetryPolicy
from sloeferry.policy.timers import Timers

# Of the odds at an idle endpoint: with less than that the queue is too long.
GOOD_ODDS_RATIO = 0.75
MIN_ODDS = 0.05
# A request is held for a quarter of its latency objective, longer or shorter by its weight against the mean.
HOLD_RATIO, MAX_RELATIVE_WEIGHT = 1 / 4, 2.0
MAX_MISSES = 3  # after so many held requests without a good endpoint the next event looks further
MAX_SEARCHES_WHEN_LATE = 9
REVIEWS_PER_OBJECTIVE_HELD = 20
AT_FAULT_PAUSE_OBJECTIVES = 4  # latency objectives until the next attempt of a kind that is at fault


class AdmissionController:
    """Holds requests for a short while, the greatest weight first."""

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
        self._brings_news_by_asking = bool(reporting.health_checks_per_request) or reporting.comes_with_health_checks
        self._max_lateness_ms = models.check_timeout_ms / 2
        self.held: list[Request] = []
        self._is_review_scheduled = False

    def admit(self, request: Request, now: float) -> None:
        """Takes a request in."""
        self.held.append(request)
        self.review(now)

    def review(self, now: float) -> None:
        """Sends what has good odds, the greatest weight first; gives up what was held in vain or has no place."""
        kept: list[Request] = []
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
            max_held_ms = objective_ms * HOLD_RATIO * min(MAX_RELATIVE_WEIGHT, request.weight / mean_weight)
            has_waited = now - request.arrived_at > max_held_ms
            may_search = misses < MAX_MISSES or has_waited and searches < max_searches
            searches += may_search
            if not self._send_or_give_up(request, now, may_search, has_waited):
                misses += 1
                kept.append(request)
        self._give_up_those_without_place(kept)
        self.held = kept
        if kept and not self._is_review_scheduled:
            self._is_review_scheduled = True
            next_tick = now + kept[0].request_class.objective_ms / REVIEWS_PER_OBJECTIVE_HELD
            self._timers.schedule(next_tick, self._tick)

    def _is_host_late(self) -> bool:
        """Whether the host has no time to spare."""
        return self._timers.lateness_ms > self._max_lateness_ms

    def _send_or_give_up(self, request: Request, now: float, may_search: bool, has_waited: bool) -> bool:
        """Whether the request was sent or given up; otherwise it is held."""
        endpoint, odds, expected_ms = self._selector.choose(request, now) if may_search else (None, 0.0, 0.0)
        slowdown = self._latency.slowdown(endpoint, now) if endpoint else 1.0
        idle_ms = request.typical_latency_ms() * self._latency.stretch[0] * slowdown
        spread = self._latency.spread
        good_odds = GOOD_ODDS_RATIO * spread.fraction_below(request.request_class.objective_ms / idle_ms)
        if endpoint is not None:
            has_good_odds = odds >= good_odds and odds > MIN_ODDS
            if has_good_odds or self._is_blind(endpoint, now) and self._load.may_send_uninformed(self._selector.candidates.all):
                self._retries.send(request, endpoint, now, expected_ms)
                return True
        if may_search and has_waited or spread.fraction_below((request.objective_at - now) / idle_ms) < good_odds:
            self._requests.give_up(request)
            return True
        return False

    def _is_blind(self, endpoint: Endpoint, now: float) -> bool:
        """Whether no endpoint is asked and nothing was heard of this one of late: only what is sent brings news."""
        if self._arrivals.is_faster_than_health_checks():
            return True
        return not self._brings_news_by_asking and now - endpoint.reported_at > self._load.fade_ms

    def _give_up_those_without_place(self, kept: list[Request]) -> None:
        """No more are held than can hope for a place: what ends at the endpoints while a request may wait."""
        out = sum(endpoint.own_in_flight for endpoint in self._table.active.values()) if kept else 0
        while len(kept) > 1:
            last = kept[-1].request_class
            if len(kept) <= 1 + out * last.objective_ms / 4 / last.typical_latency_ms():
                return
            self._requests.give_up(kept.pop())

    def _tick(self, now: float) -> None:
        self._is_review_scheduled = False
        if self.held and self._timers.lateness_ms < self._max_lateness_ms:  # else this proxy has no time to ask
            self._load_refresher.refresh(now)
        self.review(now)
