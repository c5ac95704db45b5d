"""What is at fault: a request class, a tenant or an endpoint.  Each test tempts to blame the wrong one."""

from sloeferry.policy.interface import AttemptOutcome
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

TENANTS = {"tenants__count": 3}


def record_tenants(recorder: PolicyRecorder, text: str = "") -> None:
    """The success rate of each tenant, with a star where it is at fault."""
    recorder.policy.candidates.refresh(recorder.now)
    trackers = recorder.policy.classes.tenant_trackers
    recorder.record(text + " ".join(f"{each.rate:.2f}{'*' if each.is_at_fault else ''}" for each in trackers))


def play_request(recorder: PolicyRecorder, request_id: int, tenant_index: int, took_ms: float) -> None:
    """A request that is served after so long, if it is sent; the clock runs on by 10 ms."""
    recorder.request(request_id, tenant_index=tenant_index)
    is_sent = recorder.was_sent(request_id)
    recorder.advance_by(10.0)
    if is_sent:
        recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0, took_ms=took_ms)


def end_each_attempt(recorder: PolicyRecorder, request_id: int, outcome: AttemptOutcome) -> None:
    """Each attempt of the request ends so, until there is no other."""
    attempt_number = 0
    while recorder.last_attempt.get(request_id, -1) == attempt_number:
        recorder.end_attempt(request_id, attempt_number, outcome, 0, is_answered=False)
        attempt_number += 1


class PartlySilentBackends:
    """Endpoints a and b never answer requests of an even id, which time out after a second; all else is served."""

    def __init__(self, recorder: PolicyRecorder):
        self._recorder = recorder
        self._lines_read = 0
        self._out: list[tuple[float, int, int]] = []  # times out at, request id, attempt number
        self.attempts: dict[int, list[tuple[float, str]]] = {0: [], 1: []}  # of each class: when, to which endpoint

    def advance_to(self, now: float) -> None:
        """The clock runs on; attempts that are out for a second time out."""
        self._recorder.advance_to(now)
        while self._out and self._out[0][0] <= now:
            _, request_id, attempt_number = self._out.pop(0)
            self._end(request_id, attempt_number, AttemptOutcome.TIMED_OUT, 1000.0)
        self._lines_read = len(self._recorder.lines)

    def answer_what_was_sent(self) -> None:
        """Ends attempts that were cancelled or are served, also those that this brings about."""
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
        left = [entry for entry in self._out if entry[1:] != (request_id, attempt_number)]
        if len(left) < len(self._out):
            self._out = left
            self._end(request_id, attempt_number, AttemptOutcome.CANCELLED, 400.0)

    def _serve(self, request_id: int, attempt_number: int, endpoint_id: str) -> None:
        now = self._recorder.now
        self.attempts[request_id % 2].append((now, endpoint_id))
        if request_id % 2 == 0 and endpoint_id in "ab":
            self._out.append((now + 1000.0, request_id, attempt_number))
        else:
            in_flight = 2 if endpoint_id in "cd" else 1
            self._recorder.end_attempt(request_id, attempt_number, AttemptOutcome.SERVED, in_flight, took_ms=100.0)

    def _end(self, request_id: int, attempt_number: int, outcome: AttemptOutcome, took_ms: float) -> None:
        self._recorder.end_attempt(request_id, attempt_number, outcome, is_answered=False, took_ms=took_ms)


def test_one_tenant_is_slow_everywhere(golden: GoldenFiles):
    """Tenant 1's requests are overdue at every endpoint.  They are rejected at once with a Retry-After, but for one at a time;
    no endpoint counts as slow for it; and when they are fast again all go as before."""
    recorder = PolicyRecorder(**TENANTS, limits__retry_after=True)
    recorder.publish_endpoints("a", "b", "c")
    for request_id in range(200, 220):
        play_request(recorder, request_id, request_id % 2 * 2, 40.0)
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
    golden.check(recorder.lines, "blame_customer")


def test_all_slow_at_once_is_nobodys_fault(golden: GoldenFiles):
    """Everything is slow at once.  No tenant is at fault, whichever was looked at first."""
    recorder = PolicyRecorder(**TENANTS)
    recorder.publish_endpoints("a", "b")
    for request_id in range(30):
        recorder.request(request_id, tenant_index=request_id % 3)
        recorder.advance_by(5.0)
    recorder.advance_by(900.0)
    recorder.lines = []
    record_tenants(recorder, "in time by customer: ")
    golden.check(recorder.lines, "blame_no_kind")


def test_every_kind_at_fault_is_nobodys_fault(golden: GoldenFiles):
    """Every class and every tenant looks at fault at once.  None of them is, and all go on."""
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
    golden.check(recorder.lines, "blame_all_drag")


def test_silent_endpoints_are_not_one_class_fault(golden: GoldenFiles):
    """Endpoints fall silent for all.  A class that was lost there more often by chance is not ejected there alone."""
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
    golden.check(lines, "blame_silent")


def test_rare_class_lags_behind(golden: GoldenFiles):
    """One class began to be lost a moment ago, and of another too few have ended since.  The two cannot be compared yet."""
    lines: list[str] = []
    usual, rare = PolicyRecorder().policy.classes.all[:2]
    for at in range(50):
        usual.attempt_ended(float(at), at < 20)
        if at % 4 == 0 or at > 30:
            rare.attempt_ended(float(at), True)
        if at % 3 == 0 or at > 30:
            lost = f"lost {usual.loss_rate:.2f} and {rare.loss_rate:.2f}"
            lines.append(f"at {at}: {lost}; the rare one tells of it {rare.can_be_compared_with(usual)}")
    golden.check(lines, "blame_rare")


def test_requests_that_err_everywhere(golden: GoldenFiles):
    """Every second request errs wherever it goes.  After a while only one in five of these is retried, no endpoint is ejected
    for them, and the others go as before.  Then endpoint a alone errs, and its errors count against it again."""
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
    recorder.record(f"then sent to a, by tens: {[sent_to[begin : begin + 10].count('a') for begin in range(0, 40, 10)]}")
    golden.check(recorder.lines, "blame_errors")


def test_one_class_unanswered_by_some(golden: GoldenFiles):
    """Endpoints a and b leave class 0 unanswered and serve class 1.  They are ejected for class 0 alone, what is overdue there
    is soon retried elsewhere, and neither the class nor the endpoints are at fault for the rest."""
    recorder = PolicyRecorder(schemes__0__expiry=1000.0)
    recorder.policy.classes.all[1].can_be_compared_with = lambda other: True  # enough of it has ended since
    recorder.publish_endpoints("a", "b", "c", "d")
    backends = PartlySilentBackends(recorder)
    for at in range(0, 12000, 20):
        backends.advance_to(float(at))
        request_id = at // 20
        recorder.request(request_id, class_index=request_id % 2)
        backends.answer_what_was_sent()
    recorder.lines = [
        f"scheme {class_index}, {begin // 1000} to {begin // 1000 + 3} s: of "
        f"{sum(begin <= at < begin + 3000 for at, _ in attempts)} postings "
        f"{sum(begin <= at < begin + 3000 and endpoint_id in 'ab' for at, endpoint_id in attempts)} to a and b"
        for class_index, attempts in backends.attempts.items()
        for begin in range(0, 12000, 3000)
    ]
    recorder.record(f"dragging: {[each.tracker.is_at_fault for each in recorder.policy.classes.all]}")
    golden.check(recorder.lines, "blame_scheme_at_some")
