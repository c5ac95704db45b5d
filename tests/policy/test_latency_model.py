"""The expected latency of attempts: what it is learned from, and its decay."""

from sloeferry.policy.interface import AttemptOutcome
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder


def test_late_attempts_at_startup(golden: GoldenFiles):
    """Guards against a proxy that stops sending for good: all attempts at busy endpoints were late while it started, and the
    slowdown learned from them would reject every later request."""
    recorder = PolicyRecorder(limits__probing=True)
    recorder.publish_endpoints("a", "b")
    policy = recorder.policy
    policy.arrivals.mean_gap_ms = 2.0
    for _ in range(12):
        policy.latency.level_ratios[1].add(5.2)
    policy.latency.refresh()
    recorder.record(" ".join(f"{factor:.1f}" for factor in policy.latency.level_slowdowns))
    for name in "ab":
        recorder.report_load(name, 1)
    recorder.request(1)
    golden.check(recorder.lines, "late_attempts_at_startup")


def test_latency_of_an_overloaded_endpoint_is_learned(golden: GoldenFiles):
    """Guards against a permanently wrong expectation: a request is sent although all endpoints look overloaded, and the latency
    expected for that load is corrected by the measured one."""
    recorder = PolicyRecorder(instances=40, tariffs__probe=1.0, limits__probing=True)
    recorder.publish_endpoints("a")
    recorder.policy.candidates.refresh(recorder.now)
    recorder.policy.load.mean_load = [9.0, 9.0]
    recorder.policy.table.candidates_chosen_at = 500.0
    recorder.request(0)
    recorder.end_attempt(0, 0, AttemptOutcome.SERVED, 4, took_ms=900.0)
    recorder.record(f"a tenth end within {recorder.policy.latency.spread.quantile(0.1):.2f} of what is expected")
    golden.check(recorder.lines, "latency_of_overloaded_endpoint")


def test_learned_slowdown_decays(golden: GoldenFiles):
    """Guards against never using an endpoint again: one was found four times slower than others, and its slowdown decays."""
    recorder = PolicyRecorder()
    recorder.publish_endpoints("a", "b")
    endpoint = recorder.policy.table.by_id["a"]
    endpoint.slowdown = 4.0
    endpoint.learned_at = 0.0
    for now in (0.0, 4000.0, 16000.0, 40000.0):
        recorder.advance_to(now)
        recorder.record(f"pace {recorder.policy.latency.slowdown(endpoint, now):.2f}")
    golden.check(recorder.lines, "learned_slowdown_decays")
