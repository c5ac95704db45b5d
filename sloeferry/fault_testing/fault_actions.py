"""Who stands round the proxies, in processes of their own: python -m sloeferry.fault_testing.fault_actions.

The first line on standard input says who it is; each further one is a command.  What it has to say at once it says on
standard output, what it saw goes into its record.
"""

import asyncio
import gc
import json
import os
import sys
from random import Random

import uvloop

from sloeferry.fault_testing import plan as p
from sloeferry.fault_testing.event_recorder import BEAT, Scribe
from sloeferry.fault_testing.link_relay import Link
from sloeferry.stand_ins.backends import StandInBackend
from sloeferry.stand_ins.clients import StandInClients
from sloeferry.stand_ins.connection_balancer import ConnectionBalancer, ProxyPlace
from sloeferry.stand_ins.deduplication import DeduplicationStore


def say(**what):
    sys.stdout.write(json.dumps(what) + "\n")
    sys.stdout.flush()


class Hand:
    """One process; a command calls the method of its name."""

    def __init__(self, loop, told, plan, scribe):
        self.loop, self.told, self.plan, self.scribe = loop, told, plan, scribe
        self.over = asyncio.Event()

    async def open(self):
        pass

    async def end(self):
        self.over.set()


class Nodes(Hand):
    """All nodes of a process."""

    async def open(self):
        self.nodes, self.memories, self.leaving = {}, {}, {}

    async def make(self, at, ident, address, zone, kind):
        memories = {
            group: self.memories.setdefault(where, DeduplicationStore()) for group, where in (("all", ""), ("zone", zone))
        }
        self.nodes[at] = StandInBackend(
            self.loop,
            self.plan.backends[kind],
            ident,
            tuple(address),
            zone,
            self.scribe,
            memories,
            self.plan.obligations,
            Random(f"{self.told['seed']}/node-{at}"),
        )

    async def start(self, at, warm):
        await self.nodes[at].start(warm)
        say(up=at)

    async def die(self, at):
        self.nodes[at].crash()
        self.leaving.pop(at, None)

    async def refuse(self, at, so):
        self.nodes[at].refuse_connections(so)

    async def stall(self, at, seconds):
        self.nodes[at].stall(seconds)

    async def change(self, at, what):
        self.nodes[at].change(**what)

    async def report(self, at):
        self.nodes[at].refresh_report()

    async def leave(self, at):
        """Whoever drains says when nothing is left to do."""
        node = self.nodes[at]
        if node.is_up and node.in_flight():
            self.loop.call_later(BEAT, lambda: self.loop.create_task(self.leave(at)))
        else:
            say(idle=at)


class Crowd(Hand):
    """Callers of all zones, a part of all clients."""

    async def open(self):
        told, zones = self.told, self.plan.network.zones
        places = [ProxyPlace(name, tuple(address), zone) for name, address, zone in told["places"]]
        self.front, self.callers = ConnectionBalancer(self.loop, self.plan.balancer, places), []
        for at, zone in enumerate(zones):
            asks = [
                ask
                for ask in self.scribe.asks
                if ask.client % len(zones) == at and ask.client // len(zones) % told["of"] == told["number"]
            ]
            self.callers.append(
                StandInClients(
                    self.loop,
                    self.plan,
                    zone,
                    asks,
                    self.front,
                    self.scribe,
                    Random(f"{told['seed']}/callers-{zone}-{told['number']}"),
                )
            )

    async def begin(self, now):
        self.scribe.began_at = now
        for callers in self.callers:
            callers.begin(now)
        self.loop.call_at(now + self.plan.seconds, self.open_still)

    def open_still(self):
        say(open=sum(callers.open_count for callers in self.callers))
        self.loop.call_later(0.1, self.open_still)

    async def alive(self, name, so):
        self.front.alive[name] = so


class Relay(Hand):
    async def open(self):
        self.links = {}

    async def link(self, name, listen, target, heads):
        self.links[name] = Link(self.loop, name, tuple(listen), tuple(target), self.scribe, heads)
        await self.links[name].open()

    async def laid(self):
        say(laid=len(self.links))

    async def do(self, names, what, told):
        await asyncio.gather(*(self.links[name].do(what, told) for name in names))


ROLES = {"nodes": Nodes, "callers": Crowd, "relay": Relay}


class Orders(asyncio.Protocol):
    """Commands, one after the other; with the end of the pipe this process ends."""

    def __init__(self, hand):
        self.hand, self.rest, self.queue = hand, b"", asyncio.Queue()
        self.task = asyncio.get_running_loop().create_task(self.work())

    def data_received(self, data):
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self.queue.put_nowait(json.loads(line))

    def connection_lost(self, fault):
        self.hand.over.set()

    async def work(self):
        while True:
            name, *what = await self.queue.get()
            try:
                await getattr(self.hand, name)(*what)
            except Exception as fault:
                say(fault=f"{name} {what!r:.200}: {fault!r}")


async def stand(told):
    loop = asyncio.get_running_loop()
    plan = p.checked(told["plan"])
    plan = p.altered(plan, told["proxies"], told["nodes"])
    scribe = Scribe(plan, told["seed"], told["record"], loop.time)
    loop.set_exception_handler(lambda _, what: say(fault=f"{what.get('message')}: {what.get('exception')!r}"))
    hand = ROLES[told["role"]](loop, told, plan, scribe)
    await hand.open()
    gc.freeze()
    gc.set_threshold(50000, 20, 50)  # a look at all that is kept takes longer than what is measured
    scribe.beat(loop, told["role"])
    await loop.connect_read_pipe(lambda: Orders(hand), sys.stdin)
    say(ready=told["role"])
    await hand.over.wait()
    scribe.close()


if __name__ == "__main__":
    first = json.loads(os.fdopen(os.dup(0), "rb", 0).readline())
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(stand(first))
