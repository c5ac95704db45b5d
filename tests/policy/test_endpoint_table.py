"""The endpoint table: the lifetime of its entries."""

from sloeferry.policy.interface import AttemptOutcome
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

UNANSWERED_REQUEST = 7


def test_gone_endpoints_are_dropped(golden: GoldenFiles):
    """Guards against memory that grows with every new endpoint id: a gone endpoint without attempts in flight is dropped
    everywhere."""
    recorder = PolicyRecorder()
    for request_id in range(50):
        recorder.publish_endpoints(f"b{request_id}", f"b{request_id + 1}")
        recorder.request(request_id)
        if request_id != UNANSWERED_REQUEST:
            recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0)
    policy = recorder.policy
    recorder.advance_to(2000.0)
    recorder.lines[:-1] = []
    recorder.record(
        f"{len(policy.table.by_id)} {len(policy.table.ready)} {len(policy.table.active)} backends, "
        f"{len(policy.requests.by_id)} txn, {len(policy.timers)} timers"
    )
    golden.check(recorder.lines, "gone_endpoints_are_dropped")
