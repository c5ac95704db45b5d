"""Checks the four rules of the platform against what is observed on the wire.  Performs no I/O.

Clients, backends and discovery report what they send and receive, with times in seconds.  Statements of the proxies under
test, such as their logs, are not used.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from sloeferry.rehearsal.arrivals import PlannedRequest
from sloeferry.rehearsal.notifications import Notifications
from sloeferry.rehearsal.proxy_spans import ProxySpans
from sloeferry.rehearsal.scenario import Scenario
from sloeferry.rehearsal.scenario_tables import RequestClass
from sloeferry.stand_ins.http_messages import make_request_body
from sloeferry.stand_ins.rules import Rule
from sloeferry.stand_ins.run_observer import RecentWork, RunObserver
from sloeferry.stand_ins.wire_protocol import REJECTED_STATUSES, STATUS_OK, RequestKind, RequestOutcome, outcome_of_status

MAX_VIOLATION_TEXTS = 20
# Rule 4 is violated only if at least this ratio (numerator, denominator) of the work that overloaded a backend came from
# proxies that could know that it was warming up.
INFORMED_WORK_RATIO = (2, 3)


@dataclass(slots=True)
class ClientTry:
    """One try of a planned request by its client, with a unique request id; times in seconds."""

    planned: PlannedRequest
    deadline: float
    proxy: str
    sent_at: float
    answered_at: float = 0.0  # 0 while it is not answered
    status: int = 0
    attempt_count: int = 0  # attempts that backends received from its proxy
    run_count: int = 0


def format_request_id(request_id: bytes) -> str:
    """Return a request id as text."""
    return request_id.decode("latin-1")


class Judge(RunObserver):
    """Counts what stand-ins report, and records each violation of a rule."""

    def __init__(self, scenario: Scenario, planned_requests: Sequence[PlannedRequest]):
        obligations = scenario.obligations
        self.scenario = scenario
        self.planned_requests = planned_requests
        self.began_at = 0.0
        self.proxy_zones: dict[str, str] = {}  # by proxy
        self.tries: dict[bytes, ClientTry] = {}  # by request id
        self.violation_counts = {rule.value: 0 for rule in Rule}
        self.violation_texts: list[str] = []  # the first MAX_VIOLATION_TEXTS
        self.slack_seconds = obligations.slack_ms / 1000
        self.notifications = Notifications(scenario.discovery.deemed_notified_seconds)
        self.killed_at: dict[str, float] = {}  # by proxy
        self.stopped_spans = ProxySpans()  # while the proxy's machine was paused
        self.work_done_ms = 0.0
        self.health_check_work_ms = 0.0
        self.health_check_count = 0
        self.attempt_count = 0
        self.cross_zone_count = 0
        self.repeated_run_count = 0
        self.pushed_over_count = 0
        self.congested_backends: set[str] = set()
        self._drain_grace_seconds = obligations.drain_grace_ms / 1000

    def rule_violated(self, rule: str, now: float, text: str) -> None:
        """Count a violation of a rule, and keep its text if it is one of the first."""
        self.violation_counts[rule] += 1
        if len(self.violation_texts) < MAX_VIOLATION_TEXTS:
            label = f"rule {rule}" if rule.isdigit() else rule
            self.violation_texts.append(f"{now - self.began_at:9.4f} {label}: {text}")

    # Queries of backends (RunObserver)

    def request_class(self, request_id: bytes | None) -> RequestClass | None:
        """Return the class of a request; None for an id that no client has used."""
        client_try = self.tries.get(request_id)
        return self.scenario.request_classes[client_try.planned.class_index] if client_try else None

    def work_ms(self, request_id: bytes) -> float:
        """Return the work of a request: its service time on an idle backend of one core."""
        return self.tries[request_id].planned.work_ms

    def always_fails(self, request_id: bytes) -> bool:
        """Return whether every backend answers a request with an error."""
        return self.tries[request_id].planned.always_fails

    def proxy_of(self, request_id: bytes) -> str:
        """Return the name of the proxy that a request was sent to."""
        return self.tries[request_id].proxy

    def is_expired(self, request_id: bytes, now: float) -> bool:
        """Return whether the deadline of a request has passed."""
        return now >= self.tries[request_id].deadline

    def last_request_at(self, proxy: str) -> float:
        """Return the time at which a client last sent a request to a proxy; 0 if none did."""
        return max((client_try.sent_at for client_try in self.tries.values() if client_try.proxy == proxy), default=0.0)

    # Queries and reports of clients (ClientLog)

    def body_bytes(self, request_id: bytes) -> int:
        """Return the size of a request's body; an idempotent request has none."""
        request_class = self.request_class(request_id)
        return request_class.body_bytes if request_class.kind != RequestKind.IDEMPOTENT else 0

    def request_started(self, request_id: bytes, planned: PlannedRequest, proxy: str, now: float, deadline: float) -> None:
        """Record that a client begins to write a request to a proxy."""
        self.tries[request_id] = ClientTry(planned, deadline, proxy, now)

    def request_written(self, request_id: bytes, now: float, deadline: float) -> None:
        """Record that the last byte of a request was written, from which its deadline counts."""
        self.tries[request_id].sent_at = now
        self.tries[request_id].deadline = deadline

    def response_received(self, request_id: bytes, now: float, status: int, body: bytes) -> RequestOutcome:
        """Check a complete response against rules 1 and 2, and return the outcome that its status stands for."""
        client_try, request_class = self.tries[request_id], self.request_class(request_id)
        name = format_request_id(request_id)
        if client_try.answered_at:
            self.rule_violated(Rule.ONE_ANSWER, now, f"{name} was answered twice")
        client_try.answered_at = now
        client_try.status = status
        if now > client_try.deadline + self.slack_seconds and not self.could_not_answer_in_time(client_try):
            late_ms = 1000 * (now - client_try.deadline)
            self.rule_violated(Rule.ONE_ANSWER, now, f"{name} was answered {late_ms:.0f} ms past its expiry")
        if status == STATUS_OK:
            never_ran = not client_try.run_count and request_class.kind != RequestKind.DEDUPLICATED
            if never_ran or body != request_id.ljust(request_class.response_bytes):
                self.rule_violated(Rule.ONE_ANSWER, now, f"{name} was served a response that no node sent for it")
        elif status in REJECTED_STATUSES and client_try.run_count:
            self._check_rejected_and_ran(request_id, now, request_class)
        return outcome_of_status(status)

    def may_send_again(self, request_id: bytes) -> bool:
        """Return whether a client may repeat a request whose idle connection was closed as it was sent.

        It may if no backend received an attempt and the proxy was not killed.
        """
        client_try = self.tries[request_id]
        return not client_try.attempt_count and not self.was_proxy_killed(client_try)

    def response_missing(self, request_id: bytes, now: float, reason: str) -> RequestOutcome:
        """Record a violation of rule 1 for a request without a response, and return its outcome.

        A proxy that was killed while it had the request, or whose machine was paused, is exempt.
        """
        client_try = self.tries[request_id]
        if self.was_proxy_killed(client_try):
            return RequestOutcome.PROXY_KILLED
        if self.could_not_answer_in_time(client_try):
            return RequestOutcome.PROXY_STOPPED
        self.rule_violated(
            Rule.ONE_ANSWER, now, f"{format_request_id(request_id)} got no answer from {client_try.proxy}: {reason}"
        )
        return RequestOutcome.UNANSWERED

    def request_ended(self, planned: PlannedRequest, outcome: RequestOutcome, now: float) -> None:
        """Record the final outcome of a planned request, after all its tries."""
        planned.outcome = outcome
        planned.ended_at = now

    def was_proxy_killed(self, client_try: ClientTry) -> bool:
        """Return whether the proxy was killed while it had the request."""
        return self.killed_at.get(client_try.proxy, -1.0) >= client_try.sent_at - self.slack_seconds

    def could_not_answer_in_time(self, client_try: ClientTry) -> bool:
        """Return whether the proxy's machine was paused at the request's deadline, or for half of the time until then."""
        sent_at, deadline = client_try.sent_at, client_try.deadline
        spans = self.stopped_spans.spans_of(client_try.proxy)
        if any(span.since <= deadline <= span.until + self.slack_seconds for span in spans):
            return True
        overlaps = (min(span.until, deadline) - max(span.since, sent_at) for span in spans)
        return sum(max(0.0, overlap) for overlap in overlaps) >= (deadline - sent_at) / 2

    # Reports of backends (RunObserver)

    def body_received(self, backend_id: str, request_id: bytes | None, body: bytes, now: float) -> None:
        """Check that a request's body is the one that its client sent."""
        if self.request_class(request_id) and body != make_request_body(request_id, self.body_bytes(request_id)):
            text = f"{backend_id} got {len(body)} bytes as the body of {format_request_id(request_id)}, not those its client sent"
            self.rule_violated(Rule.PROTOCOL, now, text)

    def attempt_received(self, backend_id: str, zone: str, request_id: bytes, sent_at: float) -> None:
        """Check an attempt against rules 1 and 3; its first byte arrived at `sent_at`."""
        client_try = self.tries[request_id]
        client_try.attempt_count += 1
        self.attempt_count += 1
        sent = f"{format_request_id(request_id)} was sent to {backend_id}"
        if sent_at > client_try.deadline + self.slack_seconds:
            self.rule_violated(
                Rule.ONE_ANSWER, sent_at, f"{sent} {1000 * (sent_at - client_try.deadline):.0f} ms past its expiry"
            )
        if client_try.answered_at and sent_at > client_try.answered_at + self.slack_seconds:
            self.rule_violated(Rule.ONE_ANSWER, sent_at, f"{sent} after its answer")
        self.cross_zone_count += self.proxy_zones[client_try.proxy] != zone
        notified_at = self.end_known_at(client_try.proxy, backend_id)
        if notified_at is not None and sent_at > notified_at + self._drain_grace_seconds + self.slack_seconds:
            self.rule_violated(
                Rule.NO_SEND_AFTER_DRAIN, sent_at, f"{sent} {1000 * (sent_at - notified_at):.0f} ms after its proxy was told"
            )

    def end_known_at(self, proxy: str, backend_id: str) -> float | None:
        """Return the time from which a proxy knows, or counts as knowing, that a backend takes no new requests.

        None if the backend takes requests.
        """
        times = self.notifications.end_notified_at(proxy, backend_id), self.end_deemed_at(proxy, backend_id)
        return min((time for time in times if time is not None), default=None)

    def end_deemed_at(self, proxy: str, backend_id: str) -> float | None:
        """Return the time from which a proxy counts as notified of a backend's end, even if no notification arrived."""
        return self.notifications.end_deemed_at(backend_id)

    def request_ran(self, backend_id: str, request_id: bytes, now: float) -> None:
        """Check that only an idempotent request runs again, and that no rejected request runs (rule 2)."""
        client_try, request_class = self.tries[request_id], self.request_class(request_id)
        client_try.run_count += 1
        if client_try.run_count > 1:
            self.repeated_run_count += 1
            if request_class.kind != RequestKind.IDEMPOTENT:
                self.rule_violated(
                    Rule.NO_REPEATED_EFFECT,
                    now,
                    f"{format_request_id(request_id)}, {request_class.kind}, ran again, on {backend_id}",
                )
        if client_try.status in REJECTED_STATUSES:
            self._check_rejected_and_ran(request_id, now, request_class)

    def _check_rejected_and_ran(self, request_id: bytes, now: float, request_class: RequestClass) -> None:
        """Check that a rejected request that has run is idempotent, or deduplicated over all backends (rule 2)."""
        is_deduplicated = request_class.kind == RequestKind.DEDUPLICATED
        is_known_everywhere = is_deduplicated and request_class.deduplication_group == "all"
        if request_class.kind != RequestKind.IDEMPOTENT and not is_known_everywhere:
            self.rule_violated(
                Rule.NO_REPEATED_EFFECT, now, f"{format_request_id(request_id)}, {request_class.kind}, was declined and has run"
            )

    def work_done(self, work_ms: float) -> None:
        """Add work that backends have done."""
        self.work_done_ms += work_ms

    def health_check_received(self, backend_id: str, work_ms: float) -> None:
        """Count a health check and its work."""
        self.health_check_count += 1
        self.health_check_work_ms += work_ms

    def congestion_began(self, backend_id: str) -> None:
        """Record that a long queue slows a backend down."""
        self.congested_backends.add(backend_id)

    def backend_overloaded(self, backend_id: str, now: float, capacity_ratio: float, recent: Sequence[RecentWork]) -> None:
        """Count a backend that was overloaded while it warmed up, and check rule 4.

        The rule is violated only if at least INFORMED_WORK_RATIO of the work came from proxies that could know of the backend's
        start.
        """
        self.pushed_over_count += 1
        informed_work_ms = sum(work.work_ms for work in recent if self._knew_start(backend_id, work))
        numerator, denominator = INFORMED_WORK_RATIO
        if informed_work_ms >= sum(work.work_ms for work in recent) * numerator / denominator:
            self.rule_violated(
                Rule.NO_OVERLOAD_IN_WARM_UP, now, f"{backend_id} fell over at {capacity_ratio:.2f} of its capacity"
            )

    def _knew_start(self, backend_id: str, work: RecentWork) -> bool:
        return self.notifications.knew_start(self.tries[work.request_id].proxy, backend_id, work.received_at)

    # Reports of discovery and of the run

    def proxy_notified(self, proxy: str, backend_id: str, state: str, now: float, started_at_ms: int = 0) -> None:
        """Record that discovery notifies a proxy of a backend's state."""
        self.notifications.proxy_notified(proxy, backend_id, state, now, started_at_ms)

    def state_published(self, backend_id: str, state: str, now: float) -> None:
        """Record that a backend's state has changed in the endpoint list."""
        self.notifications.state_published(backend_id, state, now)

    def backend_started(self, backend_id: str, now: float, started_at_ms: int) -> None:
        """Record that a backend restarts cold; `started_at_ms` is the start time that discovery will list."""
        self.notifications.backend_started(backend_id, now, started_at_ms)

    def proxy_stopped(self, proxy: str, now: float, until: float) -> None:
        """Record that a proxy's machine is paused until a given time."""
        self.stopped_spans.add(proxy, now, until)

    def proxy_killed(self, proxy: str, now: float) -> None:
        """Record that a proxy was killed by a fault of the scenario."""
        self.killed_at[proxy] = now

    def proxy_crashed(self, proxy: str, now: float, reason: str) -> None:
        """Record the violation that a proxy process ended by itself."""
        self.rule_violated(Rule.CRASH, now, f"{proxy} ended: {reason}")
        self.proxy_killed(proxy, now)
