"""Links between two processes, and what can be done to them: asyncio, loopback, any number in one process.

What goes from the near end (who dialled) to the far end goes `there`, the rest `back`.
"""

import asyncio
import socket
import struct

from sloeferry.stand_ins.http_messages import MessageReader

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: what is closed then is reset


def reset(transport):
    if transport and not transport.is_closing():
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        transport.abort()


class Link:
    """One address that stands for another.  `state` is what it does at present."""

    def __init__(self, loop, name, listen, target, scribe, heads=False):
        self.loop, self.name, self.listen, self.target, self.scribe = loop, name, listen, target, scribe
        self.heads = heads  # whether requests' first bytes are written down as they come
        self.pipes, self.server, self.state, self.told = {}, None, "", {}

    async def open(self):
        self.server = await self.loop.create_server(lambda: End(Pipe(self), True), *self.listen, backlog=1024)

    async def do(self, what, told):
        """`what` from now on; with nothing it is whole again, and what was held goes on."""
        before, self.state, self.told = self.state, what, told
        if what == "cut":
            for pipe in list(self.pipes):
                pipe.reset()
            self.server.close()
            await self.server.wait_closed()
        elif what == "half-open":
            for pipe in list(self.pipes):
                pipe.half = True
                reset(pipe.far.transport)
        if not what:
            if before == "cut":
                await self.open()
            for pipe in list(self.pipes):
                pipe.reset() if pipe.half else pipe.flush()

    def holds(self, near):
        return self.state == "half-open" or self.state == "hold" and self.told["way"] in ("both", "there" if near else "back")


class Pipe:
    """One connection through a link: two ends, and what waits for either."""

    def __init__(self, link):
        self.link, self.near, self.far, self.held, self.half = link, None, None, [], False
        self.due = {True: 0.0, False: 0.0}  # until when something is on its way, delayed
        self.gone, self.frames, self.since = {True: 0, False: 0}, MessageReader() if link.heads else None, None
        link.pipes[self] = None

    async def dial(self):
        try:
            await self.link.loop.create_connection(lambda: End(self, False), *self.link.target)
        except OSError:  # nobody took what came here, though a connection stood
            link = self.link
            link.scribe.note(link.loop.time(), "refused", link.name)
            self.reset()
            return
        self.flush()

    def came(self, near, data):
        """Bytes, or None for an end, from one side."""
        link = self.link
        if near and self.frames is not None and data:
            if self.since is None:
                self.since = link.loop.time()
            for _, fields, _ in self.frames.feed(data):
                if b"x-call-id" in fields:
                    link.scribe.note(link.loop.time(), "entered", link.name, fields[b"x-call-id"].decode("latin-1"), self.since)
                self.since = None
        self.pass_on(near, data)

    def pass_on(self, near, data):
        link, other = self.link, self.far if near else self.near
        if other is None or link.holds(near) or any(side == near for side, _ in self.held):
            self.held.append((near, data))
        elif link.state == "delay" or self.due[near] > link.loop.time():  # nothing overtakes what is on its way
            self.due[near] = max(self.due[near], link.loop.time() + link.told.get("ms", 0.0) / 1000)
            link.loop.call_at(self.due[near], self.put, near, data)
        else:
            self.put(near, data)

    def put(self, near, data):
        link, other = self.link, self.far if near else self.near
        if other is None or other.transport.is_closing():
            return
        if data is None:
            return other.transport.close()
        if link.state == "break" and near == (link.told["way"] == "there"):
            room = link.told["bytes"] - self.gone[near]
            if len(data) > room:
                other.transport.write(data[: max(0, room)])
                link.loop.call_later(0.005, self.reset)  # what was let through arrives before the reset
                return
        self.gone[near] += len(data)
        other.transport.write(data)

    def flush(self):
        held, self.held = self.held, []
        for near, data in held:
            self.pass_on(near, data)

    def reset(self):
        self.link.pipes.pop(self, None)
        for end in (self.near, self.far):
            reset(end and end.transport)


class End(asyncio.Protocol):
    def __init__(self, pipe, near):
        self.pipe, self.is_near, self.transport = pipe, near, None

    def connection_made(self, transport):
        self.transport = transport
        if self.is_near:
            self.pipe.near = self
            self.pipe.link.loop.create_task(self.pipe.dial())
        else:
            self.pipe.far = self

    def data_received(self, data):
        self.pipe.came(self.is_near, data)

    def connection_lost(self, fault):
        pipe = self.pipe
        if pipe.half and not self.is_near:
            return  # the near end never hears of it
        if fault is not None:
            pipe.reset()
        else:
            pipe.came(self.is_near, None)
            if pipe.near and pipe.far and pipe.near.transport.is_closing() and pipe.far.transport.is_closing():
                pipe.link.pipes.pop(pipe, None)
