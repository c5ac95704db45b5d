"""Outlier detection: endpoints that fail are ejected, and those that aren't at fault are not."""

from sloeferry.policy.interface import AttemptOutcome
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import OUTCOME_NAMES, PolicyRecorder


def test_endpoint_with_fast_errors_is_ejected(golden: GoldenFiles):
    """Guards against an endpoint that attracts all requests by failing fast: a answers with errors at once and so looks least
    loaded.  It is soon ejected, and health-checked before it is used again."""
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
    golden.check(recorder.lines, "endpoint_with_fast_errors")


def test_corrupt_responses_eject_no_endpoint(golden: GoldenFiles):
    """Guards against ejecting an endpoint whose responses are corrupted on the path: the request is retried, and no endpoint is
    ejected."""
    recorder = PolicyRecorder()
    recorder.publish_endpoints("a", "b")
    for request_id in range(3):
        recorder.request(request_id)
        recorder.end_attempt(request_id, 0, AttemptOutcome.UNKNOWN)
        recorder.end_attempt(request_id, 1, AttemptOutcome.SERVED, 0)
    recorder.policy.health_check_ended(recorder.now, "a", AttemptOutcome.UNKNOWN, 0.5, ())
    endpoints = recorder.policy.table.by_id.values()
    recorder.record(str([(each.endpoint_id, each.consecutive_failures, each.counted_in_flight_until) for each in endpoints]))
    golden.check(recorder.lines, "corrupt_responses")


def test_unresponsive_endpoint(golden: GoldenFiles):
    """Guards against waiting for an unresponsive endpoint: a never answers.  Its idempotent request is retried elsewhere, and no
    other request is sent to it."""
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
    golden.check(recorder.lines, "unresponsive_endpoint")


def test_unsent_health_checks_eject_no_endpoint(golden: GoldenFiles):
    """Guards against ejecting endpoints for the proxy's own lack of connections: endpoints whose health checks were never sent
    stay in use, and unreachable ones are ejected."""
    lines: list[str] = []
    for outcome in (AttemptOutcome.NEVER_SENT, AttemptOutcome.UNREACHABLE):
        recorder = PolicyRecorder()
        recorder.publish_endpoints("a", "b", "c")
        for _ in range(3):
            recorder.policy.health_check_ended(0.0, "a", outcome, 0.0, ())
        used = sorted(each.endpoint_id for each in recorder.policy.candidates.refresh(0.0))
        lines.append(f"{OUTCOME_NAMES[outcome]}: uses {' '.join(used)}")
    golden.check(lines, "unsent_health_checks")
