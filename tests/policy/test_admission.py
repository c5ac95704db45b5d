"""Admission control: which requests are sent, held or rejected, and in which order held requests are sent."""

from sloeferry.policy.interface import AttemptOutcome
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

REQUESTS_TO_FAST_ENDPOINTS = 500
UNDERESTIMATED_SLOWDOWN = 0.001  # a learned slowdown far below the actual one


def run_request_on_fast_endpoints(recorder: PolicyRecorder, request_id: int, took_ms: float) -> None:
    """Run one request from its arrival to its answer; every health check is answered."""
    endpoints = recorder.policy.table.ready
    for endpoint in endpoints:
        endpoint.slowdown = UNDERESTIMATED_SLOWDOWN
        endpoint.learned_at = recorder.now
    recorder.request(request_id, time_left_ms=800.0)
    while (request := recorder.policy.requests.by_id.get(request_id)) and not request.is_answered:
        recorder.advance_by(took_ms)
        for endpoint in endpoints:
            for _ in list(endpoint.health_checks_in_flight):
                recorder.report_load(endpoint.endpoint_id, 0)
        if request.has_attempt_in_flight():
            recorder.advance_by(took_ms)
            recorder.end_attempt(request_id, len(request.attempts) - 1, AttemptOutcome.SERVED, 1, took_ms=took_ms)


def test_requests_are_sent_although_other_proxies_fill_all_endpoints(golden: GoldenFiles):
    """Other proxies fill all endpoints, so a proxy that sends only to free ones would neither send nor learn anything.  It sends
    a few requests regardless."""
    recorder = PolicyRecorder(limits__probing=True, instances=4)
    recorder.publish_endpoints(*"abcdefgh")
    recorder.policy.arrivals.mean_gap_ms = 2.0
    for name in "abcdefgh":
        recorder.report_load(name, 5)
    for request_id in range(4):
        recorder.request(request_id)
    recorder.advance_to(400.0)
    golden.check(recorder.lines, "all_endpoints_full")


def test_most_requests_are_rejected_while_the_event_loop_lags(golden: GoldenFiles):
    """All timers fire late by half the latency objective.  The proxy rejects most requests at once with a Retry-After, and sends
    no health check, since requests arrive faster than health checks are answered."""
    recorder = PolicyRecorder(limits__probing=True, limits__retry_after=True, load_info__via="answers")
    recorder.publish_endpoints("a", "b")
    recorder.policy.arrivals.mean_gap_ms = 2.0
    recorder.request(1)
    recorder.end_attempt(1, 0, AttemptOutcome.SERVED, 0)
    for _ in range(40):
        recorder.policy.timers.schedule(recorder.now, lambda now: None)
    for at, token in recorder.wakeups[-40:]:
        recorder.policy.timer_fired(at + 400.0, token)
    for request_id in range(2, 7):
        recorder.request(request_id)
    golden.check(recorder.lines, "event_loop_lag")


def test_highest_priority_weight_is_sent_first(golden: GoldenFiles):
    """All endpoints are busy.  Once one becomes idle, the held request with the highest priority weight is sent first."""
    recorder = PolicyRecorder(schemes__2__gain=5.0)
    recorder.publish_endpoints("a")
    recorder.report_load("a", 2)
    for request_id, class_index in ((1, 0), (2, 2), (3, 0)):
        recorder.request(request_id, class_index)
    recorder.advance_to(30.0)
    recorder.report_load("a", 0)
    recorder.advance_to(400.0)
    golden.check(recorder.lines, "highest_weight_first")


def test_fast_endpoints_cause_no_rejections(golden: GoldenFiles):
    """Twelve idle endpoints answer far below the latency objective, down to a thousandth of it, and the learned slowdown is too
    low.  Answers slower than expected must cause no rejection, and no request class or tenant may count as at fault."""
    lines: list[str] = []
    for took_ms in (0.1, 0.4, 1.0, 10.0):
        recorder = PolicyRecorder(
            schemes__0__sla_time=320.0, schemes__0__expiry=800.0, schemes__count=1, tenants__count=1, limits__probing=True
        )
        recorder.publish_endpoints(*(f"b{index}" for index in range(12)))
        for request_id in range(REQUESTS_TO_FAST_ENDPOINTS):
            run_request_on_fast_endpoints(recorder, request_id, took_ms)
        rejected = sum("decline" in line for line in recorder.lines)
        classes = recorder.policy.classes
        at_fault = [tracker.is_at_fault for tracker in classes.class_trackers + classes.tenant_trackers]
        lines.append(f"{took_ms} ms: {rejected} of {REQUESTS_TO_FAST_ENDPOINTS} refused, dragging {at_fault}")
    golden.check(lines, "fast_endpoints")


def test_cost_hint_scales_expected_latency_and_weight(golden: GoldenFiles):
    """A request with five times the usual cost takes five times as long, which must not count as a slowdown of its endpoint.
    Where weight is per work, it weighs five times as much, so held requests are ordered by weight per work, not by size."""
    recorder = PolicyRecorder(gain_per="work", schemes__0__gain=2.0, schemes__2__gain=1.0)
    policy = recorder.policy
    recorder.publish_endpoints("a")
    for request_id in range(40):
        cost_ms = 250.0 if request_id % 4 == 3 else 50.0
        policy.request_arrived(recorder.now, request_id, 0, 0, 0, 1000.0, cost_ms, False)
        recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0, took_ms=cost_ms)
        recorder.advance_by(20.0)
    recorder.lines = []
    first_class = policy.classes.all[0]
    usual = f"usual {first_class.typical_latency_ms():.0f}, mean hint {first_class.mean_cost_hint:.0f}"
    recorder.record(f"{usual}, pace {policy.table.by_id['a'].slowdown:.2f}")
    recorder.report_load("a", 40)
    for request_id, class_index, cost_ms in ((50, 2, 20.0), (51, 0, 500.0), (52, 2, 20.0)):
        policy.request_arrived(recorder.now, request_id, class_index, 0, 0, 1000.0, cost_ms, False)
    recorder.record(f"held in this order: {[request.request_id for request in policy.admission.held]}")
    golden.check(recorder.lines, "cost_hint")
