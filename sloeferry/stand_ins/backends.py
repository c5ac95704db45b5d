"""Stand-in registry nodes: cores, a queue, a cold start, and all that goes wrong with them.  Figures are models.

A node works its queue off at a rate that warmth, neighbours, stalls and long queues change; work in progress is
settled at each change.  It stands on asyncio's protocols, so that it runs on the rehearsal's loop and on a real one.
"""

import asyncio
import json
from collections import deque

from sloeferry.stand_ins.http_messages import Frames, answer

BEAT = 0.1  # seconds between two looks at what changes by itself
SLACK = 1.1  # of the work that pushes a cold node over: for chance in a single txn
HEAVIEST = 2.0  # times its scheme's mean that one txn counts there: nobody knew it was heavier
PROBE_MS = 0.04  # work of a probe


class Job:
    """One txn in work; `entry` is that of its key in the memory of repeats, if it has one."""

    __slots__ = ("ident", "left", "peer", "entry")

    def __init__(self, ident, work, peer):
        self.ident, self.left, self.peer, self.entry = ident, work, peer, None


class Memory:
    """What a group of nodes remembers of referenced txns: a repeat runs no second time, it waits for the first."""

    def __init__(self):
        self.known = {}  # key -> [when, done?, who waits]

    def met(self, key, now, window):
        """The entry of a key, and whether it is that of a repeat; a first one is noted."""
        entry = self.known.get(key)
        if entry is not None and now - entry[0] <= window:
            return entry, True
        entry = self.known[key] = [now, False, []]
        return entry, False


class Node:
    def __init__(self, loop, told, ident, address, zone, judge, memories, rules, rng):
        self.loop, self.told, self.ident, self.address, self.zone = loop, told, ident, address, zone
        self.judge, self.memories, self.rules, self.rng = judge, memories, rules, rng
        self.server, self.peers, self.running, self.queue, self.timer = None, {}, [], deque(), None
        self.up = self.draining = self.mute = False  # mute: cut off, says nothing
        self.born, self.at, self.shown = 0.0, 0.0, (0.0, b"")
        self.stalled, self.late = 0.0, []  # until when, and what came meanwhile
        self.neighbour, self.slow, self.odds_err, self.odds_cut = 0.0, 1.0, 0.0, 0.0
        self.ways, self.lie = {}, ""  # proxy -> (odds of a loss, seconds more each way); what it shows instead
        self.now_rate = 0.0  # since the last look
        self.sent, self.budget, self.beating = deque(), 0.0, None
        self.crowded = self.rested = None
        self.choked, self.choked_at, self.served = False, 0.0, 0

    # Start and end

    async def start(self, warm=False):
        self.up, self.draining = True, False
        self.born = self.at = self.loop.time() - (self.told.cold_s if warm else 0.0)
        self.at = self.loop.time()
        self.server = await self.loop.create_server(lambda: Peer(self), *self.address, backlog=1024)
        if not self.beating:
            self.beating = self.loop.call_later(BEAT, self.beat)

    def die(self):
        """At once: what is open is reset, what it worked on is gone."""
        self.up = False
        if self.server:
            self.server.close()
            self.server = None
        for peer in list(self.peers):
            peer.transport.abort()
        self.peers.clear()
        self.running.clear()
        self.queue.clear()
        self.late.clear()
        self.sent.clear()
        self.choked = False
        if self.timer:
            self.timer.cancel()
            self.timer = None

    def refuse(self, so):
        """Its listener is away, or back."""

        async def back():
            if self.up and self.server is None:
                self.server = await self.loop.create_server(lambda: Peer(self), *self.address, backlog=1024)

        if so and self.server:
            self.server.close()
            self.server = None
        elif not so:
            self.loop.create_task(back())

    def stall(self, seconds):
        """It stands still: nothing is read, nothing worked on; the machine still takes what comes."""
        self.settle()
        self.stalled = max(self.stalled, self.loop.time() + seconds)
        self.plan()
        self.loop.call_later(seconds, self.awake)

    def awake(self):
        if self.loop.time() < self.stalled - 1e-9 or not self.up:
            return
        self.settle()
        late, self.late = self.late, []
        for entry in late:
            self.take(*entry)
        self.plan()

    def change(self, **what):
        """Its speed changes: slow, neighbour, odds_err, odds_cut."""
        self.settle()
        for name, value in what.items():
            setattr(self, name, value)
        self.plan()

    # Its work

    def warmth(self):
        age, cold = self.loop.time() - self.born, self.told.cold_s
        return 1.0 if age >= cold else self.told.cold_from + (1 - self.told.cold_from) * age / cold

    def rate(self):
        if self.loop.time() < self.stalled - 1e-9:
            return 0.0
        slower = self.told.choke.slower if self.choked else 1.0
        return self.told.speed * self.warmth() * (1 - self.neighbour) / self.slow / slower

    def settle(self):
        """Counts what has been done since the last look."""
        now = self.loop.time()
        done = (now - self.at) * 1000 * self.now_rate if self.running else 0.0
        for job in self.running:
            job.left -= done
            self.judge.worked(done)
        self.at = now

    def plan(self):
        """When the next of what runs is done."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        self.now_rate = self.rate()
        if self.running and self.now_rate > 0:
            left = max(0.0, min(job.left for job in self.running))
            self.timer = self.loop.call_later(left / 1000 / self.now_rate, self.tick)

    def tick(self):
        self.timer = None
        self.settle()
        for job in [job for job in self.running if job.left <= 1e-6]:
            self.running.remove(job)
            self.done(job)
        self.fill()
        self.plan()

    def fill(self):
        while self.queue and len(self.running) < self.told.cores:
            job = self.queue.popleft()
            if self.told.drops_late and (job.peer.gone or self.judge.over(job.ident, self.loop.time())):
                job.peer.answer(answer(503, b"", b"X-Rejected: 1\r\n" + self.report()))
                continue
            self.begin(job)

    def begin(self, job):
        self.judge.ran(self.ident, job.ident, self.loop.time())
        self.running.append(job)

    def done(self, job):
        if job.entry is not None:
            job.entry[1] = True
            for peer, ident in job.entry[2]:
                self.serve(peer, ident)
            job.entry[2].clear()
        self.serve(job.peer, job.ident)

    def serve(self, peer, ident):
        odds, late = self.way(ident)
        if odds and self.rng.random() < odds / 2:
            return  # done, and nobody hears of it
        if late:
            self.loop.call_later(late, self.say, peer, ident)
        else:
            self.say(peer, ident)

    def way(self, ident):
        """Of the way to the proxy that has this txn: the odds of a loss, and the seconds more that it takes."""
        return self.ways.get(self.judge.proxy(ident), (0.0, 0.0)) if self.ways else (0.0, 0.0)

    def say(self, peer, ident):
        if self.odds_err and self.rng.random() < self.odds_err / 2:
            return peer.answer(answer(500, b"", self.report()))
        if self.odds_cut and self.rng.random() < self.odds_cut:
            return peer.cut(b"HTTP/1.1 200 X\r\nContent-Le")
        self.served += 1
        body = ident.ljust(self.judge.answer_size(ident))
        peer.answer(answer(200, body, self.report()))

    def crowd(self):
        return len(self.running) + len(self.queue)

    def report(self):
        """Its load as it was lately."""
        now = self.loop.time()
        if self.lie == "idle":
            return b'X-Load-Report: {"inflight":0,"queue":0,"util":0.0}\r\n'
        if not self.shown[1] or self.lie != "stuck" and now - self.shown[0] >= self.told.report_ms / 1000:
            text = json.dumps(
                {"inflight": self.crowd(), "queue": len(self.queue), "util": round(len(self.running) / self.told.cores, 2)},
                separators=(",", ":"),
            )
            self.shown = now, text.encode()
        return b"X-Load-Report: %b\r\n" % self.shown[1]

    # What comes

    def came(self, peer, line, fields, since):
        """A whole request; `since` is when its first byte came."""
        peer.busy, ident = True, fields.get(b"x-call-id")
        if ident is not None and self.judge.scheme(ident):
            self.judge.posted(self.ident, self.zone, ident, since)
            if b"x-acted-on" in fields:
                self.judge.acted(self.ident, ident, fields[b"x-acted-on"], self.loop.time())
            odds, late = self.way(ident)
            if odds and self.rng.random() < odds / 2:
                return  # lost on the way
            if late:
                self.loop.call_later(late, self.reached, peer, line, fields)
                return
        self.reached(peer, line, fields)

    def reached(self, peer, line, fields):
        now = self.loop.time()
        if not self.up:
            return
        if now < self.stalled - 1e-9:
            self.late.append((peer, line, fields, now))
        else:
            self.take(peer, line, fields, now)

    def take(self, peer, line, fields, came):
        """A request's turn to be looked at; its last byte came earlier if the node stood still."""
        now = self.loop.time()
        path = line.split(b" ")[1]
        if path in (b"/status/load", b"/health"):
            self.judge.probed(self.ident, PROBE_MS)
            return peer.answer(answer(200, self.report()[15:-2] if path == b"/status/load" else b""))
        ident = fields.get(b"x-call-id", b"")
        scheme = self.judge.scheme(ident)
        if scheme is None:
            self.judge.breach("protocol", now, f"{self.ident} was sent an id that nobody asked: {ident!r}")
            return peer.answer(answer(400))
        if self.judge.bad(ident):
            return peer.answer(answer(500, b"", self.report()))
        # An error says nothing of what ran: half come at once, half when all has been done.
        if self.odds_err and self.rng.random() < self.odds_err / 2:
            return peer.answer(answer(500, b"", self.report()))
        work = self.judge.work(ident)
        if not self.weigh(now, min(work, HEAVIEST * scheme.work_ms), ident):
            return
        if self.crowd() >= self.told.cores * (1 + self.told.queue):
            return peer.answer(answer(503, b"", b"X-Rejected: 1\r\n" + self.report()))
        job = Job(ident, work, peer)
        if scheme.kind == "referenced":
            # By when it came: how long a node then stands still is no fault of who sent it in time.
            job.entry, again = self.memories[scheme.group].met(fields.get(b"idempotency-key"), came, scheme.window_ms / 1000)
            if again:
                return self.serve(peer, ident) if job.entry[1] else job.entry[2].append((peer, ident))
        self.settle()
        if len(self.running) < self.told.cores:
            self.begin(job)
        else:
            self.queue.append(job)
        self.plan()

    def weigh(self, now, work, ident):
        """Rule 4: sent more than it can do for a while, a cold node falls over and stays down.  All that comes weighs
        on it; who was told of its start is the judge's affair."""
        warmth = self.warmth()
        if warmth == 1.0:
            return True
        span = self.rules.fall_ms / 1000
        self.sent.append((now, work, ident))
        while self.sent and self.sent[0][0] <= now - span:
            self.sent.popleft()
        budget = self.rules.fall_multiple * warmth * self.told.cores * self.told.speed * self.rules.fall_ms
        if sum(w for _, w, _ in self.sent) <= budget * SLACK:
            return True
        self.judge.fell(self.ident, now, warmth, list(self.sent))
        self.die()
        return False

    def beat(self):
        """Warmth goes on, and long queues have their price."""
        self.beating = self.loop.call_later(BEAT, self.beat) if self.up else None
        now, choke = self.loop.time(), self.told.choke
        if self.warmth() < 1.0 and self.running:
            self.settle()
            self.plan()
        if choke is None:
            return
        waiting, cores = len(self.queue), self.told.cores
        if not self.choked:
            if waiting < choke.at * cores:
                self.crowded = None
            else:
                self.crowded = self.crowded or now
                if now - self.crowded >= choke.over_s:
                    self.judge.choked(self.ident)
                    self.change(choked=True, choked_at=now, rested=None)
        else:
            self.rested = (self.rested or now) if self.crowd() <= cores / 2 else None
            if now - self.choked_at >= choke.most_s or self.rested and now - self.rested >= choke.rest_s:
                self.change(choked=False, crowded=None)


class Peer(asyncio.Protocol):
    """A connection to a node."""

    def __init__(self, node):
        self.node, self.frames, self.transport, self.since = node, Frames(), None, None
        self.gone, self.busy, self.idle = False, False, None

    def connection_made(self, transport):
        self.transport = transport
        if not self.node.up or len(self.node.peers) >= self.node.told.connections:
            return transport.abort()
        self.node.peers[self] = None
        self.rest()

    def connection_lost(self, fault):
        self.gone = True
        self.node.peers.pop(self, None)
        if self.idle:
            self.idle.cancel()

    def eof_received(self):
        self.gone = True
        return self.busy  # what it asked may still be answered

    def rest(self):
        self.busy = False
        if self.idle:
            self.idle.cancel()
        self.idle = self.node.loop.call_later(self.node.told.idle_s, self.ends)

    def ends(self):
        if not self.busy and not self.frames.begun:
            self.transport.close()

    def data_received(self, data):
        if self.node.mute:
            return
        if self.since is None:
            self.since = self.node.loop.time()
        for line, fields, body in self.frames.feed(data):
            since, self.since = self.since, None
            if self.node.up:
                self.node.judge.got(self.node.ident, fields.get(b"x-call-id"), body, self.node.loop.time())
                self.node.came(self, line, fields, since)

    def answer(self, data):
        if not self.transport.is_closing():
            self.transport.write(data)
            self.rest()

    def cut(self, data):
        """Breaks off in the middle of an answer."""
        if not self.transport.is_closing():
            self.transport.write(data)
            self.transport.close()
