"""The rehearsal's judge, more lenient where faults between processes keep a proxy from what it owes."""

from typing import NamedTuple

from sloeferry.fault_testing.spans import ProxySpans
from sloeferry.rehearsal.judge import Judge, Try


class Breach(NamedTuple):
    """A broken rule; `at` is loop time."""

    rule: str
    at: float
    text: str


class RecordJudge(Judge):
    """A judge that hears afterwards, from records, what a rehearsal's is told as it happens."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.breach_log: list[Breach] = []
        self.clients_cut_off = ProxySpans()  # a fault was on the link to their clients
        self.discovery_unreachable = ProxySpans()
        self.crossed_idle_close: set[bytes] = set()  # requests whose connection ended as they were sent

    def breach(self, rule: str, now: float, text: str) -> None:
        """A broken rule; kept to be shown with its evidence."""
        super().breach(rule, now, text)
        self.breach_log.append(Breach(rule, now, text))

    def _was_cut_off(self, request: Try, now: float) -> bool:
        """Whether a fault was on the link between a request's client and its proxy while it was under way."""
        return self.clients_cut_off.overlaps(request.proxy, request.at, now)

    def stood(self, found: Try) -> bool:
        """Whether its proxy, or the link to it, stood still: nobody can answer then."""
        return super().stood(found) or self._was_cut_off(found, found.ends)

    def posted(self, node: str, zone: str, ident: bytes, since: float) -> None:
        """An attempt came.  Held on its way to the proxy, a request had less time than the proxy could know."""
        request = self.tries[ident]
        deadline = request.ends
        if self._was_cut_off(request, deadline):
            request.ends = float("inf")
        super().posted(node, zone, ident, since)
        request.ends = deadline

    def lost(self, ident: bytes, now: float, why: str) -> str:
        """No response came; its outcome, in the word that records have for it."""
        request = self.tries[ident]
        if self._was_cut_off(request, now):
            return "apart"
        if ident in self.crossed_idle_close and not request.posted and not self.died(request):
            return "untaken"
        return super().lost(ident, now, why)

    def deemed_when(self, proxy: str, node: str) -> float | None:
        """What discovery could not notify a proxy of counts as notified so long after it could."""
        deemed_at = super().deemed_when(proxy, node)
        if deemed_at is None:
            return None
        deemed_seconds = self.scenario.discovery.deemed_s
        reachable_at = self.discovery_unreachable.end_after(proxy, deemed_at - deemed_seconds)
        return deemed_at if reachable_at is None else reachable_at + deemed_seconds
