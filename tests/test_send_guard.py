"""The guard of sending: what it refuses right before a first byte, and what it calls a violation afterwards."""

import types
import unittest

from sloeferry.core import ports
from sloeferry.core.send_guard import LEFT_KEPT, Refusal, SendGuard, Violation
from sloeferry.core.staleness import ON_SOCKETS
from tests.trace import Printer

SLACK, GRACE = 50.0, 250.0  # ms


class Guard(unittest.TestCase):
    def setUp(self):
        self.host = Printer(limits=ON_SOCKETS, discovery="subscribe", obligations__drain_grace=GRACE)
        self.staleness = self.host.proxy.discovery.staleness
        self.host.list(("a",), ("b",))
        self.staleness.confirmed(0.0)
        self.guard = SendGuard(self.host.proxy, SLACK)

    def errand(self, ref=0, ends=1000.0, over=False):
        return types.SimpleNamespace(ref=ref, ends=ends, over=over, gone=None)

    def test_refusals(self):
        """Each cause by itself; refused sends are counted by it, and by what made a list stale."""
        guard, now = self.guard, 10.0
        self.assertIsNone(guard.request_refusal(now, self.errand(), 0) or guard.backend_refusal(now, "a"))
        self.assertEqual(guard.request_refusal(now, self.errand(over=True), 0), Refusal.REQUEST_OVER)
        self.assertEqual(guard.request_refusal(now, self.errand(ends=10.0), 0), Refusal.DEADLINE)
        self.assertEqual(guard.backend_refusal(now, "nobody"), Refusal.BACKEND_LEAVING)
        self.host.list(("a", 0, ports.DRAINING), scope=ports.CHANGES)
        self.assertEqual(guard.backend_refusal(now, "a"), Refusal.BACKEND_LEAVING)
        stale = self.staleness.usable_until + 1
        self.assertEqual(guard.backend_refusal(stale, "b"), Refusal.LIST_STALE)
        for cause in Refusal:
            self.assertFalse(guard.refuse(cause))
        self.assertTrue(guard.refuse(None))
        self.assertEqual(guard.figures()["refused"], {cause.value: 1 for cause in Refusal})
        self.assertEqual(guard.figures()["refused_stale"], {"watched": 1})

    def test_repeat(self):
        """An unsafe request whose earlier attempt may have run is not begun again, however it came to that."""
        self.host.take(1, scheme=2)
        self.host.proxy.ledger.txns[1].postings[0].ended(20.0, ports.CUT)
        self.assertEqual(self.guard.request_refusal(30.0, self.errand(1), 1), Refusal.REPEAT_WINDOW)
        self.assertEqual(self.guard.check_written(30.0, self.errand(1), 1, "a"), Violation.REPEATED)

    def test_violations(self):
        """By facts of its own: when a backend was told to leave, the list's deadline, the request's."""
        guard, stale = self.guard, self.staleness.usable_until
        guard.listed(100.0, "a", False)
        for at, errand, backend, broken in (
            (100.0 + GRACE + SLACK, self.errand(), "a", None),
            (101.0 + GRACE + SLACK, self.errand(), "a", Violation.DRAIN),
            (101.0 + GRACE + SLACK, self.errand(), "b", None),
            (1051.0, self.errand(), "b", Violation.DEADLINE),
            (10.0, self.errand(over=True), "b", Violation.ANSWERED),
            (stale + GRACE + SLACK + 1, self.errand(ends=99999.0), "b", Violation.LIST_STALE),
        ):
            self.assertEqual(guard.check_written(at, errand, 0, backend), broken)
        guard.listed(2000.0, "a", True)
        self.assertIsNone(guard.check_written(900.0, self.errand(), 0, "a"))
        self.assertEqual(sum(guard.figures()["violations"].values()), 4)

    def test_bound(self):
        """Backends that left long ago are forgotten, the oldest first."""
        for at in range(LEFT_KEPT + 5):
            self.guard.listed(float(at), at, False)
        self.assertEqual((len(self.guard.left), min(self.guard.left)), (LEFT_KEPT, 5))


if __name__ == "__main__":
    unittest.main()
