"""The decisions in blocking style, for code that speaks to the network.

An errand is one txn on its way.  Who carries it awaits `pick` for the next order and reports how each
posting ended; probes and the list have an errand each that stands for as long as the program runs.
`tick` fires what is due and says when it wants to be called again.  No decisions here.
"""

from asyncio import get_running_loop
from collections import deque
from heapq import heappop, heappush
from math import inf as INF

from loguru import logger

from sloeferry import machine
from sloeferry.core import decide, ports
from sloeferry.core.overload import Door
from sloeferry.core.send_guard import Refusal, SendGuard, Violation
from sloeferry.core.staleness import ON_SOCKETS
from sloeferry.core.start_times import StartTimes

# Orders: (POST, seq, backend), (WITHDRAW, seq), (SETTLE, answer), (DECLINE, pause), (REVERSE,), (LEAVE,),
# and for the standing errands (PROBE, backend) and (WATCH,).
POST, WITHDRAW, SETTLE, DECLINE, REVERSE, LEAVE, PROBE, WATCH = range(8)
# How far a posting came: nothing written, part, whole, answer begun.
NOTHING, PART, WHOLE, BEGUN = range(4)
# Why it ended there; spoilt is an answer that can't be read or doesn't end, on a connection that stands.
SERVED, ERRED, REJECTED, BROKEN, LATE, WITHDRAWN, VOID, SPOILT = range(8)
SLACK = 50.0  # ms by which each limit is longer on sockets (protocol)
STANDINGS = {"ready": ports.READY, "draining": ports.DRAINING, "gone": ports.GONE}


def clock():
    return machine.monotonic() * 1000


def blink(terms):
    """For how long (ms) this loop may stand before what is known is looked at again: half of what a drain may go unheard,
    on sockets.  Without that slack a grace of nought would have it look for ever, and nothing be sent."""
    return (terms["obligations.drain_grace"] + SLACK) / 2


class Errand:
    """One txn, or one of the standing errands: where its orders wait."""

    def __init__(self, ref=0, ends=0.0, began=0.0):
        self.began = began
        self.ref, self.ends, self.orders, self.over, self.out, self.sent = ref, ends, deque(), False, 0, 0
        self.waiter = self.relief = None
        self.acted = None  # where postings say what they act on: for each, as a header's line
        self.abandoned = False  # its client's connection has ended
        self.gone = None  # tells whether its client has left, where it has one

    def order(self, *what):
        self.orders.append(what)
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)
        elif self.relief:  # who carries it is out with its posting: another takes the orders
            relief, self.relief = self.relief, None
            relief()


class Facade:
    """One instance of the decisions, and their host."""

    def __init__(self, seed, terms, hurry):
        self.hurry = hurry  # called with a time: be back by then
        self.timers, self.errands, self.refs, self.next = [], {}, 0, None
        self.probing, self.listing = Errand(), Errand()
        # When this loop last turned; how long it may stand before what is known is looked at again; that look.
        self.seen, self.blink, self.catching = clock(), blink(terms), None
        self.start_times = StartTimes(clock(), machine.unix() * 1000)
        self.stale_since = None  # since when the list counts as stale, and nothing is sent
        self.before_stall = clock()  # when this loop last turned before it stood still
        self.catch_up = None  # the network's: reads what discovery wrote meanwhile
        self.proxy = decide.Proxy(self, clock(), seed, terms, ON_SOCKETS)
        self.door, self.beats = Door(self.proxy), False
        self.guard = SendGuard(self.proxy, SLACK)
        self.proxy.stages.all.append(self.door)

    def retune(self, berth):
        """Other settings, between two events: what is taken from now on is under these."""
        self.proxy.retune(berth.terms)
        self.door.retune()
        self.blink = blink(berth.terms)

    def divided(self, processes):
        """So many processes are this one proxy for now: each keeps to its part of what the rules allow it."""
        self.proxy.processes = processes

    # For the network

    def bars(self, scheme, tenant, again, waited=False):
        """Asked before anything else is done for a txn: the pause to tell if it is turned away, else None.
        `waited`: it has been at the door for as long as it may."""
        return self.proxy.barred(clock(), scheme, tenant, again, waited)

    def beat(self, now, due):
        """How late this loop runs, measured whatever else is due; it stops once nothing is left to measure."""
        self.door.beat(now, now - due)
        self.beats = bool(self.errands) or self.door.shut()
        if self.beats:
            self.start_beat(now)

    def start_beat(self, now):
        self.beats = True
        self.proxy.later(now + self.door.every, self.beat, now + self.door.every)

    def take(self, scheme, tenant, left, again, key=0):
        """A txn has come: its errand.  What the loop runs late comes off its time, or answers would too."""
        now = clock()
        left -= min(self.proxy.late, left / 2)
        self.refs += 1
        if not self.beats:
            self.start_beat(now)
        errand = self.errands[self.refs] = Errand(self.refs, now + left, now)
        try:
            self.proxy.take(now, errand.ref, scheme, tenant, key, left, None, again)
        except Exception:
            del self.errands[errand.ref]  # nobody will answer it
            raise
        return errand

    async def pick(self, errand):
        """The errand's next order."""
        while not errand.orders:
            errand.waiter = get_running_loop().create_future()
            await errand.waiter
        return errand.orders.popleft()

    def flows(self, errand, seq):
        """More of its body has gone out with this posting than is held; its time runs from its last byte on."""
        self.proxy.flows(clock(), errand.ref, seq)
        errand.ends = INF

    def whole(self, errand, left):
        """The last byte of such a body has come: so much time is left."""
        errand.ends = clock() + left

    def report(self, errand, seq, reached, why, took, load=(), answer=None):
        """A posting has ended; whether its answer is the txn's."""
        errand.out -= 1
        took = max(took / 2, took - self.proxy.late)  # that much was this loop's doing, not the backend's
        settles = why == SERVED and not errand.over
        if settles:
            self.finish(errand, SETTLE, answer)
        elif errand.over and not errand.out:
            self.errands.pop(errand.ref, None)
        self.proxy.ended(clock(), errand.ref, seq, outcome(reached, why), errand.over, took, load)
        return settles

    def report_left(self, errand):
        """The client has gone."""
        if not errand.over:
            self.finish(errand, LEAVE)
            self.proxy.left(clock(), errand.ref)

    def abandon(self, errand):
        """Nobody carries out its orders any more: its client's connection ends from this side, and with it what was
        ordered and not begun.  Such a posting would count as out for ever.  Returns the answers that nobody passes on."""
        errand.abandoned = True
        self.report_left(errand)
        orders, answers = list(errand.orders), []
        errand.orders.clear()
        for order, *what in orders:
            if order == POST:
                self.report(errand, what[0], NOTHING, VOID, 0.0)
            elif order == SETTLE:
                answers.append(what[0])
        return answers

    def report_probe(self, backend, reached, why, took, load=()):
        self.proxy.probed(clock(), backend, outcome(reached, why), took, load)

    def report_list(self, whole, lines, cached=False, news=(), ours=True):
        """A list: (backend, zone, kind, cell, standing, share, started in Unix time), all or what changed; `news` are
        those whose start was told just as it was listed; not `ours`: a former watch told it, and the call for
        another goes on."""
        now = clock()
        lines = [
            (ident, zone, kind, cell, STANDINGS[standing], share, self.start_times.taken(now, ident, started, ident in news))
            for ident, zone, kind, cell, standing, share, started in lines
        ]
        for ident, start in self.start_times.confirmed_starts().items():
            if backend := self.proxy.board.all.get(ident):
                backend.launched = start
        if whole:  # who is missing from a whole list is gone
            self.start_times.keep_only({line[0] for line in lines})
            for ident in self.proxy.board.all.keys() - {line[0] for line in lines}:
                self.guard.listed(now, ident, False)
        for line in lines:
            self.guard.listed(now, line[0], line[4] == ports.READY)
            if line[4] == ports.GONE:
                self.start_times.forget(line[0])
        self.proxy.listed(now, ports.CACHED if cached else ports.WHOLE if whole else ports.CHANGES, lines, ours)

    # Facts about the list's age (core/staleness.py)

    def closing(self, errand):
        """A client's connection ends from this side, its client there and this request whole and without an answer."""
        self.guard.violations[Violation.CLOSED_UNANSWERED] += 1
        logger.error("request {}: {}", errand.ref, Violation.CLOSED_UNANSWERED.value)

    def guarded(self):
        """The guard's counters and the list's age now, for operators and the log."""
        now = clock()
        return self.guard.figures() | {
            "list": {
                "usable": self.staleness.usable(now),
                "cause": self.staleness.cause.value,
                "known_true_ms_ago": round(now - self.staleness.trusted_until),
            }
        }

    @property
    def staleness(self):
        return self.proxy.discovery.staleness

    def report_confirmed(self):
        """The watch that stands said something, a list or a sign of life.  What is read after this program stood still
        may have been written at any time since it last turned."""
        now = clock()
        if self.catching:
            now = self.before_stall
        elif now - self.seen > self.blink:
            now = self.seen
        self.staleness.confirmed(now)

    def report_call_failed(self, how, began, tried):
        """A call that brought no list has ended; `tried`: when its last dial began, or its request was written."""
        self.staleness.call_failed(clock(), how, began, tried)

    def report_call_waiting(self, began, tried):
        """A call's dial failed, and it dials again; or its answer is waited for longer than discovery lets one wait."""
        self.staleness.call_waiting(began, tried)

    def report_watch_ended(self):
        """A watch that had told its list has ended."""
        self.staleness.watch_ended(clock())

    def report_silent(self, since):
        """A watch is given up that has said nothing since then, ms of this clock."""
        self.staleness.watch_silent(since)

    def report_no_list(self):
        """The call that was asked for brought no list: another is due."""
        self.proxy.listed(clock(), ports.FAILED, ())

    def report_no_watch(self):
        """The watch that stood has ended: another is due."""
        self.proxy.listed(clock(), ports.ENDED, ())

    def report_time(self, unix):
        """Discovery's own word of what time it is, in ms since the epoch."""
        self.start_times.told_time(clock(), unix)

    def report_moved(self):
        """Discovery is elsewhere from now on."""
        self.staleness.moved(clock())

    def unheard(self):
        """Whether a watch fell silent and no list has come since."""
        return self.staleness.overdue

    def turned(self):
        """This loop turns, which it says again and again.  After it stood still (stopped, starved) a list may lie
        unread that counts as told when it was written (rule 3): until it is read, a task, nothing is sent."""
        now = clock()
        if now - self.seen > self.blink and self.catch_up and not self.catching:
            self.before_stall = self.seen
            self.catching = get_running_loop().create_task(self.catch_up())
            self.catching.add_done_callback(self.caught_up)
        self.seen = now
        self.log_staleness(now)
        return self.catching

    def log_staleness(self, now):
        """A line when the list becomes stale, and one when a newer one has come: no line a request tells of either."""
        staleness = self.staleness
        if not staleness.usable(now) and self.stale_since is None:
            self.stale_since = staleness.usable_until
            logger.info(
                "the list is stale ({}), known to be true until {:.0f} ms ago: nothing is sent until another comes",
                staleness.cause.value,
                now - staleness.trusted_until,
            )
        elif self.stale_since is not None and staleness.usable(now):
            logger.info(
                "the list is good again ({}), after {:.0f} ms in which nothing was sent",
                staleness.cause.value,
                now - self.stale_since,
            )
            self.stale_since = None

    def caught_up(self, task):
        self.catching = None

    def goes_on(self, errand, seq, backend):
        """Whether a posting may still begin: asked right before its first byte, whatever the txn has waited for since
        it came (the door, a body, a dial, a failed posting).  The one place that sees to it that nothing is sent on
        for a client who has left; and that the window in which a repeat is known has not ended meanwhile (rule 2)."""
        if not errand.over and errand.gone and errand.gone():
            self.report_left(errand)
            return self.guard.refuse(Refusal.CLIENT_GONE)
        now = clock()
        return self.guard.refuse(self.guard.request_refusal(now, errand, seq) or self.guard.backend_refusal(now, backend))

    def stands(self, backend):
        """Rule 3, once more before a probe's first byte: a dial takes time, and the list may have changed."""
        return self.guard.refuse(self.guard.backend_refusal(clock(), backend))

    def sent(self, errand, seq, backend):
        """A posting's first bytes are being handed over: a look at the rules by facts of its own."""
        if broken := self.guard.check_written(clock(), errand, seq, backend):
            logger.error("request {} attempt {}: {} ({})", errand.ref, seq, broken.value, backend)

    def tick(self):
        """Fire what is due; the time of the next, or None."""
        now = clock()
        try:
            while self.timers and self.timers[0][0] <= now:
                at, token = heappop(self.timers)
                if self.proxy.moot(token):
                    del self.proxy.timers[token]
                else:
                    self.proxy.woken(now, token)
        finally:
            # What was set for txns that have been answered wakes nobody: it is most of all timers.
            while self.timers and self.proxy.moot(self.timers[0][1]):
                del self.proxy.timers[heappop(self.timers)[1]]
            self.next = self.timers[0][0] if self.timers else None
        return self.next

    # For the decisions: ports.Host

    def finish(self, errand, *order):
        errand.over = True
        errand.order(*order)
        if not errand.out:
            self.errands.pop(errand.ref, None)

    def post(self, ref, backend, give_up_after):
        errand = self.errands[ref]
        errand.order(POST, errand.sent, backend)
        errand.sent, errand.out = errand.sent + 1, errand.out + 1

    def withdraw(self, ref, seq):
        self.errands[ref].order(WITHDRAW, seq)

    def decline(self, ref, pause):
        if not self.staleness.usable(clock()):
            self.guard.refuse(Refusal.LIST_STALE)
        if ref in self.errands:
            self.finish(self.errands[ref], DECLINE, pause)

    def reverse(self, ref):
        if ref in self.errands:
            self.finish(self.errands[ref], REVERSE)

    def probe(self, backend):
        self.probing.order(PROBE, backend)

    def watch(self):
        self.listing.order(WATCH)

    def wake(self, at, token):
        heappush(self.timers, (at, token))
        if self.next is None or at < self.next:
            self.next = at
            self.hurry(at)

    def note(self, text):
        logger.debug("{}", text)


def outcome(reached, why):
    """Rule 2 by bytes: a request never written whole has not run; one written whole may have.

    A connection that did not come up in time is the backend's fault; one not wanted any more is nobody's."""
    if why == VOID or reached < WHOLE and why == WITHDRAWN:
        return ports.NEVER_SENT
    if reached < WHOLE:
        return ports.UNREACHED
    return {
        SERVED: ports.SETTLED,
        ERRED: ports.ERRED,
        REJECTED: ports.TURNED_AWAY,
        BROKEN: ports.CUT,
        LATE: ports.LATE,
        WITHDRAWN: ports.WITHDRAWN,
        SPOILT: ports.UNKNOWN,
    }[why]
