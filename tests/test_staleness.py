"""How long the list of backends may be used once nobody confirms it any more (rule 3)."""

import math
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry import environment
from sloeferry.config.settings_reader import build_settings
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.policy.endpoint_staleness import (
    ENDED_WATCH_NOTICE_MS,
    NOTICE_MS,
    ON_SOCKETS,
    SHORT_WATCH_MS,
    WATCH_DELAY_MS,
    ListStaleness,
    PollEnd,
    StalenessCause,
    StalenessLimits,
)
from tests.test_rig import Processes

MUST_ASK_IN = 10000.0  # ms
AWAY = (PollEnd.UNREACHABLE, PollEnd.UNANSWERED)


def watched(at=10000.0, must_ask_in=MUST_ASK_IN, asked=True):
    """The staleness of a list whose watch last said something at that time, and the moment until which it is trusted."""
    staleness = ListStaleness(0.0, must_ask_in, asked, ON_SOCKETS)
    staleness.confirmed(at)
    return staleness, at - WATCH_DELAY_MS


class Deadlines(unittest.TestCase):
    """Each way in which word of changes stops starts the same clock."""

    def test_watch_that_stands(self):
        """A standing watch is trusted from one sign of life to the next, and for the time of news after the last."""
        staleness, trusted = watched()
        self.assertEqual((staleness.usable_until, staleness.cause), (trusted + NOTICE_MS, StalenessCause.WATCHED))

    def test_watch_ended(self):
        """A watch may end instead of telling: what ended it counts as told soon, and a later call does not undo that."""
        staleness, trusted = watched()
        staleness.watch_ended(11900.0)
        until = 11900.0 - WATCH_DELAY_MS + ENDED_WATCH_NOTICE_MS
        self.assertEqual((staleness.usable_until, staleness.cause), (until, StalenessCause.WATCH_ENDED))
        staleness.poll_began(12000.0)
        staleness.poll_failed(until + 1, PollEnd.REFUSED, 12000.0, 12000.0)
        self.assertEqual(staleness.usable_until, until)

    def test_call_refused(self):
        """Discovery can be reached and refuses, whatever else follows: the time of news, no more."""
        staleness, trusted = watched()
        staleness.watch_ended(10000.0)
        for at, end in ((10200.0, PollEnd.REFUSED), (12000.0, PollEnd.UNANSWERED), (14000.0, PollEnd.UNREACHABLE)):
            staleness.poll_failed(at, end, at - 50.0, at - 50.0)
            self.assertEqual(staleness.usable_until, trusted + NOTICE_MS)
        self.assertFalse(staleness.usable(trusted + NOTICE_MS + 1))

    def test_outage(self):
        """Out of reach from the watch's end on: nothing is told meanwhile; back, the clock runs from the last such call."""
        for end in AWAY:
            staleness, _ = watched()
            staleness.watch_ended(10000.0)
            for began in (10150.0, 14000.0, 18000.0):
                staleness.poll_failed(began + 1000.0, end, began, began)
                self.assertEqual((staleness.usable_until, staleness.cause), (began + NOTICE_MS, StalenessCause.OUT_OF_REACH))
            staleness.poll_failed(21000.0, PollEnd.REFUSED, 20999.0, 20999.0)
            staleness.poll_failed(23000.0, end, 22000.0, 22000.0)
            self.assertEqual(staleness.usable_until, 18000.0 + NOTICE_MS)

    def test_outage_known_late(self):
        """It takes a call to know of it: the list, stale meanwhile, is good again."""
        staleness, trusted = watched()
        staleness.watch_ended(10000.0)
        self.assertFalse(staleness.usable(trusted + ENDED_WATCH_NOTICE_MS + 1))
        staleness.poll_failed(12300.0, PollEnd.UNANSWERED, 10150.0, 10150.0)
        self.assertTrue(staleness.usable(12300.0))

    def test_call_that_waits(self):
        """A call that goes on waiting tells of an outage before it ends, not of one that came after a refusal."""
        staleness, trusted = watched()
        staleness.watch_ended(10000.0)
        staleness.poll_waiting(10060.0, 10060.0)
        self.assertEqual((staleness.usable_until, staleness.cause), (10060.0 + NOTICE_MS, StalenessCause.OUT_OF_REACH))
        staleness, trusted = watched()
        staleness.watch_ended(10000.0)
        staleness.poll_failed(10100.0, PollEnd.REFUSED, 10090.0, 10090.0)
        staleness.poll_waiting(10600.0, 10600.0)
        self.assertEqual(staleness.usable_until, trusted + NOTICE_MS)

    def test_call_that_dials_again(self):
        """One call dials again and again: each dial that fails moves the clock, from a call that left no gap."""
        staleness, _ = watched()
        staleness.watch_ended(10000.0)
        for tried in (10060.0, 12000.0, 30000.0):
            self.assertTrue(staleness.poll_waiting(10060.0, tried))
            self.assertEqual(staleness.usable_until, tried + NOTICE_MS)

    def test_gap_before_the_outage(self):
        """Between the watch's end and the first call news may have been there: no outage is taken for granted."""
        staleness, trusted = watched()
        staleness.watch_ended(10000.0)
        staleness.poll_failed(11500.0, PollEnd.UNANSWERED, 10000.0 + SHORT_WATCH_MS + 1, 10000.0 + SHORT_WATCH_MS + 1)
        self.assertEqual(staleness.usable_until, trusted + NOTICE_MS)

    def test_silent(self):
        """A silent watch is broken, not away: no failed call gives more time, and it is called for without pauses."""
        staleness, trusted = watched()
        staleness.watch_silent(10000.0)
        self.assertTrue(staleness.is_watch_overdue)
        for end in PollEnd:
            staleness.poll_failed(13000.0, end, 12900.0, 12900.0)
        self.assertEqual(staleness.usable_until, trusted + NOTICE_MS)

    def test_call_silent(self):
        """A call that is let in and never answered is a silent watch from its request on."""
        staleness, trusted = watched()
        staleness.watch_ended(10000.0)
        staleness.poll_failed(10200.0, PollEnd.REFUSED, 10150.0, 10150.0)
        staleness.watch_silent(10400.0)
        self.assertEqual((staleness.usable_until, staleness.is_watch_overdue), (trusted + NOTICE_MS, True))

    def test_moved(self):
        """After a move the former watch's word counts no more; where lists are pushed the time is shorter."""
        for asked, least in ((True, NOTICE_MS), (False, 4000.0)):
            staleness, trusted = watched(asked=asked)
            staleness.moved(10200.0)
            self.assertEqual(staleness.usable_until, trusted + least)

    def test_started_on_a_held_list(self):
        """From the start; calls that fail since the very beginning show an outage."""
        staleness = ListStaleness(500.0, MUST_ASK_IN, True, ON_SOCKETS)
        self.assertEqual((staleness.usable_until, staleness.cause), (500.0 + NOTICE_MS, StalenessCause.HELD))
        staleness.poll_failed(3000.0, PollEnd.REFUSED, 2900.0, 2900.0)
        self.assertEqual(staleness.usable_until, 500.0 + NOTICE_MS)
        staleness = ListStaleness(500.0, MUST_ASK_IN, True, ON_SOCKETS)
        staleness.poll_failed(3000.0, PollEnd.UNANSWERED, 2000.0, 2000.0)
        self.assertEqual(staleness.usable_until, 2000.0 + NOTICE_MS)

    def test_settings_that_allow_less(self):
        """The settings' own limit holds where it is the earlier one: from the last word, four times after a failed call."""
        staleness, trusted = watched(must_ask_in=1000.0)
        staleness.watch_ended(10000.0)
        self.assertEqual(staleness.usable_until, trusted + 1000.0)
        staleness.poll_failed(10300.0, PollEnd.REFUSED, 10200.0, 10200.0)
        self.assertEqual(staleness.usable_until, 10200.0 + 4000.0)

    def test_simulator(self):
        """Where the platform sets no limit of its own the settings' limits run from calls alone."""
        staleness = ListStaleness(0.0, MUST_ASK_IN, True, StalenessLimits())
        staleness.poll_began(100.0)
        self.assertEqual(staleness.usable_until, 100.0 + MUST_ASK_IN)
        staleness.unanswered(200.0)
        self.assertEqual(staleness.usable_until, 200.0 + 4 * MUST_ASK_IN)
        staleness.answered(300.0)
        self.assertEqual(staleness.usable_until, math.inf)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.sampled_from(["ended", "silent", "moved", "began", *PollEnd]), st.floats(0, 3000)), max_size=12))
    def test_never_past_news(self, facts):
        """Whatever happens without word from discovery: never longer than the time of news after the last moment at
        which it can have been out of reach."""
        staleness, trusted = watched()
        now, reach = 10000.0, trusted
        for what, after in facts:
            began, now = now, now + after
            if what in AWAY:
                reach = max(reach, began)
                staleness.poll_failed(now, what, began, began)
            elif isinstance(what, PollEnd):
                staleness.poll_failed(now, what, began, began)
            elif what == "ended":
                if staleness.cause is StalenessCause.WATCHED:  # it stood until then
                    reach = now - WATCH_DELAY_MS
                staleness.watch_ended(now)
            elif what == "silent":
                staleness.watch_silent(now)
            elif what == "moved":
                staleness.moved(now)
            else:
                staleness.poll_began(now)
            self.assertLessEqual(staleness.usable_until, reach + NOTICE_MS)


class Standstill(unittest.TestCase):
    def test_read_after_a_standstill(self):
        """What is read once this program goes on may have been written at any time since it last turned: it confirms
        nothing after that, whichever of timer and network comes first."""
        told = build_settings({"schemes.count": 1, "schemes.0.sla_time": 300.0, "discovery": "subscribe"})
        for timer_first in (False, True):
            clock = [1000.0]
            with mock.patch.object(environment, "monotonic", lambda clock=clock: clock[0]):
                dispatcher = Dispatcher(1, told, lambda at: None)
                clock[0] += 2.0
                dispatcher.loop_monitor.last_turn = clock[0] * 1000
                dispatcher.endpoint_events.watch_confirmed()
                self.assertEqual(dispatcher.endpoint_events.staleness.trusted_until, 1_002_000.0 - WATCH_DELAY_MS)
                clock[0] += 5.0
                if timer_first:
                    (
                        dispatcher.loop_monitor.turn_before_stall,
                        dispatcher.loop_monitor.last_turn,
                        dispatcher.loop_monitor.catching_up,
                    ) = dispatcher.loop_monitor.last_turn, clock[0] * 1000, object()
                dispatcher.endpoint_events.watch_confirmed()
                self.assertEqual(dispatcher.endpoint_events.staleness.trusted_until, 1_002_000.0 - WATCH_DELAY_MS)
                dispatcher.loop_monitor.last_turn, dispatcher.loop_monitor.catching_up = clock[0] * 1000, None
                dispatcher.endpoint_events.watch_confirmed()
                self.assertEqual(dispatcher.endpoint_events.staleness.trusted_until, 1_007_000.0 - WATCH_DELAY_MS)


class FailingCalls(unittest.TestCase):
    """Real proxies on loopback, their discovery reachable and each call for the list failing."""

    def test_calls_that_fail_at_once(self):
        """Incident-1: watches end, calls are refused, reset, cut short or not answered, and backends begin to drain."""
        code, text = Processes.play(["refusals"])
        self.assertEqual(code, 0, text)
        self.assertIn("rules kept", text)


if __name__ == "__main__":
    unittest.main()
