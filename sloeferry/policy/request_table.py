"""The requests that were taken on and have no final answer yet, or still have an attempt out (safety rule 1)."""

from sloeferry.config.settings import Settings
from sloeferry.policy.extension_points import ExtensionPoints
from sloeferry.policy.requests import Request
from sloeferry.policy.safety_rules import SafetyRules
from sloeferry.policy.timers import Timers

ANSWER_TICKS = 2  # before its deadline a request is given up, so that the answer arrives in time


class RequestTable:
    """All open requests."""

    def __init__(self, settings: Settings, timers: Timers, rules: SafetyRules, extensions: ExtensionPoints):
        self._timers = timers
        self._rules = rules
        self._extensions = extensions
        self._answer_ms = ANSWER_TICKS * settings.tick_ms
        self.by_id: dict[int, Request] = {}
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Takes over whether clients are told when to come back."""
        self._tells_retry_after = settings.limits.sends_retry_after

    def add(self, request: Request, now: float) -> None:
        """A request is taken on: from now on it is owed a final answer before its deadline."""
        self.by_id[request.request_id] = request
        self._extensions.request_accepted(now, request)
        self._timers.schedule(request.deadline - self._answer_ms, self._deadline_nears, request)

    def _deadline_nears(self, now: float, request: Request) -> None:
        if not request.is_answered and not request.has_attempt_in_flight():
            self.give_up(request)

    def give_up(self, request: Request, retry_after_ms: float | None = None) -> None:
        """The request gets its final answer at once, with when to come back where clients are told.

        That is after its usual latency or, where its kind is at fault, after its latency objective.
        """
        if retry_after_ms is None:
            is_at_fault = request.is_at_fault()
            retry_after_ms = request.request_class.objective_ms if is_at_fault else request.typical_latency_ms()
        self._rules.answer_unserved(request, retry_after_ms * self._tells_retry_after)
        self.close(request)

    def close(self, request: Request, is_served: bool = False) -> None:
        """Marks the request as answered: it has its final answer, or its client has gone (rule 1).

        It is kept until its last attempt has ended.
        """
        if not request.is_answered:
            self._extensions.request_ended(request, is_served)
        request.is_answered = True
        if not request.has_attempt_in_flight():
            self.by_id.pop(request.request_id, None)
