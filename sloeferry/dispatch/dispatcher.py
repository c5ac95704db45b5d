"""Connects the policy to the network: passes requests and attempt results in and commands out, without decisions of its own.

The task of a request awaits the commands of its `RequestContext` and reports the end of each attempt.  Health checks and polls
have one queue each for the lifetime of the process.
"""

import asyncio
from collections.abc import Callable, Hashable, Sequence
from math import inf
from typing import Any

from sloeferry import environment
from sloeferry.config.instance import InstanceConfig
from sloeferry.config.settings import Settings
from sloeferry.dispatch.attempt_end import AttemptEnd, AttemptProgress, attempt_outcome
from sloeferry.dispatch.command_host import CommandHost
from sloeferry.dispatch.endpoint_events import EndpointEvents
from sloeferry.dispatch.limits import SOCKET_SLACK_MS
from sloeferry.dispatch.loop_monitor import LoopMonitor
from sloeferry.dispatch.request_context import RequestContext
from sloeferry.dispatch.send_guard import Refusal, SendGuard
from sloeferry.policy.endpoint_staleness import SOCKET_LIMITS
from sloeferry.policy.interface import Abandon, Complete, EndpointId, SendAttempt
from sloeferry.policy.overload_control import OverloadController
from sloeferry.policy.policy import Policy


class Dispatcher:
    """Owns one policy and reports network events to it."""

    def __init__(self, seed: int, settings: Settings, request_wakeup: Callable[[float], None]):
        """Build the policy; `request_wakeup` receives the time (ms) by which `run_due_timers` has to be called."""
        self.host = CommandHost(request_wakeup)
        self.requests = self.host.requests
        self._last_request_id = 0
        self.policy = Policy(self.host, environment.monotonic_ms(), seed, settings, SOCKET_LIMITS)
        self.overload = OverloadController(self.policy)
        self.policy.extensions.install(self.overload)
        self._is_measuring_lag = False
        self.loop_monitor = LoopMonitor(settings)
        self.guard = SendGuard(self.policy, SOCKET_SLACK_MS)
        self.endpoint_events = EndpointEvents(self.policy, self.guard, self.loop_monitor)
        self.host.on_reject = self._note_rejection

    def update_config(self, config: InstanceConfig) -> None:
        """Apply another configuration between two events; it holds for requests accepted from now on."""
        self.policy.update_settings(config.settings)
        self.overload.update()
        self.loop_monitor.update(config.settings)

    def set_process_count(self, count: int) -> None:
        """Set the number of processes that form this proxy: each uses its part of the budgets of the safety rules."""
        self.policy.fleet.process_count = count

    # Requests

    def retry_after_if_rejected_ms(
        self, class_index: int, tenant_index: int, is_retry: bool, has_waited: bool = False
    ) -> float | None:
        """Return the Retry-After of a request to be rejected on arrival (0.0: rejected without one), or None to accept it.

        `has_waited`: the request has spent the longest permitted time in the admission queue.
        """
        now = environment.monotonic_ms()
        return self.policy.retry_after_if_rejected_ms(now, class_index, tenant_index, is_retry, has_waited)

    def accept_request(
        self, class_index: int, tenant_index: int, time_left_ms: float, is_retry: bool, affinity_key: Hashable = 0
    ) -> RequestContext:
        """Accept a request.  The loop's lateness is deducted from its time left, or responses would be late, too."""
        now = environment.monotonic_ms()
        time_left_ms -= min(self.policy.timers.lateness_ms, time_left_ms / 2)
        self._last_request_id += 1
        if not self._is_measuring_lag:
            self._schedule_lag_measurement(now)
        context = RequestContext(self._last_request_id, now + time_left_ms, now)
        self.requests[context.request_id] = context
        try:
            self.policy.request_arrived(
                now, context.request_id, class_index, tenant_index, affinity_key, time_left_ms, None, is_retry
            )
        except Exception:
            del self.requests[context.request_id]  # the policy won't answer it
            raise
        return context

    def body_outgrew_buffer(self, context: RequestContext, attempt_number: int) -> None:
        """Report that an attempt sent more body bytes than are buffered; the deadline is suspended until the last byte."""
        self.policy.body_outgrew_buffer(environment.monotonic_ms(), context.request_id, attempt_number)
        context.deadline = inf

    def body_received(self, context: RequestContext, time_left_ms: float) -> None:
        """Set the deadline after the last byte of a body that outgrew the buffer."""
        context.deadline = environment.monotonic_ms() + time_left_ms

    def client_left(self, context: RequestContext) -> None:
        """End a request without a decision of the policy.

        The client has disconnected, the policy has not decided in time, or the proxy closes the connection.
        """
        if not context.is_answered:
            self.host.finish(context, Abandon())
            self.policy.client_left(environment.monotonic_ms(), context.request_id)

    def abandon(self, context: RequestContext) -> list[Any]:
        """End a request whose client connection the proxy closes, so that its commands are no longer executed.

        A commanded attempt that has not begun is ended here; otherwise it would count as in flight forever.  Return the
        responses that were not forwarded.
        """
        context.is_abandoned = True
        self.client_left(context)
        commands, responses = list(context.commands), []
        context.commands.clear()
        for command in commands:
            if isinstance(command, SendAttempt):
                number = command.attempt_number
                self.attempt_ended(context, number, AttemptProgress.NOTHING_WRITTEN, AttemptEnd.ABORTED_LOCALLY, 0.0)
            elif isinstance(command, Complete):
                responses.append(command.response)
        return responses

    # Attempts and health checks

    def may_begin_attempt(self, context: RequestContext, attempt_number: int, endpoint_id: EndpointId) -> bool:
        """Return whether an attempt may begin, immediately before its first byte.

        This is the only check that the client is still connected, and that the deduplication window for a repeated request is
        still open (safety rule 2).
        """
        if not context.is_answered and context.has_client_left and context.has_client_left():
            self.client_left(context)
            return self.guard.is_allowed(Refusal.CLIENT_GONE)
        now = environment.monotonic_ms()
        refusal = self.guard.request_refusal(now, context, attempt_number)
        return self.guard.is_allowed(refusal or self.guard.endpoint_refusal(now, endpoint_id))

    def may_begin_health_check(self, endpoint_id: EndpointId) -> bool:
        """Check safety rule 3 before a health check's first byte, since the list may have changed during the connect."""
        return self.guard.is_allowed(self.guard.endpoint_refusal(environment.monotonic_ms(), endpoint_id))

    def attempt_begins(self, context: RequestContext, attempt_number: int, endpoint_id: EndpointId) -> None:
        """Have the send guard audit an attempt whose first byte is about to be written."""
        self.guard.audit_attempt(environment.monotonic_ms(), context, attempt_number, endpoint_id)

    def attempt_ended(
        self,
        context: RequestContext,
        attempt_number: int,
        progress: AttemptProgress,
        end: AttemptEnd,
        took_ms: float,
        load_report: Sequence[float] = (),
        response: Any = None,
    ) -> bool:
        """Report the end of an attempt; return whether its response answers the request."""
        context.attempts_in_flight -= 1
        took_ms = max(took_ms / 2, took_ms - self.policy.timers.lateness_ms)  # excludes the delay of this event loop
        is_served = end is AttemptEnd.SERVED and not context.is_answered
        if is_served:
            self.host.finish(context, Complete(response))
        else:
            self.host.remove_if_complete(context)
        self.policy.attempt_ended(
            environment.monotonic_ms(),
            context.request_id,
            attempt_number,
            attempt_outcome(progress, end),
            context.is_answered,
            took_ms,
            load_report,
        )
        return is_served

    def health_check_ended(
        self,
        endpoint_id: EndpointId,
        progress: AttemptProgress,
        end: AttemptEnd,
        took_ms: float,
        load_report: Sequence[float] = (),
    ) -> None:
        """Report the end of a health check."""
        outcome = attempt_outcome(progress, end)
        self.policy.health_check_ended(environment.monotonic_ms(), endpoint_id, outcome, took_ms, load_report)

    # Event loop

    def record_loop_iteration(self) -> asyncio.Task[None] | None:
        """Record a loop iteration; return the catch-up task after a stall, before whose end nothing may be sent."""
        catch_up_task = self.loop_monitor.record_iteration()
        self.endpoint_events.log_staleness(self.loop_monitor.last_iteration_at)
        return catch_up_task

    def run_due_timers(self) -> None:
        """Fire the policy's timers that are due."""
        self.host.run_due_timers(self.policy)

    def _schedule_lag_measurement(self, now: float) -> None:
        self._is_measuring_lag = True
        due = now + self.overload.lag_sample_interval_ms
        self.policy.timers.schedule(due, self._measure_lag, due)

    def _measure_lag(self, now: float, due: float) -> None:
        """Measure the event-loop lag at an interval, apart from all other timers, while requests are open or load is shed."""
        self.overload.record_loop_lag(now, now - due)
        self._is_measuring_lag = bool(self.requests) or self.overload.is_shedding()
        if self._is_measuring_lag:
            self._schedule_lag_measurement(now)

    def _note_rejection(self) -> None:
        """Count a rejection by the policy while the list is stale, as attempts refused at their first byte are counted."""
        if not self.endpoint_events.staleness.is_usable(environment.monotonic_ms()):
            self.guard.count_refusal(Refusal.LIST_STALE)

    # For operators

    def guard_counters(self) -> dict[str, Any]:
        """Return the send guard's counters and the current age of the endpoint list."""
        return self.guard.counters() | {"list": self.endpoint_events.staleness_report()}
