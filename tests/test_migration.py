"""A move under way: instances of the old shape and of the new one before the same backends, on one clock.

The old shape asks backends before it picks; the new one may not, hears late reports and knows its txns' keys.
"""

import asyncio
import unittest
from heapq import heappop, heappush
from itertools import count

import uvloop
from loguru import logger

from sloeferry.config.settings import build_settings
from sloeferry.policy.interface import AttemptOutcome, EndpointEntry, ListScope
from sloeferry.policy.policy import Policy
from tests.trace import Harbour, Lines, answer, compare

OLD = {"limits.probing": True, "tariffs.probe": 0.002}
NEW = {"family_info.warm_keys": True, "tariffs.cross_zone": 0.1}
BOTH = {
    "schemes.count": 1,
    "schemes.0.idempotency": "retryable",
    "schemes.0.sla_time": 400.0,
    "schemes.0.expiry": 1000.0,
    "limits.most_postings": 4,
    "limits.cancel": True,
    "limits.second_copies": True,
    "limits.retry_after": True,
    "load_info.via": "answers",
    "load_info.fields": "inflight",
    "step": 1.0,
    "obligations.cold": 8000.0,
    "obligations.cold_from": 0.25,
    "obligations.fall": 1000.0,
    "obligations.fall_multiple": 3.0,
}
WORK, REPORTED, STALE = 40.0, 2.0, 500.0  # ms: of a txn at a free core; until a report is made anew, for each shape


class Instance:
    """The host of one instance; what it does goes to the fleet."""

    def __init__(self, fleet, shape, ordinal, instances):
        self.fleet, self.shape, self.sent, self.answers, self.settled = fleet, shape, {}, {}, set()
        told = BOTH | {"old": OLD, "new": NEW}[shape] | {"instances": instances, "ordinal": ordinal}
        self.policy = Policy(self, fleet.now, ordinal, build_settings(told))

    def send_attempt(self, ref, backend):
        seq = self.sent[ref] = self.sent.get(ref, -1) + 1
        self.fleet.arrive(self, ref, seq, backend)

    def reject(self, ref, pause):
        self.fleet.paused += pause > 0
        self.answer(ref)

    def fail(self, ref):
        self.answer(ref)

    def answer(self, ref):
        self.answers[ref] = self.answers.get(ref, 0) + 1

    def cancel_attempt(self, ref, seq):
        pass

    def poll_endpoints(self):
        pass

    def schedule_wakeup(self, at, token):
        self.fleet.at(at, self.policy.timer_fired, token)

    def send_health_check(self, backend):
        inflight = self.fleet.holds[backend]
        self.fleet.at(self.fleet.now + 1, self.policy.health_check_ended, backend, AttemptOutcome.SERVED, 1.0, (inflight,))


class Fleet:
    """Backends of one core each, one txn after the other, and the instances before them."""

    def __init__(self, shapes, told):
        self.now, self.heap, self.order, self.paused = 0.0, [], count(), 0
        self.holds, self.free, self.seen, self.posts = {}, {}, {}, []
        self.instances = [Instance(self, shape, at, told(shapes, shape)) for at, shape in enumerate(shapes)]

    def at(self, when, do, *what):
        heappush(self.heap, (max(when, self.now), next(self.order), do, what))

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            self.now, _, do, what = heappop(self.heap)
            do(self.now, *what)
        self.now = until

    def list(self, *lines, scope=ListScope.COMPLETE):
        for name, _, launched in lines:
            self.holds.setdefault(name, 0)
            self.free.setdefault(name, launched)
        for one in self.instances:
            one.policy.endpoints_listed(self.now, scope, [EndpointEntry(n, 0, 0, 0, state, at) for n, state, at in lines])

    def arrive(self, one, ref, seq, backend):
        self.posts.append((self.now, backend, one.shape))
        self.holds[backend] += 1
        self.free[backend] = max(self.free[backend], self.now) + WORK
        self.at(self.free[backend] + 1, self.done, one, ref, seq, backend, self.now)

    def done(self, now, one, ref, seq, backend, sent):
        self.holds[backend] -= 1
        every = REPORTED if one.shape == "old" else STALE
        if self.seen.get((backend, every), (-1e9, 0))[0] <= now - every:
            self.seen[backend, every] = now, self.holds[backend]
        first = ref not in one.answers
        if first:
            one.answer(ref)
            one.settled.add(ref)
        one.policy.attempt_ended(now, ref, seq, AttemptOutcome.SERVED, True, now - sent, (self.seen[backend, every][1],))

    def traffic(self, rate, start, until, rng):
        """So many txns a second at each instance."""
        for one in self.instances:
            when = start + rng.expovariate(rate / 1000)
            while when < until:
                ref = next(self.order)
                self.at(when, one.policy.request_arrived, ref, 0, 0, rng.randrange(1, 30), 1000.0, None, False)
                self.at(when + 1000.0, self.left, one, ref)
                when += rng.expovariate(rate / 1000)

    def left(self, now, one, ref):
        """The client's patience is over: whatever was taken must have its one answer by now."""
        one.answers.setdefault(ref, 0)
        one.policy.client_left(now, ref)


def all_told(shapes, _):
    return len(shapes)


def own_bank(shapes, shape):
    return shapes.count(shape)


class OnSockets(unittest.TestCase):
    def setUp(self):
        logger.remove()

    def test_both_shapes_on_loopback(self):
        """A real proxy of each shape before the same stand-ins: each request answered once, none to what drains."""
        begun, out = [], Lines()

        def backend(name):
            def script(_):
                begun.append(name)
                return answer(name, 200, 'X-Load-Report: {"inflight":0}')

            return script

        async def story():
            scripts = {name: backend(name) for name in "bcd"}
            async with Harbour(scripts, more={"instances": 2}) as old:
                new = Harbour(scripts, more={"instances": 2, "ordinal": 1, "family_info": {"warm_keys": True}})
                new.ports = old.ports
                async with new:
                    said = {"old": [], "new": []}
                    for n in range(20):
                        said["old"].append(await old.call("safe", X_Call_Id=f"o{n}", X_Call_Info="entity=k1"))
                        said["new"].append(await new.call("safe", X_Call_Id=f"n{n}", X_Call_Info="work=3,entity=k1"))
                    for shape, came in said.items():
                        served = sum(text[:3] == "200" for text in came)
                        out.lines.append(
                            f"{shape}: {len(came)} asked, {served} served, by {len({text[4:] for text in came})} backends"
                        )
                    kept = said["new"][-1][4:]
                    out.lines.append(f"begun at backends: {len(begun)}")
                    for harbour in (old, new):
                        harbour.list((kept, "leaving"), complete=False)
                    await asyncio.sleep(0.1)  # as for every list that a test here tells
                    begun.clear()
                    for n in range(10):
                        for shape, harbour in (("p", old), ("q", new)):
                            came = await harbour.call("safe", X_Call_Id=f"{shape}{n}", X_Call_Info="entity=k1")
                            self.assertEqual(came[:3], "200")
                    out.lines.append(f"to the one that drains, of {len(begun)}: {begun.count(kept)}")

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(asyncio.wait_for(story(), 60))
        compare(self, out, "migration_sockets")
