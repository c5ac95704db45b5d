"""The load estimate: the latest report plus own sends after it, and the mean load where there is no valid report."""

from collections.abc import Iterable

from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.interface import AttemptOutcome, EndpointState
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder


def record_estimates(recorder: PolicyRecorder, number_format: str, endpoints: Iterable[Endpoint] | None = None) -> None:
    """Record the load estimate of each endpoint, in that number format."""
    policy = recorder.policy
    shown = policy.table.by_id.values() if endpoints is None else endpoints
    recorder.record(" ".join(f"{each.endpoint_id}={policy.load.estimate(each, recorder.now):{number_format}}" for each in shown))


def test_report_plus_own_sends(golden: GoldenFiles):
    """The estimate is the latest report plus own sends after it; without a fresh report, the mean of fresh ones is used."""
    recorder = PolicyRecorder()
    recorder.publish_endpoints("a", "b", "c")
    policy = recorder.policy
    recorder.report_load("a", 2)
    recorder.report_load("b", 0)
    for request_id in range(5):
        recorder.request(request_id, class_index=2)
    policy.candidates.refresh(recorder.now)
    record_estimates(recorder, "g")
    recorder.advance_to(2001.0)
    policy.candidates.refresh(recorder.now)
    record_estimates(recorder, "g")
    golden.check(recorder.lines, "report_plus_own_sends")


def test_old_reports_decay(golden: GoldenFiles):
    """Guards against sending every request to the endpoint that last reported itself idle: its estimate decays to the mean."""
    recorder = PolicyRecorder()
    recorder.publish_endpoints("a", "b", "c")
    recorder.report_load("a", 0)
    recorder.advance_to(600.0)
    for name in "bc":
        recorder.report_load(name, 2)
    policy = recorder.policy
    for span_ms in (0, 150, 300, 1000, 1000):
        recorder.advance_by(span_ms)
        policy.candidates.refresh(recorder.now)
        record_estimates(recorder, ".2f")
    golden.check(recorder.lines, "old_reports_decay")


def test_one_report_does_not_stand_for_the_fleet(golden: GoldenFiles):
    """Guards against a proxy that stops sending after one high report: one of forty proxies sends a request now and then.  Its
    last report doesn't stand for the fleet's load, and it still sends its share of one request per endpoint without health
    checks."""
    recorder = PolicyRecorder(instances=40, tariffs__probe=1.0, limits__probing=True)
    recorder.publish_endpoints(*(f"b{index}" for index in range(60)))
    for request_id, in_flight in enumerate((1, 0, 1, 6)):
        recorder.advance_to(250.0 * request_id)
        recorder.request(request_id)
        recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, in_flight)
    recorder.policy.candidates.refresh(recorder.now)
    recorder.record(f"mean {recorder.policy.load.mean_load[True]:.1f}")
    recorder.policy.load.mean_load = [9.0, 9.0]
    recorder.policy.table.candidates_chosen_at = recorder.now + 500.0  # all look loaded, and no newer report arrives
    for request_id in range(4, 8):
        recorder.request(request_id)
    recorder.advance_by(400.0)
    golden.check(recorder.lines, "one_report_from_many_endpoints")


def test_load_of_endpoints_that_warm_up(golden: GoldenFiles):
    """Guards against avoiding endpoints that warm up: half of the fleet has just started and sent no report yet.  An endpoint
    that warms up gets a smaller share of the load, so that it is tried, and its latency leaves the load levels unchanged."""
    recorder = PolicyRecorder(
        instances=40,
        tariffs__probe=1.0,
        limits__probing=True,
        obligations__cold=8000.0,
        obligations__cold_from=0.25,
        obligations__fall=1000.0,
        obligations__fall_multiple=3.0,
    )
    recorder.advance_to(50000.0)
    warm = [f"w{index}" for index in range(6)]
    recorder.publish_endpoints(*warm, *((f"c{index}", 0, EndpointState.READY, 48000.0) for index in range(6)))
    for name in warm:
        recorder.report_load(name, 5)
    policy = recorder.policy
    policy.candidates.refresh(recorder.now)
    record_estimates(recorder, ".1f", policy.table.ready[4:8])
    recorder.report_load("c5", 3)  # more than its share: says nothing about the load of warm endpoints
    policy.table.candidates_chosen_at = -1.0
    policy.candidates.refresh(recorder.now)
    recorder.record(f"mean {policy.load.mean_load[True]:.1f}")
    for request_id in range(4):
        recorder.advance_by(2000.0)
        recorder.request(request_id)
        is_cold = recorder.last_endpoint_id()[0] == "c" and recorder.now < 56000.0
        recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0, took_ms=600.0 if is_cold else 190.0)
    recorder.record(f"stretch {policy.latency.level_slowdowns[0]:.1f}, usual {policy.classes.all[0].typical_latency_ms():.0f}")
    golden.check(recorder.lines, "load_of_warming_endpoints")
