"""What goes wrong, and when: each trouble of a scenario, carried out on the stand-ins and the proxies."""

import asyncio

from sloeferry.rehearsal import scenario as s
from sloeferry.stand_ins.clients import OPS, Line

AWAY, BACK = 4.0, 2.0  # seconds after which no client is left, and after which they may come again
LEAVES = 2.0  # seconds that a drained node waits for what it still has


class Troubles:
    def __init__(self, bank):
        self.bank, self.loop = bank, bank.loop

    def begin(self, now):
        for at, trouble in enumerate(self.bank.scenario.trouble):
            rng = self.bank.house.rng(f"trouble-{at}")
            self.loop.call_at(now + trouble.at, self.strike, trouble, rng)

    def strike(self, trouble, rng):
        getattr(self, type(trouble).__name__.lower())(trouble, rng)

    def standing(self):
        return [node for node in self.bank.nodes if node.up and not node.draining]

    def struck(self, trouble, rng):
        return self.bank.pick(trouble.part, trouble.zone, rng, self.standing())

    # Nodes

    def stall(self, trouble, rng):
        end = self.loop.time() + trouble.lasts

        def again(node):
            if self.loop.time() < end and node.up:
                node.stall(trouble.ms / 1000 * rng.uniform(0.7, 1.3))
                self.loop.call_later(trouble.every_ms / 1000 * rng.uniform(0.7, 1.3), again, node)

        for node in self.struck(trouble, rng):
            self.loop.call_later(trouble.every_ms / 1000 * rng.random(), again, node)

    def neighbour(self, trouble, rng):
        end = self.loop.time() + trouble.lasts

        def turn(node, on):
            if self.loop.time() >= end:
                on = False
            node.change(neighbour=trouble.takes if on else 0.0)
            if self.loop.time() < end:
                self.loop.call_later(trouble.every_ms / 1000 * rng.uniform(0.5, 1.5), turn, node, not on)

        for node in self.struck(trouble, rng):
            self.loop.call_later(trouble.every_ms / 1000 * rng.random(), turn, node, True)

    def lasting(self, trouble, rng, name, value, usual):
        for node in self.struck(trouble, rng):
            node.change(**{name: value})
            self.loop.call_later(trouble.lasts, lambda node=node: node.change(**{name: usual}))

    def slow(self, trouble, rng):
        self.lasting(trouble, rng, "slow", trouble.times, 1.0)

    def errs(self, trouble, rng):
        self.lasting(trouble, rng, "odds_err", trouble.odds, 0.0)

    def cuts(self, trouble, rng):
        self.lasting(trouble, rng, "odds_cut", trouble.odds, 0.0)

    def refuses(self, trouble, rng):
        for node in self.struck(trouble, rng):
            node.refuse(True)
            self.loop.call_later(trouble.lasts, node.refuse, False)

    def heavy(self, trouble, rng):
        pass  # drawn with the arrivals

    badtxns = waits = heavy

    def falsereports(self, trouble, rng):
        for node in self.struck(trouble, rng):
            node.report()  # what it goes on showing
            node.change(slow=trouble.times, lie=trouble.shows)
            self.loop.call_later(trouble.lasts, lambda node=node: node.change(slow=1.0, lie=""))

    def ways(self, nodes, proxies, way, lasts):
        """Between those nodes and those proxies, for so long."""
        for node in nodes:
            node.ways.update({name: way for name in proxies})
            self.loop.call_later(lasts, node.ways.clear)

    def onesided(self, trouble, rng):
        names = self.bank.pick(trouble.proxies, "", rng, self.bank.proxies)
        self.ways(self.struck(trouble, rng), [proxy.name for proxy in names], (trouble.odds, 0.0), trouble.lasts)

    def lossyway(self, trouble, rng):
        way = trouble.odds, trouble.delay_ms / 1000
        for here in (True, False):  # both directions: its nodes for the others' proxies, theirs for its own
            self.ways(
                [node for node in self.standing() if (node.zone == trouble.zone) == here],
                [proxy.name for proxy in self.bank.proxies if (proxy.zone == trouble.zone) != here],
                way,
                trouble.lasts,
            )

    def crash(self, trouble, rng):
        for node in self.struck(trouble, rng):
            node.die()
            self.bank.roster.happened(node, "left", self.bank.scenario.discovery.notice_s * rng.uniform(0.6, 1.0))
            self.loop.call_later(trouble.lasts, self.returns, node)

    def silent(self, trouble, rng):
        for node in self.struck(trouble, rng):
            node.mute = True
            self.bank.house.cut(node.address, True)
            self.bank.roster.happened(node, "left", self.bank.scenario.discovery.silent_s * rng.uniform(0.6, 1.0))
            self.loop.call_later(trouble.lasts, self.returns, node)

    def returns(self, node):
        """The same node, its process new and cold."""
        node.die()
        node.mute = False
        self.bank.house.cut(node.address, False)
        self.starts(node)

    def starts(self, node):
        self.loop.create_task(node.start())
        launched = self.bank.house.unix()
        self.bank.judge.started(node.ident, self.loop.time(), round(launched * 1000))
        self.bank.roster.happened(node, "active", self.bank.scenario.discovery.add_s, launched)

    def deploy(self, trouble, rng):
        nodes = self.struck(trouble, rng)
        batch = max(1, round(trouble.batch * len(self.standing())))
        batches = [nodes[at : at + batch] for at in range(0, len(nodes), batch)]
        for at, some in enumerate(batches):
            for node in some:
                self.loop.call_later(trouble.lasts * at / len(batches), self.replace, node, trouble.drain_s)

    def replace(self, node, drain_s):
        """It drains, ends, and another one takes its place, cold."""
        if not node.up or node.draining:
            return
        node.draining = True
        notice = self.bank.scenario.discovery.notice_s
        self.bank.roster.happened(node, "leaving", notice / 2)
        self.loop.call_later(notice + drain_s, self.drained, node, self.loop.time() + notice + drain_s + LEAVES)

    def drained(self, node, until):
        if node.up and node.crowd() and self.loop.time() < until:
            self.loop.call_later(0.05, self.drained, node, until)
            return
        node.die()
        self.bank.roster.happened(node, "left", self.bank.scenario.discovery.add_s)
        other = self.bank.node(node.told, node.zone)
        self.bank.nodes[self.bank.nodes.index(node)] = other
        self.starts(other)

    # Proxies

    def some(self, trouble, rng):
        return self.bank.pick(trouble.part, trouble.zone, rng, self.bank.proxies)

    def proxiesdie(self, trouble, rng):
        for proxy in self.some(trouble, rng):
            proxy.kill()
            self.loop.call_later(trouble.lasts, proxy.start)

    def proxiesroll(self, trouble, rng):
        proxies = self.some(trouble, rng)
        for at, proxy in enumerate(proxies):
            self.loop.call_later(trouble.lasts * at / len(proxies), proxy.leave)

    def proxiesquiesce(self, trouble, rng):
        for proxy in self.some(trouble, rng):
            self.loop.create_task(self.quiesce(proxy, trouble.lasts))

    async def quiesce(self, proxy, lasts):
        """What operators ask of a drain is held to, by what they and the clients see."""
        told, now = await self.call(proxy, b"quiesce"), self.loop.time()
        # The front asks now and then, and is slow to believe a no.
        self.bank.front.ended(proxy.name, self.bank.scenario.front.entry_s)
        await asyncio.sleep(AWAY)
        for callers in self.bank.callers:
            held = [line for pool in callers.pools.values() for line in pool if line.proxy == proxy.name]
            if held:
                self.bank.judge.breach("drain", self.loop.time(), f"{proxy.name} holds {len(held)} idle connections")
        if self.bank.judge.latest(proxy.name) > self.loop.time() - AWAY / 2 or not told:
            self.bank.judge.breach("drain", self.loop.time(), f"{proxy.name} goes on taking requests")
        await asyncio.sleep(max(0.0, now + lasts - self.loop.time()))
        if not await self.call(proxy, b"resume"):
            self.bank.judge.breach("drain", self.loop.time(), f"{proxy.name} can't be resumed")
        self.bank.front.started(proxy.name)
        await asyncio.sleep(BACK)
        if not self.bank.front.alive[proxy.name]:
            self.bank.judge.breach("drain", self.loop.time(), f"{proxy.name} was resumed and says no")

    async def call(self, proxy, name):
        """One call at a proxy's operators' address; whether it says yes."""
        try:
            transport, line = await self.loop.create_connection(lambda: Line(self.loop), proxy.address[0], proxy.address[1] + OPS)
            line.ask(b"POST /admin/%b HTTP/1.1\r\nHost: ops.local\r\n\r\n" % name)
            said = await line.answer
            transport.close()
            return said is not None and 200 <= said[0] < 300
        except OSError:
            return False

    def proxiesstop(self, trouble, rng):
        for proxy in self.some(trouble, rng):
            proxy.stop(trouble.ms / 1000)

    def proxiesstarve(self, trouble, rng):
        for proxy in self.some(trouble, rng):
            proxy.starve(trouble.share)
            self.loop.call_later(trouble.lasts, proxy.starve, self.bank.scenario.bank.share)

    # Discovery

    def discoveryout(self, trouble, rng):
        self.bank.roster.out()
        self.loop.call_later(trouble.lasts, lambda: self.loop.create_task(self.bank.roster.back()))

    def discoverymove(self, trouble, rng):
        """It goes on elsewhere; proxies are told by a new configuration and SIGHUP."""
        self.bank.roster.out()
        self.loop.create_task(self.bank.roster.back(len(self.bank.proxies)))
        for proxy in self.bank.proxies:
            self.loop.call_later(0.5 * rng.random(), proxy.renew)

    def discoverylag(self, trouble, rng):
        self.bank.roster.more = trouble.more_s
        self.loop.call_later(trouble.lasts, setattr, self.bank.roster, "more", 0.0)


def known():
    """Every trouble has its part here; a scenario's kind without one would fail in the middle of a play."""
    return [kind for kind in s.TROUBLES.__args__ if not hasattr(Troubles, kind.__name__.lower())]
