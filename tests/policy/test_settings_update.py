"""Changes of the settings while requests are in flight."""

import dataclasses

from sloeferry.config.settings import Idempotency
from sloeferry.policy.interface import AttemptOutcome
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder


def test_open_requests_keep_the_settings_they_were_accepted_under(golden: GoldenFiles):
    """Attempt limit and idempotency change while requests are in flight.  Each request ends under those it was accepted under."""
    recorder = PolicyRecorder(limits__most_postings=2)
    recorder.publish_endpoints("a", "b", "c", "d")
    recorder.request(1)
    recorder.request(2)
    before = recorder.policy.settings
    first, *others = before.request_classes
    first = dataclasses.replace(first, idempotency=Idempotency.NON_IDEMPOTENT)
    limits = dataclasses.replace(before.limits, max_attempts=4)
    changed = dataclasses.replace(before, request_classes=(first, *others), limits=limits)
    recorder.record("other settings: scheme 0 is once-only, four postings")
    recorder.policy.update_settings(changed)
    recorder.request(3)
    for request_id in (1, 2, 3):
        recorder.end_attempt(request_id, 0, AttemptOutcome.CONNECTION_LOST)
    recorder.end_attempt(1, 1, AttemptOutcome.CONNECTION_LOST)
    recorder.request(4)
    for attempt_number in range(4):
        recorder.end_attempt(4, attempt_number, AttemptOutcome.UNREACHABLE)
    recorder.advance_to(2000.0)
    golden.check(recorder.lines, "settings_of_open_requests")
