"""Wires the real proxy together and starts it: python -m sloeferry."""

import signal

early = []  # SIGHUPs that came before anybody could act on them
if __name__ == "__main__":  # first of all: until there is a handler the signal ends the process
    signal.signal(signal.SIGHUP, lambda *_: early.append(True))

import asyncio
import gc
import math
import os
import sys

import uvloop
from loguru import logger

from sloeferry import terms
from sloeferry.core.facade import Facade, clock
from sloeferry.net.backends import Backends
from sloeferry.net.buffers import Buffers, Seats
from sloeferry.net.clients import Clients
from sloeferry.net.desk import Desk
from sloeferry.net.discovery import Discovery
from sloeferry.net.handover import Handover
from sloeferry.ops.duty import Duty

SPARE = 32  # descriptors that are no connection
# Settings by which parts were built: where reports come from and what is in them, who of how many this is, and where.
FIXED = "discovery", "load_info.via", "load_info.fields", "instances", "ordinal", "zone"
HANDOVER = 2.0  # seconds that the one before may take to let go of the address


class Clockwork:
    """Calls `tick` when something is due."""

    def __init__(self, loop):
        self.loop, self.facade, self.handle = loop, None, None

    def hurry(self, at):
        if self.handle:
            self.handle.cancel()
        self.handle = self.loop.call_later(max(0, math.ceil(at - clock())) / 1000, self.tick)

    def tick(self):
        self.handle = None
        try:
            self.facade.tick()
        except Exception as fault:  # one decision that failed must not stop the clock of all others
            logger.opt(exception=True).error("tick failed: {!r}", fault)
        if self.facade.next is not None:
            self.hurry(self.facade.next)


class Renewal:
    """SIGHUP: the configuration has been replaced.  It is read and checked whole before anything of it acts, and
    acts between two events; a file that can't be used changes nothing, and nothing in it may end the program."""

    def __init__(self, berth, environ, parts, discovery):
        self.berth, self.environ, self.parts, self.discovery = berth, environ, parts, discovery
        self.witness = None  # where versions are kept account of

    def __call__(self):
        try:
            berth = terms.read(self.environ, self.berth)
        except Exception as fault:
            if self.witness:
                self.witness.refused("settings", fault)
            return logger.error("SIGHUP, all stays as it was: {}", fault)
        for name in ("name", "listen", "ops", "sockets", "memory"):
            if getattr(berth, name) != getattr(self.berth, name):
                logger.warning("SIGHUP: {} can't change while this process runs, it stays as it was", name)
        for key in FIXED:
            if berth.terms[key] != self.berth.terms[key]:
                logger.warning("SIGHUP: settings.{} can't change while this process runs, it stays as it was", key)
        self.berth = berth._replace(known={})
        for part in self.parts:
            part.retune(berth)
        if self.witness:
            self.witness.settled(berth, "SIGHUP")
        self.discovery.move(berth.discovery)
        logger.info("SIGHUP: new settings, schemes {}", ", ".join(berth.named("schemes")))


async def berthed(bind, key, address):
    """Takes an address; the one before may take some time to let go of it."""
    loop = asyncio.get_running_loop()
    until = loop.time() + HANDOVER
    while fault := bind(address):
        if loop.time() > until:
            raise terms.Fault("{}: {}:{} can't be had: {}".format(key, *address, fault.strerror))
        await asyncio.sleep(HANDOVER / 40)


def operators_of(environ):
    """The operators' own file, where there is one: what it does not turn on is not imported."""
    if not (path := environ.get("SLOEFERRY_OPERATOR")):
        return {}
    from sloeferry import operators

    return operators.read(path)


async def serve(berth, environ=os.environ, settled=lambda facade: None):
    """One proxy, until it has left; `settled` is called once all is built and nothing has come yet."""
    loop = asyncio.get_running_loop()
    work = Clockwork(loop)
    facade = work.facade = Facade(berth.seed, berth.terms, work.hurry)
    # Half for either side, each with a table of its own: a txn needs a seat at both, and strangers that crowd in
    # at the door must not cost a connection to a backend, nor those keep a client out.
    seats, inside, buffers = Seats((berth.sockets - SPARE) // 2), Seats((berth.sockets - SPARE) // 2), Buffers()
    duty, handover = Duty(), None
    # Where the platform holds the clients' socket, one process may take over from another.
    if berth.inherited is not None and environ.get("TMPDIR"):
        try:
            handover = Handover(loop, berth, environ["TMPDIR"])
            berth = berth._replace(known=handover.known or berth.known)
        except OSError as fault:  # no folder to share: it serves alone
            logger.warning("TMPDIR: {}", fault)
    backends = Backends(loop, facade, berth.terms, inside, buffers)
    discovery = Discovery(loop, facade, berth, inside, buffers, backends, duty, handover and handover.folder.mates()[1])
    facade.catch_up = discovery.catch_up
    told = operators_of(environ)
    clients = Clients(loop, facade, berth, seats, buffers, backends, duty)
    desk = Desk(loop, duty, buffers, clients.figures, facade.guarded)
    try:
        await berthed(clients.bind, "listen", berth.listen)
        if berth.ops:
            await berthed(desk.bind, "ops", berth.ops)
        leave = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, leave.set)
        loop.add_signal_handler(signal.SIGINT, leave.set)
        renewal = Renewal(berth, environ, (facade, clients, backends, discovery), discovery)
        loop.add_signal_handler(signal.SIGHUP, renewal)
        tasks = [
            loop.create_task(work)
            for work in (backends.probes(), backends.sweep(), discovery.run(), clients.sweep(), clients.backstop())
        ]
        if told.get("versions", {}).get("tell"):
            from sloeferry.versions.witness import Witness

            renewal.witness = discovery.witness = Witness(facade, berth, desk, told["versions"]["carry"])
            if told["versions"]["bring_up"]:
                discovery.witness.brings_up(desk, discovery, renewal)
            if discovery.known:
                discovery.witness.listed(discovery.revision, discovery.known)
        if handover:
            handover.join(facade, duty, discovery, clients)
            tasks.append(loop.create_task(handover.run()))
        for task in tasks:  # none of them ends by itself
            task.add_done_callback(lambda task: leave.set())
        if early:  # the file may be newer than what was read
            renewal()
        settled(facade)
        clients.open()
        logger.info("{} listens on {}:{}", berth.name, *berth.listen)
        await leave.wait()
        for task in tasks:
            if task.done():
                logger.error("ended by itself: {!r}", task)
        await clients.leave()
        logger.info("guard of sending: {}", facade.guarded())
    finally:
        if handover:
            handover.close()
        desk.close()
        clients.close()
        backends.close()


def spare(facade):
    """What the start made stays; looking through it again takes a stall's time."""
    gc.freeze()
    gc.set_threshold(20000, 20, 50)


def main():
    try:
        logger.remove()
        level, as_json = terms.log_terms(os.environ)
        logger.add(sys.stderr, level=level, diagnose=False, serialize=as_json, format="{time:HH:mm:ss.SSS} {level} {message}")
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(terms.read(os.environ), settled=spare))
    except terms.Fault as fault:
        print(f"sloeferry: {fault}", file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
