"""Stand-in backends and discovery in a process of their own: python -m sloeferry.load.standins, told as JSON on
standard input.  What they do is written from the platform's protocol; loopback only.

A backend has cores and a queue; work is drawn from a seed.  It reports its load with each answer.  In the
stated span it may be silent (takes all, answers nothing) or err at once.  On SIGTERM the process writes what it
has seen on standard output and ends.
"""
import asyncio
import json
import re
import signal
import sys
from collections import deque
from random import Random
from time import monotonic

import uvloop

LENGTH, IDENT = re.compile(rb"(?i)\r\ncontent-length: *(\d+)"), re.compile(rb"(?i)\r\nx-call-id: *([^\r]*)")
BEAT = 2.0                               # seconds between empty lines of a watch


class Backend:
    """One backend's state: what it works on, what waits, which ids it has begun."""

    def __init__(self, loop, told, trouble, seed):
        self.loop, self.told, self.rng = loop, told, Random(seed)
        self.trouble, self.since, self.until = trouble
        self.busy, self.queue, self.begun, self.twice, self.served = 0, deque(), {}, 0, 0

    def mood(self):
        return self.trouble if self.trouble and self.since <= monotonic() < self.until else ""

    def take(self, peer, ident):
        mood = self.mood()
        if mood == "silent":
            return
        if mood == "errs":
            return peer.answer(500, b"")
        if ident:
            self.twice += self.begun.get(ident, 0) > 0
            self.begun[ident] = self.begun.get(ident, 0) + 1
        if self.busy < self.told["cores"]:
            self.work(peer)
        elif len(self.queue) < self.told["queue"]:
            self.queue.append(peer)
        else:
            peer.answer(503, b"", b"X-Rejected: 1\r\n")

    def work(self, peer):
        self.busy += 1
        sigma = 0.5
        took = self.told["work_ms"] / 1000 * self.rng.lognormvariate(-sigma * sigma / 2, sigma)
        self.loop.call_later(took, self.done, peer)

    def done(self, peer):
        self.busy -= 1
        self.served += 1
        if self.queue:
            self.work(self.queue.popleft())
        peer.answer(200, b"x" * self.told["body"])

    def report(self):
        return b'X-Load-Report: {"inflight":%d,"queue":%d,"util":%.2f}\r\n' % (
            self.busy + len(self.queue), len(self.queue), self.busy / self.told["cores"])


class Peer(asyncio.Protocol):
    """One connection to a backend."""

    def __init__(self, backend):
        self.backend, self.rest, self.transport = backend, b"", None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.rest += data
        while (head := self.rest.find(b"\r\n\r\n")) >= 0:
            length = LENGTH.search(self.rest, 0, head + 2)
            end = head + 4 + (int(length[1]) if length else 0)
            if len(self.rest) < end:
                return
            text, self.rest = self.rest[:head + 2], self.rest[end:]
            if text.startswith(b"GET /status/load"):
                mood = self.backend.mood()
                if mood != "silent":
                    self.answer(200, self.backend.report()[15:-2])
            else:
                ident = IDENT.search(text)
                self.backend.take(self, ident and ident[1])

    def answer(self, status, body, more=b""):
        if not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b%b\r\n%b" % (
                status, len(body), self.backend.report(), more, body))


class Roster(asyncio.Protocol):
    """One connection to discovery: the whole list, once or as a watch that only says that it stands."""

    def __init__(self, loop, members):
        self.loop, self.text, self.transport = loop, None, None
        self.text = json.dumps({"revision": 1, "complete": True, "members": members}).encode()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        if b"stream=1" in data:
            self.transport.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.line(self.text)
        else:
            self.transport.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(self.text), self.text))

    def line(self, text):
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))
            self.loop.call_later(BEAT, self.line, b"")


async def stand(told):
    loop, backends, members = asyncio.get_running_loop(), [], []
    over = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, over.set)
    loop.call_later(told["at_most"], over.set)
    for at, place in enumerate(told["places"]):
        trouble = told["troubles"].get(str(at), ("", 0.0, 0.0))
        backend = Backend(loop, told, trouble, f"{told['seed']} {at}")
        host, _, port = place.rpartition(":")
        await loop.create_server(lambda b=backend: Peer(b), host, int(port), backlog=1024)
        backends.append(backend)
        members.append({"id": f"b{at}", "host_port": place, "locality": "a", "flavor": "m", "cell": 0,
                        "phase": "active", "size": 1.0, "up_since_ms": 0})
    host, _, port = told["discovery"].rpartition(":")
    await loop.create_server(lambda: Roster(loop, members), host, int(port))
    print("ready", flush=True)
    await over.wait()
    print(json.dumps({"served": sum(b.served for b in backends), "twice": sum(b.twice for b in backends)}))


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(stand(json.load(sys.stdin)))
