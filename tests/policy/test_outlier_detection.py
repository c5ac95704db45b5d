"""Endpoints that fail: which are ejected, and which are not at fault."""

from sloeferry.policy.interface import AttemptOutcome
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import OUTCOME_NAMES, PolicyRecorder


def test_quick_errors_draw_no_flood(golden: GoldenFiles):
    """Endpoint a errs at once and so looks least loaded.  It is soon ejected, and checked before it is used again."""
    recorder = PolicyRecorder()
    recorder.publish_endpoints("a", "b", "c")
    for name, in_flight in (("a", 0), ("b", 1), ("c", 1)):
        recorder.report_load(name, in_flight)
    for request_id in range(5):
        recorder.request(request_id, class_index=2)
        if recorder.last_endpoint_id() == "a":
            recorder.end_attempt(request_id, 0, AttemptOutcome.ERROR, 0)
        else:
            recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 1)
        recorder.advance_by(20)
    golden.check(recorder.lines, "quick_errors")


def test_spoilt_responses_eject_nobody(golden: GoldenFiles):
    """Any endpoint may have its responses spoilt on the way.  The request is retried, and no endpoint is ejected for it."""
    recorder = PolicyRecorder()
    recorder.publish_endpoints("a", "b")
    for request_id in range(3):
        recorder.request(request_id)
        recorder.end_attempt(request_id, 0, AttemptOutcome.UNKNOWN)
        recorder.end_attempt(request_id, 1, AttemptOutcome.SERVED, 0)
    recorder.policy.health_check_ended(recorder.now, "a", AttemptOutcome.UNKNOWN, 0.5, ())
    endpoints = recorder.policy.table.by_id.values()
    recorder.record(str([(each.endpoint_id, each.consecutive_failures, each.counted_in_flight_until) for each in endpoints]))
    golden.check(recorder.lines, "spoilt")


def test_silent_endpoint(golden: GoldenFiles):
    """Endpoint a never answers.  Its idempotent request moves on, and nothing new is sent there."""
    recorder = PolicyRecorder(load_info__via="probe", limits__probing=False)
    recorder.publish_endpoints("a", "b", "c", "d")
    for name, in_flight in zip("abcd", (0, 1, 1, 1), strict=True):
        recorder.report_load(name, in_flight)
    recorder.request(1)
    for at in range(100, 1000, 100):
        recorder.advance_to(float(at))
        for name in "bcd":
            recorder.report_load(name, 1)
        if len(recorder.lines) > 2 and "withdraw" in recorder.lines[-1]:
            recorder.end_attempt(1, 0, AttemptOutcome.CANCELLED, took_ms=recorder.now, is_answered=False)
    recorder.request(2)
    golden.check(recorder.lines, "silent")


def test_unsent_health_checks_eject_nobody(golden: GoldenFiles):
    """The proxy had no connection to send health checks on.  Their endpoints are not ejected for that; unreachable ones are."""
    lines: list[str] = []
    for outcome in (AttemptOutcome.NEVER_SENT, AttemptOutcome.UNREACHABLE):
        recorder = PolicyRecorder()
        recorder.publish_endpoints("a", "b", "c")
        for _ in range(3):
            recorder.policy.health_check_ended(0.0, "a", outcome, 0.0, ())
        used = sorted(each.endpoint_id for each in recorder.policy.candidates.refresh(0.0))
        lines.append(f"{OUTCOME_NAMES[outcome]}: uses {' '.join(used)}")
    golden.check(lines, "own_want")
