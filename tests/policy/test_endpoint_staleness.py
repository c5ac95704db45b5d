"""Staleness of the endpoint list (safety rule 3), for each event that interrupts the notification of changes."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.policy.endpoint_staleness import (
    ENDED_WATCH_NOTIFICATION_LIMIT_MS,
    MAX_GAPLESS_MS,
    NOTIFICATION_LIMIT_MS,
    SOCKET_LIMITS,
    WATCH_DELAY_MS,
    ListStaleness,
    PollEnd,
    StalenessCause,
    StalenessLimits,
)

POLL_WITHIN_MS = 10000.0
CONFIRMED_AT = 10000.0  # ms; last message of the watch
TRUSTED_UNTIL = CONFIRMED_AT - WATCH_DELAY_MS
OUT_OF_REACH = (PollEnd.UNREACHABLE, PollEnd.UNANSWERED)


def staleness_of_watched_list(poll_within_ms: float = POLL_WITHIN_MS, is_polled: bool = True) -> ListStaleness:
    """Return the staleness of a list whose watch last sent a message at CONFIRMED_AT."""
    staleness = ListStaleness(0.0, poll_within_ms, is_polled, SOCKET_LIMITS)
    staleness.confirmed(CONFIRMED_AT)
    return staleness


def test_established_watch():
    """An established watch is trusted from one message to the next, and the list for the notification limit after the last."""
    staleness = staleness_of_watched_list()
    assert (staleness.usable_until, staleness.cause) == (TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS, StalenessCause.WATCHED)


def test_ended_watch():
    """A watch may end instead of sending a change.  The limit for that change is shorter, and a later poll doesn't extend it."""
    staleness = staleness_of_watched_list()
    staleness.watch_ended(11900.0, was_reset=True)
    deadline = 11900.0 - WATCH_DELAY_MS + ENDED_WATCH_NOTIFICATION_LIMIT_MS
    assert (staleness.usable_until, staleness.cause) == (deadline, StalenessCause.WATCH_ENDED)
    staleness.poll_began(12000.0)
    staleness.poll_failed(deadline + 1, PollEnd.REFUSED, 12000.0, 12000.0)
    assert staleness.usable_until == deadline


def test_refused_poll():
    """A refused poll shows that discovery is reachable: no later event extends the notification limit."""
    staleness = staleness_of_watched_list()
    staleness.watch_ended(10000.0, was_reset=True)
    for at, end in ((10200.0, PollEnd.REFUSED), (12000.0, PollEnd.UNANSWERED), (14000.0, PollEnd.UNREACHABLE)):
        staleness.poll_failed(at, end, at - 50.0, at - 50.0)
        assert staleness.usable_until == TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS
    assert not staleness.is_usable(TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS + 1)


@pytest.mark.parametrize("end", OUT_OF_REACH)
def test_outage(end: PollEnd):
    """Discovery is out of reach from the watch's end on, so that no change is missed meanwhile.  Once it is reachable, the limit
    runs from the last poll that found it out of reach."""
    staleness = staleness_of_watched_list()
    staleness.watch_ended(10000.0, was_reset=True)
    for began in (10150.0, 14000.0, 18000.0):
        staleness.poll_failed(began + 1000.0, end, began, began)
        assert (staleness.usable_until, staleness.cause) == (began + NOTIFICATION_LIMIT_MS, StalenessCause.DISCOVERY_UNREACHABLE)
    staleness.poll_failed(21000.0, PollEnd.REFUSED, 20999.0, 20999.0)
    staleness.poll_failed(23000.0, end, 22000.0, 22000.0)
    assert staleness.usable_until == 18000.0 + NOTIFICATION_LIMIT_MS


def test_outage_detected_late():
    """An outage is detected only by a poll: the list, stale until then, is usable again."""
    staleness = staleness_of_watched_list()
    staleness.watch_ended(10000.0, was_reset=True)
    assert not staleness.is_usable(TRUSTED_UNTIL + ENDED_WATCH_NOTIFICATION_LIMIT_MS + 1)
    staleness.poll_failed(12300.0, PollEnd.UNANSWERED, 10150.0, 10150.0)
    assert staleness.is_usable(12300.0)


def test_waiting_poll():
    """A poll that keeps waiting shows an outage before it ends, but not after a refused poll."""
    staleness = staleness_of_watched_list()
    staleness.watch_ended(10000.0, was_reset=True)
    staleness.poll_waiting(10060.0, 10060.0)
    assert (staleness.usable_until, staleness.cause) == (10060.0 + NOTIFICATION_LIMIT_MS, StalenessCause.DISCOVERY_UNREACHABLE)
    staleness = staleness_of_watched_list()
    staleness.watch_ended(10000.0, was_reset=True)
    staleness.poll_failed(10100.0, PollEnd.REFUSED, 10090.0, 10090.0)
    staleness.poll_waiting(10600.0, 10600.0)
    assert staleness.usable_until == TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS


def test_poll_that_reconnects():
    """One poll reconnects repeatedly.  Each failed connection extends the limit if the poll left no gap after the watch."""
    staleness = staleness_of_watched_list()
    staleness.watch_ended(10000.0, was_reset=True)
    for connected_at in (10060.0, 12000.0, 30000.0):
        assert staleness.dial_failed(10060.0, connected_at)
        assert staleness.usable_until == connected_at + NOTIFICATION_LIMIT_MS


def test_gap_before_the_outage():
    """A change may have been missed between the watch's end and the first poll, so that no outage is assumed."""
    staleness = staleness_of_watched_list()
    staleness.watch_ended(10000.0, was_reset=True)
    staleness.poll_failed(11500.0, PollEnd.UNANSWERED, 10000.0 + MAX_GAPLESS_MS + 1, 10000.0 + MAX_GAPLESS_MS + 1)
    assert staleness.usable_until == TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS


@pytest.mark.parametrize("started_by", ["start", "orderly end"])
def test_crowded_discovery_is_no_outage(started_by: str):
    """Guards against sending to an endpoint long after its drain counts as notified, while discovery has too many callers.

    Such a discovery lets polls wait and ends them with 503.  It can be reached, so that the limit holds whatever polls fail.
    """
    if started_by == "start":
        staleness, limit = ListStaleness(500.0, POLL_WITHIN_MS, True, SOCKET_LIMITS), 500.0 + NOTIFICATION_LIMIT_MS
        began = 600.0
    else:
        staleness, limit = staleness_of_watched_list(), TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS
        staleness.watch_ended(10000.0, was_reset=False)
        began = 10100.0
    for number in range(12):
        waits_since = began + number * 1500.0
        assert not staleness.poll_waiting(waits_since, waits_since)
        staleness.poll_failed(waits_since + 1000.0, PollEnd.UNANSWERED, waits_since, waits_since)
        assert staleness.usable_until == limit
    assert not staleness.is_usable(limit + 1)


def test_start_during_an_outage():
    """A process that starts while discovery cannot be reached sends by its cached list for as long as no connection comes up."""
    staleness = ListStaleness(500.0, POLL_WITHIN_MS, True, SOCKET_LIMITS)
    for tried_at in (600.0, 3000.0, 9000.0):
        assert staleness.dial_failed(600.0, tried_at)
        assert staleness.usable_until == tried_at + NOTIFICATION_LIMIT_MS
    staleness.poll_failed(9500.0, PollEnd.UNREACHABLE, 600.0, 9000.0)
    staleness.poll_failed(12000.0, PollEnd.UNANSWERED, 11000.0, 11000.0)  # the outage goes on
    assert staleness.usable_until == 11000.0 + NOTIFICATION_LIMIT_MS


def test_silent_watch():
    """A silent watch is broken, which shows no outage.  No failed poll extends the limit, and polls follow without backoff."""
    staleness = staleness_of_watched_list()
    staleness.watch_silent(10000.0)
    assert staleness.is_watch_overdue
    for end in PollEnd:
        staleness.poll_failed(13000.0, end, 12900.0, 12900.0)
    assert staleness.usable_until == TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS


def test_silent_poll():
    """A poll that is accepted and never answered counts as a silent watch from its request on."""
    staleness = staleness_of_watched_list()
    staleness.watch_ended(10000.0, was_reset=True)
    staleness.poll_failed(10200.0, PollEnd.REFUSED, 10150.0, 10150.0)
    staleness.watch_silent(10400.0)
    assert (staleness.usable_until, staleness.is_watch_overdue) == (TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS, True)


@pytest.mark.parametrize(("is_polled", "span_ms"), [(True, NOTIFICATION_LIMIT_MS), (False, 4000.0)], ids=["polled", "pushed"])
def test_discovery_moved(is_polled: bool, span_ms: float):
    """After a move of discovery the former watch confirms nothing; where lists are pushed the limit is shorter."""
    staleness = staleness_of_watched_list(is_polled=is_polled)
    staleness.discovery_relocated(10200.0)
    assert staleness.usable_until == TRUSTED_UNTIL + span_ms


def test_start_with_a_cached_list():
    """The limit of a process that starts with a cached list runs from its start, whatever polls fail long after it: a change may
    have been missed before."""
    staleness = ListStaleness(500.0, POLL_WITHIN_MS, True, SOCKET_LIMITS)
    assert (staleness.usable_until, staleness.cause) == (500.0 + NOTIFICATION_LIMIT_MS, StalenessCause.CACHED)
    staleness.poll_failed(3000.0, PollEnd.REFUSED, 2900.0, 2900.0)
    assert staleness.usable_until == 500.0 + NOTIFICATION_LIMIT_MS
    staleness = ListStaleness(500.0, POLL_WITHIN_MS, True, SOCKET_LIMITS)
    staleness.poll_failed(3000.0, PollEnd.UNREACHABLE, 2000.0, 2000.0)
    assert staleness.usable_until == 500.0 + NOTIFICATION_LIMIT_MS


def test_shorter_limit_of_the_settings():
    """A shorter limit of the settings applies from the last message, and is four times as long after a failed poll."""
    staleness = staleness_of_watched_list(poll_within_ms=1000.0)
    staleness.watch_ended(10000.0, was_reset=True)
    assert staleness.usable_until == TRUSTED_UNTIL + 1000.0
    staleness.poll_failed(10300.0, PollEnd.REFUSED, 10200.0, 10200.0)
    assert staleness.usable_until == 10200.0 + 4000.0


def test_without_platform_limits():
    """Without limits of the platform, those of the settings run from polls alone."""
    staleness = ListStaleness(0.0, POLL_WITHIN_MS, True, StalenessLimits())
    staleness.poll_began(100.0)
    assert staleness.usable_until == 100.0 + POLL_WITHIN_MS
    staleness.list_unavailable(200.0)
    assert staleness.usable_until == 200.0 + 4 * POLL_WITHIN_MS
    staleness.poll_succeeded(300.0)
    assert staleness.usable_until == math.inf


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.sampled_from(["ended", "silent", "moved", "began", *PollEnd]), st.floats(0, 3000)), max_size=12),
    st.booleans(),
)
def test_never_used_beyond_the_notification_limit(events: list[tuple[str | PollEnd, float]], was_reset: bool):
    """In any order of events without a message from discovery, the list is not used beyond the notification limit after the last
    time at which discovery may have been out of reach."""
    staleness = staleness_of_watched_list()
    now = CONFIRMED_AT
    out_of_reach_at = TRUSTED_UNTIL  # the last time at which it may have been so
    has_outage_sign = False  # without one, a poll that waits says nothing
    for event, span_ms in events:
        began = now
        now += span_ms
        if event in OUT_OF_REACH:
            has_outage_sign = has_outage_sign or event is PollEnd.UNREACHABLE
            if has_outage_sign:
                out_of_reach_at = max(out_of_reach_at, began)
            staleness.poll_failed(now, event, began, began)
        elif isinstance(event, PollEnd):
            staleness.poll_failed(now, event, began, began)
        elif event == "ended":
            if staleness.cause is StalenessCause.WATCHED:  # it was established until then
                out_of_reach_at = now - WATCH_DELAY_MS
                has_outage_sign = was_reset
            staleness.watch_ended(now, was_reset)
        elif event == "silent":
            staleness.watch_silent(now)
        elif event == "moved":
            staleness.discovery_relocated(now)
        else:
            staleness.poll_began(now)
        assert staleness.usable_until <= out_of_reach_at + NOTIFICATION_LIMIT_MS
