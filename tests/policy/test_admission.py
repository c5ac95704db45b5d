"""Which requests are admitted, held or rejected, and in which order they go."""

from sloeferry.policy.interface import AttemptOutcome
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

REQUESTS_TO_FAST_ENDPOINTS = 500
EXPECTED_FAR_TOO_LOW = 0.001  # learned slowdown: a thousandth of what is usual


def play_request_to_fast_endpoints(recorder: PolicyRecorder, request_id: int, took_ms: float) -> None:
    """One request, with all health checks answered, from its coming to its answer."""
    endpoints = recorder.policy.table.ready
    for endpoint in endpoints:
        endpoint.slowdown = EXPECTED_FAR_TOO_LOW
        endpoint.learned_at = recorder.now
    recorder.request(request_id, time_left_ms=800.0)
    while (request := recorder.policy.requests.by_id.get(request_id)) and not request.is_answered:
        recorder.advance_by(took_ms)
        for endpoint in endpoints:
            for _ in list(endpoint.health_checks_out):
                recorder.report_load(endpoint.endpoint_id, 0)
        if request.has_attempt_in_flight():
            recorder.advance_by(took_ms)
            recorder.end_attempt(request_id, len(request.attempts) - 1, AttemptOutcome.SERVED, 1, took_ms=took_ms)


def test_others_load_starves_nobody(golden: GoldenFiles):
    """The other proxies fill all endpoints, so this one sends nothing and learns nothing.  It tries a few all the same."""
    recorder = PolicyRecorder(limits__probing=True, instances=4)
    recorder.list_endpoints(*"abcdefgh")
    recorder.policy.arrivals.mean_gap_ms = 2.0
    for name in "abcdefgh":
        recorder.report_load(name, 5)
    for request_id in range(4):
        recorder.request(request_id)
    recorder.advance_to(400.0)
    golden.check(recorder.lines, "starved")


def test_event_loop_that_lags(golden: GoldenFiles):
    """All timers run late by half the latency objective.  The proxy rejects most requests at once and says when to come back;
    where requests come faster than a health check is answered none is sent."""
    recorder = PolicyRecorder(limits__probing=True, limits__retry_after=True, load_info__via="answers")
    recorder.list_endpoints("a", "b")
    recorder.policy.arrivals.mean_gap_ms = 2.0
    recorder.request(1)
    recorder.end_attempt(1, 0, AttemptOutcome.SERVED, 0)
    for _ in range(40):
        recorder.policy.timers.schedule(recorder.now, lambda now: None)
    for at, token in recorder.wakeups[-40:]:
        recorder.policy.timer_fired(at + 400.0, token)
    for request_id in range(2, 7):
        recorder.request(request_id)
    golden.check(recorder.lines, "no_time")


def test_most_weight_goes_first(golden: GoldenFiles):
    """Everything is busy.  When a place comes free, the held request with the highest priority weight goes first."""
    recorder = PolicyRecorder(schemes__2__gain=5.0)
    recorder.list_endpoints("a")
    recorder.report_load("a", 2)
    for request_id, class_index in ((1, 0), (2, 2), (3, 0)):
        recorder.request(request_id, class_index)
    recorder.advance_to(30.0)
    recorder.report_load("a", 0)
    recorder.advance_to(400.0)
    golden.check(recorder.lines, "overload")


def test_fast_endpoints_are_not_rejected(golden: GoldenFiles):
    """Twelve idle endpoints answer in a thousandth of the latency objective, or a hundredth, or a thirtieth, and what is expected
    of them has sunk far below that.  Not one request is rejected, and no class or tenant is at fault."""
    lines: list[str] = []
    for took_ms in (0.1, 0.4, 1.0, 10.0):
        recorder = PolicyRecorder(
            schemes__0__sla_time=320.0, schemes__0__expiry=800.0, schemes__count=1, tenants__count=1, limits__probing=True
        )
        recorder.list_endpoints(*(f"b{index}" for index in range(12)))
        for request_id in range(REQUESTS_TO_FAST_ENDPOINTS):
            play_request_to_fast_endpoints(recorder, request_id, took_ms)
        rejected = sum("decline" in line for line in recorder.lines)
        classes = recorder.policy.classes
        at_fault = [tracker.is_at_fault for tracker in classes.class_trackers + classes.tenant_trackers]
        lines.append(f"{took_ms} ms: {rejected} of {REQUESTS_TO_FAST_ENDPOINTS} refused, dragging {at_fault}")
    golden.check(lines, "blame_quick")


def test_cost_hint(golden: GoldenFiles):
    """A request five times as heavy as usual takes five times as long: that is no slowdown of its endpoint.  Where weight goes by
    work it counts five times as much, so that of two classes the denser goes first whatever its size."""
    recorder = PolicyRecorder(gain_per="work", schemes__0__gain=2.0, schemes__2__gain=1.0)
    policy = recorder.policy
    recorder.list_endpoints("a")
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
    golden.check(recorder.lines, "blame_hint")
