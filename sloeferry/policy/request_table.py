"""The requests that were accepted and have no final answer yet, or still have an attempt in flight (safety rule 1)."""

from sloeferry.config.settings import Settings
from sloeferry.policy.extension_points import ExtensionPoints
from sloeferry.policy.requests import Request
from sloeferry.policy.safety_rules import SafetyRules
from sloeferry.policy.timers import Timers

FINAL_ANSWER_TICKS = 2  # before its deadline a request is given up, so that the answer arrives in time


class RequestTable:
    """Holds all open requests and sees that each gets its final answer before its deadline."""

    def __init__(self, settings: Settings, timers: Timers, rules: SafetyRules, extensions: ExtensionPoints):
        self._timers = timers
        self._rules = rules
        self._extensions = extensions
        self._final_answer_ms = FINAL_ANSWER_TICKS * settings.tick_ms
        self.by_id: dict[int, Request] = {}
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Apply the setting that sends clients a Retry-After."""
        self._sends_retry_after = settings.limits.sends_retry_after

    def add(self, request: Request, now: float) -> None:
        """Add an accepted request, which must get a final answer before its deadline."""
        self.by_id[request.request_id] = request
        self._extensions.request_accepted(now, request)
        self._timers.schedule(request.deadline - self._final_answer_ms, self._give_up_before_deadline, request)

    def _give_up_before_deadline(self, now: float, request: Request) -> None:
        if not request.is_answered and not request.has_attempt_in_flight():
            self.give_up(request)

    def give_up(self, request: Request, retry_after_ms: float | None = None) -> None:
        """Send the final answer of a request that no endpoint served, with a Retry-After if that is enabled.

        The Retry-After defaults to the request's typical latency or, where its class or tenant is at fault, to its latency
        objective.
        """
        if retry_after_ms is None:
            is_at_fault = request.is_at_fault()
            retry_after_ms = request.request_class.objective_ms if is_at_fault else request.typical_latency_ms()
        self._rules.answer_unserved(request, retry_after_ms * self._sends_retry_after)
        self.close(request)

    def close(self, request: Request, is_served: bool = False) -> None:
        """Mark the request as answered, since it has its final answer or its client has disconnected (rule 1).

        It stays in the table until its last attempt has ended.
        """
        if not request.is_answered:
            self._extensions.request_ended(request, is_served)
        request.is_answered = True
        if not request.has_attempt_in_flight():
            self.by_id.pop(request.request_id, None)
