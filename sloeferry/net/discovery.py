"""The list of backends: a watch on discovery, whenever the decisions ask for one."""
import asyncio
import json
import math

from loguru import logger

from sloeferry import facade as f
from sloeferry.net import http1

PHASES = {"active": "ready", "leaving": "draining", "left": "gone"}
SILENCE = 3.0                            # a watch says something every 2 s
LINE = 1 << 20                           # the longest line that is read


class Discovery:
    def __init__(self, loop, facade, berth, seats, buffers, backends):
        self.loop, self.facade, self.seats, self.buffers, self.backends = loop, facade, seats, buffers, backends
        self.address, self.patience = berth.discovery, berth.terms["obligations.must_ask_in"] / 4
        self.zones, self.kinds = berth.places("zones"), berth.places("kinds")
        self.pushed = berth.terms["discovery"] != "subscribe"
        self.known, self.revision, self.task, self.ready = {}, None, None, asyncio.Event()
        if berth.known:
            self.take(berth.known, cached=True)

    async def run(self):
        """A watch whenever one is wanted; where changes come unasked, always."""
        while True:
            if not self.pushed:
                await self.facade.pick(self.facade.listing)
            if self.task and not self.task.done():
                continue                 # it stands, or was just asked for: its next line is the answer
            self.task = self.loop.create_task(self.watch())
            if self.pushed:
                await self.task
                await asyncio.sleep(self.patience / 16000)

    async def watch(self):
        """One watch, from its dial to its end; its end is a failed call."""
        sock = await http1.dial(self.loop, self.address, self.patience) if self.seats.take() else None
        why = "no connection"
        if sock:
            try:
                why = await self.lines(sock)
            finally:
                sock.close()
                self.seats.give()
        logger.info("watch ended: {}", why)
        self.ready.set()
        self.facade.report_no_list()

    async def lines(self, sock):
        """Take what comes, line by line, until it ends; why it did."""
        rest, lines = bytearray(), []

        def stream(message, data):
            rest.extend(data)
            if message.status == 200:
                *whole, last = rest.split(b"\n")
                lines.extend(whole)
                rest[:] = last
        wire = http1.Wire(self.loop, sock, self.buffers, answers=True, stream=stream)
        after = "" if self.revision is None else f"&index={self.revision}"
        url = f"/v1/endpoints?stream=1{after}".encode()
        host = "{}:{}".format(*self.address).encode()
        patience = self.patience / 1000  # a call waits its turn, a standing watch does not
        try:
            async with asyncio.timeout(patience) as end:
                await self.loop.sock_sendall(sock, http1.request(b"GET", url, [(b"Host", host)]))
                while not (fault := await wire.fill()) and not wire.whole and len(rest) < LINE:
                    if wire.message.status == 200 and lines:
                        end.reschedule(self.loop.time() + SILENCE)
                    for line in lines:
                        self.line(bytes(line))
                    lines.clear()
                if wire.message.status not in (0, 200):
                    return f"answered {wire.message.status}"
                return fault or "the answer ended"
        except TimeoutError:
            return "silent"
        except OSError as fault:
            return str(fault)

    def line(self, text):
        if not text.strip():
            return
        try:
            said = json.loads(text)
        except (ValueError, RecursionError):
            said = None
        if not isinstance(said, dict):
            return logger.warning("list line not understood, ignored: {!r}", text[:80])
        self.take(said)

    def take(self, said, cached=False):
        revision, members = said.get("revision"), said.get("members")
        if not isinstance(revision, int) or not isinstance(members, list):
            return logger.warning("list not understood, ignored: {!r}", str(said)[:80])
        whole, lines = bool(said.get("complete")), []
        for member in members:
            line = self.member(member)
            if line:
                lines.append(line)
        self.known = {line[0]: line for line in lines} if whole else {**self.known, **{x[0]: x for x in lines}}
        self.revision = revision
        if whole:
            for ident in set(self.backends.addresses) - set(self.known):
                self.backends.told(ident, None)
        if not cached:
            self.ready.set()
        self.facade.report_list(whole, lines, cached)

    def member(self, said):
        """One entry; one that can't be read stays as it was known."""
        try:
            ident, standing = said["id"], PHASES[said["phase"]]
            host, _, port = said["host_port"].rpartition(":")
            share, started = float(said.get("size", 1.0)), float(said.get("up_since_ms") or 0)
            if not (isinstance(ident, str) and host and 0 < int(port) < 65536
                    and math.isfinite(share) and math.isfinite(started)):
                raise ValueError
            line = (ident, self.zones.get(said.get("locality"), len(self.zones)),
                    self.kinds.get(said.get("flavor"), len(self.kinds)), int(said.get("cell", 0)), standing,
                    share, started)
        except (KeyError, TypeError, ValueError, AttributeError):
            logger.warning("list entry not understood, ignored: {!r}", str(said)[:120])
            return self.known.get(said.get("id")) if isinstance(said, dict) else None
        self.backends.told(ident, None if standing == "gone" else (host, int(port)))
        return line
