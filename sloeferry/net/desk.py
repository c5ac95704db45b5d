"""The operators' own address: HTTP/1.1, one call to a connection, each answered at once whatever the load.

It has descriptors of its own, set aside from those of clients and backends, and holds no more callers than those.
Some call and say nothing: the one who has said nothing for longest makes room for the next."""

import asyncio
import json
import socket

from sloeferry import machine
from sloeferry.core import facade as f
from sloeferry.net import http1
from sloeferry.net.log import warn

MOST = 12  # callers at a time, a descriptor each
GRACE, PATIENCE = 0.02, 5.0  # seconds: a caller's own to begin, before others push it out; for a whole call
BACKLOG = 128
NO_CALL = {http1.MALFORMED: 400, http1.UNWANTED: 400, http1.TOO_LARGE: 413, http1.OVERDUE: 408}


class Desk:
    def __init__(self, loop, duty, buffers, figures, guard=dict):
        """`figures`: what to tell beside the state, as a map; `guard`: the counters of the guard of sending."""
        self.loop, self.duty, self.buffers, self.figures = loop, duty, buffers, figures
        self.callers, self.sock, self.timer = {}, None, None
        self.calls = {
            b"/admin/health": (b"GET", self.health),
            b"/admin/quiesce": (b"POST", self.quiesce),
            b"/admin/resume": (b"POST", self.resume),
            b"/admin/guard": (b"GET", lambda query=b"": (200, guard())),
        }

    # The calls: status, and what is told

    def health(self, query=b""):
        return self.told(self.duty.serves())

    def quiesce(self, query=b""):
        return self.told(self.duty.quiesce(f.clock()))

    def resume(self, query=b""):
        return self.told(self.duty.resume(), no=409)

    def told(self, yes, no=503):
        figures = self.figures()
        return 200 if yes else no, {"state": self.duty.state(figures["connections"]), **figures}

    def answer(self, message):
        target, _, query = message.url.partition(b"?")
        path = target[target.find(b"/", 8) :] if target.startswith(b"http://") else target
        method, call = self.calls.get(path, (None, None))
        if call is None:
            return http1.answer(404, b'{"error":"no such call"}\n', JSON, False)
        if message.method != method:
            return http1.answer(405, b'{"error":"%b only"}\n' % method, [*JSON, (b"Allow", method)], False)
        status, said = call(query)
        return http1.answer(status, json.dumps(said).encode() + b"\n", JSON, False)

    # The callers

    def bind(self, address):
        """Takes the address; why not, if it can't be had."""
        self.sock = machine.tcp()
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(address)
            self.sock.listen(BACKLOG)
            self.loop.add_reader(self.sock, self.accept)
        except OSError as fault:
            self.sock.close()
            return fault

    def accept(self):
        for _ in range(MOST):
            if len(self.callers) >= MOST and not self.make_room():
                # All of them have only just come: who is next waits outside for as long as they may take to begin.
                self.loop.remove_reader(self.sock)
                self.timer = self.loop.call_later(GRACE / 5, self.reopen)
                return
            try:
                sock, _ = self.sock.accept()
            except OSError as fault:
                if not isinstance(fault, (BlockingIOError, ConnectionAbortedError)):
                    warn("operators", "{}", fault)
                return
            if not http1.let_in(sock):
                continue
            task = self.loop.create_task(self.serve(sock))
            self.callers[task] = machine.monotonic(), sock
            task.add_done_callback(lambda task: self.callers.pop(task, None))

    def reopen(self):
        self.timer = None
        self.loop.add_reader(self.sock, self.accept)

    def make_room(self):
        """Who has been here for longest and has nothing there to be read goes."""
        now = machine.monotonic()
        for task, (since, sock) in self.callers.items():
            if now - since < GRACE:
                return False
            if http1.quiet(sock):
                del self.callers[task]
                task.cancel()
                return True
        return False

    async def serve(self, sock):
        wire = http1.Wire(self.loop, sock, self.buffers, answers=False, most=http1.HEAD)
        try:
            async with asyncio.timeout(PATIENCE):
                while not wire.whole and not wire.fault:
                    await wire.fill()
                    if wire.begun and wire.message.expects and not wire.fault:
                        wire.message.expects = False
                        await self.loop.sock_sendall(sock, b"HTTP/1.1 100 Continue\r\n\r\n")
                if wire.whole:
                    said = self.answer(wire.whole.pop(0))
                elif wire.fault in NO_CALL:
                    said = http1.answer(NO_CALL[wire.fault], keep=False)
                else:
                    return
                await self.loop.sock_sendall(sock, said)
                sock.shutdown(socket.SHUT_WR)
        except (OSError, TimeoutError):
            pass  # gone, or silent for too long
        except Exception as fault:  # this call ends, nothing else
            warn("operators", "call failed: {!r}", fault)
        finally:
            wire.close()
            sock.close()

    def close(self):
        if self.timer:
            self.timer.cancel()
        if self.sock and self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)
            self.sock.close()
        for task in list(self.callers):
            task.cancel()


JSON = [(b"Content-Type", b"application/json")]
