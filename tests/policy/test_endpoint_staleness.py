"""How long the endpoint list may be used once nobody confirms it any more (rule 3): each way in which news stops."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.policy.endpoint_staleness import (
    ENDED_WATCH_NOTIFICATION_LIMIT_MS,
    NOTIFICATION_LIMIT_MS,
    SHORT_WATCH_MS,
    SOCKET_LIMITS,
    WATCH_DELAY_MS,
    ListStaleness,
    PollEnd,
    StalenessCause,
    StalenessLimits,
)

POLL_WITHIN_MS = 10000.0
CONFIRMED_AT = 10000.0  # ms: when the watch last said something
TRUSTED_UNTIL = CONFIRMED_AT - WATCH_DELAY_MS
OUT_OF_REACH = (PollEnd.UNREACHABLE, PollEnd.UNANSWERED)


def watched_list(poll_within_ms: float = POLL_WITHIN_MS, is_polled: bool = True) -> ListStaleness:
    """The staleness of a list whose watch last said something at CONFIRMED_AT."""
    staleness = ListStaleness(0.0, poll_within_ms, is_polled, SOCKET_LIMITS)
    staleness.confirmed(CONFIRMED_AT)
    return staleness


def test_standing_watch():
    """A standing watch is trusted from one sign of life to the next, and the list for the notice time after the last."""
    staleness = watched_list()
    assert (staleness.usable_until, staleness.cause) == (TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS, StalenessCause.WATCHED)


def test_watch_ended():
    """A watch may end instead of telling.  What ended it counts as notified soon, and a later poll does not undo that."""
    staleness = watched_list()
    staleness.watch_ended(11900.0)
    until = 11900.0 - WATCH_DELAY_MS + ENDED_WATCH_NOTIFICATION_LIMIT_MS
    assert (staleness.usable_until, staleness.cause) == (until, StalenessCause.WATCH_ENDED)
    staleness.poll_began(12000.0)
    staleness.poll_failed(until + 1, PollEnd.REFUSED, 12000.0, 12000.0)
    assert staleness.usable_until == until


def test_poll_refused():
    """Discovery can be reached and refuses.  Whatever else follows, the notice time is all there is."""
    staleness = watched_list()
    staleness.watch_ended(10000.0)
    for at, end in ((10200.0, PollEnd.REFUSED), (12000.0, PollEnd.UNANSWERED), (14000.0, PollEnd.UNREACHABLE)):
        staleness.poll_failed(at, end, at - 50.0, at - 50.0)
        assert staleness.usable_until == TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS
    assert not staleness.is_usable(TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS + 1)


@pytest.mark.parametrize("end", OUT_OF_REACH)
def test_outage(end: PollEnd):
    """Discovery is out of reach from the watch's end on, so nothing is told meanwhile.  Once it is back, the clock runs from the
    last poll that found it out of reach."""
    staleness = watched_list()
    staleness.watch_ended(10000.0)
    for began in (10150.0, 14000.0, 18000.0):
        staleness.poll_failed(began + 1000.0, end, began, began)
        assert (staleness.usable_until, staleness.cause) == (began + NOTIFICATION_LIMIT_MS, StalenessCause.DISCOVERY_UNREACHABLE)
    staleness.poll_failed(21000.0, PollEnd.REFUSED, 20999.0, 20999.0)
    staleness.poll_failed(23000.0, end, 22000.0, 22000.0)
    assert staleness.usable_until == 18000.0 + NOTIFICATION_LIMIT_MS


def test_outage_known_late():
    """It takes a poll to learn of an outage.  The list, stale meanwhile, is good again."""
    staleness = watched_list()
    staleness.watch_ended(10000.0)
    assert not staleness.is_usable(TRUSTED_UNTIL + ENDED_WATCH_NOTIFICATION_LIMIT_MS + 1)
    staleness.poll_failed(12300.0, PollEnd.UNANSWERED, 10150.0, 10150.0)
    assert staleness.is_usable(12300.0)


def test_poll_that_waits():
    """A poll that goes on waiting shows an outage before it ends, but none that came after a refusal."""
    staleness = watched_list()
    staleness.watch_ended(10000.0)
    staleness.poll_waiting(10060.0, 10060.0)
    assert (staleness.usable_until, staleness.cause) == (10060.0 + NOTIFICATION_LIMIT_MS, StalenessCause.DISCOVERY_UNREACHABLE)
    staleness = watched_list()
    staleness.watch_ended(10000.0)
    staleness.poll_failed(10100.0, PollEnd.REFUSED, 10090.0, 10090.0)
    staleness.poll_waiting(10600.0, 10600.0)
    assert staleness.usable_until == TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS


def test_poll_that_connects_again():
    """One poll connects again and again.  Each attempt that fails moves the clock, from a poll that left no gap."""
    staleness = watched_list()
    staleness.watch_ended(10000.0)
    for connected_at in (10060.0, 12000.0, 30000.0):
        assert staleness.poll_waiting(10060.0, connected_at)
        assert staleness.usable_until == connected_at + NOTIFICATION_LIMIT_MS


def test_gap_before_the_outage():
    """Between the watch's end and the first poll a change may have been told.  No outage is taken for granted."""
    staleness = watched_list()
    staleness.watch_ended(10000.0)
    staleness.poll_failed(11500.0, PollEnd.UNANSWERED, 10000.0 + SHORT_WATCH_MS + 1, 10000.0 + SHORT_WATCH_MS + 1)
    assert staleness.usable_until == TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS


def test_silent_watch():
    """A silent watch is broken, not out of reach.  No failed poll gives more time, and polls follow without backoff."""
    staleness = watched_list()
    staleness.watch_silent(10000.0)
    assert staleness.is_watch_overdue
    for end in PollEnd:
        staleness.poll_failed(13000.0, end, 12900.0, 12900.0)
    assert staleness.usable_until == TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS


def test_silent_poll():
    """A poll that is accepted and never answered is a silent watch from its request on."""
    staleness = watched_list()
    staleness.watch_ended(10000.0)
    staleness.poll_failed(10200.0, PollEnd.REFUSED, 10150.0, 10150.0)
    staleness.watch_silent(10400.0)
    assert (staleness.usable_until, staleness.is_watch_overdue) == (TRUSTED_UNTIL + NOTIFICATION_LIMIT_MS, True)


@pytest.mark.parametrize(("is_polled", "span_ms"), [(True, NOTIFICATION_LIMIT_MS), (False, 4000.0)], ids=["polled", "pushed"])
def test_moved(is_polled: bool, span_ms: float):
    """After a move the former watch counts no more; where lists are pushed the time is shorter."""
    staleness = watched_list(is_polled=is_polled)
    staleness.discovery_relocated(10200.0)
    assert staleness.usable_until == TRUSTED_UNTIL + span_ms


def test_started_on_a_cached_list():
    """A process that starts on a cached list counts from its start.  Polls that fail since the very beginning show an outage."""
    staleness = ListStaleness(500.0, POLL_WITHIN_MS, True, SOCKET_LIMITS)
    assert (staleness.usable_until, staleness.cause) == (500.0 + NOTIFICATION_LIMIT_MS, StalenessCause.CACHED)
    staleness.poll_failed(3000.0, PollEnd.REFUSED, 2900.0, 2900.0)
    assert staleness.usable_until == 500.0 + NOTIFICATION_LIMIT_MS
    staleness = ListStaleness(500.0, POLL_WITHIN_MS, True, SOCKET_LIMITS)
    staleness.poll_failed(3000.0, PollEnd.UNANSWERED, 2000.0, 2000.0)
    assert staleness.usable_until == 2000.0 + NOTIFICATION_LIMIT_MS


def test_settings_that_allow_less():
    """The settings' own limit holds where it is the earlier one: from the last news, four times as long after a failed poll."""
    staleness = watched_list(poll_within_ms=1000.0)
    staleness.watch_ended(10000.0)
    assert staleness.usable_until == TRUSTED_UNTIL + 1000.0
    staleness.poll_failed(10300.0, PollEnd.REFUSED, 10200.0, 10200.0)
    assert staleness.usable_until == 10200.0 + 4000.0


def test_simulator():
    """Where the platform sets no limit of its own the settings' limits run from polls alone."""
    staleness = ListStaleness(0.0, POLL_WITHIN_MS, True, StalenessLimits())
    staleness.poll_began(100.0)
    assert staleness.usable_until == 100.0 + POLL_WITHIN_MS
    staleness.poll_unanswered(200.0)
    assert staleness.usable_until == 200.0 + 4 * POLL_WITHIN_MS
    staleness.poll_succeeded(300.0)
    assert staleness.usable_until == math.inf


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from(["ended", "silent", "moved", "began", *PollEnd]), st.floats(0, 3000)), max_size=12))
def test_never_past_the_notice_time(events: list[tuple[str | PollEnd, float]]):
    """Whatever happens without news from discovery, the list is never used longer than the notice time after the last moment at
    which discovery can have been out of reach."""
    staleness = watched_list()
    now = CONFIRMED_AT
    out_of_reach_at = TRUSTED_UNTIL  # the last moment at which it can have been so
    for event, span_ms in events:
        began = now
        now += span_ms
        if event in OUT_OF_REACH:
            out_of_reach_at = max(out_of_reach_at, began)
            staleness.poll_failed(now, event, began, began)
        elif isinstance(event, PollEnd):
            staleness.poll_failed(now, event, began, began)
        elif event == "ended":
            if staleness.cause is StalenessCause.WATCHED:  # it stood until then
                out_of_reach_at = now - WATCH_DELAY_MS
            staleness.watch_ended(now)
        elif event == "silent":
            staleness.watch_silent(now)
        elif event == "moved":
            staleness.discovery_relocated(now)
        else:
            staleness.poll_began(now)
        assert staleness.usable_until <= out_of_reach_at + NOTIFICATION_LIMIT_MS
