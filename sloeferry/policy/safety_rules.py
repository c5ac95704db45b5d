"""The four safety rules.  Every attempt, rejection and failure passes through this module.

1. Each request gets one final answer before its deadline, and nothing is sent for it afterwards.
2. No request takes effect twice: another attempt or a rejection requires that every earlier attempt certainly never ran, or
   that a repeat is harmless.
3. No new attempt goes to an endpoint that drains or is gone, or is sent by a stale endpoint list.
4. An endpoint that warms up is never overloaded (`slow_start.py`).
"""

from sloeferry.config.settings import DeduplicationGroup, Idempotency, Settings
from sloeferry.policy.endpoint_staleness import ListStaleness
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.interface import EndpointState, PolicyHost
from sloeferry.policy.models import Models
from sloeferry.policy.requests import Attempt, AttemptState, Request
from sloeferry.policy.timers import Timers

# An attempt is not overdue before this ratio of the latency objective, regardless of the expected latency.
MIN_OVERDUE_RATIO = 0.125
# Multiple of the host's timer lateness that is added, since that lateness must not count against the endpoint.
LATENESS_MULTIPLE = 4
OVERDUE_TICKS = 2


class SafetyRules:
    """Checks every attempt and every final answer of one policy against the safety rules."""

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
        """Apply the setting that allows a second attempt in flight."""
        self.may_hedge = settings.limits.may_hedge

    def may_attempt(self, request: Request, now: float, instead_of: Attempt | None = None) -> bool:
        """Return whether rules 1 and 2 allow another attempt at some endpoint.

        `instead_of` is an attempt that is about to be cancelled.
        """
        if request.is_answered or now >= request.deadline or len(request.attempts) >= request.max_attempts:
            return False
        in_flight = sum(each.state is AttemptState.IN_FLIGHT and each is not instead_of for each in request.attempts)
        return in_flight <= self.may_hedge and self.may_repeat(request, now)

    def may_repeat(self, request: Request, now: float, before: int | None = None) -> bool:
        """Return whether rule 2 allows a repeat: no earlier attempt may have run, or a repeat is harmless.

        `before` restricts the earlier attempts to those with a lower number.
        """
        possible_runs = request.attempts_that_may_have_run(before)
        request_class = request.request_class
        if not possible_runs or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return now < possible_runs[0].sent_at + request_class.deduplication_window_ms - self._tick_ms

    def would_deduplicate(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether the endpoint would deduplicate this request, or does not have to (rule 2)."""
        possible_runs, request_class = request.attempts_that_may_have_run(), request.request_class
        group = request_class.deduplication_group
        is_harmless = request_class.idempotency is Idempotency.IDEMPOTENT or group is DeduplicationGroup.ALL
        if not possible_runs or is_harmless:
            return True
        first = possible_runs[0].endpoint
        return endpoint.zone == first.zone if group is DeduplicationGroup.ZONE else endpoint.cell == first.cell

    def may_use(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether rule 3 allows the endpoint: it is ready, and the endpoint list is not stale."""
        return endpoint.state is EndpointState.READY and self.is_list_usable(now)

    def is_list_usable(self, now: float) -> bool:
        """Return whether the endpoint list is recent enough to send by (rule 3)."""
        return self._staleness.is_usable(now)

    def send(self, request: Request, endpoint: Endpoint, now: float, expected_ms: float) -> Attempt | None:
        """Send an attempt and return it, or return None where a rule forbids it."""
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
        """Send the only final answer of a request that no endpoint served (rule 1); the caller closes the request.

        The request is rejected only where a client's retry is harmless, and failed otherwise (rule 2).
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
