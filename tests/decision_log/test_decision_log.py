"""Tests of the decision log: its counts are exact and its size is bounded."""

import json
import types

from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.decision_log.decision_log import MAX_ENTRIES, DecisionLog
from tests.support.golden import GoldenFiles

ALL_TIME_MS = 1e9
EVENTS = st.sampled_from(["settings", "list", "accept", "end", "send", "refuse"])


def request_of(request_id: float) -> types.SimpleNamespace:
    """Return an open request with this id."""
    return types.SimpleNamespace(request_id=request_id)


def describe(log: DecisionLog, event: str, now: float) -> list[str]:
    """Return lines that describe the log's entries and their counts."""
    current, acted = log.current(now), log.recent_entries(now, ALL_TIME_MS)
    lines = [f"{now:6.0f}  {event}: confirmed {current['confirmed_ms']} ms ago, {current['open']} open"]
    for kind in ("settings", "lists"):
        lines += [f"          {kind[:4]} {entry}" for entry in acted[kind]]
    lines += [f"          refused {entry}" for entry in acted["refused"]]
    return lines


def test_entries_after_changes_rollbacks_and_refusals(golden: GoldenFiles):
    """Records lists whose revision rises, falls and repeats, a refusal, and requests that outlive their settings."""
    lines: list[str] = []
    log = DecisionLog(0.0, "program")
    log.settings_applied(0.0, "s-a", "start")
    log.list_applied(10.0, 41, "l-a", "known")
    log.request_accepted(20.0, request_of(1))
    log.attempt_sent(20.0)
    lines += describe(log, "one txn", 25.0)
    log.list_applied(30.0, 42, "l-b", "discovery")
    log.settings_applied(40.0, "s-b", "SIGHUP")
    log.request_accepted(50.0, request_of(2))
    log.attempt_sent(50.0)
    log.request_ended(request_of(2), True)
    lines += describe(log, "newer ones of both; the first txn keeps its settings", 60.0)
    log.refused(70.0, "settings", "no JSON")
    log.request_ended(request_of(1), True)
    log.settings_applied(80.0, "s-a", "SIGHUP")
    lines += describe(log, "rolled back: an older digest, a newer generation", 90.0)
    log.list_applied(100.0, 42, "l-b", "discovery")
    lines += describe(log, "the same list again only confirms", 100.0)
    log.list_applied(110.0, 7, "l-c", "discovery")
    lines += describe(log, "the count goes back: lost, or a replica that lags", 120.0)
    log.list_applied(130.0, 7, "l-d", "discovery")
    lines += describe(log, "one revision that says two things", 140.0)
    lines.append(f"of the last 15 ms: {[entry['revision'] for entry in log.recent_entries(140.0, 15.0)['lists']]}")
    golden.check(lines, "entries_after_changes_rollbacks_and_refusals")


def test_cached_list_is_unconfirmed_until_discovery_sends_it():
    """A list from the cache has no confirmation time; the process's start must not count as one."""
    log = DecisionLog(0.0, "program")
    log.list_applied(10.0, 41, "l-a", "known")
    assert log.current(20.0)["confirmed_ms"] is None
    log.list_applied(30.0, 41, "l-a", "discovery")
    assert log.current(40.0)["confirmed_ms"] == 10


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(EVENTS, st.integers(0, 9)), max_size=400))
def test_counts_are_exact_for_any_events(events: list[tuple[str, int]]):
    """Under any sequence of events the log stays bounded and counts each request and attempt once, for its own version."""
    log = DecisionLog(0.0, "")
    now, accepted, sent = 0.0, 0, 0
    in_flight: set[float] = set()
    log.settings_applied(0.0, "0", "start")
    for event, number in events:
        now += 1.0
        if event == "settings":
            log.settings_applied(now, str(number), "x")
        elif event == "list":
            log.list_applied(now, number, str(number % 3), "x")
        elif event == "accept" and now not in in_flight:
            log.request_accepted(now, request_of(now))
            in_flight.add(now)
            accepted += 1
        elif event == "end" and in_flight:
            log.request_ended(request_of(in_flight.pop()), True)
        elif event == "send" and log.lists:
            log.attempt_sent(now)
            sent += 1
        elif event == "refuse":
            log.refused(now, "settings", "x" * 1000)
    assert sum(entry.open_requests for entry in log.settings) == len(in_flight)
    assert len(log.refusals) <= MAX_ENTRIES
    assert sum(not entry.open_requests for entry in log.settings) <= MAX_ENTRIES
    if not log.dropped:
        assert sum(entry.action_count for entry in log.settings) == accepted
        assert sum(entry.action_count for entry in log.lists) == sent
    generations = [entry.version.generation for entry in log.settings]
    assert generations == sorted(generations)


def test_log_keeps_newest_entries_and_those_with_open_requests():
    """After a thousand versions MAX_ENTRIES are left; one with an open request is among them."""
    log = DecisionLog(0.0, "")
    log.settings_applied(0.0, "first", "start")
    log.request_accepted(0.0, request_of(1))
    for number in range(1000):
        log.settings_applied(float(number), str(number), "SIGHUP")
        log.list_applied(float(number), number, str(number), "discovery")
    assert (len(log.settings), len(log.lists)) == (MAX_ENTRIES, MAX_ENTRIES)
    assert (log.settings[0].version.generation, log.settings[-1].version.generation) == (1, 1001)
    assert len(json.dumps(log.recent_entries(2000.0, ALL_TIME_MS))) < 60_000
