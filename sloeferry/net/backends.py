"""The backends: postings and probes, each on a connection that carries one at a time and is then kept."""

import asyncio
import json
import math
from typing import NamedTuple

from loguru import logger

from sloeferry import machine
from sloeferry.core import facade as f
from sloeferry.net import http1
from sloeferry.net.alarms import Alarms
from sloeferry.net.flow import STALLED, Broken, Download, Upload
from sloeferry.net.log import warn

DIAL_AGAIN, DIAL_AGAIN_AT_MOST = 5.0, 80.0  # ms between two dials that this machine could not make
LOADS = 512  # load reports that are kept read
SETTLED = 0.006  # seconds: a second answer may come so much later (some ms, by the protocol)


class Ended(NamedTuple):
    """How a posting ended: how far it came, why it ended there, and the answer if one came whole."""

    reached: int
    why: int
    answer: http1.Message | None = None


class Link:
    """One connection to a backend."""

    def __init__(self, backends, ident, address, sock):
        self.backends, self.ident, self.address, self.sock = backends, ident, address, sock
        self.wire = http1.Wire(backends.loop, sock, backends.buffers, answers=True)
        self.since = machine.monotonic()

    def usable(self):
        """Whether it still stands, and its backend won't close it for idleness any moment."""
        if machine.monotonic() - self.since > self.backends.idle_limit:
            return False
        return http1.quiet(self.sock)  # else an end, or bytes that nobody asked for

    def stands(self):
        """Whether its backend still listens where this leads: it may have moved meanwhile."""
        return self.backends.addresses.get(self.ident) == self.address

    def rest(self):
        self.since = machine.monotonic()
        self.backends.idle.setdefault(self.ident, []).append(self)
        self.backends.seats.rest(self, self.close)

    def wake(self):
        self.backends.idle[self.ident].remove(self)
        self.backends.seats.wake(self)

    def done(self, keep):
        """An exchange has ended.  What more there is belongs to no posting: the next would take it for its answer."""
        if keep and not (self.wire.whole or self.wire.begun) and self.stands():
            self.rest()
        else:
            self.close()

    def give_up(self):
        """Ends it in the middle of an exchange.  What the machine still holds of the request must not go out when a cut
        is over: its txn has had its final answer by then (rule 1), and a repeat may be known no more (rule 2)."""
        http1.reset(self.sock)
        self.close()

    def close(self):
        if self in self.backends.idle.get(self.ident, ()):
            self.wake()
        self.wire.close()
        self.sock.close()
        self.backends.seats.give()


class Backends:
    def __init__(self, loop, facade, terms, seats, buffers):
        self.loop, self.facade, self.seats, self.buffers = loop, facade, seats, buffers
        self.addresses, self.idle, self.tasks, self.alarms = {}, {}, set(), Alarms(loop)
        self.loads = {}  # load reports as they came, read
        self.settle(terms)
        self.fields = [name for name in terms["load_info.fields"].split(",") if name]
        self.status = b"/status/load" if self.fields else b"/health"

    def settle(self, terms):
        self.dial_time, self.idle_limit = terms["limits.dial_timeout"], terms["limits.conn_idle"] / 1000 * 0.8
        # In seconds: what has begun goes on within a quarter of the shortest SLA time, or it is given up.
        self.rest_time = min(terms[f"schemes.{at}.sla_time"] for at in range(int(terms["schemes.count"]))) / 4000

    def retune(self, berth):
        self.settle(berth.terms)

    def close(self):
        for ident in list(self.idle):
            self.told(ident, None)

    def told(self, ident, address):
        """Where a backend listens; None once it has left."""
        if self.addresses.get(ident) != address:
            for link in list(self.idle.get(ident, ())):
                link.close()
            self.idle.pop(ident, None)
            if address is None:
                del self.addresses[ident]
            else:
                self.addresses[ident] = address

    async def kept(self, ident, waits):
        """A kept connection found alive, or None; where it `waits`, one that has no second answer to expect any more."""
        while kept := self.idle.get(ident):
            # The newest, which its backend will close last, of those that have rested: a second answer, on its way still,
            # would pass for the next txn's own, and one turned away be posted again (rules 1 and 2).  Where there is none
            # that time is waited for: another connection costs its backend more than a few ms.
            now = machine.monotonic()
            link = next((link for link in reversed(kept) if link.since <= now - SETTLED), kept[0])
            if not link.usable():
                link.close()
                continue
            link.wake()
            if waits and (left := link.since + SETTLED - now) > 0:
                try:
                    await asyncio.sleep(left)
                except asyncio.CancelledError:
                    link.done(True)
                    raise
                if not http1.quiet(link.sock):
                    link.close()
                    continue
            return link

    async def link(self, ident, last):
        """A new connection to write on; else why there is none.  Where this machine can't dial just now it is tried again
        until `last` (ms) at the most."""
        address = self.addresses.get(ident)
        # No seat, no socket: our own want, no word against the backend.
        if address is None or not self.seats.take():
            return f.VOID
        sock, why, pause = None, f.VOID, DIAL_AGAIN
        try:
            while why == f.VOID:
                try:
                    # A backend that doesn't come up in that time has not run the txn: another one still may, in time.
                    sock = await http1.dial(self.loop, address, min(self.dial_time, self.rest_time * 1000))
                    why = f.BROKEN
                except OSError as fault:
                    warn("dial", "{}", fault)
                    if f.clock() + pause > last:
                        break
                    await asyncio.sleep(pause / 1000)
                    pause = min(2 * pause, DIAL_AGAIN_AT_MOST)
        finally:
            if sock is None:
                self.seats.give()
        return Link(self, ident, address, sock) if sock else why

    async def pump(self, link, upload, seq):
        """The rest of a body, as it comes; why it ended before its last byte, or None."""
        task = asyncio.current_task()
        upload.bind(seq, task)
        try:
            while not upload.whole:
                data = await upload.more()
                if not http1.quiet(link.sock):
                    return f.BROKEN  # it has answered already, or ended: the rest is not wanted
                alarm = self.alarms.set(self.loop.time() + STALLED, task)
                try:
                    await self.loop.sock_sendall(link.sock, data)
                finally:
                    alarm.off()
        except Broken:
            self.facade.report_left(upload.errand)
            return f.VOID
        return None

    async def exchange(self, ident, until, wanted, write, upload=None, seq=0, waits=False, sending=None, dial_until=0.0):
        """One request and its answer.  `write` makes the request once the connection stands; `wanted` says,
        right before the first byte, whether it still may go out; `upload` is a body that is longer than what is
        written at first; `waits`: see `kept`; `sending` is called as the first byte goes out;
        `dial_until` (ms): for how long this machine's failing to dial is waited out."""
        link, reached, why, answer = None, f.NOTHING, f.BROKEN, None
        # No asyncio.timeout, nor a timer of the loop: either takes as long as all the parsing.
        task, last = asyncio.current_task(), (until - f.clock()) / 1000 + self.loop.time()
        alarm = self.alarms.set(last, task)
        try:
            link = await self.kept(ident, waits) or await self.link(ident, dial_until)
            if not isinstance(link, Link):
                alarm.off()
                return Ended(f.NOTHING, link)
            while catching := self.facade.turned():
                await asyncio.wait([catching])
            # A dial takes time: the address may be another's by now.
            if f.clock() >= until or not link.stands() or not wanted():
                why = f.VOID
            else:
                reached = f.PART
                request = write()
                if sending:
                    sending()
                await self.loop.sock_sendall(link.sock, request)
                cut = None
                if upload:
                    alarm.off()
                    cut = await self.pump(link, upload, seq)
                    last = self.loop.time() + upload.left / 1000
                    alarm = self.alarms.set(last, task)
                if cut == f.VOID:
                    alarm.off()
                    link.close()
                    return Ended(f.PART, f.VOID)
                reached = f.PART if cut else f.WHOLE
                wire = link.wire
                while not wire.whole and not wire.flowing():
                    if wire.unmeasured() and wire.message.size:
                        # Nobody said how long it is: where it pauses, it is passed on as it comes.
                        if not await wire.waited(self.rest_time):
                            answer = wire.message
                            break
                    else:
                        await wire.fill()
                    if wire.fault:
                        break
                    if wire.begun:
                        # What has begun is written: if the rest stays out, its length was a wrong one.
                        reached = f.BEGUN
                        alarm.off()
                        rest = last if wire.unmeasured() else self.loop.time() + self.rest_time
                        alarm = self.alarms.set(min(last, rest), task)
                # Noise behind a whole answer doesn't spoil it: its one length says where it ends.  With two
                # lengths nobody knows; the parser refuses that at the head, so it never counts as whole.
                if answer := answer or wire.flowing():
                    reached = f.BEGUN
                elif wire.whole:
                    answer, reached = wire.whole.pop(0), f.BEGUN
                elif wire.fault != http1.CLOSED:
                    why = f.SPOILT
        except OSError:
            pass
        except asyncio.CancelledError:
            task.uncancel()  # it goes on: whoever it is a part of was not meant
            why = f.WITHDRAWN if not alarm.rang else f.SPOILT if reached == f.BEGUN and f.clock() < until else f.LATE
        except Exception as fault:  # whatever it was, it has ended, and may have run
            warn("exchange", "failed: {!r}", fault)
            reached = f.WHOLE
        alarm.off()
        if answer and upload and not upload.whole:
            answer.keep = False  # it came before all of the request had gone out: what is left there is no answer
        if answer and not answer.done:
            answer.link = Download(link, answer)  # whoever passes it on, or has no use for it, lets go of it
        elif link and (answer or why == f.VOID):
            link.done(why == f.VOID or answer.keep)
        elif link:
            link.give_up()
        # Withdrawn or late half way through writing: nobody knows whether the last byte went out, unless it has
        # not even come.
        if reached == f.PART and why in (f.LATE, f.WITHDRAWN) and not (upload and not upload.whole):
            reached = f.WHOLE
        return Ended(reached, why, answer)

    async def post(self, errand, seq, ident, opening, body, inline=False):
        """One posting, from the order to its report; `opening` is its head but for the time that is left.
        Whether the task that carries the txn, and came with it (`inline`), was relieved of that meanwhile."""
        began, upload = f.clock(), body if isinstance(body, Upload) else None

        def write():
            start = upload.start() if upload else body
            acted = errand.acted[seq] if errand.acted else b""
            return b"%b%bX-Budget-Ms: %d\r\n\r\n%b" % (opening, acted, max(1, errand.ends - f.clock()), start)

        def wanted():
            return self.facade.goes_on(errand, seq, ident) and (not upload or upload.claim(seq))

        ended = await self.exchange(
            ident,
            errand.ends,
            wanted,
            write,
            upload,
            seq,
            waits=True,
            sending=lambda: self.facade.sent(errand, seq, ident),
            # Given up past half of its time a request is given up too late (protocol).
            dial_until=min((errand.began + errand.ends) / 2, began + 2000 * self.rest_time),
        )
        if upload and not upload.bound:
            upload.release(seq)  # it is all there still: another may have it
        elif upload and upload.began:
            began = upload.began  # until then the client took the time
        why, load, answer = ended.why, (), ended.answer
        if answer:
            load = self.load(answer.header(b"x-load-report"))
            rejected = answer.status in (503, 504) and answer.header(b"x-rejected") == b"1"
            why = f.SERVED if answer.status == 200 else f.REJECTED if rejected else f.ERRED
        relieved = inline and errand.relief is None
        if inline:
            errand.relief = None  # back: what the report orders needs nobody else
        used = False
        try:
            used = self.facade.report(errand, seq, ended.reached, why, f.clock() - began, load, answer)
        except Exception as fault:  # a decision that failed ends no more than its own part
            logger.opt(exception=True).error("posting failed: {!r}", fault)
            used = errand.over  # its answer is under way all the same
        if answer and answer.link and (not used or errand.abandoned):
            answer.link.close()
        return relieved

    async def probes(self):
        while True:
            _, ident = await self.facade.pick(self.facade.probing)
            self.spawn(self.probe(ident))

    async def probe(self, ident):
        # It waits for no connection to have rested: it would pass for unanswered, and does no harm with another's answer.
        began = f.clock()
        ended = await self.exchange(
            ident,
            began + self.dial_time,
            lambda: self.facade.stands(ident),
            lambda: http1.request(b"GET", self.status, [(b"Host", b"backend.local")]),
        )
        why, load = ended.why, ()
        if ended.answer:
            why = f.SERVED if ended.answer.status == 200 else f.ERRED
            load = self.load(ended.answer.body())
            if ended.answer.link:
                ended.answer.link.close()
        self.facade.report_probe(ident, ended.reached, why, f.clock() - began, load)

    def spawn(self, work):
        return self.adopt(self.loop.create_task(work))

    def adopt(self, task):
        """Keeps a task from being collected until it has ended."""
        self.tasks.add(task)
        task.add_done_callback(self.ended)
        return task

    def ended(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            logger.opt(exception=task.exception()).error("posting or probe failed: {!r}", task.exception())

    def load(self, text):
        """A load report's figures in the order of the settings; none if it is not what it should be."""
        if not text or not self.fields:
            return ()
        if (load := self.loads.get(text)) is not None:
            return load  # few figures in a report: most have been read before
        try:
            said = json.loads(text)
            load = [float(said[name]) for name in self.fields]
            if all(math.isfinite(figure) for figure in load):
                if len(self.loads) >= LOADS:
                    self.loads.clear()
                self.loads[text] = load
                return load
        except (ValueError, TypeError, KeyError, RecursionError):
            pass
        warn("load report", "not understood, ignored: {!r}", text[:80])
        return ()

    async def sweep(self):
        """Close kept connections before their backend does."""
        while True:
            await asyncio.sleep(self.idle_limit / 8)
            for links in list(self.idle.values()):
                for link in list(links):
                    if not link.usable():
                        link.close()
