"""Stand-in clients and the plain front before the proxies.

Clients keep connections, ask one thing at a time on each, open more when all are busy, give up, and ask again.  The
front deals out connections among the proxies of a zone that it holds for alive.
"""

import asyncio

from sloeferry.stand_ins.http_messages import Frames, chunked, content

OPS = 1000  # the operators' port above the clients'
POLL = 0.05  # seconds between two questions whether a proxy is ready
DIAL = 1.0  # seconds until a connection that doesn't come up is given up
UNTAKEN = 0.03  # seconds until another connection is tried
METHODS = {"repeatable": b"GET", "referenced": b"POST", "once-only": b"POST"}


class Front:
    """Who is held for alive; `places` are (name, address, zone) of all proxies."""

    def __init__(self, loop, told, places):
        self.loop, self.told, self.turns = loop, told, {}
        self.places, self.alive = places, dict.fromkeys((place[0] for place in places), False)
        self.lives, self.poll = dict.fromkeys(self.alive, 0), POLL

    def pick(self, zone):
        """Name and address of the next proxy for a connection from there; None if all are down."""
        near = [place for place in self.places if place[2] == zone and self.alive[place[0]]]
        near = near or [place for place in self.places if self.alive[place[0]]]
        if not near:
            return None
        self.turns[zone] = turn = self.turns.get(zone, -1) + 1
        return near[turn % len(near)][:2]

    def started(self, name):
        """A proxy has been started: it is asked until it is ready."""
        self.lives[name] += 1
        self.loop.create_task(self.until_ready(name, self.lives[name]))

    def ended(self, name, late):
        self.lives[name] += 1
        self.loop.call_later(late, self.drop, name, self.lives[name])

    def drop(self, name, life):
        if self.lives[name] == life:
            self.alive[name] = False

    async def until_ready(self, name, life):
        address = next(place[1] for place in self.places if place[0] == name)
        while self.lives[name] == life:
            try:
                async with asyncio.timeout(DIAL):
                    transport, line = await self.loop.create_connection(lambda: Line(self.loop), *address)
                    line.ask(b"GET /ready HTTP/1.1\r\nHost: front.local\r\n\r\n")
                    said = await line.answer
                    transport.close()
                if said and said[0] == 200:
                    if self.lives[name] == life:
                        self.alive[name] = True
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(self.poll)


class Line(asyncio.Protocol):
    """A client's connection: one question at a time."""

    def __init__(self, loop, proxy="", unasked=lambda line: None):
        self.loop, self.proxy, self.unasked, self.transport, self.frames = loop, proxy, unasked, None, Frames()
        self.answer, self.pool, self.used, self.idle, self.over, self.begun = None, None, 0, None, False, False

    def connection_made(self, transport):
        self.transport = transport

    def ask(self, data):
        self.answer, self.begun = self.loop.create_future(), False
        self.used += 1
        if self.over:
            self.answer.set_result(None)
        else:
            self.transport.write(data)

    def data_received(self, data):
        self.begun = True
        for line, fields, body in self.frames.feed(data):
            if self.answer and not self.answer.done():
                self.answer.set_result((int(line.split(b" ")[1]), fields, body))
            else:
                self.unasked(self)  # nobody asked, or it has been answered
                self.transport.abort()

    def connection_lost(self, fault):
        self.over = True
        if self.answer and not self.answer.done():
            self.answer.set_result(None)
        self.leave()

    def rest(self, pool, seconds):
        self.pool = pool
        pool.append(self)
        self.idle = self.loop.call_later(seconds, self.transport.close)

    def leave(self):
        if self.pool is not None:
            self.pool.remove(self)
            self.pool = None
        if self.idle:
            self.idle.cancel()
            self.idle = None


class Callers:
    """All clients of one zone."""

    def __init__(self, loop, scenario, zone, asks, front, judge, rng):
        self.loop, self.scenario, self.zone, self.asks, self.front = loop, scenario, zone, asks, front
        self.judge, self.rng, self.told = judge, rng, scenario.callers
        self.pools, self.open = {}, 0

    def begin(self, now):
        for ask in self.asks:
            self.loop.call_at(now + ask.at, self.ask, ask)

    def unasked(self, line):
        self.judge.breach("1", self.loop.time(), f"{line.proxy} sent an answer more than it was asked for")

    def ask(self, ask):
        self.open += 1
        self.loop.create_task(self.txn(ask))

    async def txn(self, ask):
        """One txn, with all the tries that its client gives it."""
        scheme, how = self.scenario.scheme[ask.scheme], "untaken"
        ask.first = self.loop.time()
        for again in range(self.told.retries + 1):
            how, pause = await self.once(ask, scheme, again)
            ask.tries += 1
            if how in ("settled", "left") or again == self.told.retries:
                break
            if scheme.kind == "once-only" and how not in ("declined", "untaken"):
                break
            wait = self.told.backoff_ms / 1000 * self.rng.uniform(0.75, 1.25)
            await asyncio.sleep(max(wait, pause) if ask.honours else wait)
        self.judge.ended(ask, how, self.loop.time())
        self.open -= 1

    async def line(self, client, until, new):
        """A connection: one that is kept, or a new one while there is time."""
        pool = self.pools.setdefault(client, [])
        if pool and not new:
            line = pool[-1]
            line.leave()
            return line
        while self.loop.time() < until:
            place = self.front.pick(self.zone)
            if place:
                try:
                    async with asyncio.timeout(min(DIAL, max(0.001, until - self.loop.time()))):
                        _, line = await self.loop.create_connection(lambda: Line(self.loop, place[0], self.unasked), *place[1])
                        return line
                except (OSError, TimeoutError):
                    pass
            await asyncio.sleep(UNTAKEN)

    async def once(self, ask, scheme, again):
        """One try: how it ended, and with what pause."""
        patience = ask.patience * scheme.expiry_ms / 1000
        ident = b"%012x%04x" % (ask.number, again)
        sent_again = False
        while True:
            line = await self.line(ask.client, self.loop.time() + patience, sent_again)
            if line is None:
                return "untaken", 0.0
            kept, now = line.used > 0, self.loop.time()
            self.judge.asked(ident, ask, line.proxy, now, now + patience)
            if not await self.write(line, self.request(ask, scheme, ident, patience, again), ask.drips):
                return "untaken", 0.0  # ended before its last byte was written: nobody has taken it
            now = self.loop.time()
            self.judge.sent(ident, now, now + patience)
            said = await self.wait(line, patience / 2 if ask.leaves else patience + self.judge.slack)
            now = self.loop.time()
            if said == "over":
                line.transport.abort() if ask.leaves else line.transport.close()
                return ("left", 0.0) if ask.leaves else (self.judge.lost(ident, now, "its time was over"), 0.0)
            if said is None:
                # It may have crossed the proxy's closing of an idle connection: asked once more, on a new one.
                if kept and not line.begun and not sent_again and self.judge.unheard(ident):
                    sent_again = True
                    continue
                return self.judge.lost(ident, now, "its connection ended"), 0.0
            status, fields, body = said
            if fields.get(b"connection", b"").lower() == b"close":
                line.transport.close()
            else:
                line.rest(self.pools[ask.client], self.told.idle_s)
            how = self.judge.answered(ident, now, status, body)
            try:
                pause = float(fields.get(b"retry-after", b"0"))
            except ValueError:
                self.judge.breach("protocol", now, f"Retry-After: {fields[b'retry-after']!r}")
                pause = 0.0
            return how, pause

    async def write(self, line, data, drips):
        """Whether all of it was written before the connection ended."""
        if not drips:
            line.ask(data)
            return True
        line.ask(data[:1])
        for at in range(1, len(data)):
            await asyncio.sleep(self.told.drip_ms / 1000)
            if line.over:
                return False
            line.transport.write(data[at : at + 1])
        return True

    async def wait(self, line, seconds):
        """What came: an answer, None for the connection's end, or that the time is over."""

        def over():
            if not line.answer.done():
                line.answer.set_result("over")

        timer = self.loop.call_later(seconds, over)
        try:
            return await line.answer
        finally:
            timer.cancel()

    def request(self, ask, scheme, ident, patience, again):
        customers = self.scenario.customer
        head = [
            b"%b /api/%b HTTP/1.1" % (METHODS[scheme.kind], scheme.name.encode()),
            b"Host: backend.local",
            b"X-Call-Id: " + ident,
            b"X-Call-Class: " + scheme.name.encode(),
            b"X-Caller: " + (customers[ask.customer].name.encode() if customers else b"anyone"),
            b"X-Budget-Ms: %d" % max(1, int(patience * 1000)),
        ]
        if again:
            head.append(b"X-Again: 1")
        body = content(ident, self.judge.body_size(ident))
        if self.told.chunks and scheme.kind != "repeatable" and self.rng.random() < self.told.chunks:
            head.append(b"Transfer-Encoding: chunked")
            body = chunked(body, [self.rng.randint(1, 1 + len(body)) for _ in range(4)])
        elif scheme.kind != "repeatable":
            head.append(b"Content-Length: %d" % scheme.body)
        if scheme.kind == "referenced":
            head.append(b"Idempotency-Key: %032x" % ask.number)
        return b"\r\n".join(head) + b"\r\n\r\n" + body
