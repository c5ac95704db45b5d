"""The load estimate: the latest report plus own sends begun after it, and what stands in where there is none."""

from collections.abc import Iterable

from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.interface import AttemptOutcome, EndpointState
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder


def record_estimates(recorder: PolicyRecorder, form: str, endpoints: Iterable[Endpoint] | None = None) -> None:
    """The load estimate of each endpoint, in that number format."""
    policy = recorder.policy
    shown = policy.table.by_id.values() if endpoints is None else endpoints
    recorder.record(" ".join(f"{each.endpoint_id}={policy.load.estimate(each, recorder.now):{form}}" for each in shown))


def test_report_plus_own_sends(golden: GoldenFiles):
    """The latest report plus own sends begun after it; without a fresh report, the mean of fresh ones plus own attempts out."""
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
    golden.check(recorder.lines, "estimate")


def test_old_reports_fade(golden: GoldenFiles):
    """One endpoint reported itself empty and nothing since.  That must not draw every request: its estimate goes to the mean."""
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
    golden.check(recorder.lines, "fading")


def test_one_report_is_not_the_fleets_load(golden: GoldenFiles):
    """One of forty proxies sends a request now and then, and its last report was high.  That report is not the fleet's load;
    where no health check may be sent, the proxy still sends its part of one request an endpoint."""
    recorder = PolicyRecorder(instances=40, tariffs__probe=1.0, limits__probing=True)
    recorder.publish_endpoints(*(f"b{index}" for index in range(60)))
    for request_id, in_flight in enumerate((1, 0, 1, 6)):
        recorder.advance_to(250.0 * request_id)
        recorder.request(request_id)
        recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, in_flight)
    recorder.policy.candidates.refresh(recorder.now)
    recorder.record(f"mean {recorder.policy.load.mean_load[True]:.1f}")
    recorder.policy.load.mean_load = [9.0, 9.0]
    recorder.policy.table.candidates_chosen_at = recorder.now + 500.0  # all look full, and nothing newer comes
    for request_id in range(4, 8):
        recorder.request(request_id)
    recorder.advance_by(400.0)
    golden.check(recorder.lines, "one_report")


def test_endpoints_that_warm_up_hold_less(golden: GoldenFiles):
    """Half of the fleet has just started and nobody has heard of it.  Of the load that all share an endpoint that warms up holds
    less, so it is tried; how long it takes meanwhile says nothing of the queues elsewhere."""
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
    recorder.report_load("c5", 3)  # more than its part: no word on what the others hold
    policy.table.candidates_chosen_at = -1.0
    policy.candidates.refresh(recorder.now)
    recorder.record(f"mean {policy.load.mean_load[True]:.1f}")
    for request_id in range(4):
        recorder.advance_by(2000.0)
        recorder.request(request_id)
        is_cold = recorder.last_endpoint_id()[0] == "c" and recorder.now < 56000.0
        recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0, took_ms=600.0 if is_cold else 190.0)
    recorder.record(f"stretch {policy.latency.level_slowdowns[0]:.1f}, usual {policy.classes.all[0].typical_latency_ms():.0f}")
    golden.check(recorder.lines, "cold_part")
