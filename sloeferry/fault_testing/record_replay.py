"""Replay of the records of several processes to one judge, in the order in which they were recorded.

An event counts at the time at which a process observed it; all processes share the monotonic clock of one machine.
Events are judged in their recorded order.  Time limits are those of the rules, and NOTIFICATION_GRACE_SECONDS.
"""

from collections import defaultdict
from typing import NamedTuple

import msgspec

from sloeferry.fault_testing.audit_check import AuditCheck, WrittenList
from sloeferry.fault_testing.event_recorder import RecordedEvent, request_number
from sloeferry.fault_testing.record_judge import EndedUpload, RecordJudge
from sloeferry.fault_testing.recorded_events import Event
from sloeferry.rehearsal.proxy_fleet import make_backend_id
from sloeferry.rehearsal.proxy_spans import NOTIFICATION_GRACE_SECONDS, ProxySpans
from sloeferry.stand_ins.run_observer import RecentWork
from sloeferry.stand_ins.upload_client import UploadRecord
from sloeferry.stand_ins.wire_protocol import RequestOutcome


class HeldNotification(NamedTuple):
    """A notification that discovery wrote to a link which holds it; it counts when the link is released."""

    at: float
    proxy: str
    endpoint: str
    state: str
    started_at_ms: int


class RecordReplay:
    """A replay that passes events to the judge, and collects the audit, stale attempts and event-loop lag itself."""

    def __init__(self, judge: RecordJudge):
        self.audit = AuditCheck()
        self.stale_attempts: list[str] = []  # attempts on an older list than their proxy was notified of
        self.max_lag_ms: defaultdict[str, float] = defaultdict(float)  # by role
        self._judge = judge
        self._link_entered_at: dict[tuple[str, str], float] = {}  # backend, id -> arrival of the first byte
        self._lists_held = ProxySpans()
        self._stopped = ProxySpans()
        self._held_notifications: list[HeldNotification] = []
        self._missing_outcomes: dict[int, str] = {}  # by number of the request, if it had no response
        self._list_history: defaultdict[str, list[WrittenList]] = defaultdict(list)  # by proxy

    def replay(self, event: RecordedEvent) -> None:
        """Handle the next event; events without a handler are ignored."""
        at, event_name, *fields = event
        while self._held_notifications and self._held_notifications[0].at <= at:
            self._endpoint_notified(*self._held_notifications.pop(0))
        handler = self._HANDLERS.get(event_name)
        if handler is not None:
            handler(self, at, *fields)

    def audit_failures(self) -> list[str]:
        """Return a text for each contradiction between the audit's result and the records."""
        return self.audit.failures(self._judge.killed_at, self._stopped, self._lists_held)

    # Events of clients

    def _run_began(self, at: float) -> None:
        self._judge.began_at = at

    def _run_ended(self, at: float) -> None:
        self._judge.ended_at = at

    def _request_began(self, at: float, request_id: str, proxy: str, deadline: float) -> None:
        self._judge.request_started(
            request_id.encode(), self._judge.planned_requests[request_number(request_id)], proxy, at, deadline
        )

    def _request_sent(self, at: float, request_id: str, deadline: float) -> None:
        self._judge.request_written(request_id.encode(), at, deadline)

    def _response_received(self, at: float, request_id: str, status: int, is_own: bool) -> None:
        encoded_id = request_id.encode()
        body = encoded_id.ljust(self._judge.request_class(encoded_id).response_bytes) if is_own else b""
        self._judge.response_received(encoded_id, at, status, body)

    def _idle_close_raced(self, at: float, request_id: str) -> None:
        self._judge.raced_idle_close.add(request_id.encode())

    def _response_missing(self, at: float, request_id: str, reason: str) -> None:
        self._missing_outcomes[request_number(request_id)] = self._judge.response_missing(request_id.encode(), at, reason)

    def _call_ended(self, at: float, number: int, outcome: str, first_sent_at: float, try_count: int) -> None:
        planned = self._judge.planned_requests[number]
        planned.first_sent_at = first_sent_at
        planned.try_count = try_count
        if outcome == RequestOutcome.UNANSWERED:
            outcome = self._missing_outcomes.get(number, outcome)
        self._judge.request_ended(planned, outcome, at)

    def _unsound_served(self, at: float, proxy: str, kind: str, request_id: str) -> None:
        self._judge.unsound_served(proxy, kind, request_id.encode(), at)

    def _upload_ended(self, at: float, request_id: str, proxy: str, wait_seconds: float, record: dict) -> None:
        self._judge.uploads.append(EndedUpload(request_id, proxy, wait_seconds, msgspec.convert(record, UploadRecord), at))

    def _proxy_started(self, at: float, proxy: str) -> None:
        self._judge.proxy_started(proxy, at)

    # Events of links

    def _link_entered(self, at: float, link: str, request_id: str, since: float) -> None:
        backend_number = int(link.rpartition("/")[2])
        self._link_entered_at[make_backend_id(backend_number), request_id] = since

    def _link_refused(self, at: float, link: str) -> None:
        between, _, proxy_number = link.partition("/")
        if between == "callers":  # the relay accepted a connection for a proxy that did not listen
            self._judge.clients_cut_off.add(
                "p" + proxy_number, at - NOTIFICATION_GRACE_SECONDS / 4, at + NOTIFICATION_GRACE_SECONDS / 4
            )

    def _clients_cut_off(self, at: float, proxy: str, until: float) -> None:
        self._judge.clients_cut_off.add(proxy, at, until)

    def _discovery_held(self, at: float, proxy: str, until: float) -> None:
        self._lists_held.add(proxy, at, until)

    def _discovery_unreachable(self, at: float, proxy: str, until: float) -> None:
        self._judge.discovery_unreachable.add(proxy, at, until)

    # Events of backends

    def _attempt_received(self, at: float, backend: str, zone: str, request_id: str, since: float) -> None:
        # A link may have held the attempt: it was sent when its first byte entered the link.
        sent_at = self._link_entered_at.pop((backend, request_id), since)
        self._judge.attempt_received(backend, zone, request_id.encode(), sent_at)

    def _attempt_ran(self, at: float, backend: str, request_id: str) -> None:
        self._judge.request_ran(backend, request_id.encode(), at)

    def _attempt_versions(self, at: float, backend: str, request_id: str, versions: str) -> None:
        """Record an attempt on an older list than its proxy was sent more than NOTIFICATION_GRACE_SECONDS earlier."""
        proxy = self._judge.tries[request_id.encode()].proxy
        incarnation, _, revision = versions.partition("list=")[2].partition(":")[0].partition(".")
        delivered = (written.revision for written in self._list_history[proxy] if written.at < at - NOTIFICATION_GRACE_SECONDS)
        notified = max(delivered, default=0)
        if incarnation != "1" or int(revision) >= notified:
            return
        if not any(spans.covers(proxy, at, NOTIFICATION_GRACE_SECONDS) for spans in (self._stopped, self._lists_held)):
            self.stale_attempts.append(
                f"{request_id} was sent to {backend} by {proxy} on revision {revision}, notified of {notified} before"
            )

    def _backend_overloaded(self, at: float, backend: str, capacity_ratio: float, recent_work: list) -> None:
        recent = [RecentWork(sent_at, work_ms, request_id.encode()) for sent_at, work_ms, request_id in recent_work]
        self._judge.backend_overloaded(backend, at, capacity_ratio, recent)

    def _backend_congested(self, at: float, backend: str) -> None:
        self._judge.congestion_began(backend)

    def _backend_started(self, at: float, backend: str, started_at_ms: int) -> None:
        self._judge.backend_started(backend, at, started_at_ms)

    def _rule_violated(self, at: float, rule: str, text: str) -> None:
        self._judge.rule_violated(rule, at, text)

    # Events of discovery

    def _endpoint_notified(self, at: float, proxy: str, endpoint: str, state: str, started_at_ms: int) -> None:
        until = self._lists_held.end_of_spans_at(proxy, at)
        if until is None:
            self._judge.proxy_notified(proxy, endpoint, state, at, started_at_ms)
            return
        self._held_notifications.append(HeldNotification(until, proxy, endpoint, state, started_at_ms))
        self._held_notifications.sort(key=lambda notification: notification.at)

    def _endpoint_published(self, at: float, endpoint: str, state: str) -> None:
        self._judge.state_published(endpoint, state, at)

    def _list_written(self, at: float, proxy: str, revision: int) -> None:
        written = WrittenList(revision, at)
        self.audit.last_written[proxy] = written
        history = self._list_history[proxy]
        if history and revision < history[-1].revision:
            history.clear()  # revisions were reset, or an older replica answers: earlier revisions don't apply
        history.append(written)

    # Events of proxies and of the run

    def _proxy_killed(self, at: float, proxy: str) -> None:
        self._judge.proxy_killed(proxy, at)

    def _proxy_crashed(self, at: float, proxy: str, reason: str) -> None:
        self._judge.proxy_crashed(proxy, at, reason)

    def _proxy_stopped(self, at: float, proxy: str, until: float) -> None:
        self._stopped.add(proxy, at, until)
        self._judge.proxy_stopped(proxy, at, until)

    def _audit_began(self, at: float, newest_revision: int) -> None:
        self.audit.begin(at, newest_revision)

    def _audit_ended(self, at: float, result: dict) -> None:
        self.audit.end(result)

    def _process_late(self, at: float, role: str, late_ms: float) -> None:
        # Event-loop lag before the start of the run has no effect on its measurements.
        if self._judge.began_at and at > self._judge.began_at:
            self.max_lag_ms[role] = max(self.max_lag_ms[role], late_ms)

    _HANDLERS = {
        Event.RUN_BEGAN: _run_began,
        Event.RUN_ENDED: _run_ended,
        Event.REQUEST_BEGAN: _request_began,
        Event.REQUEST_SENT: _request_sent,
        Event.RESPONSE_RECEIVED: _response_received,
        Event.IDLE_CLOSE_RACED: _idle_close_raced,
        Event.RESPONSE_MISSING: _response_missing,
        Event.CALL_ENDED: _call_ended,
        Event.UNSOUND_SERVED: _unsound_served,
        Event.UPLOAD_ENDED: _upload_ended,
        Event.PROXY_STARTED: _proxy_started,
        Event.LINK_ENTERED: _link_entered,
        Event.LINK_REFUSED: _link_refused,
        Event.ATTEMPT_RECEIVED: _attempt_received,
        Event.ATTEMPT_VERSIONS: _attempt_versions,
        Event.ATTEMPT_RAN: _attempt_ran,
        Event.BACKEND_OVERLOADED: _backend_overloaded,
        Event.BACKEND_CONGESTED: _backend_congested,
        Event.BACKEND_STARTED: _backend_started,
        Event.RULE_VIOLATED: _rule_violated,
        Event.ENDPOINT_NOTIFIED: _endpoint_notified,
        Event.ENDPOINT_PUBLISHED: _endpoint_published,
        Event.LIST_WRITTEN: _list_written,
        Event.PROXY_KILLED: _proxy_killed,
        Event.PROXY_CRASHED: _proxy_crashed,
        Event.PROXY_STOPPED: _proxy_stopped,
        Event.CLIENTS_CUT_OFF: _clients_cut_off,
        Event.DISCOVERY_HELD: _discovery_held,
        Event.DISCOVERY_UNREACHABLE: _discovery_unreachable,
        Event.AUDIT_BEGAN: _audit_began,
        Event.AUDIT_ENDED: _audit_ended,
        Event.PROCESS_LATE: _process_late,
    }
