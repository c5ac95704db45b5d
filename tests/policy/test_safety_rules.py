"""The four safety rules, each where the wrong command would be tempting."""

from sloeferry.policy.interface import AttemptOutcome, EndpointState, ListScope
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

SLOW_START = {
    "obligations__cold": 8000.0,
    "obligations__cold_from": 0.5,
    "obligations__fall": 1000.0,
    "obligations__fall_multiple": 3.0,
}


def test_rule_1_one_answer_before_the_deadline(golden: GoldenFiles):
    """Nobody is there to serve, or the only attempt times out twice.  Each request still gets one final answer before its
    deadline, and a late end of an attempt adds none."""
    recorder = PolicyRecorder()
    recorder.request(1)
    recorder.advance_to(1100.0)
    recorder.list_endpoints("a")
    recorder.request(2, class_index=2)
    recorder.advance_to(2100.0)
    recorder.end_attempt(2, 0, AttemptOutcome.TIMED_OUT, is_answered=False, took_ms=1000.0)
    recorder.end_attempt(2, 0, AttemptOutcome.TIMED_OUT, is_answered=False, took_ms=1000.0)
    recorder.policy.client_left(recorder.now, 2)
    recorder.advance_to(3000.0)
    golden.check(recorder.lines, "rule_1")


def test_rule_1_rejected_in_its_last_step(golden: GoldenFiles):
    """A retry comes back unsent in the last step before its deadline, while held requests of more weight go first.  Its answer
    cannot wait for them."""
    recorder = PolicyRecorder(schemes__2__gain=5.0)
    recorder.list_endpoints("a", "b", "c", "d")
    recorder.request(1, time_left_ms=40.0, is_retry=True)
    for request_id in (2, 3, 4):
        recorder.request(request_id)
    for name in "abcd":
        recorder.report_load(name, 9)
    for request_id in (5, 6, 7):
        recorder.request(request_id, class_index=2)
    recorder.advance_to(39.0)
    recorder.end_attempt(1, 0, AttemptOutcome.UNREACHABLE, 9, took_ms=39.0)
    recorder.advance_to(45.0)
    golden.check(recorder.lines, "rule_1_late")


def test_rule_2_no_effect_twice(golden: GoldenFiles):
    """Errors at an idle fleet tempt to retry.  That is allowed anywhere, in the zone that drops duplicates, or not at all; a
    refused connection proves that the request never ran; and nothing is retried once the deduplication window is over."""
    recorder = PolicyRecorder(limits__second_copies=False)
    recorder.list_endpoints(("a", 0), ("b", 0), ("c", 1), ("d", 1))
    for name in "abcd":
        recorder.report_load(name, 0)
    for request_id, class_index in ((1, 0), (2, 1), (3, 2)):
        recorder.request(request_id, class_index)
        recorder.end_attempt(request_id, 0, AttemptOutcome.ERROR)
        recorder.advance_by(5)
    recorder.request(4, class_index=2)  # a refused connection proves that it never ran
    recorder.end_attempt(4, 0, AttemptOutcome.UNREACHABLE)
    recorder.advance_by(20)
    recorder.request(5, class_index=1)  # its window of 300 ms is over when the error comes
    recorder.advance_by(310)
    recorder.end_attempt(5, 0, AttemptOutcome.ERROR)
    golden.check(recorder.lines, "rule_2")


def test_rule_3_where_only_draining_binds(golden: GoldenFiles):
    """Where only draining binds, an endpoint that is left out of the list serves on until it fails.  One that drained first,
    drains while it is missing, or has failed gets nothing until it is listed again."""
    recorder = PolicyRecorder(obligations__only_draining_binds=True)

    def request_after(change: str) -> int:
        recorder.advance_by(10.0)
        request_id = int(recorder.now)
        recorder.request(request_id)
        used = sorted(each.endpoint_id for each in recorder.policy.table.ready)
        recorder.record(f"{change}: uses {' '.join(used)}")
        return request_id

    recorder.list_endpoints("a", "b", "c")
    recorder.list_endpoints(("b", 0, EndpointState.DRAINING), scope=ListScope.CHANGES)
    request_after("b drains")
    recorder.list_endpoints(("a", 0, EndpointState.GONE), ("b", 0, EndpointState.GONE), scope=ListScope.CHANGES)
    request_after("a and b are gone")
    recorder.list_endpoints()
    request_id = request_after("none is listed")
    endpoint_id = recorder.lines[-2].split()[-1]
    recorder.end_attempt(request_id, 0, AttemptOutcome.UNREACHABLE)
    request_after(f"{endpoint_id} could not be reached")
    recorder.list_endpoints(("a", 0, EndpointState.DRAINING), ("c", 0, EndpointState.DRAINING), scope=ListScope.CHANGES)
    request_after("all drain")
    recorder.list_endpoints("a", "b", scope=ListScope.COMPLETE)
    request_after("a and b are back")
    golden.check(recorder.lines, "rule_3_gone")


def test_rule_3_nothing_to_a_draining_endpoint(golden: GoldenFiles):
    """The draining endpoint is the least loaded one, and then the last one.  Nothing new is sent to it."""
    recorder = PolicyRecorder()
    recorder.list_endpoints("a", "b")
    recorder.request(1)
    recorder.list_endpoints(("a", 0, EndpointState.DRAINING), scope=ListScope.CHANGES)
    for request_id in (2, 3):
        recorder.request(request_id)
    recorder.list_endpoints(("b", 0, EndpointState.GONE), scope=ListScope.CHANGES)
    recorder.request(4)
    recorder.advance_by(400)
    golden.check(recorder.lines, "rule_3")


def test_rule_4_endpoint_that_warms_up(golden: GoldenFiles):
    """An endpoint that warms up reports itself empty.  It gets no more than this proxy's part of its slow-start budget."""
    recorder = PolicyRecorder(
        **SLOW_START,
        instances=2,
    )
    recorder.advance_to(50000.0)
    recorder.list_endpoints("warm", ("cold", 0, EndpointState.READY, 50000.0))
    recorder.report_load("warm", 9)
    recorder.report_load("cold", 0)
    for request_id in range(6):
        recorder.request(request_id)
        recorder.advance_by(20)
        if recorder.was_sent(request_id):
            recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0, took_ms=20.0)
    golden.check(recorder.lines, "rule_4")


def test_rule_3_without_a_poll_in_time(golden: GoldenFiles):
    """The host stood still, so no poll for the endpoint list went out in time.  The proxy counts as notified, and sends nothing
    until a list has come; an empty list leaves nobody to send to."""
    recorder = PolicyRecorder(discovery="subscribe", obligations__must_ask_in=8000.0)
    recorder.list_endpoints("a", scope=ListScope.CACHED)
    recorder.request(1, class_index=2)
    recorder.now = 8001.0
    recorder.request(2, class_index=2)
    recorder.advance_to(9000.0)
    recorder.list_endpoints("a", scope=ListScope.CHANGES)  # the poll is answered
    recorder.request(3, class_index=2)
    recorder.list_endpoints(scope=ListScope.COMPLETE)  # an empty list: nobody to send to
    recorder.request(4, class_index=2)
    recorder.advance_to(9900.0)
    golden.check(recorder.lines, "rule_3_unheard")


def test_rule_4_many_proxies(golden: GoldenFiles):
    """200 proxies share one slow-start budget, each part far below one request: what all of them send, by second."""
    recorder = PolicyRecorder()
    sent = [0] * 8
    for ordinal in range(200):
        proxy = PolicyRecorder(
            **SLOW_START,
            instances=200,
            ordinal=ordinal,
        )
        proxy.advance_to(50000.0)
        proxy.list_endpoints(("cold", 0, EndpointState.READY, 50000.0))
        for second in range(8):
            proxy.advance_to(50000.0 + 1000.0 * second + 5.0 * ordinal)
            proxy.request(second)
            if proxy.was_sent(second):
                sent[second] += 1
                proxy.end_attempt(second, 0, AttemptOutcome.SERVED, None, took_ms=100.0)
    recorder.record(f"txns of about 175 ms of work sent to the cold backend in each second: {sent}")
    golden.check(recorder.lines, "rule_4_many")
