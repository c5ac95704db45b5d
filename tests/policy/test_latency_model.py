"""How long a request is expected to take: what is learned of it, and how that fades."""

from sloeferry.policy.interface import AttemptOutcome
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder


def test_late_start(golden: GoldenFiles):
    """All that was sent to busy endpoints came late while the proxy started.  It goes on sending there."""
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
    golden.check(recorder.lines, "late_start")


def test_crowded_endpoint_teaches_what_it_took(golden: GoldenFiles):
    """A request sent although all endpoints look busy was expected to take as long as the queue there.  What it took is learned,
    so that the expectation does not stand for ever."""
    recorder = PolicyRecorder(instances=40, tariffs__probe=1.0, limits__probing=True)
    recorder.publish_endpoints("a")
    recorder.policy.candidates.refresh(recorder.now)
    recorder.policy.load.mean_load = [9.0, 9.0]
    recorder.policy.table.candidates_chosen_at = 500.0
    recorder.request(0)
    recorder.end_attempt(0, 0, AttemptOutcome.SERVED, 4, took_ms=900.0)
    recorder.record(f"a tenth end within {recorder.policy.latency.spread.quantile(0.1):.2f} of what is expected")
    golden.check(recorder.lines, "crowded_teaches")


def test_learned_slowdown_fades(golden: GoldenFiles):
    """An endpoint was found four times slower than others.  That is believed ever less, or it would never be used again."""
    recorder = PolicyRecorder()
    recorder.publish_endpoints("a", "b")
    endpoint = recorder.policy.table.by_id["a"]
    endpoint.slowdown = 4.0
    endpoint.learned_at = 0.0
    for now in (0.0, 4000.0, 16000.0, 40000.0):
        recorder.advance_to(now)
        recorder.record(f"pace {recorder.policy.latency.slowdown(endpoint, now):.2f}")
    golden.check(recorder.lines, "pace")
