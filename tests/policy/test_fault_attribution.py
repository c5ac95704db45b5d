"""Fault attribution to a request class, a tenant or an endpoint, in cases where a wrong one looks at fault."""

from sloeferry.policy.interface import AttemptOutcome
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

TENANTS = {"tenants__count": 3}


def record_tenants(recorder: PolicyRecorder, text: str = "") -> None:
    """Record the success rate of each tenant, with a star where it is at fault."""
    recorder.policy.candidates.refresh(recorder.now)
    trackers = recorder.policy.classes.tenant_trackers
    recorder.record(text + " ".join(f"{each.rate:.2f}{'*' if each.is_at_fault else ''}" for each in trackers))


def run_request(recorder: PolicyRecorder, request_id: int, tenant_index: int, took_ms: float) -> None:
    """Start a request, advance the clock by 10 ms and serve the request with the given latency if it was sent."""
    recorder.request(request_id, tenant_index=tenant_index)
    is_sent = recorder.was_sent(request_id)
    recorder.advance_by(10.0)
    if is_sent:
        recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0, took_ms=took_ms)


def end_each_attempt(recorder: PolicyRecorder, request_id: int, outcome: AttemptOutcome) -> None:
    """End each attempt of the request with this outcome, until no other is sent."""
    attempt_number = 0
    while recorder.last_attempt.get(request_id, -1) == attempt_number:
        recorder.end_attempt(request_id, attempt_number, outcome, 0, is_answered=False)
        attempt_number += 1


class PartlyUnresponsiveBackends:
    """Backends of which a and b never answer requests with an even id, which time out after a second; all others are served."""

    def __init__(self, recorder: PolicyRecorder):
        self._recorder = recorder
        self._lines_read = 0
        self._in_flight: list[tuple[float, int, int]] = []  # (times out at, request id, attempt number)
        self.attempts: dict[int, list[tuple[float, str]]] = {0: [], 1: []}  # per class: (sent at, endpoint id)

    def advance_to(self, now: float) -> None:
        """Advance the clock and end the attempts that time out."""
        self._recorder.advance_to(now)
        while self._in_flight and self._in_flight[0][0] <= now:
            _, request_id, attempt_number = self._in_flight.pop(0)
            self._end(request_id, attempt_number, AttemptOutcome.TIMED_OUT, 1000.0)
        self._lines_read = len(self._recorder.lines)

    def end_attempts(self) -> None:
        """End the attempts that were cancelled or are served, including those that this triggers."""
        while self._lines_read < len(self._recorder.lines):
            words = self._recorder.lines[self._lines_read].split()
            self._lines_read += 1
            if words[1] in ("post", "withdraw"):
                request_id, attempt_number = map(int, words[2].split("/"))
            if words[1] == "withdraw":
                self._cancel(request_id, attempt_number)
            elif words[1] == "post":
                self._serve(request_id, attempt_number, words[-1])

    def _cancel(self, request_id: int, attempt_number: int) -> None:
        remaining = [entry for entry in self._in_flight if entry[1:] != (request_id, attempt_number)]
        if len(remaining) < len(self._in_flight):
            self._in_flight = remaining
            self._end(request_id, attempt_number, AttemptOutcome.CANCELLED, 400.0)

    def _serve(self, request_id: int, attempt_number: int, endpoint_id: str) -> None:
        now = self._recorder.now
        self.attempts[request_id % 2].append((now, endpoint_id))
        if request_id % 2 == 0 and endpoint_id in "ab":
            self._in_flight.append((now + 1000.0, request_id, attempt_number))
        else:
            in_flight = 2 if endpoint_id in "cd" else 1
            self._recorder.end_attempt(request_id, attempt_number, AttemptOutcome.SERVED, in_flight, took_ms=100.0)

    def _end(self, request_id: int, attempt_number: int, outcome: AttemptOutcome, took_ms: float) -> None:
        self._recorder.end_attempt(request_id, attempt_number, outcome, is_answered=False, took_ms=took_ms)


def test_one_tenant_is_slow_at_all_endpoints(golden: GoldenFiles):
    """Guards against endpoints that count as slow because of one tenant: tenant 1's requests are overdue at every endpoint.  All
    but one at a time are rejected at once with a Retry-After, and all are sent again once they are fast."""
    recorder = PolicyRecorder(**TENANTS, limits__retry_after=True)
    recorder.publish_endpoints("a", "b", "c")
    for request_id in range(200, 220):
        run_request(recorder, request_id, request_id % 2 * 2, 40.0)
    for request_id in range(14):
        recorder.request(request_id, tenant_index=1)  # none of these is answered
        recorder.advance_by(40.0)
        recorder.request(100 + request_id, tenant_index=request_id % 2 * 2)
        recorder.end_attempt(100 + request_id, 0, AttemptOutcome.SERVED, 0, took_ms=40.0)
    recorder.lines[:-2] = []
    recorder.advance_by(500.0)
    record_tenants(recorder, "in time by customer: ")
    for request_id in filter(recorder.was_sent, range(14)):
        recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0, took_ms=900.0)
    recorder.record("paces " + " ".join(f"{each.slowdown:.1f}" for each in recorder.policy.table.ready))
    for request_id in (20, 21):
        recorder.request(request_id, tenant_index=1)
    recorder.request(22, tenant_index=0)
    recorder.end_attempt(22, 0, AttemptOutcome.SERVED, 0, took_ms=40.0)
    recorder.end_attempt(20, 0, AttemptOutcome.SERVED, 0, took_ms=40.0)
    for request_id in range(23, 28):
        recorder.advance_by(10.0)
        recorder.request(request_id, tenant_index=1)
        recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0, took_ms=40.0)
    record_tenants(recorder, "in time by customer: ")
    for request_id in (30, 31):
        recorder.request(request_id, tenant_index=1)
    golden.check(recorder.lines, "slow_tenant")


def test_no_tenant_is_at_fault_when_all_are_slow(golden: GoldenFiles):
    """Guards against a fault that depends on the order of reviews: all requests are slow at once, and no tenant is at fault."""
    recorder = PolicyRecorder(**TENANTS)
    recorder.publish_endpoints("a", "b")
    for request_id in range(30):
        recorder.request(request_id, tenant_index=request_id % 3)
        recorder.advance_by(5.0)
    recorder.advance_by(900.0)
    recorder.lines = []
    record_tenants(recorder, "in time by customer: ")
    golden.check(recorder.lines, "all_tenants_slow")


def test_all_kinds_are_cleared_when_all_look_at_fault(golden: GoldenFiles):
    """Guards against rejecting all requests: every class and every tenant looks at fault at once.  All are cleared, and their
    requests are sent."""
    recorder = PolicyRecorder(**TENANTS)
    recorder.publish_endpoints("a", "b", "c")
    classes = recorder.policy.classes
    trackers = classes.class_trackers + classes.tenant_trackers
    for tracker in trackers:
        tracker.is_at_fault = True
        tracker.rate = 0.1
        tracker.last_recorded_at = 0.0
    recorder.policy.attribution.review(100.0, recorder.policy.candidates.all)
    recorder.advance_to(100.0)
    record_tenants(recorder, f"dragging: {[tracker.is_at_fault for tracker in trackers]} ")
    for request_id in range(6):
        recorder.request(request_id, tenant_index=request_id % 3)
    golden.check(recorder.lines, "every_kind_at_fault")


def test_unresponsive_endpoints_are_not_ejected_for_one_class(golden: GoldenFiles):
    """Guards against an ejection for one class where the endpoint answers none: endpoints become unresponsive, and a class that
    lost more attempts there by chance is not ejected for itself alone."""
    lines: list[str] = []
    for is_checked in (False, True):
        recorder = PolicyRecorder(limits__probing=True)
        recorder.publish_endpoints("a", "b", "c", "d")
        first_class, second_class, _ = recorder.policy.classes.all
        first_class.loss_rate = 0.2
        second_class.can_be_compared_with = lambda other: True
        recorder.request(1)
        recorder.advance_to(50.0)
        endpoint = recorder.policy.requests.by_id[1].attempts[0].endpoint
        recorder.advance_to(500.0)
        endpoint.health_checks_in_flight = [100.0] if is_checked else []
        recorder.end_attempt(1, 0, AttemptOutcome.TIMED_OUT, took_ms=490.0)
        is_ejected = endpoint.is_ejected_for(first_class, recorder.now)
        lines.append(f"asked in vain {is_checked}: the scheme rests there alone {is_ejected}")
    golden.check(lines, "unresponsive_endpoints_and_one_class")


def test_rare_class_is_not_compared_too_early(golden: GoldenFiles):
    """Guards against comparing loss rates too early: one class began to lose attempts a moment ago, and too few of another have
    ended since then."""
    lines: list[str] = []
    usual, rare = PolicyRecorder().policy.classes.all[:2]
    for at in range(50):
        usual.attempt_ended(float(at), at < 20)
        if at % 4 == 0 or at > 30:
            rare.attempt_ended(float(at), True)
        if at % 3 == 0 or at > 30:
            lost = f"lost {usual.loss_rate:.2f} and {rare.loss_rate:.2f}"
            lines.append(f"at {at}: {lost}; the rare one tells of it {rare.can_be_compared_with(usual)}")
    golden.check(lines, "rare_class_loss_rate")


def test_requests_that_fail_at_all_endpoints(golden: GoldenFiles):
    """Guards against ejecting endpoints for requests that fail everywhere: every second request ends with an error at each
    endpoint.  After a while only one in five of these is retried, no endpoint is ejected, and the others are served as before.
    Then endpoint a alone returns errors, and they count against it again."""
    recorder = PolicyRecorder(limits__most_postings=4)
    recorder.publish_endpoints("a", "b", "c", "d")
    attempts_sent: list[int] = []
    for request_id in range(60):
        recorder.advance_by(20.0)
        recorder.request(request_id)
        if request_id % 2:
            end_each_attempt(recorder, request_id, AttemptOutcome.ERROR)
        elif recorder.was_sent(request_id):
            recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0)
        attempts_sent.append(recorder.last_attempt.get(request_id, -1) + 1)
    recorder.lines = []
    recorder.record(f"postings of those that err: {attempts_sent[1::2]}")
    endpoints = recorder.policy.table.ready
    failures = [each.consecutive_failures for each in endpoints]
    recorder.record(f"fails {failures}, ghosts {[len(each.counted_in_flight_until) for each in endpoints]}")
    for request_id in range(100, 140):
        recorder.advance_by(20.0)
        recorder.request(request_id)
        for attempt_number in range(4):
            if recorder.last_attempt.get(request_id, -1) == attempt_number:
                is_at_a = recorder.lines[-1].endswith("to a")
                outcome = AttemptOutcome.ERROR if is_at_a else AttemptOutcome.SERVED
                recorder.end_attempt(request_id, attempt_number, outcome, 0, is_answered=not is_at_a)
    sent_to = [line.split()[-1] for line in recorder.lines if "post" in line and "to" in line]
    recorder.lines = recorder.lines[:2]
    recorder.record(f"then sent to a, by tens: {[sent_to[start : start + 10].count('a') for start in range(0, 40, 10)]}")
    golden.check(recorder.lines, "requests_failing_everywhere")


def test_one_class_unanswered_by_some_endpoints(golden: GoldenFiles):
    """Guards against blaming the class or the endpoints as a whole: a and b leave class 0 unanswered and serve class 1.  They are
    ejected for class 0 alone, overdue attempts are soon retried elsewhere, and class 1 is still sent to them."""
    recorder = PolicyRecorder(schemes__0__expiry=1000.0)
    recorder.policy.classes.all[1].can_be_compared_with = lambda other: True  # enough of its attempts have ended
    recorder.publish_endpoints("a", "b", "c", "d")
    backends = PartlyUnresponsiveBackends(recorder)
    for at in range(0, 12000, 20):
        backends.advance_to(float(at))
        request_id = at // 20
        recorder.request(request_id, class_index=request_id % 2)
        backends.end_attempts()
    recorder.lines = [
        f"scheme {class_index}, {start // 1000} to {start // 1000 + 3} s: of "
        f"{sum(start <= at < start + 3000 for at, _ in attempts)} postings "
        f"{sum(start <= at < start + 3000 and endpoint_id in 'ab' for at, endpoint_id in attempts)} to a and b"
        for class_index, attempts in backends.attempts.items()
        for start in range(0, 12000, 3000)
    ]
    recorder.record(f"dragging: {[each.tracker.is_at_fault for each in recorder.policy.classes.all]}")
    golden.check(recorder.lines, "class_unanswered_by_some_endpoints")
