"""The rehearsal's judge with exemptions for faults that prevent a proxy from keeping a rule."""

from collections.abc import Sequence
from typing import NamedTuple

from sloeferry.rehearsal.arrivals import PlannedRequest
from sloeferry.rehearsal.judge import ClientTry, Judge
from sloeferry.rehearsal.proxy_spans import ProxySpans
from sloeferry.rehearsal.scenario import Scenario
from sloeferry.stand_ins.bad_clients import BadClientKind
from sloeferry.stand_ins.rules import Rule
from sloeferry.stand_ins.wire_protocol import RequestOutcome

CONFLICT_STATUS = 409
CUT_OFF = "apart"  # outcome, in records, of a request without a response whose client link had a fault


class Violation(NamedTuple):
    """A broken rule; `at` is loop time."""

    rule: str
    at: float
    text: str


class RecordJudge(Judge):
    """A judge that is fed afterwards from records instead of by stand-ins during the run."""

    def __init__(self, scenario: Scenario, planned_requests: Sequence[PlannedRequest]):
        super().__init__(scenario, planned_requests)
        self.violation_log: list[Violation] = []
        self.clients_cut_off = ProxySpans()  # by faults of the links to their clients
        self.discovery_unreachable = ProxySpans()
        self.started_at: dict[str, float] = {}  # of the newest process, by proxy
        self.raced_idle_close: set[bytes] = set()  # requests that may have raced an idle close

    def unsound_served(self, proxy: str, kind: str, request_id: bytes, now: float) -> None:
        """Judge an answer that served an unsound request.

        A repeated id is unsound only if the process that served it could know that it was another client's: that one had not been
        refused in its place, and not been sent to an earlier process or another proxy.
        """
        original = self.tries.get(request_id) if kind == BadClientKind.REPEATED_ID else None
        if original:
            was_first = original.status != CONFLICT_STATUS and not self._was_cut_off(original, now)
            is_same_process = original.proxy == proxy and original.sent_at > self.started_at.get(proxy, 0.0)
            if not (was_first and is_same_process) or self.could_not_answer_in_time(original):
                return
        text = f"{proxy} answered a request of a client of the kind {kind} as served: {request_id.decode('latin-1')}"
        self.rule_violated(Rule.UNSOUND, now, text)

    def rule_violated(self, rule: str, now: float, text: str) -> None:
        """Count a broken rule, and keep it for display with its evidence."""
        super().rule_violated(rule, now, text)
        self.violation_log.append(Violation(rule, now, text))

    def _was_cut_off(self, client_try: ClientTry, now: float) -> bool:
        """Return True if the link between a request's client and its proxy had a fault between its sending and `now`."""
        return self.clients_cut_off.overlaps(client_try.proxy, client_try.sent_at, now)

    def could_not_answer_in_time(self, client_try: ClientTry) -> bool:
        """Return True if a pause of the proxy, or a fault of its client link before the deadline, exempts it from answering."""
        return super().could_not_answer_in_time(client_try) or self._was_cut_off(client_try, client_try.deadline)

    def attempt_received(self, backend_id: str, zone: str, request_id: bytes, sent_at: float) -> None:
        """Judge an attempt at a backend.

        A request that a link held on its way to the proxy has an earlier deadline than the proxy can know, so that its
        deadline is not checked.
        """
        client_try = self.tries[request_id]
        deadline = client_try.deadline
        if self._was_cut_off(client_try, deadline):
            client_try.deadline = float("inf")
        super().attempt_received(backend_id, zone, request_id, sent_at)
        client_try.deadline = deadline

    def response_missing(self, request_id: bytes, now: float, reason: str) -> RequestOutcome | str:
        """Return the outcome of a request without a response, or CUT_OFF if its client link had a fault."""
        client_try = self.tries[request_id]
        if self._was_cut_off(client_try, now):
            return CUT_OFF
        if request_id in self.raced_idle_close and not client_try.attempt_count and not self.was_proxy_killed(client_try):
            return RequestOutcome.NOT_ACCEPTED
        return super().response_missing(request_id, now, reason)

    def end_deemed_at(self, proxy: str, backend_id: str) -> float | None:
        """Return the time from which a proxy is deemed notified that a backend drains or has ended; None if the backend is ready.

        While discovery is unreachable for a proxy, the delay starts only when it is reachable again.
        """
        deemed_at = super().end_deemed_at(proxy, backend_id)
        if deemed_at is None:
            return None
        delay_seconds = self.scenario.discovery.deemed_notified_seconds
        reachable_at = self.discovery_unreachable.end_of_spans_at(proxy, deemed_at - delay_seconds)
        return deemed_at if reachable_at is None else reachable_at + delay_seconds
