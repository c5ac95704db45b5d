"""The decision log: bounded, and exact in what it counts."""

import json
import types

from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.decision_log.decision_log import MAX_ENTRIES, DecisionLog
from tests.support.golden import GoldenFiles

ALL_TIME_MS = 1e9
EVENTS = st.sampled_from(["set", "list", "take", "end", "post", "refuse"])


def request_of(request_id: float) -> types.SimpleNamespace:
    """A request on its way."""
    return types.SimpleNamespace(request_id=request_id)


def described(log: DecisionLog, event: str, now: float) -> list[str]:
    """What the log holds, and what was done under each version."""
    current, acted = log.current(now), log.recent_entries(now, ALL_TIME_MS)
    lines = [f"{now:6.0f}  {event}: confirmed {current['confirmed_ms']} ms ago, {current['open']} open"]
    for kind in ("settings", "lists"):
        lines += [f"          {kind[:4]} {entry}" for entry in acted[kind]]
    lines += [f"          refused {entry}" for entry in acted["refused"]]
    return lines


def test_course(golden: GoldenFiles):
    """Settings, lists that go on, back and anew, a refusal, and requests that outlive their settings."""
    lines: list[str] = []
    log = DecisionLog(0.0, "program")
    log.settings_applied(0.0, "s-a", "start")
    log.list_applied(10.0, 41, "l-a", "known")
    log.request_accepted(20.0, request_of(1))
    log.attempt_sent(20.0)
    lines += described(log, "one txn", 25.0)
    log.list_applied(30.0, 42, "l-b", "discovery")
    log.settings_applied(40.0, "s-b", "SIGHUP")
    log.request_accepted(50.0, request_of(2))
    log.attempt_sent(50.0)
    log.request_ended(request_of(2), True)
    lines += described(log, "newer ones of both; the first txn keeps its settings", 60.0)
    log.refused(70.0, "settings", "no JSON")
    log.request_ended(request_of(1), True)
    log.settings_applied(80.0, "s-a", "SIGHUP")
    lines += described(log, "rolled back: an older digest, a newer generation", 90.0)
    log.list_applied(100.0, 42, "l-b", "discovery")
    lines += described(log, "the same list again only confirms", 100.0)
    log.list_applied(110.0, 7, "l-c", "discovery")
    lines += described(log, "the count goes back: lost, or a replica that lags", 120.0)
    log.list_applied(130.0, 7, "l-d", "discovery")
    lines += described(log, "one revision that says two things", 140.0)
    lines.append(f"of the last 15 ms: {[entry['revision'] for entry in log.recent_entries(140.0, 15.0)['lists']]}")
    golden.check(lines, "versions_ledger")


def test_cached_is_not_confirmed():
    """A cached list is nobody's word that it stands: how long this process has been up tells nothing of it."""
    log = DecisionLog(0.0, "program")
    log.list_applied(10.0, 41, "l-a", "known")
    assert log.current(20.0)["confirmed_ms"] is None
    log.list_applied(30.0, 41, "l-a", "discovery")
    assert log.current(40.0)["confirmed_ms"] == 10


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(EVENTS, st.integers(0, 9)), max_size=400))
def test_counts(events: list[tuple[str, int]]):
    """Whatever happens it stays bounded, and each request and attempt is counted once, where it belongs."""
    log = DecisionLog(0.0, "")
    now, taken, sent = 0.0, 0, 0
    in_flight: set[float] = set()
    log.settings_applied(0.0, "0", "start")
    for event, number in events:
        now += 1.0
        if event == "set":
            log.settings_applied(now, str(number), "x")
        elif event == "list":
            log.list_applied(now, number, str(number % 3), "x")
        elif event == "take" and now not in in_flight:
            log.request_accepted(now, request_of(now))
            in_flight.add(now)
            taken += 1
        elif event == "end" and in_flight:
            log.request_ended(request_of(in_flight.pop()), True)
        elif event == "post" and log.lists:
            log.attempt_sent(now)
            sent += 1
        elif event == "refuse":
            log.refused(now, "settings", "x" * 1000)
    assert sum(entry.open_requests for entry in log.settings) == len(in_flight)
    assert len(log.refusals) <= MAX_ENTRIES
    assert sum(not entry.open_requests for entry in log.settings) <= MAX_ENTRIES
    if not log.dropped:
        assert sum(entry.action_count for entry in log.settings) == taken
        assert sum(entry.action_count for entry in log.lists) == sent
    generations = [entry.version.generation for entry in log.settings]
    assert generations == sorted(generations)


def test_bound():
    """A thousand versions cost what MAX_ENTRIES cost; one with open requests is kept."""
    log = DecisionLog(0.0, "")
    log.settings_applied(0.0, "first", "start")
    log.request_accepted(0.0, request_of(1))
    for number in range(1000):
        log.settings_applied(float(number), str(number), "SIGHUP")
        log.list_applied(float(number), number, str(number), "discovery")
    assert (len(log.settings), len(log.lists)) == (MAX_ENTRIES, MAX_ENTRIES)
    assert (log.settings[0].version.generation, log.settings[-1].version.generation) == (1, 1001)
    assert len(json.dumps(log.recent_entries(2000.0, ALL_TIME_MS))) < 60_000
