"""The four safety rules.  Nothing is sent, rejected or failed but through here.

1. Each request gets one final answer before its deadline, and nothing is sent for it after.
2. No effect twice: another attempt, or a rejection, only where every earlier attempt surely never ran or a repeat does no harm.
3. Nothing new to an endpoint that drains or is gone, nor by a list that is stale.
4. An endpoint that warms up is never pushed over (`slow_start.py`).
"""

from sloeferry.config.settings import DeduplicationGroup, Idempotency, Settings
from sloeferry.policy.endpoint_staleness import ListStaleness
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.interface import EndpointState, PolicyHost
from sloeferry.policy.models import Models
from sloeferry.policy.requests import Attempt, AttemptState, Request
from sloeferry.policy.timers import Timers

# Of the latency objective: what is back by then is in time, whatever was expected.
MIN_OVERDUE_RATIO = 0.125
LATENESS_MULTIPLE = 4  # of the host's lateness, which is not the endpoint's
OVERDUE_TICKS = 2


class SafetyRules:
    """Guards each attempt and each final answer of one policy."""

    def __init__(self, settings: Settings, host: PolicyHost, timers: Timers, staleness: ListStaleness, models: Models):
        self._host = host
        self._timers = timers
        self._staleness = staleness
        self._table = models.table
        self._slow_start = models.slow_start
        self._load = models.load
        self._latency = models.latency
        self._tick_ms = settings.tick_ms
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Takes over whether a second attempt may be out."""
        self.may_hedge = settings.limits.may_hedge

    def may_attempt(self, request: Request, now: float, instead_of: Attempt | None = None) -> bool:
        """Rules 1 and 2, whichever endpoint it goes to; `instead_of` is an attempt that is about to be cancelled."""
        if request.is_answered or now >= request.deadline or len(request.attempts) >= request.max_attempts:
            return False
        out = sum(each.state is AttemptState.IN_FLIGHT and each is not instead_of for each in request.attempts)
        return out <= self.may_hedge and self.may_repeat(request, now)

    def may_repeat(self, request: Request, now: float, before: int | None = None) -> bool:
        """Rule 2: of the attempts (before that number) none may have run, or a repeat does no harm."""
        maybe_run = request.attempts_that_may_have_run(before)
        request_class = request.request_class
        if not maybe_run or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return now < maybe_run[0].sent_at + request_class.deduplication_window_ms - self._tick_ms

    def would_deduplicate(self, request: Request, endpoint: Endpoint) -> bool:
        """Rule 2: whether the endpoint would know a repeat of this request, or there is none to know."""
        maybe_run, request_class = request.attempts_that_may_have_run(), request.request_class
        group = request_class.deduplication_group
        is_harmless = request_class.idempotency is Idempotency.IDEMPOTENT or group is DeduplicationGroup.ALL
        if not maybe_run or is_harmless:
            return True
        first = maybe_run[0].endpoint
        return endpoint.zone == first.zone if group is DeduplicationGroup.ZONE else endpoint.cell == first.cell

    def may_use(self, endpoint: Endpoint, now: float) -> bool:
        """Rule 3: the endpoint is known to run, does not drain, and the list is no older than it may be."""
        return endpoint.state is EndpointState.READY and self.is_list_usable(now)

    def is_list_usable(self, now: float) -> bool:
        """Rule 3: whether the list is young enough to send by."""
        return self._staleness.is_usable(now)

    def send(self, request: Request, endpoint: Endpoint, now: float, expected_ms: float) -> Attempt | None:
        """Begins an attempt; None where a rule forbids it."""
        work_ms = request.typical_latency_ms()
        if not (
            self.may_use(endpoint, now)
            and self.may_attempt(request, now)
            and self.would_deduplicate(request, endpoint)
            and self._slow_start.may_send(endpoint, now, work_ms)
        ):
            return None
        attempt = Attempt(request, endpoint, now, self._load.estimate(endpoint, now), expected_ms)
        request.attempts.append(attempt)
        attempt.track(now + self._overdue_after_ms(request, expected_ms))
        endpoint.own_in_flight += 1
        endpoint.unanswered_since = endpoint.unanswered_since or now
        self._table.activate(endpoint)
        self._slow_start.record_send(endpoint, now, work_ms)
        self._host.send_attempt(request.request_id, endpoint.endpoint_id)
        return attempt

    def _overdue_after_ms(self, request: Request, expected_ms: float) -> float:
        lateness_ms = LATENESS_MULTIPLE * self._timers.lateness_ms
        min_ms = MIN_OVERDUE_RATIO * request.request_class.objective_ms + lateness_ms + OVERDUE_TICKS * self._tick_ms
        return self._latency.overdue_after_ms(request, expected_ms, min_ms)

    def answer_unserved(self, request: Request, retry_after_ms: float = 0.0) -> None:
        """Rule 1: the one final answer of a request that no endpoint served; the caller closes the request.

        Rule 2: it is rejected only where trying again is harmless; otherwise it has failed.
        """
        if request.is_answered:
            return
        request_class = request.request_class
        is_deduplicated = request_class.idempotency is Idempotency.DEDUPLICATED
        if (
            not request.attempts_that_may_have_run()
            or request_class.idempotency is Idempotency.IDEMPOTENT
            or is_deduplicated
            and request_class.deduplication_group is DeduplicationGroup.ALL
        ):
            self._host.reject(request.request_id, retry_after_ms)
        else:
            self._host.fail(request.request_id)
