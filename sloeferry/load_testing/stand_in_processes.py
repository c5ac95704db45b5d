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
from time import monotonic
from types import SimpleNamespace

import uvloop

from sloeferry.stand_ins.backends import StandInBackend
from sloeferry.stand_ins.discovery import StandInDiscovery
from sloeferry.stand_ins.effect_log import EffectLog

SIGMA = 0.5  # of the logarithm of the work
EVER = 1e6  # connections, seconds: what has no bound here


class Book(EffectLog):
    """What callers ask is all alike; of what ran it is counted how often."""

    def __init__(self, told):
        self.mean_work_ms, self.rng = told["work_ms"], Random(f"{told['seed']} work")
        self.any = SimpleNamespace(kind="repeatable", work_ms=told["work_ms"], response_bytes=told["body"], body_bytes=0)
        self.begun, self.twice = set(), 0

    def request_class(self, ident):
        return self.any

    def work_ms(self, ident):
        return self.mean_work_ms * self.rng.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)

    def request_ran(self, node, ident, now):
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
        machine_kind="m",
        cores=told["cores"],
        queue_per_core=told["queue"] / told["cores"],
        speed=1.0,
        warm_up_seconds=0.0,
        initial_capacity_ratio=1.0,
        max_connections=EVER,
        idle_timeout_seconds=EVER,
        report_interval_ms=0.0,
        drops_expired=False,
        congestion=None,
    )
    roster = StandInDiscovery(
        loop,
        SimpleNamespace(call_ms=0.0, notification_spread_ms=0.0),
        {"any": address(told["discovery"])},
        book,
        Random(told["seed"]),
    )
    for at, place in enumerate(told["places"]):
        node = StandInBackend(loop, kind, f"b{at}", address(place), "a", book, {}, None, Random(f"{told['seed']} {at}"))
        await node.start(is_warm=True)
        roster.publish(node, "active", 0.0)
        nodes.append(node)
        mood, since, until = told["troubles"].get(str(at), ("", 0.0, 0.0))
        if mood:
            what = {"is_cut_off": True} if mood == "silent" else {"error_odds": 2.0}  # every one errs, at once
            loop.call_later(since - monotonic(), lambda node=node, what=what: node.change(**what))
            loop.call_later(until - monotonic(), lambda node=node: node.change(is_cut_off=False, error_odds=0.0))
    await roster.start()
    print("ready", flush=True)
    await over.wait()
    print(json.dumps({"served": sum(node.served_count for node in nodes), "twice": book.twice}))


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(stand(json.load(sys.stdin)))
