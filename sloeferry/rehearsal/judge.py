"""The four rules, judged from the wire alone.  Free of I/O.

Clients, backends and discovery tell what they send and see, with the time in seconds; the proxies' own word is not heard.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from sloeferry.rehearsal.arrivals import PlannedRequest
from sloeferry.rehearsal.notifications import Notifications
from sloeferry.rehearsal.proxy_spans import ProxySpans
from sloeferry.rehearsal.scenario import Scenario
from sloeferry.rehearsal.scenario_tables import RequestClass
from sloeferry.stand_ins.effect_log import EffectLog, RecentWork
from sloeferry.stand_ins.http_messages import make_request_body
from sloeferry.stand_ins.rules import Rule
from sloeferry.stand_ins.wire_protocol import REJECTED_STATUSES, STATUS_OK, RequestKind, RequestOutcome, outcome_of_status

MAX_VIOLATION_TEXTS = 20
# Part of the work that pushed a backend over, which has to come from proxies that could know that it was cold.
INFORMED_WORK_RATIO = (2, 3)


@dataclass(slots=True)
class ClientTry:
    """One request on the wire, which has an id of its own; times in seconds."""

    planned: PlannedRequest
    deadline: float
    proxy: str
    sent_at: float
    answered_at: float = 0.0  # 0: not answered
    status: int = 0
    attempt_count: int = 0  # attempts of its proxy that came to backends
    run_count: int = 0


def format_request_id(request_id: bytes) -> str:
    """A request id as texts have it."""
    return request_id.decode("latin-1")


class Judge(EffectLog):
    """Counts what happens and what breaks a rule."""

    def __init__(self, scenario: Scenario, planned_requests: Sequence[PlannedRequest]):
        obligations = scenario.obligations
        self.scenario = scenario
        self.planned_requests = planned_requests
        self.began_at = 0.0
        self.proxy_zones: dict[str, str] = {}  # by proxy
        self.tries: dict[bytes, ClientTry] = {}  # by request id
        self.violation_counts = {rule.value: 0 for rule in Rule}
        self.violation_texts: list[str] = []  # of the first ones
        self.slack_seconds = obligations.slack_ms / 1000
        self.notifications = Notifications(scenario.discovery.deemed_notified_seconds)
        self.killed_at: dict[str, float] = {}  # by proxy
        self.stopped_spans = ProxySpans()  # in which its machine stood still
        self.work_done_ms = 0.0
        self.health_check_work_ms = 0.0
        self.health_check_count = 0
        self.attempt_count = 0
        self.cross_zone_count = 0
        self.repeated_run_count = 0
        self.pushed_over_count = 0
        self.congested_backends: set[str] = set()
        self._drain_grace_seconds = obligations.drain_grace_ms / 1000

    def violation(self, rule: str, now: float, text: str) -> None:
        """Counts a broken rule, and keeps the texts of the first ones."""
        self.violation_counts[rule] += 1
        if len(self.violation_texts) < MAX_VIOLATION_TEXTS:
            label = f"rule {rule}" if rule.isdigit() else rule
            self.violation_texts.append(f"{now - self.began_at:9.4f} {label}: {text}")

    # What backends ask

    def request_class(self, request_id: bytes | None) -> RequestClass | None:
        """See EffectLog."""
        client_try = self.tries.get(request_id)
        return self.scenario.request_classes[client_try.planned.class_index] if client_try else None

    def work_ms(self, request_id: bytes) -> float:
        """See EffectLog."""
        return self.tries[request_id].planned.work_ms

    def always_fails(self, request_id: bytes) -> bool:
        """See EffectLog."""
        return self.tries[request_id].planned.always_fails

    def proxy_of(self, request_id: bytes) -> str:
        """See EffectLog."""
        return self.tries[request_id].proxy

    def is_expired(self, request_id: bytes, now: float) -> bool:
        """See EffectLog."""
        return now >= self.tries[request_id].deadline

    def last_request_at(self, proxy: str) -> float:
        """When a proxy was last sent a request; 0 if it never was."""
        return max((client_try.sent_at for client_try in self.tries.values() if client_try.proxy == proxy), default=0.0)

    # What clients ask and tell (ClientLog)

    def body_bytes(self, request_id: bytes) -> int:
        """See ClientLog."""
        request_class = self.request_class(request_id)
        return request_class.body_bytes if request_class.kind != RequestKind.IDEMPOTENT else 0

    def request_started(self, request_id: bytes, planned: PlannedRequest, proxy: str, now: float, deadline: float) -> None:
        """See ClientLog."""
        self.tries[request_id] = ClientTry(planned, deadline, proxy, now)

    def request_written(self, request_id: bytes, now: float, deadline: float) -> None:
        """See ClientLog."""
        self.tries[request_id].sent_at = now
        self.tries[request_id].deadline = deadline

    def response_received(self, request_id: bytes, now: float, status: int, body: bytes) -> RequestOutcome:
        """See ClientLog."""
        client_try, request_class = self.tries[request_id], self.request_class(request_id)
        name = format_request_id(request_id)
        if client_try.answered_at:
            self.violation(Rule.ONE_ANSWER, now, f"{name} was answered twice")
        client_try.answered_at = now
        client_try.status = status
        if now > client_try.deadline + self.slack_seconds and not self.was_proxy_stopped(client_try):
            late_ms = 1000 * (now - client_try.deadline)
            self.violation(Rule.ONE_ANSWER, now, f"{name} was answered {late_ms:.0f} ms past its expiry")
        if status == STATUS_OK:
            never_ran = not client_try.run_count and request_class.kind != RequestKind.DEDUPLICATED
            if never_ran or body != request_id.ljust(request_class.response_bytes):
                self.violation(Rule.ONE_ANSWER, now, f"{name} was served what no node made for it")
        elif status in REJECTED_STATUSES and client_try.run_count:
            self._rejected_and_ran(request_id, now, request_class)
        return outcome_of_status(status)

    def may_send_again(self, request_id: bytes) -> bool:
        """See ClientLog: no proxy died, and no backend has it."""
        client_try = self.tries[request_id]
        return not client_try.attempt_count and not self.was_proxy_killed(client_try)

    def response_missing(self, request_id: bytes, now: float, reason: str) -> RequestOutcome:
        """See ClientLog.  A proxy that was killed with it is excused, and one whose machine stood still."""
        client_try = self.tries[request_id]
        if self.was_proxy_killed(client_try):
            return RequestOutcome.PROXY_KILLED
        if self.was_proxy_stopped(client_try):
            return RequestOutcome.PROXY_STOPPED
        self.violation(Rule.ONE_ANSWER, now, f"{format_request_id(request_id)} got no answer from {client_try.proxy}: {reason}")
        return RequestOutcome.UNANSWERED

    def request_ended(self, planned: PlannedRequest, outcome: RequestOutcome, now: float) -> None:
        """See ClientLog."""
        planned.outcome = outcome
        planned.ended_at = now

    def was_proxy_killed(self, client_try: ClientTry) -> bool:
        """Whether its proxy was killed while it had this."""
        return self.killed_at.get(client_try.proxy, -1.0) >= client_try.sent_at - self.slack_seconds

    def was_proxy_stopped(self, client_try: ClientTry) -> bool:
        """Whether its proxy's machine stood still at its deadline, or for half of its time: nobody can answer then."""
        sent_at, deadline = client_try.sent_at, client_try.deadline
        spans = self.stopped_spans.spans_of(client_try.proxy)
        if any(span.since <= deadline <= span.until + self.slack_seconds for span in spans):
            return True
        overlaps = (min(span.until, deadline) - max(span.since, sent_at) for span in spans)
        return sum(max(0.0, overlap) for overlap in overlaps) >= (deadline - sent_at) / 2

    # What backends tell

    def body_received(self, backend_id: str, request_id: bytes | None, body: bytes, now: float) -> None:
        """See EffectLog: the body has to be the one that its client sent."""
        if self.request_class(request_id) and body != make_request_body(request_id, self.body_bytes(request_id)):
            text = f"{backend_id} got {len(body)} bytes as the body of {format_request_id(request_id)}, which are not its own"
            self.violation(Rule.PROTOCOL, now, text)

    def attempt_received(self, backend_id: str, zone: str, request_id: bytes, sent_at: float) -> None:
        """See EffectLog."""
        client_try = self.tries[request_id]
        client_try.attempt_count += 1
        self.attempt_count += 1
        sent = f"{format_request_id(request_id)} was sent to {backend_id}"
        if sent_at > client_try.deadline + self.slack_seconds:
            self.violation(Rule.ONE_ANSWER, sent_at, f"{sent} {1000 * (sent_at - client_try.deadline):.0f} ms past its expiry")
        if client_try.answered_at and sent_at > client_try.answered_at + self.slack_seconds:
            self.violation(Rule.ONE_ANSWER, sent_at, f"{sent} after its answer")
        self.cross_zone_count += self.proxy_zones[client_try.proxy] != zone
        notified_at = self.end_notified_at(client_try.proxy, backend_id)
        if notified_at is not None and sent_at > notified_at + self._drain_grace_seconds + self.slack_seconds:
            self.violation(
                Rule.NO_SEND_AFTER_DRAIN, sent_at, f"{sent} {1000 * (sent_at - notified_at):.0f} ms after its proxy was told"
            )

    def end_notified_at(self, proxy: str, backend_id: str) -> float | None:
        """When a proxy was told, or counts as told, that a backend wants nothing new; None if it does want."""
        times = self.notifications.end_notified_at(proxy, backend_id), self.end_deemed_at(proxy, backend_id)
        return min((time for time in times if time is not None), default=None)

    def end_deemed_at(self, proxy: str, backend_id: str) -> float | None:
        """When a proxy counts as told of a backend's end, whether or not word of it arrived."""
        return self.notifications.end_deemed_at(backend_id)

    def request_ran(self, backend_id: str, request_id: bytes, now: float) -> None:
        """See EffectLog."""
        client_try, request_class = self.tries[request_id], self.request_class(request_id)
        client_try.run_count += 1
        if client_try.run_count > 1:
            self.repeated_run_count += 1
            if request_class.kind != RequestKind.IDEMPOTENT:
                self.violation(
                    Rule.NO_REPEATED_EFFECT,
                    now,
                    f"{format_request_id(request_id)}, {request_class.kind}, ran again, on {backend_id}",
                )
        if client_try.status in REJECTED_STATUSES:
            self._rejected_and_ran(request_id, now, request_class)

    def _rejected_and_ran(self, request_id: bytes, now: float, request_class: RequestClass) -> None:
        is_deduplicated = request_class.kind == RequestKind.DEDUPLICATED
        is_known_everywhere = is_deduplicated and request_class.deduplication_group == "all"
        if request_class.kind != RequestKind.IDEMPOTENT and not is_known_everywhere:
            self.violation(
                Rule.NO_REPEATED_EFFECT, now, f"{format_request_id(request_id)}, {request_class.kind}, was declined and has run"
            )

    def work_done(self, work_ms: float) -> None:
        """See EffectLog."""
        self.work_done_ms += work_ms

    def health_check_received(self, backend_id: str, work_ms: float) -> None:
        """See EffectLog."""
        self.health_check_count += 1
        self.health_check_work_ms += work_ms

    def congestion_began(self, backend_id: str) -> None:
        """See EffectLog."""
        self.congested_backends.add(backend_id)

    def backend_overloaded(self, backend_id: str, now: float, capacity_ratio: float, recent: Sequence[RecentWork]) -> None:
        """See EffectLog.  Rule 4 holds against those who could know: most of the work came from who was told."""
        self.pushed_over_count += 1
        knowing_ms = sum(work.work_ms for work in recent if self._knew_start(backend_id, work))
        numerator, denominator = INFORMED_WORK_RATIO
        if knowing_ms >= sum(work.work_ms for work in recent) * numerator / denominator:
            self.violation(Rule.NO_OVERLOAD_IN_WARM_UP, now, f"{backend_id} fell over at {capacity_ratio:.2f} of its capacity")

    def _knew_start(self, backend_id: str, work: RecentWork) -> bool:
        return self.notifications.knew_start(self.tries[work.request_id].proxy, backend_id, work.received_at)

    # What discovery and the play tell

    def proxy_notified(self, proxy: str, backend_id: str, state: str, now: float, started_at_ms: int = 0) -> None:
        """See EffectLog."""
        self.notifications.proxy_notified(proxy, backend_id, state, now, started_at_ms)

    def state_published(self, backend_id: str, state: str, now: float) -> None:
        """See EffectLog."""
        self.notifications.state_published(backend_id, state, now)

    def backend_started(self, backend_id: str, now: float, started_at_ms: int) -> None:
        """A backend starts anew, cold; `started_at_ms` as discovery will say it."""
        self.notifications.backend_started(backend_id, now, started_at_ms)

    def proxy_stopped(self, proxy: str, now: float, until: float) -> None:
        """A proxy's machine stands still until then."""
        self.stopped_spans.add(proxy, now, until)

    def proxy_killed(self, proxy: str, now: float) -> None:
        """A proxy has been killed on purpose."""
        self.killed_at[proxy] = now

    def proxy_crashed(self, proxy: str, now: float, reason: str) -> None:
        """A proxy has ended by itself, which it must not."""
        self.violation(Rule.CRASH, now, f"{proxy} ended: {reason}")
        self.proxy_killed(proxy, now)
