"""The rehearsal's judge, more lenient where faults between processes keep a proxy from what it owes."""

from collections.abc import Sequence
from typing import NamedTuple

from sloeferry.rehearsal.arrivals import PlannedRequest
from sloeferry.rehearsal.judge import ClientTry, Judge
from sloeferry.rehearsal.proxy_spans import ProxySpans
from sloeferry.rehearsal.scenario import Scenario
from sloeferry.stand_ins.wire_protocol import RequestOutcome

CUT_OFF = "apart"  # the outcome, in records, of a request whose link a fault had cut: nobody could have answered there


class Violation(NamedTuple):
    """A broken rule; `at` is loop time."""

    rule: str
    at: float
    text: str


class RecordJudge(Judge):
    """A judge that hears afterwards, from records, what a rehearsal's is told as it happens."""

    def __init__(self, scenario: Scenario, planned_requests: Sequence[PlannedRequest]):
        super().__init__(scenario, planned_requests)
        self.violation_log: list[Violation] = []
        self.clients_cut_off = ProxySpans()  # a fault was on the link to their clients
        self.discovery_unreachable = ProxySpans()
        self.raced_idle_close: set[bytes] = set()  # requests whose connection ended as they were sent

    def violation(self, rule: str, now: float, text: str) -> None:
        """A broken rule; kept to be shown with its evidence."""
        super().violation(rule, now, text)
        self.violation_log.append(Violation(rule, now, text))

    def _was_cut_off(self, request: ClientTry, now: float) -> bool:
        """Whether a fault was on the link between a request's client and its proxy while it was under way."""
        return self.clients_cut_off.overlaps(request.proxy, request.sent_at, now)

    def was_proxy_stopped(self, client_try: ClientTry) -> bool:
        """Whether its proxy, or the link to it, stood still: nobody can answer then."""
        return super().was_proxy_stopped(client_try) or self._was_cut_off(client_try, client_try.deadline)

    def attempt_received(self, backend_id: str, zone: str, request_id: bytes, sent_at: float) -> None:
        """An attempt came.  Held on its way to the proxy, a request had less time than the proxy could know."""
        request = self.tries[request_id]
        deadline = request.deadline
        if self._was_cut_off(request, deadline):
            request.deadline = float("inf")
        super().attempt_received(backend_id, zone, request_id, sent_at)
        request.deadline = deadline

    def response_missing(self, request_id: bytes, now: float, reason: str) -> RequestOutcome | str:
        """No response came; its outcome, or CUT_OFF."""
        request = self.tries[request_id]
        if self._was_cut_off(request, now):
            return CUT_OFF
        if request_id in self.raced_idle_close and not request.attempt_count and not self.was_proxy_killed(request):
            return RequestOutcome.NOT_ACCEPTED
        return super().response_missing(request_id, now, reason)

    def end_deemed_at(self, proxy: str, backend_id: str) -> float | None:
        """What discovery could not notify a proxy of counts as notified so long after it could."""
        assumed_at = super().end_deemed_at(proxy, backend_id)
        if assumed_at is None:
            return None
        assumption_delay_seconds = self.scenario.discovery.deemed_notified_seconds
        reachable_at = self.discovery_unreachable.end_after(proxy, assumed_at - assumption_delay_seconds)
        return assumed_at if reachable_at is None else reachable_at + assumption_delay_seconds
