"""Retries and hedged requests."""

from sloeferry.policy.interface import AttemptOutcome
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder


def test_overtaken_attempt_is_hedged(golden: GoldenFiles):
    """A connection is silent while its endpoint works: three requests sent there later are served.  The first request is hedged
    at another endpoint, and its timeout does not change the learned slowdown of its own endpoint."""
    recorder = PolicyRecorder(limits__second_copies=True, limits__probing=True, tariffs__probe=1.0)
    recorder.publish_endpoints("a")
    recorder.request(0)
    for request_id in (1, 2, 3):
        recorder.advance_by(10)
        recorder.request(request_id)
        recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0)
    recorder.publish_endpoints("a", "b")
    for _ in range(11):
        recorder.advance_by(50)
        for name in "ab":
            recorder.report_load(name, 0)
    recorder.end_attempt(0, 1, AttemptOutcome.SERVED, 0)
    recorder.end_attempt(0, 0, AttemptOutcome.TIMED_OUT, is_answered=True, took_ms=1000.0)
    recorder.record(f"pace of a {recorder.policy.table.by_id['a'].slowdown:.1f}")
    golden.check(recorder.lines, "overtaken")
