"""Stand-in backends and discovery in a process of their own: python -m sloeferry.load_testing.stand_in_processes, told as JSON on
standard input.  Loopback only.

A backend has cores and a queue; work is drawn from a seed.  It reports its load with each answer.  In the
stated span it may be silent (takes all, answers nothing) or err at once.  On SIGTERM the process writes what it
has seen on standard output and ends.
"""

import asyncio
import json
import signal
import sys
from random import Random
from time import monotonic, time
from types import SimpleNamespace

import uvloop

from sloeferry.stand_ins.backends import Node
from sloeferry.stand_ins.discovery import Roster
from sloeferry.stand_ins.effect_log import Ledger

SIGMA = 0.5  # of the logarithm of the work
EVER = 1e6  # connections, seconds: what has no bound here


class Book(Ledger):
    """What callers ask is all alike; of what ran it is counted how often."""

    def __init__(self, told):
        self.work_ms, self.rng = told["work_ms"], Random(f"{told['seed']} work")
        self.any = SimpleNamespace(kind="repeatable", work_ms=told["work_ms"], answer=told["body"], body=0)
        self.begun, self.twice = set(), 0

    def scheme(self, ident):
        return self.any

    def work(self, ident):
        return self.work_ms * self.rng.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)

    def ran(self, node, ident, now):
        self.twice += ident in self.begun
        self.begun.add(ident)


async def stand(told):
    loop, book, nodes = asyncio.get_running_loop(), Book(told), []
    over = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, over.set)
    loop.call_later(told["at_most"], over.set)

    def address(place):
        host, _, port = place.rpartition(":")
        return host, int(port)

    kind = SimpleNamespace(
        kind="m",
        cores=told["cores"],
        queue=told["queue"] / told["cores"],
        speed=1.0,
        cold_s=0.0,
        connections=EVER,
        idle_s=EVER,
        report_ms=0.0,
        drops_late=False,
        choke=None,
    )
    roster = Roster(
        loop, SimpleNamespace(call_ms=0.0, spread_ms=0.0), {"any": address(told["discovery"])}, book, Random(told["seed"]), time
    )
    for at, place in enumerate(told["places"]):
        node = Node(loop, kind, f"b{at}", address(place), "a", book, {}, None, Random(f"{told['seed']} {at}"))
        await node.start(warm=True)
        roster.publish(node, "active", 0.0)
        nodes.append(node)
        mood, since, until = told["troubles"].get(str(at), ("", 0.0, 0.0))
        if mood:
            what = {"mute": True} if mood == "silent" else {"odds_err": 2.0}  # every one errs, at once
            loop.call_later(since - monotonic(), lambda node=node, what=what: node.change(**what))
            loop.call_later(until - monotonic(), lambda node=node: node.change(mute=False, odds_err=0.0))
    await roster.start()
    print("ready", flush=True)
    await over.wait()
    print(json.dumps({"served": sum(node.served for node in nodes), "twice": book.twice}))


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(stand(json.load(sys.stdin)))
