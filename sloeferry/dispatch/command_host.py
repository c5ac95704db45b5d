"""Implements the policy's host on sockets: queues its commands and keeps its timers in a heap, without decisions of its own."""

from collections.abc import Callable
from heapq import heapify, heappop, heappush

from sloeferry import environment
from sloeferry.dispatch.request_context import CommandQueue, RequestContext
from sloeferry.policy.interface import (
    CancelAttempt,
    EndpointId,
    Fail,
    PollEndpoints,
    Reject,
    RequestCommand,
    SendAttempt,
    SendHealthCheck,
)
from sloeferry.policy.policy import Policy

MIN_TIMERS_TO_COMPACT = 256


class CommandHost:
    """Implements `PolicyHost`: queues the policy's commands for the tasks that execute them."""

    def __init__(self, request_wakeup: Callable[[float], None]):
        """Set up empty queues; `request_wakeup` receives the time (ms) by which `run_due_timers` has to be called."""
        self._request_wakeup = request_wakeup
        self._timers: list[tuple[float, int]] = []  # (due, token), a heap
        self._compact_at_count = MIN_TIMERS_TO_COMPACT
        self.next_timer_at: float | None = None
        self.requests: dict[int, RequestContext] = {}  # unanswered, or with an attempt in flight
        self.health_check_commands = CommandQueue()
        self.poll_commands = CommandQueue()
        self.on_send_attempt: Callable[[RequestContext], None] | None = None  # if set, called before each attempt
        self.on_reject: Callable[[], None] | None = None  # if set, called before each rejection

    # Requests

    def finish(self, context: RequestContext, command: RequestCommand) -> None:
        """Mark the request as answered and queue its final command."""
        context.is_answered = True
        context.push(command)
        self.remove_if_complete(context)

    def remove_if_complete(self, context: RequestContext) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        if context.is_answered and not context.attempts_in_flight:
            self.requests.pop(context.request_id, None)

    # PolicyHost

    def send_attempt(self, request_id: int, endpoint_id: EndpointId) -> None:
        """Queue the request's next attempt (`PolicyHost`)."""
        context = self.requests[request_id]
        if self.on_send_attempt:
            self.on_send_attempt(context)
        context.push(SendAttempt(context.attempts_sent, endpoint_id))
        context.attempts_sent += 1
        context.attempts_in_flight += 1

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Queue the cancellation of an attempt (`PolicyHost`)."""
        self.requests[request_id].push(CancelAttempt(attempt_number))

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """Finish a request with a rejection (`PolicyHost`)."""
        if self.on_reject:
            self.on_reject()
        if request_id in self.requests:
            self.finish(self.requests[request_id], Reject(retry_after_ms))

    def fail(self, request_id: int) -> None:
        """Finish a request with a failure (`PolicyHost`)."""
        if request_id in self.requests:
            self.finish(self.requests[request_id], Fail())

    def send_health_check(self, endpoint_id: EndpointId) -> None:
        """Queue a health check (`PolicyHost`)."""
        self.health_check_commands.push(SendHealthCheck(endpoint_id))

    def poll_endpoints(self) -> None:
        """Queue a poll of discovery (`PolicyHost`)."""
        self.poll_commands.push(PollEndpoints())

    def schedule_wakeup(self, at: float, token: int) -> None:
        """Add a timer to the heap, and request an earlier wake-up if it is the first one due (`PolicyHost`)."""
        heappush(self._timers, (at, token))
        if self.next_timer_at is None or at < self.next_timer_at:
            self.next_timer_at = at
            self._request_wakeup(at)

    def _drop_obsolete(self, policy: Policy) -> None:
        """Free the timers of answered requests before they are due; at a high rate of requests they hold megabytes."""
        timers = policy.timers
        obsolete = [token for _, token in self._timers if timers.is_obsolete(token)]
        for token in obsolete:
            timers.discard(token)
        dropped = set(obsolete)
        self._timers = [each for each in self._timers if each[1] not in dropped]
        heapify(self._timers)
        self._compact_at_count = max(MIN_TIMERS_TO_COMPACT, 2 * len(self._timers))

    def run_due_timers(self, policy: Policy) -> None:
        """Fire all timers that are due."""
        now, timers = environment.monotonic_ms(), policy.timers
        try:
            while self._timers and self._timers[0][0] <= now:
                _, token = heappop(self._timers)
                if timers.is_obsolete(token):
                    timers.discard(token)
                else:
                    policy.timer_fired(now, token)
        finally:
            if len(self._timers) > self._compact_at_count:
                self._drop_obsolete(policy)
            # Timers of requests answered since are dropped without a wake-up; they are the majority of all timers.
            while self._timers and timers.is_obsolete(self._timers[0][1]):
                timers.discard(heappop(self._timers)[1])
            self.next_timer_at = self._timers[0][0] if self._timers else None
