"""Health checks for requests: before one is sent to an endpoint, and while it takes long there."""

from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder


def test_long_request_is_checked_and_not_replaced(golden: GoldenFiles):
    """An endpoint is silent only because its one request takes long.  It is checked; it answers, so the request stays there."""
    recorder = PolicyRecorder(limits__probing=True, tariffs__probe=0.002, limits__second_copies=False)
    recorder.publish_endpoints("a", "b")
    for name in "ab":
        recorder.report_load(name, 0)
    recorder.request(1)
    endpoint_id = recorder.last_endpoint_id()
    while recorder.now < 600.0:
        recorder.advance_by(1)
        if "probe" in recorder.lines[-1]:
            recorder.report_load(endpoint_id, 1)
            recorder.record(f"   {endpoint_id} answers")
    golden.check(recorder.lines, "long_request")


def test_checks_continue_until_an_endpoint_is_idle(golden: GoldenFiles):
    """The first endpoints checked are busy.  Others are checked instead of holding or rejecting the request."""
    recorder = PolicyRecorder(limits__probing=True, tariffs__probe=0.002)
    recorder.publish_endpoints(*"abcdefgh")
    recorder.request(1)
    answered: list[str] = []
    for _ in range(3):
        for line in [line for line in recorder.lines if "probe" in line and line not in answered]:
            answered.append(line)
            endpoint_id = line[-1]
            recorder.report_load(endpoint_id, 0 if endpoint_id in "gh" else 3)
    golden.check(recorder.lines, "health_checks_until_idle")
