"""The rehearsal's judge with exemptions for faults that prevent a proxy from keeping a rule."""

from collections import defaultdict
from collections.abc import Sequence
from math import inf
from typing import NamedTuple

from sloeferry.rehearsal.arrivals import PlannedRequest
from sloeferry.rehearsal.judge import ClientTry, Judge
from sloeferry.rehearsal.proxy_spans import ProxySpans
from sloeferry.rehearsal.scenario import Scenario
from sloeferry.stand_ins.bad_clients import BadClientKind
from sloeferry.stand_ins.rules import Rule
from sloeferry.stand_ins.upload_client import UploadRecord
from sloeferry.stand_ins.wire_protocol import RequestOutcome

CONFLICT_STATUS = 409
MAX_RESTART_SECONDS = 1.0  # from the end of a process to the start of the next
LOST_AFTER_SECONDS = 0.5  # an answer that comes so long after its time counts as none
CUT_OFF = "apart"  # outcome, in records, of a request without a response whose client link had a fault


class Violation(NamedTuple):
    """A broken rule; `at` is loop time."""

    rule: str
    at: float
    text: str


class EndedUpload(NamedTuple):
    """An upload, as its client saw it; `wait_seconds` is how long that waits from the last byte on."""

    request_id: str
    proxy: str
    wait_seconds: float
    record: UploadRecord
    ended_at: float


class RecordJudge(Judge):
    """A judge that is fed afterwards from records instead of by stand-ins during the run."""

    def __init__(self, scenario: Scenario, planned_requests: Sequence[PlannedRequest]):
        super().__init__(scenario, planned_requests)
        self.violation_log: list[Violation] = []
        self.clients_cut_off = ProxySpans()  # by faults of the links to their clients
        self.discovery_unreachable = ProxySpans()
        self.started_at: dict[str, float] = {}  # of the newest process, by proxy
        self.raced_idle_close: set[bytes] = set()  # requests that may have raced an idle close
        self._never_read: set[bytes] = set()  # those of them that came to no backend before their client gave up
        self.ended_at = inf  # when the run did, and its processes were killed
        self.uploads: list[EndedUpload] = []
        self.kills: defaultdict[str, list[float]] = defaultdict(list)  # by proxy
        self.starts: defaultdict[str, list[float]] = defaultdict(list)  # by proxy

    def unsound_served(self, proxy: str, kind: str, request_id: bytes, now: float) -> None:
        """Judge an answer that served an unsound request.

        A repeated id is unsound only if the process that served it could know that it was another client's: that one had not been
        refused in its place, and not been sent to an earlier process or another proxy, or on an idle connection that was closed
        unread.
        """
        original = self.tries.get(request_id) if kind == BadClientKind.REPEATED_ID else None
        if original:
            if request_id in self._never_read:
                return
            was_first = original.status != CONFLICT_STATUS and not self._was_cut_off(original, now)
            is_same_process = original.proxy == proxy and original.sent_at > self.started_at.get(proxy, 0.0)
            if not (was_first and is_same_process) or self.could_not_answer_in_time(original):
                return
        text = f"{proxy} answered a request of a client of the kind {kind} as served: {request_id.decode('latin-1')}"
        self.rule_violated(Rule.UNSOUND, now, text)

    def judge_uploads(self) -> None:
        """Judge all uploads, once all events of the proxies are known."""
        for upload in self.uploads:
            self._judge_upload(upload)

    def _judge_upload(self, upload: EndedUpload) -> None:
        """Judge one upload; one whose last byte was not written has no time yet."""
        record, name, now = upload.record, f"{upload.request_id} at {upload.proxy}", upload.ended_at
        if record.began_at is None or self._was_disturbed(upload.proxy, record.began_at, now):
            return
        due_at = inf if record.written_at is None else record.written_at + upload.wait_seconds
        answered_at = now if record.answered_at is None else record.answered_at
        if answered_at > due_at + LOST_AFTER_SECONDS:
            late_ms = 1000 * (answered_at - due_at)
            self.rule_violated(Rule.UPLOAD, now, f"{name} got status {record.status} {late_ms:.0f} ms late")
        elif record.status is None and record.written_at is not None and now < self.ended_at:
            self.rule_violated(Rule.UPLOAD, now, f"{name} got no answer, its connection ended")
        elif record.status is not None and not record.is_whole and not self._was_replaced(upload.proxy, record.began_at, now):
            self.rule_violated(Rule.UPLOAD, now, f"{name} got an answer that was cut off")

    def _was_disturbed(self, proxy: str, began_at: float, now: float) -> bool:
        """Return whether a fault excuses a proxy that did not answer in time: killed, paused, or cut off from its clients."""
        is_killed = any(began_at <= at <= now for at in self.kills[proxy])
        return is_killed or any(each.overlaps(proxy, began_at, now) for each in (self.stopped_spans, self.clients_cut_off))

    def _was_replaced(self, proxy: str, began_at: float, now: float) -> bool:
        """Return whether the process ended on SIGTERM meanwhile; SIGKILL cuts off what it has not written by then."""
        return now >= self.ended_at or any(began_at <= at <= now + MAX_RESTART_SECONDS for at in self.starts[proxy])

    def proxy_killed(self, proxy: str, now: float) -> None:
        """Record that a proxy was killed by a fault of the scenario."""
        super().proxy_killed(proxy, now)
        self.kills[proxy].append(now)

    def proxy_started(self, proxy: str, now: float) -> None:
        """Record the start of a process."""
        self.started_at[proxy] = now
        self.starts[proxy].append(now)

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
        if self._is_repeated_at_next_process(client_try):
            return
        deadline = client_try.deadline
        if self._was_cut_off(client_try, deadline):
            client_try.deadline = float("inf")
        super().attempt_received(backend_id, zone, request_id, sent_at)
        client_try.deadline = deadline

    def request_ran(self, backend_id: str, request_id: bytes, now: float) -> None:
        """Judge that a request ran, unless a bad client has sent its id to the next process of the proxy."""
        if not self._is_repeated_at_next_process(self.tries[request_id]):
            super().request_ran(backend_id, request_id, now)

    def _is_repeated_at_next_process(self, client_try: ClientTry) -> bool:
        """Return whether a process that started after a request was answered sends its id: it knows no ids of the one before."""
        answered_at = client_try.answered_at
        return bool(answered_at) and self.started_at.get(client_try.proxy, 0.0) > answered_at

    def response_missing(self, request_id: bytes, now: float, reason: str) -> RequestOutcome | str:
        """Return the outcome of a request without a response, or CUT_OFF if its client link had a fault."""
        client_try = self.tries[request_id]
        if self._was_cut_off(client_try, now):
            return CUT_OFF
        if request_id in self.raced_idle_close and not client_try.attempt_count and not self.was_proxy_killed(client_try):
            self._never_read.add(request_id)
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
