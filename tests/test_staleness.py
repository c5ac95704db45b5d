"""How long the list of backends may be used once nobody confirms it any more (rule 3)."""

import unittest

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


class FailingCalls(unittest.TestCase):
    """Real proxies on loopback, their discovery reachable and each call for the list failing."""

    def test_calls_that_fail_at_once(self):
        """Incident-1: watches end, calls are refused, reset, cut short or not answered, and backends begin to drain."""
        code, text = Processes.play(["refusals"])
        self.assertEqual(code, 0, text)
        self.assertIn("rules kept", text)


if __name__ == "__main__":
    unittest.main()
