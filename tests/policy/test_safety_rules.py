"""The four safety rules, each in a situation in which another goal favours the forbidden command."""

from sloeferry.policy.interface import AttemptOutcome, EndpointState, ListScope
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

SLOW_START = {
    "obligations__cold": 8000.0,
    "obligations__cold_from": 0.5,
    "obligations__fall": 1000.0,
    "obligations__fall_multiple": 3.0,
}


def test_rule_1_one_final_answer_before_the_deadline(golden: GoldenFiles):
    """There is no endpoint, or the end of the only attempt is reported twice.  Each request still gets exactly one final answer
    before its deadline."""
    recorder = PolicyRecorder()
    recorder.request(1)
    recorder.advance_to(1100.0)
    recorder.publish_endpoints("a")
    recorder.request(2, class_index=2)
    recorder.advance_to(2100.0)
    recorder.end_attempt(2, 0, AttemptOutcome.TIMED_OUT, is_answered=False, took_ms=1000.0)
    recorder.end_attempt(2, 0, AttemptOutcome.TIMED_OUT, is_answered=False, took_ms=1000.0)
    recorder.policy.client_left(recorder.now, 2)
    recorder.advance_to(3000.0)
    golden.check(recorder.lines, "rule_1")


def test_rule_1_request_is_rejected_in_the_last_step_before_its_deadline(golden: GoldenFiles):
    """A client's retry comes back from an unreachable endpoint in the last step before its deadline, while requests of higher
    weight are held.  Its answer must not wait for theirs."""
    recorder = PolicyRecorder(schemes__2__gain=5.0)
    recorder.publish_endpoints("a", "b", "c", "d")
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


def test_rule_2_no_request_takes_effect_twice(golden: GoldenFiles):
    """Attempts fail while all endpoints are idle.  By idempotency a retry may go to any endpoint, only to the zone that
    deduplicates, or to none.  A refused connection proves that the request never ran; after the deduplication window nothing is
    retried."""
    recorder = PolicyRecorder(limits__second_copies=False)
    recorder.publish_endpoints(("a", 0), ("b", 0), ("c", 1), ("d", 1))
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


def test_rule_3_endpoints_gone_from_the_list_where_only_draining_binds(golden: GoldenFiles):
    """Where only draining binds, an endpoint missing from the list is used until it fails.  An endpoint that drained before,
    drains while missing, or has failed gets no attempt until it is listed again."""
    recorder = PolicyRecorder(obligations__only_draining_binds=True)

    def request_after(change: str) -> int:
        recorder.advance_by(10.0)
        request_id = int(recorder.now)
        recorder.request(request_id)
        used = sorted(each.endpoint_id for each in recorder.policy.table.ready)
        recorder.record(f"{change}: uses {' '.join(used)}")
        return request_id

    recorder.publish_endpoints("a", "b", "c")
    recorder.publish_endpoints(("b", 0, EndpointState.DRAINING), scope=ListScope.CHANGES)
    request_after("b drains")
    recorder.publish_endpoints(("a", 0, EndpointState.GONE), ("b", 0, EndpointState.GONE), scope=ListScope.CHANGES)
    request_after("a and b are gone")
    recorder.publish_endpoints()
    request_id = request_after("none is listed")
    endpoint_id = recorder.lines[-2].split()[-1]
    recorder.end_attempt(request_id, 0, AttemptOutcome.UNREACHABLE)
    request_after(f"{endpoint_id} could not be reached")
    recorder.publish_endpoints(("a", 0, EndpointState.DRAINING), ("c", 0, EndpointState.DRAINING), scope=ListScope.CHANGES)
    request_after("all drain")
    recorder.publish_endpoints("a", "b", scope=ListScope.COMPLETE)
    request_after("a and b are back")
    golden.check(recorder.lines, "rule_3_gone")


def test_rule_3_draining_endpoint_gets_no_new_attempt(golden: GoldenFiles):
    """A draining endpoint is the least loaded one, and then the only one.  No new attempt is sent to it."""
    recorder = PolicyRecorder()
    recorder.publish_endpoints("a", "b")
    recorder.request(1)
    recorder.publish_endpoints(("a", 0, EndpointState.DRAINING), scope=ListScope.CHANGES)
    for request_id in (2, 3):
        recorder.request(request_id)
    recorder.publish_endpoints(("b", 0, EndpointState.GONE), scope=ListScope.CHANGES)
    recorder.request(4)
    recorder.advance_by(400)
    golden.check(recorder.lines, "rule_3")


def test_rule_4_warming_endpoint_gets_at_most_its_budget(golden: GoldenFiles):
    """An endpoint that warms up reports no load.  This proxy sends it no more than its share of the slow-start budget."""
    recorder = PolicyRecorder(
        **SLOW_START,
        instances=2,
    )
    recorder.advance_to(50000.0)
    recorder.publish_endpoints("warm", ("cold", 0, EndpointState.READY, 50000.0))
    recorder.report_load("warm", 9)
    recorder.report_load("cold", 0)
    for request_id in range(6):
        recorder.request(request_id)
        recorder.advance_by(20)
        if recorder.was_sent(request_id):
            recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0, took_ms=20.0)
    golden.check(recorder.lines, "rule_4")


def test_rule_3_nothing_is_sent_when_no_poll_was_made_in_time(golden: GoldenFiles):
    """The host stalled, so that no poll for the endpoint list was sent in time.  The proxy counts as notified and sends nothing
    until it has a list; an empty list leaves no endpoint to send to."""
    recorder = PolicyRecorder(discovery="subscribe", obligations__must_ask_in=8000.0)
    recorder.publish_endpoints("a", scope=ListScope.CACHED)
    recorder.request(1, class_index=2)
    recorder.now = 8001.0
    recorder.request(2, class_index=2)
    recorder.advance_to(9000.0)
    recorder.publish_endpoints("a", scope=ListScope.CHANGES)  # the poll is answered
    recorder.request(3, class_index=2)
    recorder.publish_endpoints(scope=ListScope.COMPLETE)  # an empty list: no endpoint is left
    recorder.request(4, class_index=2)
    recorder.advance_to(9900.0)
    golden.check(recorder.lines, "rule_3_no_poll_in_time")


def test_rule_4_many_proxies_share_one_slow_start_budget(golden: GoldenFiles):
    """200 proxies share one slow-start budget, each share far below one request; records what all of them send per second."""
    recorder = PolicyRecorder()
    sent = [0] * 8
    for ordinal in range(200):
        proxy = PolicyRecorder(
            **SLOW_START,
            instances=200,
            ordinal=ordinal,
        )
        proxy.advance_to(50000.0)
        proxy.publish_endpoints(("cold", 0, EndpointState.READY, 50000.0))
        for second in range(8):
            proxy.advance_to(50000.0 + 1000.0 * second + 5.0 * ordinal)
            proxy.request(second)
            if proxy.was_sent(second):
                sent[second] += 1
                proxy.end_attempt(second, 0, AttemptOutcome.SERVED, None, took_ms=100.0)
    recorder.record(f"txns of about 175 ms of work sent to the cold backend in each second: {sent}")
    golden.check(recorder.lines, "rule_4_many")
