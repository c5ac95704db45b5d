"""The guard of sending: what it refuses right before a first byte, and what it calls a violation afterwards."""

import types
import unittest

from sloeferry.dispatch.send_guard import MAX_REMEMBERED_LEAVERS, Refusal, SendGuard, Violation
from sloeferry.policy.endpoint_staleness import ON_SOCKETS
from sloeferry.policy.interface import AttemptOutcome, EndpointState, ListScope
from tests.trace import Printer

SLACK, GRACE = 50.0, 250.0  # ms


class Guard(unittest.TestCase):
    def setUp(self):
        self.host = Printer(limits=ON_SOCKETS, discovery="subscribe", obligations__drain_grace=GRACE)
        self.staleness = self.host.policy.polling.staleness
        self.host.list(("a",), ("b",))
        self.staleness.confirmed(0.0)
        self.guard = SendGuard(self.host.policy, SLACK)

    def context(self, ref=0, ends=1000.0, over=False):
        return types.SimpleNamespace(request_id=ref, deadline=ends, is_answered=over, has_client_left=None)

    def test_refusals(self):
        """Each cause by itself; refused sends are counted by it, and by what made a list stale."""
        guard, now = self.guard, 10.0
        self.assertIsNone(guard.request_refusal(now, self.context(), 0) or guard.endpoint_refusal(now, "a"))
        self.assertEqual(guard.request_refusal(now, self.context(over=True), 0), Refusal.REQUEST_OVER)
        self.assertEqual(guard.request_refusal(now, self.context(ends=10.0), 0), Refusal.DEADLINE)
        self.assertEqual(guard.endpoint_refusal(now, "nobody"), Refusal.ENDPOINT_LEAVING)
        self.host.list(("a", 0, EndpointState.DRAINING), scope=ListScope.CHANGES)
        self.assertEqual(guard.endpoint_refusal(now, "a"), Refusal.ENDPOINT_LEAVING)
        stale = self.staleness.usable_until + 1
        self.assertEqual(guard.endpoint_refusal(stale, "b"), Refusal.LIST_STALE)
        for cause in Refusal:
            self.assertFalse(guard.record_refusal(cause))
        self.assertTrue(guard.record_refusal(None))
        self.assertEqual(guard.figures()["refused"], {cause.value: 1 for cause in Refusal})
        self.assertEqual(guard.figures()["refused_stale"], {"watched": 1})

    def test_repeat(self):
        """An unsafe request whose earlier attempt may have run is not begun again, however it came to that."""
        self.host.take(1, scheme=2)
        self.host.policy.requests.by_id[1].attempts[0].end(20.0, AttemptOutcome.CONNECTION_LOST)
        self.assertEqual(self.guard.request_refusal(30.0, self.context(1), 1), Refusal.REPEAT_WINDOW)
        self.assertEqual(self.guard.audit_attempt(30.0, self.context(1), 1, "a"), Violation.REPEATED)

    def test_violations(self):
        """By facts of its own: when a backend was told to leave, the list's deadline, the request's."""
        guard, stale = self.guard, self.staleness.usable_until
        guard.endpoint_listed(100.0, "a", False)
        for at, context, backend, broken in (
            (100.0 + GRACE + SLACK, self.context(), "a", None),
            (101.0 + GRACE + SLACK, self.context(), "a", Violation.DRAIN),
            (101.0 + GRACE + SLACK, self.context(), "b", None),
            (1051.0, self.context(), "b", Violation.DEADLINE),
            (10.0, self.context(over=True), "b", Violation.ANSWERED),
            (stale + GRACE + SLACK + 1, self.context(ends=99999.0), "b", Violation.LIST_STALE),
        ):
            self.assertEqual(guard.audit_attempt(at, context, 0, backend), broken)
        guard.endpoint_listed(2000.0, "a", True)
        self.assertIsNone(guard.audit_attempt(900.0, self.context(), 0, "a"))
        self.assertEqual(sum(guard.figures()["violations"].values()), 4)

    def test_bound(self):
        """Backends that left long ago are forgotten, the oldest first."""
        for at in range(MAX_REMEMBERED_LEAVERS + 5):
            self.guard.endpoint_listed(float(at), at, False)
        self.assertEqual((len(self.guard._left_at), min(self.guard._left_at)), (MAX_REMEMBERED_LEAVERS, 5))


if __name__ == "__main__":
    unittest.main()
