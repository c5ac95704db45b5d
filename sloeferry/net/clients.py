"""The clients: the listener, one connection each, /ready, and the way out after SIGTERM."""
import asyncio
import socket

from loguru import logger

from sloeferry import facade as f
from sloeferry.net import http1

IDLE, READING = 60.0, 5.0                # seconds: between requests, and for one that has begun to come
STILL_COMING = 0.4                       # connections after SIGTERM
AHEAD = 4                                # requests read before the one in hand is answered
OURS = http1.HOP | {b"x-budget-ms"}      # what a backend is told anew


class Guest:
    """One client's connection: what it asks, one txn after the other."""

    def __init__(self, clients, sock):
        self.clients, self.sock, self.loop = clients, sock, clients.loop
        self.wire = http1.Wire(clients.loop, sock, clients.buffers, answers=False)
        self.came, self.errand, self.closed, self.fault = asyncio.Event(), None, False, None
        self.task = self.loop.create_task(self.serve())
        self.reader = self.loop.create_task(self.read())

    async def read(self):
        """All that comes in; an end while a txn is out means that the client has gone."""
        try:
            while self.fault is None:
                limit = None if self.errand else READING if self.wire.begun else IDLE
                try:
                    async with asyncio.timeout(limit):
                        self.fault = await self.wire.fill()
                except TimeoutError:
                    if not self.errand:
                        self.fault = "silent"
                if len(self.wire.whole) > AHEAD:
                    self.fault = http1.MALFORMED
                if self.wire.whole or self.wire.begun:
                    self.clients.seats.wake(self)
                self.came.set()
        finally:
            if self.errand:
                self.clients.facade.report_left(self.errand)

    async def serve(self):
        try:
            keep = True
            while keep:
                while not self.wire.whole and self.fault is None:
                    if self.clients.leaving and not self.wire.begun:
                        return
                    self.came.clear()
                    if not self.wire.begun:
                        self.clients.seats.rest(self, self.close)
                    await self.came.wait()
                self.clients.seats.wake(self)
                if self.wire.whole:
                    keep = await self.answer(self.wire.whole.pop(0))
                elif self.fault in (http1.MALFORMED, http1.TOO_LARGE):
                    await self.send(http1.answer(413 if self.fault == http1.TOO_LARGE else 400, keep=False))
                    return
                else:
                    return
        except OSError:
            pass
        finally:
            self.end()

    async def send(self, data):
        async with asyncio.timeout(READING):
            await self.loop.sock_sendall(self.sock, data)

    async def answer(self, message):
        """One request, answered; whether the connection stays."""
        if message.url.partition(b"?")[0] == b"/ready" and message.method == b"GET":
            ready = self.clients.discovery.ready.is_set() and not self.clients.leaving
            status, body, headers = 200 if ready else 503, b"", ()
        else:
            status, body, headers = await self.txn(message)
        if status is None:
            return False
        keep = message.keep and not self.clients.leaving
        try:
            await self.send(http1.answer(status, body, headers, keep))
        except TimeoutError:
            return False
        return keep

    async def txn(self, message):
        """A txn from its request to its answer: status, body, headers; status None if nobody waits."""
        errand = self.clients.taken(message)
        if errand is None:
            return 400, b"", ()
        facade, backends, out = self.clients.facade, self.clients.backends, {}
        headers = [h for h in message.headers if h[0] not in OURS]
        body = message.body()
        self.errand = errand
        try:
            while True:
                order, *what = await facade.pick(errand)
                if order == f.POST:
                    seq, ident = what
                    out[seq] = backends.spawn(backends.post(errand, seq, ident, message.method, message.url,
                                                            headers, body))
                elif order == f.WITHDRAW:
                    out[what[0]].cancel()
                elif order == f.SETTLE:
                    kind = what[0].header(b"content-type")
                    return 200, what[0].body(), [(b"Content-Type", kind)] if kind else ()
                elif order == f.DECLINE:
                    return 503, b"", [(b"Retry-After", b"%.3f" % (what[0] / 1000))] if what[0] else ()
                elif order == f.REVERSE:
                    return 504, b"", ()
                else:
                    return None, b"", ()
        finally:
            self.errand = None

    def close(self):
        """From outside: this connection is idle and its seat is needed, or the program ends."""
        self.task.cancel()

    def end(self):
        if not self.closed:
            self.closed = True
            self.reader.cancel()
            self.clients.guests.discard(self)
            self.clients.seats.wake(self)
            self.clients.seats.give()
            self.sock.close()


class Clients:
    def __init__(self, loop, facade, berth, seats, buffers, backends, discovery):
        self.loop, self.facade, self.seats, self.buffers = loop, facade, seats, buffers
        self.backends, self.discovery, self.leaving, self.guests = backends, discovery, False, set()
        self.schemes, self.tenants = berth.schemes(), berth.tenants()
        self.keyed = {at for at in self.schemes.values()
                      if berth.terms.get(f"schemes.{at}.idempotency") == "dedup"}
        self.expiry = {at: berth.terms[f"schemes.{at}.expiry"] for at in self.schemes.values()}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(berth.listen)
        self.sock.listen(1024)

    def taken(self, message):
        """The errand of a well-formed request; None for another."""
        def text(name):
            return (message.header(name) or b"").decode("latin-1")
        scheme, budget = self.schemes.get(text(b"x-call-class")), text(b"x-budget-ms")
        tenant = self.tenants.get(text(b"x-caller")) if self.tenants else 0
        if (scheme is None or tenant is None or not text(b"x-call-id") or not budget.isdecimal()
                or len(budget) > 9 or not int(budget)
                or scheme in self.keyed and not text(b"idempotency-key")):
            return None
        return self.facade.take(scheme, tenant, min(float(budget), self.expiry[scheme]),
                                text(b"x-again") == "1")

    async def run(self):
        while True:
            try:
                sock, _ = await self.loop.sock_accept(self.sock)
            except OSError as fault:
                logger.warning("accept: {}", fault)
                await asyncio.sleep(0.05)
                continue
            self.welcome(sock)

    def welcome(self, sock):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.seats.take():
            self.guests.add(Guest(self, sock))
        else:
            sock.close()

    async def leave(self, accepting):
        """After SIGTERM: take what still comes for a while, end what is idle, wait for the rest."""
        self.leaving = True
        logger.info("leaving, {} connections", len(self.guests))
        self.nudge()
        await asyncio.sleep(STILL_COMING)
        accepting.cancel()
        while True:                      # what the machine has accepted and nobody has fetched yet
            try:
                sock, _ = self.sock.accept()
            except OSError:
                break
            self.welcome(sock)
        self.sock.close()
        while self.guests:
            self.nudge()
            await asyncio.sleep(0.02)

    def nudge(self):
        """Those that wait for a next request look up, and see that none will be taken."""
        for guest in self.guests:
            guest.came.set()
