"""When discovery is polled, and what a list that is out of date allows."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.policy.endpoint_staleness import SOCKET_LIMITS, WATCH_DELAY_MS, PollEnd
from sloeferry.policy.interface import AttemptOutcome, ListScope
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

PROXIES = 40  # that restart at once
TIME_PLAYED_MS = 6000.0


def poll_times(seed: int) -> tuple[list[float], list[float]]:
    """When each proxy polls (ms) if no poll is answered: first polls, further ones; in order."""
    first: list[float] = []
    further: list[float] = []
    for ordinal in range(PROXIES):
        recorder = PolicyRecorder(
            instances=PROXIES, ordinal=ordinal, seed=seed + ordinal, discovery="subscribe", obligations__must_ask_in=10000.0
        )
        recorder.list_endpoints("a", scope=ListScope.CACHED)
        poll_count, fails_at = 0, None
        while recorder.now < TIME_PLAYED_MS:
            recorder.advance_by(5.0)
            for line in recorder.lines[poll_count:]:
                (further if poll_count else first).append(float(line.split()[0]))
                fails_at = recorder.now + 2000.0  # a poll waits its turn and is rejected
                poll_count += 1
            if recorder.now == fails_at:
                recorder.list_endpoints(scope=ListScope.POLL_FAILED)
    return sorted(first), sorted(further)


def test_all_restart_at_once(golden: GoldenFiles):
    """All forty proxies restart at once.  Their first polls spread over a quarter of the patience, further ones by chance."""
    lines: list[str] = []
    for name, times in zip(("first", "further"), poll_times(seed=7), strict=True):
        counts = [sum(begin <= at < begin + 500.0 for at in times) for begin in range(0, 6000, 500)]
        lines.append(f"{name} calls by half second: {' '.join(map(str, counts))}")
    golden.check(lines, "restart_at_once")


@settings(max_examples=5, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 32))
def test_polls_never_bunch(seed: int):
    """Whatever the seeds, never more than half of the fleet polls in a quarter second."""
    for times in poll_times(seed):
        fullest = max(sum(begin <= at < begin + 250 for at in times) for begin in times)
        assert fullest <= PROXIES / 2, times


def test_failed_polls_back_off(golden: GoldenFiles):
    """Polls fail, or are not answered.  They are repeated after growing, random backoffs; a list ends the polling."""
    recorder = PolicyRecorder(discovery="subscribe", obligations__must_ask_in=8000.0, instances=4, ordinal=2)
    recorder.list_endpoints("a", scope=ListScope.CACHED)
    for _ in range(3):
        recorder.advance_by(2500)
        recorder.list_endpoints(scope=ListScope.POLL_FAILED)
    recorder.advance_to(30000.0)
    recorder.list_endpoints("a", scope=ListScope.COMPLETE)
    recorder.advance_to(90000.0)
    golden.check(recorder.lines, "subscription")


def test_what_a_silent_watch_missed(golden: GoldenFiles):
    """From when a silent watch counts as notified nothing is sent, whatever polls fail meanwhile.  A list ends that."""
    recorder = PolicyRecorder(discovery="subscribe", obligations__must_ask_in=40000.0, limits=SOCKET_LIMITS)
    staleness = recorder.policy.polling.staleness
    recorder.list_endpoints("a")
    staleness.confirmed(WATCH_DELAY_MS)  # what it says is true for certain until the beginning
    recorder.request(0)
    recorder.end_attempt(0, 0, AttemptOutcome.SERVED, 0)
    recorder.advance_to(2500.0)
    staleness.watch_silent(WATCH_DELAY_MS)
    recorder.list_endpoints(scope=ListScope.POLL_FAILED)
    recorder.advance_to(5900.0)
    recorder.request(1)
    recorder.end_attempt(1, 0, AttemptOutcome.SERVED, 0)
    recorder.advance_to(6100.0)
    staleness.poll_failed(6100.0, PollEnd.REFUSED, 6100.0, 6100.0)
    recorder.list_endpoints(scope=ListScope.POLL_FAILED)
    recorder.request(2)
    recorder.advance_to(9000.0)
    recorder.list_endpoints("a")
    staleness.confirmed(9000.0)
    recorder.request(3)
    golden.check(recorder.lines, "crossing_missed")
