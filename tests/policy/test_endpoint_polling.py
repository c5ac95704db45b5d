"""Polling of discovery, and the use of an endpoint list that is out of date."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.policy.endpoint_staleness import SOCKET_LIMITS, WATCH_DELAY_MS, PollEnd
from sloeferry.policy.interface import AttemptOutcome, ListScope
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

PROXIES = 40  # restarted at the same time
SIMULATED_MS = 6000.0


def poll_times(seed: int) -> tuple[list[float], list[float]]:
    """Return the sorted times in ms of all proxies' first polls and of their further polls, if every poll fails."""
    first: list[float] = []
    further: list[float] = []
    for ordinal in range(PROXIES):
        recorder = PolicyRecorder(
            instances=PROXIES, ordinal=ordinal, seed=seed + ordinal, discovery="subscribe", obligations__must_ask_in=10000.0
        )
        recorder.publish_endpoints("a", scope=ListScope.CACHED)
        poll_count, fails_at = 0, None
        while recorder.now < SIMULATED_MS:
            recorder.advance_by(5.0)
            for line in recorder.lines[poll_count:]:
                (further if poll_count else first).append(float(line.split()[0]))
                fails_at = recorder.now + 2000.0  # a poll is queued by discovery and rejected
                poll_count += 1
            if recorder.now == fails_at:
                recorder.publish_endpoints(scope=ListScope.POLL_FAILED)
    return sorted(first), sorted(further)


def test_polls_of_a_restarted_fleet_are_spread_out(golden: GoldenFiles):
    """Forty proxies restart at once.  Their first polls spread over a quarter of the longest time allowed between two polls,
    further ones at random."""
    lines: list[str] = []
    for name, times in zip(("first", "further"), poll_times(seed=7), strict=True):
        counts = [sum(begin <= at < begin + 500.0 for at in times) for begin in range(0, 6000, 500)]
        lines.append(f"{name} calls by half second: {' '.join(map(str, counts))}")
    golden.check(lines, "polls_after_fleet_restart")


@settings(max_examples=5, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 32))
def test_at_most_half_of_the_fleet_polls_in_a_quarter_second(seed: int):
    """For any seeds, at most half of the fleet polls within a quarter of a second."""
    for times in poll_times(seed):
        max_polls = max(sum(begin <= at < begin + 250 for at in times) for begin in times)
        assert max_polls <= PROXIES / 2, times


def test_failed_polls_are_repeated_with_backoff(golden: GoldenFiles):
    """Polls fail or remain unanswered.  They are repeated after growing, random backoffs until a list arrives."""
    recorder = PolicyRecorder(discovery="subscribe", obligations__must_ask_in=8000.0, instances=4, ordinal=2)
    recorder.publish_endpoints("a", scope=ListScope.CACHED)
    for _ in range(3):
        recorder.advance_by(2500)
        recorder.publish_endpoints(scope=ListScope.POLL_FAILED)
    recorder.advance_to(30000.0)
    recorder.publish_endpoints("a", scope=ListScope.COMPLETE)
    recorder.advance_to(90000.0)
    golden.check(recorder.lines, "poll_backoff")


def test_nothing_is_sent_once_a_silent_watch_may_have_missed_a_change(golden: GoldenFiles):
    """A watch is silent, so it may have missed a change.  From the time at which that change counts as notified nothing is sent,
    even if polls fail meanwhile, until a list arrives."""
    recorder = PolicyRecorder(discovery="subscribe", obligations__must_ask_in=40000.0, limits=SOCKET_LIMITS)
    staleness = recorder.policy.polling.staleness
    recorder.publish_endpoints("a")
    staleness.confirmed(WATCH_DELAY_MS)  # its list is certainly true up to the start of the test
    recorder.request(0)
    recorder.end_attempt(0, 0, AttemptOutcome.SERVED, 0)
    recorder.advance_to(2500.0)
    staleness.watch_silent(WATCH_DELAY_MS)
    recorder.publish_endpoints(scope=ListScope.POLL_FAILED)
    recorder.advance_to(5900.0)
    recorder.request(1)
    recorder.end_attempt(1, 0, AttemptOutcome.SERVED, 0)
    recorder.advance_to(6100.0)
    staleness.poll_failed(6100.0, PollEnd.REFUSED, 6100.0, 6100.0)
    recorder.publish_endpoints(scope=ListScope.POLL_FAILED)
    recorder.request(2)
    recorder.advance_to(9000.0)
    recorder.publish_endpoints("a")
    staleness.confirmed(9000.0)
    recorder.request(3)
    golden.check(recorder.lines, "silent_watch")
