"""The course of a play: processes started, faults carried out, everything ended again, by id.

The driver is also discovery, and the only one that starts, stops and signals proxies.  It holds for the rest what a
bank holds in a rehearsal (rehearsal/bank.py), so that scenarios' troubles strike here as they do there.
"""

import asyncio
import gc
import json
import os
import pathlib
import signal
import socket
import sys
from asyncio.subprocess import PIPE

import uvloop

from sloeferry.fault_testing import plan as p
from sloeferry.fault_testing.event_recorder import Scribe
from sloeferry.fleet.ask import ask_all
from sloeferry.fleet.audit import BOUND, audit
from sloeferry.fleet.roll import Proxy, Roll
from sloeferry.rehearsal import live
from sloeferry.rehearsal.faults import FaultInjector
from sloeferry.rehearsal.play_environment import READY_TIMEOUT_SECONDS
from sloeferry.rehearsal.proxy_fleet import ProxyFleet, loopback_address, plan_backends, plan_places
from sloeferry.stand_ins import processes
from sloeferry.stand_ins.call_failures import CallFailure
from sloeferry.stand_ins.connection_balancer import ConnectionBalancer, ProxyPlace
from sloeferry.stand_ins.discovery import StandInDiscovery
from sloeferry.stand_ins.wire_protocol import ADMIN_PORT_OFFSET

APART = 0.05  # seconds between two starts of processes: a start holds the driver up
STARTS = 2.0  # seconds in which a process has read its file for certain
GROUND = 12000, 32000, 2500  # ports: from, to, and how many a play may take
ROOT = str(pathlib.Path(__file__).resolve().parents[2])


class Hand:
    """A process of stand-ins, as the driver sees it; `heard` is called with all it says."""

    def __init__(self, crew, role, number=0):
        self.crew, self.role, self.number, self.process = crew, role, number, None
        self.record = pathlib.Path(crew.environment.folder) / f"{role}-{number}.jsonl"
        self.ready, self.open = asyncio.Event(), None

    async def start(self, **more):
        crew = self.crew
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sloeferry.fault_testing.fault_actions",
            cwd=ROOT,
            stdin=PIPE,
            stdout=PIPE,
            start_new_session=True,
        )
        crew.environment.process_started(self.process, crew.environment.ours)
        crew.loop.create_task(self.listen())
        self.say(
            {
                "role": self.role,
                "plan": crew.text,
                "proxies": crew.proxies_wanted,
                "nodes": crew.nodes_wanted,
                "seed": crew.environment.seed,
                "record": str(self.record),
                "number": self.number,
                **more,
            }
        )
        await asyncio.wait_for(self.ready.wait(), READY_TIMEOUT_SECONDS)

    def say(self, what):
        self.process.stdin.write(json.dumps(what).encode() + b"\n")

    def do(self, name, *what):
        self.say([name, *what])

    async def listen(self):
        async for line in self.process.stdout:
            said = json.loads(line)
            if "ready" in said:
                self.ready.set()
            elif "open" in said:
                self.open = said["open"]
            elif "fault" in said:
                self.crew.faults.append(f"{self.role}: {said['fault']}")
            else:
                self.crew.heard(said)

    async def end(self):
        """Its record is whole once it has ended by itself."""
        if self.process is None or self.process.returncode is not None:
            return
        self.do("end")
        try:
            await asyncio.wait_for(self.process.wait(), 10)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class Node:
    """A node, as troubles see it: what they do to it is done by the process that has it."""

    def __init__(self, crew, at, told, kind, zone):
        self.crew, self.at, self.settings, self.zone = crew, at, told, zone
        self.backend_id, self.address = f"s-{at:04x}", (loopback_address(20, at), crew.port)
        self.hand, self.is_up, self.is_draining, self.works, self.came = (
            crew.hands_of_nodes[at % crew.plan.rig.nodes],
            False,
            False,
            True,
            None,
        )
        self.hand.do("make", at, self.backend_id, self.address, zone, kind)

    def do(self, name, *what):
        self.hand.do(name, self.at, *what)

    async def start(self, is_warm=False):
        self.is_up, self.is_draining, self.works = True, False, True
        self.came = self.crew.loop.create_future()
        self.do("start", is_warm)
        await self.came

    def crash(self):
        self.is_up = False
        self.do("die")

    def in_flight(self):
        """Whether it still has something to do; asked once it drains."""
        if self.works is True:
            self.works = None
            self.do("leave")
        return self.works is None

    def change(self, **what):
        self.do("change", what)

    def refuse_connections(self, so):
        self.do("refuse", so)

    def stall(self, seconds):
        self.do("stall", seconds)

    def refresh_report(self):
        self.do("report")

    is_cut_off = property(None, lambda self, so: self.change(is_cut_off=so))


class Gate(ConnectionBalancer):
    """The front, for all callers at once: the driver asks who is ready, the callers' processes are told."""

    def __init__(self, loop, told, places, tell):
        super().__init__(loop, told, places)
        self.alive, self.poll_seconds = Alive(self.alive, tell), max(0.05, len(places) / 400)


class Alive(dict):
    def __init__(self, before, tell):
        super().__init__(before)
        self.tell = tell

    def __setitem__(self, name, so):
        super().__setitem__(name, so)
        self.tell(name, so)


class Yard(live.LiveEnvironment):
    """Where processes stand: measuring ones on cores of their own, proxies on the rest."""

    def __init__(self, loop, seed, folder, tree):
        super().__init__(loop, seed, folder)
        self.tree, self.offsets, self.flaky = tree, {}, set()
        self.began = {}  # proxy -> when its newest process was started
        cores = sorted(os.sched_getaffinity(0))
        many = max(1, len(cores) * 3 // 8)
        self.ours, self.theirs = (set(cores[:many]), set(cores[many:])) if len(cores) > 2 else (set(cores), set(cores))
        os.sched_setaffinity(0, self.ours)

    def process_started(self, process, cores=None):
        try:
            os.sched_setaffinity(process.pid, cores or self.theirs)
        except ProcessLookupError:
            pass  # it has ended already: whoever waits for it will say so

    def command(self, daemon):
        """As `run` starts it; where its wall clock is to be off, through the seam of machine.py."""
        self.began[daemon.index] = self.loop.time()
        off, flaky = self.offsets.get(daemon.index), daemon.index in self.flaky
        words, environ = processes.command("sloeferry" if off is None and not flaky else "sloeferry.fault_testing.flaky_proxy")
        if off is not None:
            environ |= {"SLOEFERRY_RIG_CLOCK": repr(off)}
        if flaky:
            environ |= {"SLOEFERRY_RIG_CALLS": "yes"}
        if daemon.fleet.plan.rig.audit_s:
            environ |= {"SLOEFERRY_OPERATOR": str(pathlib.Path(self.folder, "operator.toml"))}
        return words, environ, self.tree or ROOT

    def make_proxy(self, bank, at):
        return live.ProxyProcess(self, bank, at)


class Crew(ProxyFleet):
    """Everybody, and the course of the play (bank.Bank for scenarios' troubles)."""

    def __init__(self, text, plan, house, port, proxies, nodes):
        self.text, self.plan, self.scenario, self.environment, self.loop, self.port = text, plan, plan, house, house.loop, port
        self.proxies_wanted, self.nodes_wanted = proxies, nodes
        folder = pathlib.Path(house.folder)
        self.faults, self.made, self.sla, self.made_of = [], 0, {}, {}
        self.judge = Scribe(plan, house.seed, folder / "driver.jsonl", self.loop.time)
        self.places = plan_places(plan, port)
        self.struck, self.links = {}, {}  # fault -> what it strikes; link -> where it listens, where it leads
        self.draw()
        self.discovery = StandInDiscovery(self.loop, plan.discovery, self.discovery_addresses(), self.judge, house.rng("roster"))
        (folder / "operator.toml").write_text("[versions]\ntell = true\ncarry = true\n")
        self.hands_of_nodes = [Hand(self, "nodes", at) for at in range(plan.rig.nodes)]
        self.hands_of_callers = [Hand(self, "callers", at) for at in range(plan.rig.callers)]
        self.relay = Hand(self, "relay") if self.links else None
        self.hands = [*self.hands_of_nodes, *self.hands_of_callers, *([self.relay] if self.relay else [])]
        self.balancer = Gate(self.loop, plan.balancer, self.places, self.alive)
        self.backends, self.proxies = [], [house.make_proxy(self, at) for at in range(plan.proxies.count)]

    def draw(self):
        """Whom each fault strikes, and the links that takes, all from the seed."""
        plan, count, turns = self.plan, sum(nodes.count for nodes in self.plan.backends), {}
        for at, fault in enumerate(plan.fault):
            rng = self.environment.rng(f"fault-{at}")
            some = fault.proxies or sorted(rng.sample(range(plan.proxies.count), max(1, round(fault.part * plan.proxies.count))))
            names = []
            if isinstance(fault, p.BETWEEN):
                ends = (
                    sorted(rng.sample(range(count), max(1, round(fault.nodes * count)))) if fault.between == "nodes" else [None]
                )
                for proxy in some:
                    for node in ends:
                        name = f"{fault.between}/{proxy}" + (f"/{node}" if node is not None else "")
                        if name not in self.links:  # one address a proxy for its links, a port each
                            turn = turns[proxy] = turns.get(proxy, -1) + 1
                            self.links[name] = fault.between, proxy, node, (loopback_address(50, proxy), self.port + turn)
                        names.append(name)
            self.struck[at] = some, names

    def make_backend(self, told, zone):
        at, self.made = self.made, self.made + 1
        node = Node(self, at, told, self.plan.backends.index(told), zone)
        self.made_of[at] = node
        return node

    def heard(self, said):
        if "up" in said:
            self.made_of[said["up"]].came.set_result(None)
        elif "idle" in said:
            self.made_of[said["idle"]].works = False
        elif "laid" in said:
            self.laid.set()

    def alive(self, name, so):
        for hand in self.hands_of_callers:
            hand.do("alive", name, so)

    def settings(self, at):
        told = super().settings(at)
        for scheme in told["schemes"]:
            scheme["sla_time"] = min(scheme["expiry"], round(scheme["sla_time"] * self.sla.get(at, 1.0)))
        return told

    def instance_config(self, at, seed):
        told = super().instance_config(at, seed)
        if f"discovery/{at}" in self.links:
            told["discovery"] = "{}:{}".format(*self.links[f"discovery/{at}"][3])
        return told

    # The course

    async def open(self):
        self.laid = asyncio.Event()
        seen = [
            ProxyPlace(name, self.links.get(f"callers/{at}", (0, 0, 0, address))[3], zone)
            for at, (name, address, zone) in enumerate(self.places)
        ]
        await asyncio.gather(*(hand.start(places=seen, of=self.plan.rig.callers) for hand in self.hands))
        for told, zone in plan_backends(self.plan):
            self.backends.append(self.make_backend(told, zone))
        for name, (between, proxy, node, listen) in self.links.items():
            target = (
                self.backends[node].address
                if between == "nodes"
                else self.places[proxy][1]
                if between == "callers"
                else self.discovery.addresses[f"p{proxy}"]
            )
            self.relay.do("link", name, listen, target, between == "nodes")
            if between == "nodes":
                self.discovery.set_link_address(f"p{proxy}", self.backends[node].backend_id, "{}:{}".format(*listen))
        if self.relay:
            self.relay.do("laid")
            await self.laid.wait()
        await asyncio.gather(*(node.start(is_warm=True) for node in self.backends))
        for node in self.backends:
            self.discovery.publish(node, "active", 0.0)
        await self.discovery.start()

    def begin(self, now):
        self.judge.began_at = now
        self.judge.note(now, "begin")
        for hand in self.hands_of_callers:
            hand.do("begin", now)
        FaultInjector(self).begin(now)
        for at, fault in enumerate(self.plan.fault):
            self.loop.call_at(now + fault.at, self.strike, at, fault)
        if self.plan.rig.audit_s:
            self.loop.call_at(now + self.plan.rig.audit_s, lambda: self.loop.create_task(self.audit()))

    async def audit(self):
        """The fleet's own word of itself, as operators get it, into the record."""
        proxies = tuple(Proxy(name, (host, port + ADMIN_PORT_OFFSET)) for name, (host, port), _ in self.places)
        self.judge.note(self.loop.time(), "auditing", self.discovery.list.revision)
        answers, newest = await ask_all(Roll(proxies, None), None)
        said = audit(Roll(proxies, None), answers, {"revision": self.discovery.list.revision}, BOUND)
        self.judge.note(self.loop.time(), "audited", said)

    def is_busy(self):
        return any(hand.open != 0 for hand in self.hands_of_callers)

    def strike(self, at, fault):
        some, links = self.struck[at]
        self.judge.note(self.loop.time(), "fault", at, p.word(fault), some, len(links))
        if links:
            # Written down before the relay hears of it: what it does is seen by others within a ms, and a loss that
            # stands in the records before its cause is held against a proxy.
            if fault.between == "discovery":
                for number in some:
                    self.judge.note(self.loop.time(), "unfed", f"p{number}", self.loop.time() + fault.lasts)
            if fault.between == "callers":  # nobody can answer through it
                for number in some:
                    self.judge.proxy_stopped(f"p{number}", self.loop.time(), self.loop.time() + fault.lasts)
                    self.judge.note(self.loop.time(), "apart", f"p{number}", self.loop.time() + fault.lasts + 0.1)
            told = {name: getattr(fault, name) for name in ("way", "ms", "bytes") if hasattr(fault, name)}
            self.relay.do("do", links, p.word(fault), told)
            self.loop.call_later(fault.lasts, self.relay.do, "do", links, "", {})
            return
        getattr(self, type(fault).__name__.lower())(fault, some)
        self.loop.call_later(fault.lasts, self.judge.note, self.loop.time() + fault.lasts, "over", at)

    # Faults of processes

    def kill(self, fault, some):
        for turn, at in enumerate(some):
            self.proxies[at].kill()
            self.loop.call_later(fault.lasts + APART * turn, self.proxies[at].start)

    def stop(self, fault, some):
        for at in some:
            self.proxies[at].pause(fault.lasts)

    def term(self, fault, some):
        for turn, at in enumerate(some):
            self.loop.call_later(fault.lasts * turn / len(some), self.proxies[at].restart)

    def hup(self, fault, some):
        rng = self.environment.rng(f"hup-{fault.at}")
        deaf = set(rng.sample(some, round(fault.lost * len(some))))
        for at in some:
            self.sla[at], proxy = fault.sla, self.proxies[at]
            if fault.file == "stale":
                del self.sla[at]
            proxy.write_config()
            if self.loop.time() < self.environment.began.get(at, 0.0) + STARTS:
                continue  # it may not have read its file yet: started on half of one it would rightly end
            text = proxy.config_path.read_text()
            if fault.file == "cut":
                proxy.config_path.write_text(text[: len(text) // 2])
            elif fault.file == "missing":
                proxy.config_path.unlink()
            elif fault.file == "swapped":  # another file in its place, while it is read
                other = proxy.config_path.with_suffix(".new")
                other.write_text(text)
                self.loop.call_soon(os.replace, other, proxy.config_path)
            if at not in deaf:
                proxy.send_signal(signal.SIGHUP)

    def clock(self, fault, some):
        """It takes a new process: nothing sets a clock that others have too."""
        for turn, at in enumerate(some):
            self.environment.offsets[at] = fault.by_s
            self.proxies[at].kill()
            self.loop.call_later(fault.lasts + APART * turn, self.proxies[at].start)

    def calls(self, fault, some):
        for turn, at in enumerate(some):
            self.environment.flaky.add(at)
            self.proxies[at].kill()
            self.loop.call_later(fault.lasts + APART * turn, self.proxies[at].start)

    # Faults of discovery

    def listout(self, fault, some):
        for at in range(self.plan.proxies.count):
            self.judge.note(self.loop.time(), "unreached", f"p{at}", self.loop.time() + fault.lasts)
        self.discovery.go_down()
        self.loop.call_later(fault.lasts, lambda: self.loop.create_task(self.discovery.come_back()))

    def listlag(self, fault, some):
        for at in some:
            self.discovery.show_older_list(f"p{at}", until=self.loop.time())
            self.loop.call_later(fault.lasts, self.discovery.show_newest_list, f"p{at}")

    def listolder(self, fault, some):
        for at in some:
            self.discovery.show_older_list(f"p{at}", fault.by_s)
            self.loop.call_later(fault.lasts, self.discovery.show_newest_list, f"p{at}")
        self.discovery.end_watches({f"p{at}" for at in some})

    def listanew(self, fault, some):
        self.discovery.restart_count()

    def listfail(self, fault, some):
        failure = CallFailure(fault.how)
        for at in some:
            if not failure.reachable:
                self.judge.note(self.loop.time(), "unreached", f"p{at}", self.loop.time() + fault.lasts)
            self.loop.create_task(self.discovery.fail_calls(f"p{at}", failure))
            self.loop.call_later(fault.lasts, lambda at=at: self.loop.create_task(self.discovery.fail_calls(f"p{at}", None)))

    async def end(self):
        for proxy in self.proxies:
            proxy.is_over = True
            proxy.send_signal()
        await asyncio.gather(*(hand.end() for hand in self.hands))
        self.discovery.go_down()
        until = self.loop.time() + 5
        while any(proxy.process for proxy in self.proxies) and self.loop.time() < until:
            await asyncio.sleep(0.05)
        self.judge.close()


def ground():
    """Ports that no other play has: below those that the machine gives away, held by a socket for as long as it lasts."""
    for port in range(*GROUND):
        try:
            return socket.create_server((loopback_address(30, 249), port)), port
        except OSError:
            continue
    raise p.ScenarioError("no ports are free for a play: eight go on at once")


async def course(text, plan, seed, folder, proxies, nodes, tree, progress):
    loop = asyncio.get_running_loop()
    house = Yard(loop, seed, folder, tree)
    lock, port = ground()
    crew = Crew(text, plan, house, port, proxies, nodes)
    figures = {}
    try:
        await crew.open()
        began = loop.time()
        for proxy in crew.proxies:
            proxy.start()
        while not all(crew.balancer.alive.values()) and loop.time() < began + READY_TIMEOUT_SECONDS:
            await asyncio.sleep(0.05)
        figures["ready_s"] = round(loop.time() - began, 2)
        figures["ready"] = sum(crew.balancer.alive.values())
        gc.freeze()
        gc.set_threshold(50000, 20, 50)
        began = loop.time() + 0.2
        crew.begin(began)
        crew.judge.beat(loop, "driver")
        last, used = began + plan.seconds, {}
        while loop.time() < last or crew.is_busy() and loop.time() < last + crew.last_request_seconds():
            await asyncio.sleep(0.25)
            if not used and loop.time() > began + plan.seconds / 2:
                used = {"memory_mb": [processes.memory_mb(one.process.pid) for one in crew.proxies if one.process]}
            if progress:
                progress(loop.time() - began)
        used["cpu_s"] = [processes.cpu_seconds(one.process.pid) for one in crew.proxies if one.process]
        figures |= {
            name: [round(min(each), 2), round(sum(each) / len(each), 2), round(max(each), 2)]
            for name, each in used.items()
            if each
        }
        figures["began"] = began
    finally:
        await crew.end()
        lock.close()
    return crew, figures


def play(text, plan, seed, folder, proxies=None, nodes=None, tree=None, progress=None):
    """Plays a plan with real processes; the records' paths, what each fault struck, figures, and the rig's own faults."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        crew, figures = runner.run(course(text, plan, seed, folder, proxies, nodes, tree, progress))
    records = [crew.judge.file.name, *(str(hand.record) for hand in crew.hands)]
    return records, crew.struck, figures, crew.faults
