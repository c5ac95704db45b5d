"""Open-loop callers, one worker process: python -m sloeferry.load_testing.clients, told as JSON on standard input.

Each txn goes out when it is due, on a kept connection that is free, on a new one, or on one of its own; where
all connections that callers may hold are taken, the newest waits first and for a quarter of its SLA time at
most.  A caller that gives up closes its connection.  What came of all is written as JSON on standard output.
"""

import asyncio
import gc
import json
import sys
from random import Random
from time import monotonic

import uvloop

from sloeferry.load_testing import tally as t
from sloeferry.load_testing.plan import Plan, arrivals

AFTER = 0.05  # seconds past its patience that a caller's socket still listens
AHEAD = 0.002  # seconds between two looks at what is due


class Ask:
    """One txn of a caller, through all of its tries."""

    __slots__ = ("arrival", "due", "ends", "sent", "tries", "call", "over", "reason")

    def __init__(self, arrival, due):
        self.arrival, self.due, self.tries, self.over, self.reason = arrival, due, 0, False, t.UNSENT
        self.ends, self.sent, self.call = due + arrival.patience / 1000, 0.0, None


class Call(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, crew):
        self.crew, self.rest, self.transport, self.ask, self.size = crew, b"", None, None, None

    def connection_made(self, transport):
        self.transport = transport
        self.crew.more["connections"] += 1

    def data_received(self, data):
        data = self.rest = self.rest + data if self.rest else data
        if self.size is None:
            head = data.find(b"\r\n\r\n")
            if head < 0:
                return
            at = data.lower().find(b"content-length:", 0, head)
            length = int(data[at + 15 : data.find(b"\r", at)]) if at >= 0 else 0
            self.size = head + 4 + length
        if len(data) >= self.size:
            text, self.rest, self.size = data, data[self.size :], None
            self.crew.answered(self, int(text[9:12]), text)

    def connection_lost(self, fault):
        self.crew.closed(self)


class Crew:
    """All callers of one worker."""

    def __init__(self, loop, plan, address, start):
        self.loop, self.plan, self.address, self.start = loop, plan, address, start
        self.rng, self.tally, self.free, self.waiting = Random(plan.seed + 7), t.Tally(), [], []
        self.more, self.open, self.count, self.out = self.tally.more, 0, 0, set()
        self.bodies = [b"x" * scheme.body for scheme in plan.schemes]
        self.late = 0.0  # by how much this worker itself ran late, at the worst

    async def run(self):
        coming = arrivals(self.plan)
        arrival = next(coming, None)
        look = 0
        while arrival or self.out:
            now = monotonic()
            while arrival and self.start + arrival.at <= now:
                self.late = max(self.late, now - self.start - arrival.at)
                ask = Ask(arrival, self.start + arrival.at)
                self.out.add(ask)
                self.begin(ask)
                arrival = next(coming, None)
            look += 1
            if look % 5 == 0:
                self.sweep(monotonic())
            await asyncio.sleep(AHEAD if not arrival else min(AHEAD, max(0, self.start + arrival.at - monotonic())))
        for call in self.free:
            call.transport.close()

    def sweep(self, now):
        """Ends what has waited too long for a connection, or whose time is over."""
        for ask in [ask for ask in self.waiting if now > ask.due + self.plan.schemes[ask.arrival.scheme].sla / 4000]:
            self.waiting.remove(ask)
            self.end(ask, t.UNSENT)
        for ask in [ask for ask in self.out if now > ask.ends + AFTER]:
            call, ask.call = ask.call, None
            if call:
                call.ask = None
                call.transport.abort()
            self.end(ask, t.LOST if ask.sent else ask.reason)

    def begin(self, ask):
        if ask.over:
            return
        if self.free and not ask.arrival.fresh:
            self.send(self.free.pop(), ask)
        elif self.open < self.plan.habits.connections:
            self.open += 1
            self.loop.create_task(self.dial(ask))
        else:
            self.waiting.append(ask)

    async def dial(self, ask):
        call = Call(self)
        try:
            await self.loop.create_connection(lambda: call, *self.address)
        except OSError:
            self.open -= 1
            return self.end(ask, t.UNSENT)
        if ask.over:
            self.rest(call)
        else:
            self.send(call, ask)

    def rest(self, call):
        while self.waiting:
            ask = self.waiting.pop()
            if not ask.over:
                return self.send(call, ask)
        self.free.append(call)

    def send(self, call, ask):
        if call.transport.is_closing():
            return self.begin(ask)
        now = monotonic()
        scheme, tenant = self.plan.schemes[ask.arrival.scheme], self.plan.tenants[ask.arrival.tenant][0]
        left = int((ask.ends - now) * 1000)
        if left < 1:
            self.rest(call)
            return self.end(ask, ask.reason)
        call.ask, ask.call, ask.sent = ask, call, now
        ask.tries += 1
        self.count += 1
        ident, body = f"{self.plan.seed}-{self.count}", self.bodies[ask.arrival.scheme]
        key = f"Idempotency-Key: {self.plan.seed}-{ask.arrival.number}\r\n" if scheme.kind == "referenced" else ""
        again = "X-Again: 1\r\n" if ask.tries > 1 else ""
        name = "nobody" if ask.arrival.refused else scheme.name
        head = (
            f"{'GET' if scheme.kind == 'repeatable' else 'POST'} /api HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Call-Id: {ident}\r\nX-Call-Class: {name}\r\nX-Caller: {tenant}\r\n"
            f"X-Budget-Ms: {left}\r\n{key}{again}" + (f"Content-Length: {len(body)}\r\n" if body or key else "") + "\r\n"
        )
        call.transport.write(head.encode() + body)

    def answered(self, call, status, text):
        ask, call.ask = call.ask, None
        if ask is None:  # nobody asked: an answer that came twice
            self.more["twice"] += 1
            return call.transport.close()
        now, scheme = monotonic(), self.plan.schemes[ask.arrival.scheme]
        ask.call = None
        if b"onnection: close" in text[: text.find(b"\r\n\r\n")] or ask.arrival.fresh:
            call.transport.close()
        else:
            self.rest(call)
        if now > ask.ends + 0.002 and status == 200:
            return self.end(ask, t.OVERDUE)
        if status == 200:
            took = (now - ask.due) * 1000
            self.tally.time(t.INTIME, took)
            return self.end(ask, t.INTIME if took <= scheme.sla else t.LATE)
        if 400 <= status < 500 and status != 429:
            return self.end(ask, t.REFUSED)
        ask.reason = t.DECLINED if status in (429, 503) else t.REVERSED
        if ask.reason == t.DECLINED:
            self.tally.time(t.DECLINED, (now - ask.sent) * 1000)
        wait = self.plan.habits.backoff / 1000
        at = text.lower().find(b"retry-after:")
        if at >= 0 and self.rng.random() < self.plan.habits.honour:
            wait = max(wait, float(text[at + 12 : text.find(b"\r", at)]))
        if ask.tries > self.plan.habits.retries or now + wait >= ask.ends:
            return self.end(ask, ask.reason)
        ask.sent = 0.0
        self.loop.call_later(wait, self.begin, ask)

    def closed(self, call):
        self.open -= 1
        if call in self.free:
            self.free.remove(call)
        ask, call.ask = call.ask, None
        if ask and not ask.over:
            if ask.tries > 1 + self.plan.habits.retries:
                return self.end(ask, t.LOST)
            # A connection may be closed between requests: if that crosses, the caller asks once more.
            ask.call, ask.sent = None, 0.0
            ask.reason = t.LOST
            self.begin(ask)
        elif self.waiting:
            self.begin(self.waiting.pop())

    def end(self, ask, kind):
        if not ask.over:
            ask.over = True
            self.out.discard(ask)
            self.more["tries"] += ask.tries
            self.tally.count(ask.due - self.start, kind, self.plan.schemes[ask.arrival.scheme].gain)


async def work(told):
    gc.freeze()
    gc.disable()  # a worker lives for one play
    crew = Crew(asyncio.get_running_loop(), Plan.of_json(told["plan"]), tuple(told["address"]), told["start"])
    await crew.run()
    return dict(crew.tally.as_json(), late=crew.late)


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        print(json.dumps(runner.run(work(json.load(sys.stdin)))))
