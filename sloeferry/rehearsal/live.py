"""The same play with real daemons, each a process of its own, and the same stand-ins, on loopback in real time.

What a virtual network can do and loopback can't: latencies, bytes in pieces, machines that are cut off (their nodes
say nothing here, but their connections come up).  All processes started here are ended here, by id.
"""

import asyncio
import os
import pathlib
import signal
import tempfile
import time
from random import Random

import uvloop

from sloeferry.rehearsal.proxy_fleet import LONGEST, READY, Bank, Berth
from sloeferry.rehearsal.scenario import ScenarioError
from sloeferry.stand_ins import processes
from sloeferry.stand_ins.processes import Throttle, free_ports

MOST, SECONDS = 16, 600  # proxies, and length of a play, that a machine is asked to carry


class Street:
    """The house of a live play (bank.House)."""

    def __init__(self, loop, seed, folder):
        self.loop, self.seed, self.folder, self.log = loop, seed, folder, {}

    def rng(self, what):
        return Random(f"{self.seed}/{what}")

    unix = staticmethod(time.time)

    def place(self, name, address, zone):
        return self.loop

    def cut(self, address, so):
        pass  # the node itself says nothing

    def proxy(self, bank, at):
        return Daemon(self, bank, at)

    def command(self, daemon):
        """How a daemon is started: words, environment, the folder whose code it runs (None: this one's)."""
        return (*processes.command(), None)

    def placed(self, process):
        """It has been started."""


class Daemon(Berth):
    """One proxy: a real process, and its lives (as play.Proxy)."""

    def __init__(self, house, bank, at):
        super().__init__(house, bank, at)
        self.loop, self.throttle, self.killed, self.over = house.loop, None, False, False

    def start(self):
        self.loop.create_task(self.run())

    async def run(self):
        """One life, from its start to its end."""
        if self.process or self.over:
            return
        self.write()
        self.leaving = self.killed = False
        words, environ, folder = self.house.command(self)
        with open(self.path.with_suffix(".log"), "ab") as log:
            process = self.process = await asyncio.create_subprocess_exec(
                *words,
                env={**environ, "BALANCER_CONFIG": str(self.path)},
                stderr=log,
                cwd=folder,
                stdin=asyncio.subprocess.DEVNULL,
                start_new_session=True,
            )
        self.house.placed(process)
        self.starve(self.share)
        self.bank.front.started(self.name)
        code = await process.wait()
        self.process = None
        if self.throttle:
            self.throttle.over.set()
            self.throttle = None
        if self.over or self.killed:
            return
        if self.leaving:
            await asyncio.sleep(0.2)
            return self.start()
        self.bank.front.ended(self.name, self.bank.scenario.front.notice_s)
        self.bank.judge.crashed(self.name, self.loop.time(), f"exit {code}")

    def end(self, number=signal.SIGKILL):
        if self.process:
            processes.tell(self.process, signal.SIGCONT)
            processes.tell(self.process, number)

    def kill(self):
        if self.process and not self.killed:
            self.killed = True
            self.bank.judge.was_killed(self.name, self.loop.time())
            self.end()
            self.bank.front.ended(self.name, self.bank.scenario.front.notice_s)

    def leave(self):
        if self.process and not self.leaving:
            self.leaving = True
            self.end(signal.SIGTERM)
            self.bank.front.ended(self.name, self.bank.scenario.front.entry_s)
            self.loop.call_later(LONGEST, self.overdue, self.process)

    def overdue(self, process):
        if self.process is process:
            self.end()

    def stop(self, seconds):
        if self.process:
            self.bank.judge.stopped(self.name, self.loop.time(), self.loop.time() + seconds)
            os.killpg(self.process.pid, signal.SIGSTOP)
            self.loop.call_later(seconds, self.end, signal.SIGCONT)

    def starve(self, share):
        self.share = share
        if self.throttle:
            self.throttle.share = share
        elif share < 1 and self.process:
            self.throttle = Throttle(self.process.pid, share)
            self.throttle.start()

    def renew(self):
        if self.process:
            self.write()
            self.end(signal.SIGHUP)


def check(scenario):
    """Whether this can be played live."""
    if scenario.bank.proxies > MOST:
        raise ScenarioError(f"bank.proxies: {scenario.bank.proxies} are too many for a live play, {MOST} at most")
    if scenario.seconds > SECONDS:
        raise ScenarioError(f"seconds: {scenario.seconds:g} is too long for a live play, {SECONDS} at most")


async def course(scenario, seed, folder, progress):
    loop = asyncio.get_running_loop()
    house = Street(loop, seed, folder)
    bank = Bank(scenario, house, free_ports("127.10.0.1", 1)[0] // 2 + 16000)
    try:
        await bank.open()
        for proxy in bank.proxies:
            proxy.start()
        begun = loop.time()
        while not all(bank.front.alive.values()) and loop.time() < begun + READY:
            await asyncio.sleep(0.05)
        begun = loop.time()
        bank.begin(begun)
        last = begun + scenario.seconds
        while loop.time() < last or bank.busy() and loop.time() < last + bank.longest():
            await asyncio.sleep(0.25)
            if progress:
                progress(loop.time() - begun, bank)
        return bank.record(loop.time())
    finally:
        for proxy in bank.proxies:
            proxy.over = True
            proxy.end()
        bank.roster.out()
        for node in bank.nodes:
            node.die()
        until = loop.time() + 5
        while any(proxy.process for proxy in bank.proxies) and loop.time() < until:
            await asyncio.sleep(0.05)


def play(scenario, seed, progress=None, show=None):
    """Plays it; the record, which another run will not repeat to the byte."""
    check(scenario)
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as folder:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            record = runner.run(course(scenario, seed, folder, progress))
        count = {}
        for path in sorted(pathlib.Path(folder).glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                parts = line.split(" ", 2)
                if len(parts) == 3:
                    count[parts[1]] = count.get(parts[1], 0) + 1
                    if show:
                        show(f"{path.stem} {line}")
    record["seed"], record["policy"], record["log"] = seed, "design", dict(sorted(count.items()))
    record["faults"] = []
    return record
