"""The rehearsal's judge, fed with the records of several processes.

What a process of a run saw counts at the time when it saw it; one machine, one monotonic clock.  Nothing here is decided by
how long anything took but where a rule itself sets a limit.
"""

from collections import defaultdict
from typing import NamedTuple

from sloeferry.fault_testing.audit_check import AuditCheck, ListWritten
from sloeferry.fault_testing.event_recorder import RecordedEvent, call_number
from sloeferry.fault_testing.recorded_events import Event
from sloeferry.fault_testing.spans import NOTICE_SECONDS, ProxySpans
from sloeferry.rehearsal.judge import Judge, Try


class Breach(NamedTuple):
    """A broken rule; `at` is loop time."""

    rule: str
    at: float
    text: str


class HeldNotification(NamedTuple):
    """What discovery wrote into a link that holds it, as an event that counts once the link lets it go."""

    at: float
    proxy: str
    endpoint: str
    phase: str
    launched: int


class RecordJudge(Judge):
    """A judge that hears all at once, in order, what a rehearsal's is told as it happens."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.breach_log: list[Breach] = []
        self.audit = AuditCheck()
        self.stale_attempts: list[str] = []  # that acted on an older list than their proxy had been notified of
        self.lateness_ms: defaultdict[str, float] = defaultdict(float)  # role -> the most
        self._entered_at: dict[tuple[str, str], float] = {}  # backend, id -> when its first byte went into the link
        self._clients_cut_off = ProxySpans()
        self._lists_held = ProxySpans()
        self._discovery_unreachable = ProxySpans()
        self._stopped = ProxySpans()
        self._held_notifications: list[HeldNotification] = []
        self._crossed_idle_close: set[bytes] = set()
        self._missing_outcomes: dict[int, str] = {}  # number of a call -> the outcome of its request without a response
        self._list_history: defaultdict[str, list[ListWritten]] = defaultdict(list)  # proxy -> what was written to it
        self._handlers = {
            Event.RUN_BEGAN: self._run_began,
            Event.REQUEST_BEGAN: self._request_began,
            Event.REQUEST_SENT: self._request_sent,
            Event.RESPONSE_RECEIVED: self._response_received,
            Event.IDLE_CLOSE_CROSSED: self._idle_close_crossed,
            Event.RESPONSE_MISSING: self._response_missing,
            Event.CALL_ENDED: self._call_ended,
            Event.LINK_ENTERED: self._link_entered,
            Event.LINK_REFUSED: self._link_refused,
            Event.ATTEMPT_RECEIVED: self._attempt_received,
            Event.ATTEMPT_VERSIONS: self._attempt_versions,
            Event.ATTEMPT_RAN: self._attempt_ran,
            Event.BACKEND_FELL_OVER: self._backend_fell_over,
            Event.BACKEND_CHOKED: self._backend_choked,
            Event.BACKEND_STARTED: self._backend_started,
            Event.RULE_BROKEN: self._rule_broken,
            Event.ENDPOINT_NOTIFIED: self._endpoint_notified,
            Event.ENDPOINT_PUBLISHED: self._endpoint_published,
            Event.LIST_WRITTEN: self._list_written,
            Event.PROXY_KILLED: self._proxy_killed,
            Event.PROXY_CRASHED: self._proxy_crashed,
            Event.PROXY_STOPPED: self._proxy_stopped,
            Event.CLIENTS_CUT_OFF: self._clients_were_cut_off,
            Event.DISCOVERY_HELD: self._discovery_was_held,
            Event.DISCOVERY_UNREACHABLE: self._discovery_was_unreachable,
            Event.AUDIT_BEGAN: self._audit_began,
            Event.AUDIT_ENDED: self._audit_ended,
            Event.PROCESS_LATE: self._process_late,
        }

    def hear(self, event: RecordedEvent) -> None:
        """The next event; those that no rule is about are passed over."""
        at, word, *fields = event
        while self._held_notifications and self._held_notifications[0].at <= at:
            self._endpoint_notified(*self._held_notifications.pop(0))
        handler = self._handlers.get(word)
        if handler is not None:
            handler(at, *fields)

    def audit_failures(self) -> list[str]:
        """Where the audit's result and the records contradict each other."""
        return self.audit.failures(self.killed, self._stopped, self._lists_held)

    # What the rules are more lenient in than in a rehearsal

    def breach(self, rule: str, now: float, text: str) -> None:
        """A broken rule; kept to be shown with its evidence."""
        super().breach(rule, now, text)
        self.breach_log.append(Breach(rule, now, text))

    def _was_cut_off(self, request: Try, now: float) -> bool:
        """Whether a fault was on the link between a request's client and its proxy while it was under way."""
        return self._clients_cut_off.overlaps(request.proxy, request.at, now)

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
        if ident in self._crossed_idle_close and not request.posted and not self.died(request):
            return "untaken"
        return super().lost(ident, now, why)

    def deemed_when(self, proxy: str, node: str) -> float | None:
        """What discovery could not notify a proxy of counts as notified so long after it could."""
        deemed_at = super().deemed_when(proxy, node)
        if deemed_at is None:
            return None
        deemed_seconds = self.scenario.discovery.deemed_s
        reachable_at = self._discovery_unreachable.end_after(proxy, deemed_at - deemed_seconds)
        return deemed_at if reachable_at is None else reachable_at + deemed_seconds

    # Events of callers

    def _run_began(self, at: float) -> None:
        self.begin = at

    def _request_began(self, at: float, ident: str, proxy: str, deadline: float) -> None:
        self.asked(ident.encode(), self.asks[call_number(ident)], proxy, at, deadline)

    def _request_sent(self, at: float, ident: str, deadline: float) -> None:
        self.sent(ident.encode(), at, deadline)

    def _response_received(self, at: float, ident: str, status: int, is_own: bool) -> None:
        request_id = ident.encode()
        body = request_id.ljust(self.scheme(request_id).answer) if is_own else b""
        self.answered(request_id, at, status, body)

    def _idle_close_crossed(self, at: float, ident: str) -> None:
        self._crossed_idle_close.add(ident.encode())

    def _response_missing(self, at: float, ident: str, reason: str) -> None:
        self._missing_outcomes[call_number(ident)] = self.lost(ident.encode(), at, reason)

    def _call_ended(self, at: float, number: int, outcome: str, first: float, requests: int) -> None:
        call = self.asks[number]
        call.first = first
        call.tries = requests
        if outcome == "lost":
            outcome = self._missing_outcomes.get(number, outcome)
        self.ended(call, outcome, at)

    # Events of links

    def _link_entered(self, at: float, link: str, ident: str, since: float) -> None:
        backend_number = int(link.rpartition("/")[2])
        self._entered_at[f"s-{backend_number:04x}", ident] = since

    def _link_refused(self, at: float, link: str) -> None:
        between, _, proxy_number = link.partition("/")
        if between == "callers":  # a relay took the connection for a proxy that was not there
            self._clients_cut_off.add("p" + proxy_number, at - NOTICE_SECONDS / 4, at + NOTICE_SECONDS / 4)

    def _clients_were_cut_off(self, at: float, proxy: str, until: float) -> None:
        self._clients_cut_off.add(proxy, at, until)

    def _discovery_was_held(self, at: float, proxy: str, until: float) -> None:
        self._lists_held.add(proxy, at, until)

    def _discovery_was_unreachable(self, at: float, proxy: str, until: float) -> None:
        self._discovery_unreachable.add(proxy, at, until)

    # Events of backends

    def _attempt_received(self, at: float, backend: str, zone: str, ident: str, since: float) -> None:
        # On its way through a link it may have waited: it was sent when its first byte went in.
        sent_at = self._entered_at.pop((backend, ident), since)
        self.posted(backend, zone, ident.encode(), sent_at)

    def _attempt_ran(self, at: float, backend: str, ident: str) -> None:
        self.ran(backend, ident.encode(), at)

    def _attempt_versions(self, at: float, backend: str, ident: str, versions: str) -> None:
        """An attempt acts on no older list than its proxy was notified of a moment before."""
        proxy = self.tries[ident.encode()].proxy
        incarnation, _, revision = versions.partition("list=")[2].partition(":")[0].partition(".")
        settled = (written.revision for written in self._list_history[proxy] if written.at < at - NOTICE_SECONDS)
        notified = max(settled, default=0)
        if incarnation != "1" or int(revision) >= notified:
            return
        if not any(spans.covers(proxy, at, NOTICE_SECONDS) for spans in (self._stopped, self._lists_held)):
            self.stale_attempts.append(
                f"{ident} was posted to {backend} by {proxy} on revision {revision}, told of {notified} before"
            )

    def _backend_fell_over(self, at: float, backend: str, warm_up_fraction: float, sent: list) -> None:
        self.fell(backend, at, warm_up_fraction, [(sent_at, work, ident.encode()) for sent_at, work, ident in sent])

    def _backend_choked(self, at: float, backend: str) -> None:
        self.choked(backend)

    def _backend_started(self, at: float, backend: str, launched: int) -> None:
        self.started(backend, at, launched)

    def _rule_broken(self, at: float, rule: str, text: str) -> None:
        self.breach(rule, at, text)

    # Events of discovery

    def _endpoint_notified(self, at: float, proxy: str, endpoint: str, phase: str, launched: int) -> None:
        until = self._lists_held.end_after(proxy, at)
        if until is None:
            self.told(proxy, endpoint, phase, at, launched)
            return
        self._held_notifications.append(HeldNotification(until, proxy, endpoint, phase, launched))
        self._held_notifications.sort(key=lambda notification: notification.at)

    def _endpoint_published(self, at: float, endpoint: str, phase: str) -> None:
        self.published(endpoint, phase, at)

    def _list_written(self, at: float, proxy: str, revision: int) -> None:
        written = ListWritten(revision, at)
        self.audit.written[proxy] = written
        history = self._list_history[proxy]
        if history and revision < history[-1].revision:
            history.clear()  # another count, or another replica: what came before says nothing of it
        history.append(written)

    # Events of proxies and of the run

    def _proxy_killed(self, at: float, proxy: str) -> None:
        self.was_killed(proxy, at)

    def _proxy_crashed(self, at: float, proxy: str, how: str) -> None:
        self.crashed(proxy, at, how)

    def _proxy_stopped(self, at: float, proxy: str, until: float) -> None:
        self._stopped.add(proxy, at, until)
        self.stopped(proxy, at, until)

    def _audit_began(self, at: float, newest_revision: int) -> None:
        self.audit.begin(at, newest_revision)

    def _audit_ended(self, at: float, result: dict) -> None:
        self.audit.end(result)

    def _process_late(self, at: float, role: str, late_ms: float) -> None:
        # What runs late while all is being started measures nothing yet.
        if self.begin and at > self.begin:
            self.lateness_ms[role] = max(self.lateness_ms[role], late_ms)
