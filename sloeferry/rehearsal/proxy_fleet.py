"""Everybody who takes part in a play but the proxies themselves: who stands where, and what each is told.

The same for the rehearsal's own loop and for a real one; `House` says what differs between the two.
"""

import json
import math
import pathlib
from typing import Protocol

from sloeferry.rehearsal.faults import Troubles
from sloeferry.rehearsal.judge import Judge, arrivals
from sloeferry.stand_ins import platform
from sloeferry.stand_ins.backends import Memory, Node
from sloeferry.stand_ins.clients import OPS, Callers, Front
from sloeferry.stand_ins.discovery import Roster

READY = 30.0  # seconds until a play begins whoever is ready
LONGEST = 3.7  # seconds from SIGTERM to SIGKILL


class House(Protocol):
    """Where the stand-ins run."""

    loop: object  # of whoever causes the troubles
    folder: str  # where proxies' configurations stand

    def rng(self, what: str): ...
    def unix(self) -> float: ...
    def place(self, name: str, address: tuple, zone: str | None): ...  # the loop of one who stands there
    def cut(self, address: tuple, so: bool) -> None: ...
    def proxy(self, bank, at: int): ...  # a proxy: start, kill, leave, stop(seconds), starve(share), renew


class Berth:
    """What a proxy has in either house: its place, its configuration and its share of a core."""

    def __init__(self, house, bank, at):
        self.house, self.bank, self.at = house, bank, at
        self.name, self.address, self.zone = bank.places[at]
        self.path, self.seeds = pathlib.Path(house.folder) / f"{self.name}.json", house.rng(f"proxy-{at}")
        self.process, self.leaving, self.share = None, False, bank.scenario.bank.share

    def write(self):
        self.path.write_text(json.dumps(self.bank.berth(self.at, self.seeds.getrandbits(64))))


def spot(block, at):
    """A loopback address of its own for each."""
    return f"127.{block}.{at // 250}.{at % 250 + 1}"


def expand(scenario):
    """Each node's terms and zone, dealt out over the zones in turn."""
    zones, found = scenario.network.zones, []
    for nodes in scenario.nodes:
        for _ in range(nodes.count):
            found.append((nodes, nodes.zone or zones[len(found) % len(zones)]))
    return found


class Bank:
    def __init__(self, scenario, house, port=8000):
        self.scenario, self.house, self.loop, self.port = scenario, house, house.loop, port
        zones = scenario.network.zones
        self.judge = Judge(scenario, arrivals(scenario, house.rng("arrivals")))
        self.places = [(f"p{at}", (spot(10, at), port), zones[at % len(zones)]) for at in range(scenario.bank.proxies)]
        self.judge.proxies = {name: zone for name, _, zone in self.places}
        lists = {name: (spot(30, 0), port + 500 + at) for at, (name, _, _) in enumerate(self.places)}
        self.roster = Roster(
            house.place("roster", (spot(30, 0), 0), zones[0]),
            scenario.discovery,
            lists,
            self.judge,
            house.rng("roster"),
            house.unix,
        )
        self.memories = {}
        self.nodes, self.made = [], 0
        for told, zone in expand(scenario):
            self.nodes.append(self.node(told, zone))
        self.front = Front(house.place("front", (spot(41, 0), 0), None), scenario.front, self.places)
        self.callers = []
        for at, zone in enumerate(zones):
            asks = [ask for ask in self.judge.asks if ask.client % len(zones) == at]
            loop = house.place(f"callers-{zone}", (spot(40, at), 0), None)
            self.callers.append(Callers(loop, scenario, zone, asks, self.front, self.judge, house.rng(f"callers-{zone}")))
        self.proxies = [house.proxy(self, at) for at in range(scenario.bank.proxies)]

    def node(self, told, zone):
        at, self.made = self.made, self.made + 1
        address = spot(20, at), self.port
        ident = f"s-{at:04x}"
        # A scheme's group says who remembers its repeats: all nodes, or those of one zone.
        memories = {group: self.memories.setdefault(where, Memory()) for group, where in (("all", ""), ("zone", zone))}
        return Node(
            self.house.place(ident, address, zone),
            told,
            ident,
            address,
            zone,
            self.judge,
            memories,
            self.scenario.obligations,
            self.house.rng(f"node-{at}"),
        )

    def settings(self, at):
        """What the platform tells the proxy of that number, times in microseconds."""
        told = self.scenario
        cold_s, cold_from = told.cold()
        schemes = [platform.scheme(s.name, s.kind, s.sla_ms, s.expiry_ms, s.gain, s.group, s.window_ms) for s in told.scheme]
        return platform.settings(
            schemes,
            [(c.name, c.share) for c in told.customer],
            instances=told.bank.proxies,
            ordinal=at,
            zones=told.network.zones,
            kinds={nodes.kind for nodes in told.nodes},
            discovery=told.discovery.mode,
            idle_s=min((n.idle_s for n in told.nodes), default=30.0),
            cold_s=cold_s,
            cold_from=cold_from,
            drain_grace_ms=told.obligations.drain_grace_ms,
            fall_ms=told.obligations.fall_ms,
            fall_multiple=told.obligations.fall_multiple,
            must_ask_in_s=told.discovery.patience_s,
            cross_zone=told.prices.cross,
            probe=told.prices.probe,
        )

    def berth(self, at, seed):
        """The configuration of the proxy of that number, as the platform writes it."""
        name, address, _ = self.places[at]
        bank = self.scenario.bank
        return platform.berth(
            name,
            address,
            self.roster.addresses[name],
            self.settings(at),
            seed=seed,
            sockets=bank.sockets,
            memory_mb=bank.memory_mb,
            cores=bank.share,
            ops=(address[0], address[1] + OPS),
            known=self.roster.known_to(name),
        )

    async def open(self):
        """Nodes, warm ones, and discovery."""
        for node in self.nodes:
            await node.start(warm=True)
            self.roster.publish(node, "active", 0.0)
        await self.roster.start()

    def begin(self, now):
        self.judge.begin = now
        for callers in self.callers:
            callers.begin(now)
        Troubles(self).begin(now)

    def busy(self):
        return any(callers.open for callers in self.callers)

    def record(self, now):
        """The judge's record, once all that could end has ended."""
        for ask in [ask for callers in self.callers for ask in callers.asks if not ask.how]:
            self.judge.breach("1", now, f"txn {ask.number} had no end")
        return self.judge.record()

    def longest(self):
        """Seconds that the last txn may still take, with all its tries."""
        told = self.scenario.callers
        return 1.0 + (1 + told.retries) * (max(s.expiry_ms for s in self.scenario.scheme) + 2000) / 1000

    def pick(self, part, zone, rng, among):
        """Some of those, chosen by chance; at least one where any was asked for."""
        there = [one for one in among if not zone or one.zone == zone]
        return rng.sample(there, min(len(there), math.ceil(part * len(there))))
