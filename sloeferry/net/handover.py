"""One process takes over from another: who else is there, what it knew, and what is made of both.

The two share a listening socket that the platform holds, and a folder.  Each looks there several times a second who
else lives and who of them serves.  From then on the rules' budgets are divided between them, without a word more.
"""

import asyncio
import hashlib

from loguru import logger

from sloeferry import machine
from sloeferry.core import facade as f
from sloeferry.handover import memory
from sloeferry.handover.folder import Folder
from sloeferry.net.log import warn

LOOK, WRITE = 0.2, 1.0  # seconds between two looks, two snapshots
READY_IN = 3.0  # seconds that a new process waits for the list, where it has an older one


class Handover:
    def __init__(self, loop, berth, folder):
        site = [berth.terms[what] for what in ("zones", "kinds", "discovery", "load_info.fields")]
        self.loop, self.folder = loop, Folder(folder, berth.name, hashlib.sha256(repr(site).encode()).hexdigest())
        self.facade = self.duty = self.discovery = self.clients = None
        self.alive, self.span = 0, berth.terms["obligations.fall"] / 1000
        said = self.folder.read(f.clock())
        self.known, self.memory = (None, None) if isinstance(said, str) else said
        if isinstance(said, str):
            logger.info("no snapshot of a process before this one: {}", said)

    def join(self, facade, duty, discovery, clients):
        """All is built, nothing has come yet: what the one before had learned is taken over."""
        self.facade, self.duty, self.discovery, self.clients = facade, duty, discovery, clients
        duty.heeds.append(self.look)
        if self.memory:
            try:
                memory.taken(facade.proxy, self.memory)
                logger.info("took over what the process before had learned")
            except Exception as fault:  # it is a help, and no more
                logger.warning("snapshot not taken over: {!r}", fault)
        self.known = self.memory = None
        self.look()
        if duty.companions:
            self.loop.call_later(READY_IN, discovery.late)

    def look(self):
        """Who is there now, and what that changes."""
        try:
            self.folder.show(self.duty.serves())
            alive, ready = self.folder.mates()
        except OSError as fault:
            return warn("handover", "{}", fault)
        if alive != self.alive:
            logger.info("{} more processes of this proxy, {} of them serve", alive, ready)
            if alive > self.alive:
                self.facade.divided(alive + 1)
            else:  # what the one that has gone sent last still counts for its budgets
                self.loop.call_later(self.span, lambda: self.facade.divided(self.alive + 1))
            self.alive = alive
            for seats in (self.clients.seats, self.clients.backends.seats):
                seats.divide(alive + 1)
        self.duty.companions = ready
        self.clients.attend()

    async def run(self):
        """Looks and writes for as long as the process runs."""
        wrote = 0.0
        while True:
            await asyncio.sleep(LOOK)
            self.look()
            now = machine.monotonic()
            if now - wrote >= WRITE and self.duty.listed and not self.duty.leaving:
                wrote = now
                self.write(now * 1000)

    def write(self, now):
        """A snapshot; a line when that fails, and one when it no longer does, none for each try between."""
        failed = self.folder.fault is not None
        written = self.folder.write(now, self.discovery.told(), memory.told(self.facade.proxy))
        if not written and not failed:
            logger.warning("snapshots can't be written: {}", self.folder.fault)
        elif written and failed:
            logger.info("snapshots are written again")

    def close(self):
        self.folder.close()
