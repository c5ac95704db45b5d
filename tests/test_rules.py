"""The four rules and the estimate, each where the wrong action would be tempting."""

import unittest

from sloeferry.policy.interface import AttemptOutcome, EndpointState, ListScope
from tests.trace import Printer, compare


class Rules(unittest.TestCase):
    def test_rule_1_one_answer_before_expiry(self):
        """Nobody is there to serve: the answer still comes, once, and a late end of a posting adds none."""
        host = Printer()
        host.take(1)
        host.until(1100.0)
        host.list(("a",))
        host.take(2, scheme=2)
        host.until(2100.0)
        host.end(2, 0, AttemptOutcome.TIMED_OUT, answered=False, took=1000.0)
        host.end(2, 0, AttemptOutcome.TIMED_OUT, answered=False, took=1000.0)
        host.policy.client_left(host.now, 2)
        host.until(3000.0)
        compare(self, host, "rule_1")

    def test_rule_1_refused_just_before_expiry(self):
        """A repeat comes back unsent in its last step, and others held go first: its answer can't wait."""
        host = Printer(schemes__2__gain=5.0)
        host.list(("a",), ("b",), ("c",), ("d",))
        host.take(1, left=40.0, repeat=True)
        for ref in (2, 3, 4):
            host.take(ref)
        for name in "abcd":
            host.report(name, 9)
        for ref in (5, 6, 7):
            host.take(ref, scheme=2)
        host.until(39.0)
        host.end(1, 0, AttemptOutcome.UNREACHABLE, 9, took=39.0)
        host.until(45.0)
        compare(self, host, "rule_1_late")

    def test_rule_2_no_effect_twice(self):
        """Errors at an idle fleet tempt to post again: allowed anywhere, in the zone, or not at all."""
        host = Printer(limits__second_copies=False)
        host.list(("a", 0), ("b", 0), ("c", 1), ("d", 1))
        for name in "abcd":
            host.report(name, 0)
        for ref, scheme in ((1, 0), (2, 1), (3, 2)):
            host.take(ref, scheme)
            host.end(ref, 0, AttemptOutcome.ERROR)
            host.until(host.now + 5)
        host.take(4, scheme=2)  # a refused connection proves that it never ran
        host.end(4, 0, AttemptOutcome.UNREACHABLE)
        host.until(host.now + 20)
        host.take(5, scheme=1)  # its window of 300 ms is over when the error comes
        host.until(host.now + 310)
        host.end(5, 0, AttemptOutcome.ERROR)
        compare(self, host, "rule_2")

    def test_rule_3_gone_alone_does_not_bind(self):
        """Where draining alone binds: one left out of the list serves on until it fails; one that drained first, or
        drains while it is missing, gets nothing more, and neither does one that failed, until it is listed again."""
        host = Printer(obligations__only_draining_binds=True)

        def show(what):
            host.until(host.now + 10.0)
            host.take(ref := int(host.now))
            host.say(f"{what}: uses {' '.join(sorted(b.endpoint_id for b in host.policy.table.ready))}")
            return ref

        host.list(("a",), ("b",), ("c",))
        host.list(("b", 0, EndpointState.DRAINING), scope=ListScope.CHANGES)
        show("b drains")
        host.list(("a", 0, EndpointState.GONE), ("b", 0, EndpointState.GONE), scope=ListScope.CHANGES)
        show("a and b are gone")
        host.list()
        ref = show("none is listed")
        to = host.lines[-2].split()[-1]
        host.end(ref, 0, AttemptOutcome.UNREACHABLE)
        show(f"{to} could not be reached")
        host.list(("a", 0, EndpointState.DRAINING), ("c", 0, EndpointState.DRAINING), scope=ListScope.CHANGES)
        show("all drain")
        host.list(("a",), ("b",), scope=ListScope.COMPLETE)
        show("a and b are back")
        compare(self, host, "rule_3_gone")

    def test_rule_3_drains(self):
        """The draining backend is the emptiest one, and the last one too."""
        host = Printer()
        host.list(("a",), ("b",))
        host.take(1)
        host.list(("a", 0, EndpointState.DRAINING), scope=ListScope.CHANGES)
        for ref in (2, 3):
            host.take(ref)
        host.list(("b", 0, EndpointState.GONE), scope=ListScope.CHANGES)
        host.take(4)
        host.until(host.now + 400)
        compare(self, host, "rule_3")

    def test_rule_4_cold_backend(self):
        """A cold backend reports itself empty; it still gets no more than this proxy's part."""
        host = Printer(
            obligations__cold=8000.0,
            obligations__cold_from=0.5,
            obligations__fall=1000.0,
            obligations__fall_multiple=3.0,
            instances=2,
        )
        host.until(50000.0)
        host.list(("warm",), ("cold", 0, EndpointState.READY, 50000.0))
        host.report("warm", 9)
        host.report("cold", 0)
        for ref in range(6):
            host.take(ref)
            host.until(host.now + 20)
            if ref in host.sent:
                host.end(ref, 0, AttemptOutcome.SERVED, 0, took=20.0)
        compare(self, host, "rule_4")

    def test_rule_3_no_subscription(self):
        """No call for the list went out in time (the host stood still): it counts as told, sends no more."""
        host = Printer(discovery="subscribe", obligations__must_ask_in=8000.0)
        host.list(("a",), scope=ListScope.CACHED)
        host.take(1, scheme=2)
        host.now = 8001.0
        host.take(2, scheme=2)
        host.until(9000.0)
        host.list(("a",), scope=ListScope.CHANGES)  # the call is answered
        host.take(3, scheme=2)
        host.list(scope=ListScope.COMPLETE)  # an empty list: nobody to send to
        host.take(4, scheme=2)
        host.until(9900.0)
        compare(self, host, "rule_3_unheard")

    def test_rule_4_many_proxies(self):
        """200 proxies, a part of the budget far below one txn: what all send a cold backend, by second."""
        host, sent = Printer(), [0] * 8
        for ordinal in range(200):
            one = Printer(
                obligations__cold=8000.0,
                obligations__cold_from=0.5,
                obligations__fall=1000.0,
                obligations__fall_multiple=3.0,
                instances=200,
                ordinal=ordinal,
            )
            one.until(50000.0)
            one.list(("cold", 0, EndpointState.READY, 50000.0))
            for second in range(8):
                one.until(50000.0 + 1000.0 * second + 5.0 * ordinal)
                one.take(second)
                if second in one.sent:
                    sent[second] += 1
                    one.end(second, 0, AttemptOutcome.SERVED, None, took=100.0)
        host.say(f"txns of about 175 ms of work sent to the cold backend in each second: {sent}")
        compare(self, host, "rule_4_many")

    def test_estimate(self):
        """Latest report plus own sends begun after it; stale or new = mean of fresh reports + own open sends."""
        host = Printer()
        host.list(("a",), ("b",), ("c",))
        policy = host.policy
        host.report("a", 2)
        host.report("b", 0)
        for ref in range(5):
            host.take(ref, scheme=2)
        policy.candidates.refresh(host.now)
        host.say(" ".join(f"{b.endpoint_id}={policy.load.estimate(b, host.now):g}" for b in policy.table.by_id.values()))
        host.until(2001.0)
        policy.candidates.refresh(host.now)
        host.say(" ".join(f"{b.endpoint_id}={policy.load.estimate(b, host.now):g}" for b in policy.table.by_id.values()))
        compare(self, host, "estimate")
