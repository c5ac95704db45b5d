"""The policy's host on sockets: its commands in queues, its wake-ups on a heap.  No decisions here."""

from collections.abc import Callable
from heapq import heappop, heappush

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


class CommandHost:
    """What the policy asks for (`PolicyHost`), for whoever carries it out."""

    def __init__(self, request_wakeup: Callable[[float], None]):
        """`request_wakeup` is called with the time (ms) by which `run_due_timers` has to be called."""
        self._request_wakeup = request_wakeup
        self._timers: list[tuple[float, int]] = []  # (due, token), a heap
        self.next_timer_at: float | None = None
        self.requests: dict[int, RequestContext] = {}  # not answered yet, or with an attempt out
        self.health_check_commands = CommandQueue()
        self.poll_commands = CommandQueue()
        self.on_send_attempt: Callable[[RequestContext], None] | None = None  # told before each attempt, where set
        self.on_reject: Callable[[], None] | None = None  # told before each rejection, where set

    # Requests

    def finish(self, context: RequestContext, command: RequestCommand) -> None:
        """The request has its final answer."""
        context.is_answered = True
        context.push(command)
        self.remove_if_complete(context)

    def remove_if_complete(self, context: RequestContext) -> None:
        """Forgets a request that is answered and has no attempt out."""
        if context.is_answered and not context.attempts_in_flight:
            self.requests.pop(context.request_id, None)

    # PolicyHost

    def send_attempt(self, request_id: int, endpoint_id: EndpointId) -> None:
        """`PolicyHost`."""
        context = self.requests[request_id]
        if self.on_send_attempt:
            self.on_send_attempt(context)
        context.push(SendAttempt(context.attempts_sent, endpoint_id))
        context.attempts_sent += 1
        context.attempts_in_flight += 1

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """`PolicyHost`."""
        self.requests[request_id].push(CancelAttempt(attempt_number))

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """`PolicyHost`."""
        if self.on_reject:
            self.on_reject()
        if request_id in self.requests:
            self.finish(self.requests[request_id], Reject(retry_after_ms))

    def fail(self, request_id: int) -> None:
        """`PolicyHost`."""
        if request_id in self.requests:
            self.finish(self.requests[request_id], Fail())

    def send_health_check(self, endpoint_id: EndpointId) -> None:
        """`PolicyHost`."""
        self.health_check_commands.push(SendHealthCheck(endpoint_id))

    def poll_endpoints(self) -> None:
        """`PolicyHost`."""
        self.poll_commands.push(PollEndpoints())

    def schedule_wakeup(self, at: float, token: int) -> None:
        """`PolicyHost`."""
        heappush(self._timers, (at, token))
        if self.next_timer_at is None or at < self.next_timer_at:
            self.next_timer_at = at
            self._request_wakeup(at)

    def run_due_timers(self, policy: Policy) -> None:
        """Fires what is due."""
        now, timers = environment.monotonic_ms(), policy.timers
        try:
            while self._timers and self._timers[0][0] <= now:
                _, token = heappop(self._timers)
                if timers.is_obsolete(token):
                    timers.discard(token)
                else:
                    policy.timer_fired(now, token)
        finally:
            # What was set for requests that have been answered wakes nobody: it is most of all timers.
            while self._timers and timers.is_obsolete(self._timers[0][1]):
                timers.discard(heappop(self._timers)[1])
            self.next_timer_at = self._timers[0][0] if self._timers else None
