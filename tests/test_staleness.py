"""How long the list of backends may be used once nobody confirms it any more (rule 3)."""

import unittest
from unittest import mock

from sloeferry import environment
from sloeferry.config.settings import build_settings
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.policy.endpoint_staleness import (
    ON_SOCKETS,
    WATCH_DELAY_MS,
    ListStaleness,
    PollEnd,
)
from tests.test_rig import Processes

MUST_ASK_IN = 10000.0  # ms
AWAY = (PollEnd.UNREACHABLE, PollEnd.UNANSWERED)


def watched(at=10000.0, must_ask_in=MUST_ASK_IN, asked=True):
    """The staleness of a list whose watch last said something at that time, and the moment until which it is trusted."""
    staleness = ListStaleness(0.0, must_ask_in, asked, ON_SOCKETS)
    staleness.confirmed(at)
    return staleness, at - WATCH_DELAY_MS


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
