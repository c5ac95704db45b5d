"""Joins the policy to the network: requests in, commands out, ends of attempts in.  No decisions here.

Whoever carries a request awaits the commands of its `RequestContext` and reports how each attempt ended; health checks and
polls have a queue each that stands for as long as the program runs.
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
    """One instance of the policy, and what the network tells it."""

    def __init__(self, seed: int, settings: Settings, request_wakeup: Callable[[float], None]):
        """`request_wakeup` is called with the time (ms) by which `run_due_timers` has to be called."""
        self.host = CommandHost(request_wakeup)
        self.requests = self.host.requests
        self._last_request_id = 0
        self.policy = Policy(self.host, environment.monotonic_ms(), seed, settings, SOCKET_LIMITS)
        self.overload = OverloadController(self.policy)
        self.policy.extensions.install(self.overload)
        self._is_beating = False
        self.loop_monitor = LoopMonitor(settings)
        self.guard = SendGuard(self.policy, SOCKET_SLACK_MS)
        self.endpoint_events = EndpointEvents(self.policy, self.guard, self.loop_monitor)
        self.host.on_reject = self._note_rejection

    def update_config(self, config: InstanceConfig) -> None:
        """Other settings, between two events: what is taken on from now on is under these."""
        self.policy.update_settings(config.settings)
        self.overload.update()
        self.loop_monitor.update(config.settings)

    def set_process_count(self, count: int) -> None:
        """So many processes are this one proxy for now: each keeps to its part of what the rules allow it."""
        self.policy.fleet.process_count = count

    # Requests

    def rejection_delay_ms(self, class_index: int, tenant_index: int, is_retry: bool, has_waited: bool = False) -> float | None:
        """Asked before anything else is done for a request: the Retry-After if it is rejected, else None.

        `has_waited`: it has waited to be admitted for as long as it may.
        """
        now = environment.monotonic_ms()
        return self.policy.rejection_delay_ms(now, class_index, tenant_index, is_retry, has_waited)

    def accept_request(
        self, class_index: int, tenant_index: int, time_left_ms: float, is_retry: bool, affinity_key: Hashable = 0
    ) -> RequestContext:
        """A request has come.  What the loop is late comes off its time, or answers would be late, too."""
        now = environment.monotonic_ms()
        time_left_ms -= min(self.policy.timers.lateness_ms, time_left_ms / 2)
        self._last_request_id += 1
        if not self._is_beating:
            self._schedule_beat(now)
        context = RequestContext(self._last_request_id, now + time_left_ms, now)
        self.requests[context.request_id] = context
        try:
            self.policy.request_arrived(
                now, context.request_id, class_index, tenant_index, affinity_key, time_left_ms, None, is_retry
            )
        except Exception:
            del self.requests[context.request_id]  # nobody will answer it
            raise
        return context

    def body_outgrew_buffer(self, context: RequestContext, attempt_number: int) -> None:
        """More of its body has gone out with this attempt than is held; its time runs from its last byte on."""
        self.policy.body_outgrew_buffer(environment.monotonic_ms(), context.request_id, attempt_number)
        context.deadline = inf

    def body_received(self, context: RequestContext, time_left_ms: float) -> None:
        """The last byte of such a body has come: so much time is left."""
        context.deadline = environment.monotonic_ms() + time_left_ms

    def client_left(self, context: RequestContext) -> None:
        """Ends a request without a decision: its client has gone, or no decision came in time."""
        if not context.is_answered:
            self.host.finish(context, Abandon())
            self.policy.client_left(environment.monotonic_ms(), context.request_id)

    def abandon(self, context: RequestContext) -> list[Any]:
        """Nobody carries out its commands any more: its client's connection ends from this side.

        An attempt that was commanded and not begun would count as in flight for ever.  Returns the responses that nobody
        passes on.
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
        """Whether an attempt may still begin: asked right before its first byte.

        The one place that sees to it that nothing is sent for a client who has left, and that the window in which a repeat
        is known has not ended meanwhile (rule 2).
        """
        if not context.is_answered and context.has_client_left and context.has_client_left():
            self.client_left(context)
            return self.guard.record_refusal(Refusal.CLIENT_GONE)
        now = environment.monotonic_ms()
        refusal = self.guard.request_refusal(now, context, attempt_number)
        return self.guard.record_refusal(refusal or self.guard.endpoint_refusal(now, endpoint_id))

    def may_begin_health_check(self, endpoint_id: EndpointId) -> bool:
        """Rule 3, once more before a health check's first byte: a dial takes time, and the list may have changed."""
        return self.guard.record_refusal(self.guard.endpoint_refusal(environment.monotonic_ms(), endpoint_id))

    def attempt_begins(self, context: RequestContext, attempt_number: int, endpoint_id: EndpointId) -> None:
        """An attempt's first byte is about to be written: the send guard audits it by facts of its own."""
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
        """An attempt has ended; whether its response is the request's."""
        context.attempts_in_flight -= 1
        took_ms = max(took_ms / 2, took_ms - self.policy.timers.lateness_ms)  # so much was this loop's doing
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
        """A health check has ended."""
        outcome = attempt_outcome(progress, end)
        self.policy.health_check_ended(environment.monotonic_ms(), endpoint_id, outcome, took_ms, load_report)

    # The loop

    def record_loop_iteration(self) -> asyncio.Task[None] | None:
        """Notes a turn of the loop; the task that catches up after a stall, until whose end nothing may be sent."""
        catching_up = self.loop_monitor.record_iteration()
        self.endpoint_events.log_staleness(self.loop_monitor.last_iteration_at)
        return catching_up

    def run_due_timers(self) -> None:
        """Fires the policy's timers that are due."""
        self.host.run_due_timers(self.policy)

    def _schedule_beat(self, now: float) -> None:
        self._is_beating = True
        due = now + self.overload.lag_sample_interval_ms
        self.policy.timers.schedule(due, self._beat, due)

    def _beat(self, now: float, due: float) -> None:
        """How late this loop is, measured whatever else is due; it stops once nothing is left to measure."""
        self.overload.record_loop_lag(now, now - due)
        self._is_beating = bool(self.requests) or self.overload.is_shedding()
        if self._is_beating:
            self._schedule_beat(now)

    def _note_rejection(self) -> None:
        """Counts the policy's own rejections while the list is stale, beside attempts refused at their first byte."""
        if not self.endpoint_events.staleness.is_usable(environment.monotonic_ms()):
            self.guard.count_refusal(Refusal.LIST_STALE)

    # For operators

    def guard_figures(self) -> dict[str, Any]:
        """The send guard's counters and the list's age now."""
        return self.guard.figures() | {"list": self.endpoint_events.figures()}
