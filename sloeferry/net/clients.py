"""The clients: the listener, one connection each, /ready, and the way out after SIGTERM."""

import asyncio
import contextlib
import functools
import math
import re
import socket

from loguru import logger

from sloeferry import machine
from sloeferry.core import facade as f
from sloeferry.net import http1
from sloeferry.net.flow import Broken, Download, Upload
from sloeferry.net.lobby import Lobby
from sloeferry.net.log import warn

IDLE, CROWDED = 60.0, 2.0  # seconds between requests; where an eighth of the seats are taken
READING, SENDING = 3.0, 5.0  # seconds for a head, the first from connecting; for a slice of an answer to go
PACE = 32768  # bytes a second that a body brings at the least, over all of its time
OVERDUE, LOOK = 30.0, 0.01  # ms past a txn's expiry, when its answer waits for no decision; how often
LINGER, AT_MOST = 0.5, 16  # seconds that a refused sender has to read why, while so many reads last
STALE = 0.2  # seconds after which a quarter of the seats being idle is too many
# Seconds after SIGTERM: for connections (protocol; the last is still on its way then), then for what they ask.
STILL_COMING, LAST = 0.4 + f.SLACK / 1000, 0.2
# Seconds after SIGTERM, beside the longest expiry: the end may come from there on (protocol).
KILLED = 0.7 - f.SLACK / 1000
BACKLOG, AT_ONCE = 1024, 16  # connections: that wait outside, that are let in in a row
PASSES = 3  # of the loop: until what was there to be read is read
PAUSE = 0.01  # seconds until a full table is tried again
METHODS = (b"GET", b"POST", b"PUT", b"PATCH", b"DELETE")
OURS = http1.HOP | {b"x-budget-ms"}  # of a request, what a backend is told anew
REFUSALS = {http1.MALFORMED: 400, http1.UNWANTED: 400, http1.TOO_LARGE: 413, http1.OVERDUE: 408}
# A whole request in its plainest form, which may be turned away unparsed; whatever else comes is parsed first.
PLAIN = re.compile(rb"(?:GET|POST) /[!-~]* HTTP/1\.1\r\n(?:[!#-'*+.0-9A-Z^-z|~-]+:[\t -~]*\r\n)+\r\n")
SAID = re.compile(
    rb"(?i)\r\n(x-call-class|x-caller|x-again|x-budget-ms|content-length|transfer-encoding|expect"
    rb"|connection):[ \t]*([^\r]*?)[ \t]*(?=\r\n)"
)
ENTITY = re.compile(rb"(?:^|,)[ \t]*entity=([!-+.-~]{1,64})[ \t]*(?=,|$)")  # a txn's key: any short word
ODD = {b"transfer-encoding", b"expect", b"connection"}
KEPT_BACK = http1.HOP | {b"x-load-report", b"x-rejected"}  # of an answer, what is not the client's


def spelt(names):
    """Names as clients may write them in a header: in UTF-8 or, as HTTP once had it, in Latin-1.  None for another: by
    one sign for all letters that Latin-1 lacks two schemes would be one."""
    old = {}
    for name, at in names.items():
        with contextlib.suppress(UnicodeEncodeError):
            old[name.encode("latin-1")] = at
    return old | {name.encode("utf-8", "replace"): at for name, at in names.items()}


class Guest:
    """One client's connection: what it asks, one txn after the other."""

    def __init__(self, clients, sock):
        self.clients, self.sock, self.loop = clients, sock, clients.loop
        self.wire = http1.Wire(clients.loop, sock, clients.buffers, answers=False, wanted=clients.wanted, glance=self.glance)
        self.errand, self.busy, self.fresh, self.ended, self.barred = None, False, True, False, 0.0
        self.sending, self.enrolled, self.overdue, self.waited = None, False, False, 0.0
        self.reading, self.lingered, self.ident = False, False, None  # ident: of its open txn
        self.outside = None  # since when it may have waited, with others, to be let in
        self.since = machine.monotonic()  # it connected, was answered, or began to ask again
        self.upload = self.download = self.pulling = None  # a body on its way; since when it is waited for
        clients.guests[self] = None  # in the order they came, not a set's, which is chance's
        self.task = self.loop.create_task(self.serve())

    async def serve(self, carried=None):
        """All requests of this connection, one after the other; `carried` is one under way, taken over."""
        keep = True
        try:
            if carried:
                keep = await self.reply(carried[1], await self.carry(*carried))
            while keep:
                keep = await self.one()
            if keep is False and self.wire.fault != http1.CLOSED and not http1.quiet(self.sock):
                await self.linger()  # it has sent more than was answered
        except OSError:  # the client has gone, or takes nothing more
            keep = False
        except Exception as fault:  # exceptions stop here: this connection ends, no other
            logger.opt(exception=True).error("connection failed: {!r}", fault)
            keep = False
        finally:
            if keep is not None:  # relieved, it is another's by now
                self.end()

    async def one(self):
        """The next request and its answer; whether another may follow, None if another task sees to that."""
        wire = self.wire
        # Nothing is read while a txn is out: two bodies for each client would not fit the memory.
        while not wire.whole and not wire.fault and not wire.flowing():
            if self.clients.done_with(self):
                return False
            begun = wire.begun
            self.clients.seats.rest(self, self.turn_out, self.fresh, begun)
            if not begun and self.clients.facade.door.shut() and not self.clients.duty.leaving:
                await self.clients.lobby.park(self)
                if wire.whole or wire.fault or wire.begun:  # read there already
                    self.clients.seats.wake(self)
                    continue
            try:
                self.reading = True
                came = await wire.fill()
            except asyncio.CancelledError:
                if not self.overdue or self.ended:
                    raise
                self.task.uncancel()
                came = wire.fault = http1.OVERDUE
            finally:
                self.reading = False
            self.clients.seats.wake(self)  # something came, if not a whole request: not idle
            if not wire.whole:  # its last byte is yet to come, and its time runs from that
                self.outside = None
            if came is http1.DISMISSED:
                return await self.dismiss()
            if wire.begun and not begun and not self.fresh:
                self.since = machine.monotonic()  # for all of it, or drops would hold it for ever
            if wire.begun and wire.message.expects and not wire.fault:
                wire.message.expects = False
                await self.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        if not wire.whole and not wire.flowing():
            known = wire.message.method in METHODS or wire.fault != http1.UNWANTED
            return await self.refuse(REFUSALS.get(wire.fault) if known else 405)
        message, self.busy, self.fresh = wire.whole.pop(0) if wire.whole else wire.message, True, False
        waited, self.waited = max(self.waited, self.clients.turned()), 0.0
        if self.outside is not None:
            # Not known to the ms: half of its time at the most, or a door long crowded would turn all away.
            most = message.asks[2] / 2 if message.asks else 0.0
            waited, self.outside = max(waited, min(most, f.clock() - self.outside)), None
        if waited and message.asks and message.asks[2] <= waited:
            # Its time went by while this program stood still: the door turns it away, whatever it could take.
            scheme, tenant, _ = message.asks
            message.barred = self.clients.facade.bars(scheme, tenant, message.header(b"x-again") == b"1", True)
        if message.barred is not None:  # more than its body was to be read, or it was no plain one
            self.barred = message.barred
            return await self.dismiss(self.keeps(message))
        return await self.reply(message, await self.answer(message, waited))

    async def reply(self, message, said):
        """Writes the answer; whether another request may follow."""
        if said is None:
            return None
        status, body, headers = said
        if 400 <= status < 500:  # whoever asks so once does it again: not on a connection that is kept
            return await self.refuse(status)
        keep = self.keeps(message)
        if isinstance(body, Download):
            keep = await self.pass_on(message, body, headers, keep)
        else:
            await self.send(http1.answer(status, body, headers, keep))
        if not message.done:
            await self.linger()  # answered before all of its body had come
        self.busy, self.since = False, machine.monotonic()
        return keep

    def keeps(self, message):
        """Whether the connection goes on behind the answer to `message`.  One that has been read already is taken: who
        sends clients away ends the connection behind the last of these, not before it (rule 1)."""
        wire = self.wire
        return message.keep and message.done and not wire.fault and bool(wire.whole or not self.clients.duty.sends_away())

    async def pass_on(self, message, download, headers, keep):
        """An answer as it comes.  Where its backend breaks off the client can tell: the connection ends before
        the length that was said, or without the last chunk; to one that knows neither it is reset."""
        self.download, framing = download, download.framing(message.old)
        keep = keep and bool(framing)
        try:
            await self.send(http1.answer(200, b"", headers, keep, framing))
            await download.pass_on(self, message.old)
            return keep
        except Broken:
            warn("answer", "broke off on its way: {}", download.link.wire.fault)
            if not framing:
                http1.reset(self.sock)
            return False
        finally:
            self.download = None
            download.close()

    async def pull(self):
        """More of a body that is on its way; how long its client takes for it is looked at by the sweep."""
        self.pulling = machine.monotonic()
        try:
            await self.wire.fill()
        finally:  # given up meanwhile it waits for nothing: its answer may be long
            self.pulling = None

    def glance(self, buffer, n, last=False):
        """Before anything is parsed, while the door may be shut: whether a plain request is turned away here,
        as it is for certain where it has waited for too long (`last`)."""
        clients = self.clients
        if not clients.facade.door.shut() or clients.duty.leaving:
            return False
        text = bytes(memoryview(buffer)[:n])
        head = PLAIN.match(text)
        if not head:
            return False
        said = {}
        for name, value in SAID.findall(text, 0, head.end() - 2):
            if (name := name.lower()) in said or name in ODD:
                return False  # said twice, or framed otherwise: for the parser to judge
            said[name] = value
        length, budget = said.get(b"content-length", b"0"), said.get(b"x-budget-ms", b"")
        scheme, tenant = clients.schemes.get(said.get(b"x-call-class")), clients.tenant(said.get(b"x-caller"))
        if (
            scheme is None
            or tenant is None
            or not budget.isdigit()
            or not length.isdigit()
            or len(length) > 9
            or head.end() + int(length) != n
        ):
            return False
        pause = clients.facade.bars(scheme, tenant, said.get(b"x-again") == b"1", last)
        if pause is None:
            clients.passed = True  # asked and let in: not asked again once it is parsed
            return False
        self.barred = pause
        return True

    async def dismiss(self, keep=True):
        """Turned away before it was taken on."""
        self.fresh = False
        await self.send(http1.answer(503, headers=self.clients.pause_of(self.barred), keep=keep))
        self.busy, self.since = False, machine.monotonic()
        return keep

    async def refuse(self, status):
        """The last word to one that can't be read or is not wanted; nothing of what it sent goes on."""
        if status:
            message = self.wire.message
            warn(
                "refused",
                "{} {}: {!r} {!r} {!r}",
                status,
                self.wire.fault or "",
                message.method,
                message.url[:80],
                message.headers[:12],
            )
            await self.send(http1.answer(status, keep=False))
            await self.linger()
        return False

    async def answer(self, message, waited=0.0):
        """Status, body and headers for one request."""
        if message.asks is None:  # /ready
            return 200 if self.clients.duty.ready() else 503, b"", ()
        ident = message.header(b"x-call-id")
        if other := self.clients.open_ids.get(ident):
            if not other.gone():  # another txn's: backends and clients would take one for the other
                return 409, b"", ()
            self.clients.facade.report_left(other.errand)  # its client comes again, and nobody had seen it leave
        self.clients.open_ids[ident], self.ident = self, ident
        try:
            errand = self.errand = self.clients.taken(message, waited)
        except Exception as fault:
            return self.failed(fault)
        errand.gone = self.gone
        opening = http1.opening(
            message.method, message.url, message.passed_on(OURS), message.size if message.done else message.length
        )
        self.upload = None if message.done else Upload(self, message, self.clients.facade, errand)
        return await self.carry(errand, message, opening, {})

    def failed(self, fault):
        # In a few words: a stall brings many at once, and their stacks would make it longer.
        warn("txn", "failed: {!r}", fault)
        self.drop()
        return 504, b"", ()

    def gone(self):
        """Whether the client has left, by what the machine knows now."""
        return self.ended or machine.ended(self.sock)

    def let_go(self):
        """Its txn, if it had one, is none of this connection's any more."""
        errand, self.errand = self.errand, None
        if self.clients.open_ids.get(self.ident) is self:  # else another has come under that id
            del self.clients.open_ids[self.ident]
        return errand

    def drop(self):
        """Nobody is left who waits for its txn: what was ordered for it ends here, what is out runs to its end."""
        if errand := self.let_go():
            try:
                for answer in self.clients.facade.abandon(errand):
                    if answer.link:
                        answer.link.close()
            except Exception as fault:  # a decision that failed must not keep a connection from its end
                warn("txn", "dropped: {!r}", fault)

    async def carry(self, errand, message, opening, out):
        """One txn to its end; None if another task has taken it over meanwhile."""
        said = None
        try:
            said = await self.txn(errand, message, opening, out)
        except Exception as fault:
            return self.failed(fault)
        except BaseException:  # the connection ends, and with it what it asked
            self.drop()
            raise
        if said is not None:
            self.let_go()
        return said

    def relieve(self, *carried):
        """Orders have come while this connection's own task is out with a posting: another one takes them."""
        self.clients.backends.adopt(self.task)
        self.task = self.loop.create_task(self.serve(carried))

    async def txn(self, errand, message, opening, out):
        """Carries out the orders for one txn until one of them ends it."""
        facade, backends, body = self.clients.facade, self.clients.backends, self.upload or message.body()
        while True:
            order, *what = errand.orders.popleft() if errand.orders else await facade.pick(errand)
            if order == f.POST:
                seq, ident = what
                if out or errand.orders:
                    out[seq] = backends.spawn(backends.post(errand, seq, ident, opening, body))
                    continue
                # The only one: this task sees to it itself.  Most txns have no more, and a task for each posting
                # costs as much as its writing; whatever is ordered before it is back calls another task.
                out[seq] = self.task
                errand.relief = functools.partial(self.relieve, errand, message, opening, out)
                if await backends.post(errand, seq, ident, opening, body, inline=True):
                    return None
                out.clear()
            elif order == f.WITHDRAW:
                await asyncio.sleep(0)  # a task cancelled before its first step would never report
                if what[0] in out:
                    out[what[0]].cancel()
            elif order == f.SETTLE:
                answer = what[0]
                return 200, answer.link or answer.body(), answer.passed_on(KEPT_BACK)
            elif order == f.DECLINE:
                return 503, b"", self.clients.pause_of(what[0])
            else:
                return 504, b"", ()

    async def send(self, data):
        self.sending = machine.monotonic()  # the sweep looks at it: a timer for each answer costs more than the answer
        await self.loop.sock_sendall(self.sock, data)
        self.sending = None

    def hurry(self):
        """Half a request, and its time is over.  It is told so: closed without a word, one whose last byte is on
        its way would be lost (rule 1).  Only where it waits to read: cancelled while it writes, an answer of its own
        would break off half way."""
        if self.reading and not self.overdue:
            self.overdue = True
            self.task.cancel()

    async def linger(self):
        """Closed over unread bytes, a socket resets, and the answer is lost with it.  Few at a time do so, and
        not for long: they hold seats, and one with 60 MB to send would take the time of all others."""
        if self.lingered or self.clients.lingering >= self.clients.seats.most // 8:
            return
        self.lingered, self.clients.lingering = True, self.clients.lingering + 1
        buffer = self.clients.buffers.take()
        try:
            self.sock.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(LINGER):
                for _ in range(AT_MOST):
                    if not await self.loop.sock_recv_into(self.sock, buffer):
                        break
        finally:
            self.clients.lingering -= 1
            self.clients.buffers.give(buffer)

    def turn_out(self):
        """Ends the connection from outside: its seat is needed, or nothing more of its body comes.  Half a request is
        told so: its last byte may be on its way, and closed without a word it would be lost (rule 1)."""
        if self.wire.begun and not self.sending and not self.download:
            with contextlib.suppress(OSError):
                self.sock.send(http1.answer(408, keep=False))
        self.end()

    def end(self):
        """Closes the connection, also from outside."""
        if self.ended:
            return
        if self.errand and not (self.errand.over or self.wire.begun or self.wire.fault or machine.ended(self.sock)):
            self.clients.facade.closing(self.errand)
        self.ended = True
        current, carries = asyncio.current_task(), self.errand and self.errand.relief
        if carries:  # its task is out with its posting, and would take a cancel for a word to that
            self.errand.relief = None
            self.clients.backends.adopt(self.task)
        elif current is not self.task:
            self.task.cancel()
        self.drop()
        if self.upload and self.upload.task not in (None, current, None if carries else self.task):
            self.upload.task.cancel()  # it reads from the connection that ends
        self.clients.guests.pop(self, None)
        if self.enrolled:
            self.clients.lobby.leave(self)
        self.clients.seats.wake(self)
        self.clients.seats.give()
        self.wire.close()
        self.sock.close()


class Clients:
    def __init__(self, loop, facade, berth, seats, buffers, backends, duty):
        self.loop, self.facade, self.seats, self.buffers = loop, facade, seats, buffers
        self.backends, self.duty, self.guests = backends, duty, {}
        self.open_ids, self.lingering, self.passed = {}, 0, False  # open_ids: whose each is
        self.lobby = Lobby(loop, facade, buffers)
        self.turn, self.late = f.clock(), 0.0  # when this loop last turned; for how long it just stood still, in ms
        self.stalled = 0  # so many more who wait outside may have come while this loop stood still
        self.crowd = None  # since when more wait outside than are let in in a row
        self.left = False  # it leaves, and who never asked has had his time
        self.killed = math.inf  # by then (ms) whatever is taken has its answer
        self.inherited, self.listening = berth.inherited, False
        self.retune(berth)
        self.sock = None

    def retune(self, berth):
        """The settings, at the start and as they are from now on."""
        self.schemes, self.tenants = (spelt(berth.named(what)) for what in ("schemes", "tenants"))
        self.keyed = {at for at in self.schemes.values() if berth.terms[f"schemes.{at}.idempotency"] == "referenced"}
        self.warm_keys = berth.terms["family_info.warm_keys"]
        self.expiry = {at: berth.terms[f"schemes.{at}.expiry"] for at in self.schemes.values()}
        # Heads that were read under the former settings and are not taken yet: a scheme may be gone, or want a key
        # that the client had no cause to send.  Turned away unsent, it may ask anew (rule 2).
        for guest in self.guests:
            for message in guest.wire.untaken():
                if message.asks and not self.wanted(message):
                    message.barred = message.asks[2] if berth.terms["limits.retry_after"] else 0.0

    def figures(self):
        """What operators are told beside the state."""
        return {"connections": len(self.guests), "open": sum(guest.busy for guest in self.guests)}

    def tenant(self, name):
        """The customer of that name; the only one there is, whatever it is called, where none are named."""
        return self.tenants.get(name) if self.tenants else 0

    def wanted(self, message):
        """Whether a head is that of a request which can be taken, or /ready; what it asks is noted on it."""
        passed, self.passed = self.passed, False
        if message.method not in METHODS:
            return False
        if message.method == b"GET" and message.url.partition(b"?")[0] == b"/ready":
            return True
        said = message.named.get
        scheme, budget = self.schemes.get(said(b"x-call-class")), said(b"x-budget-ms") or b""
        tenant = self.tenant(said(b"x-caller"))
        if (
            scheme is None
            or tenant is None
            or not said(b"x-call-id")
            or not said(b"host")
            or not (budget.isdigit() and len(budget) < 10 and int(budget))
            or scheme in self.keyed
            and not said(b"idempotency-key")
        ):
            return False
        message.asks = scheme, tenant, min(float(budget), self.expiry[scheme])
        if not passed and self.facade.door.shut() and not self.duty.leaving:
            message.barred = self.facade.bars(scheme, tenant, said(b"x-again") == b"1")
        return True

    @staticmethod
    def pause_of(ms):
        return [(b"Retry-After", b"%.3f" % (ms / 1000))] if ms else ()

    def taken(self, message, waited=0.0):
        """The errand of a request; `waited`: for how long it lay unread while this program stood still, in ms."""
        scheme, tenant, left = message.asks
        left -= waited
        if message.done:  # one read ahead of its turn has waited here already
            left -= (machine.monotonic() - message.at) * 1000
        key = self.warm_keys and ENTITY.search(message.header(b"x-call-info") or b"")
        return self.facade.take(
            scheme, tenant, self.in_time(left), message.header(b"x-again") == b"1", key[1].decode("latin-1") if key else 0
        )

    def in_time(self, left):
        """Of so many ms from now those in which a txn has to be answered.  Of one whose last byte comes late after
        SIGTERM the time may last longer than this process: SIGKILL would find it unanswered (rule 1)."""
        return max(1.0, min(left, self.killed - f.clock()))

    # The listener

    def bind(self, address):
        """Takes the address, or the socket that the platform holds there; why not, if it can't be had."""
        try:
            if self.inherited is None:
                self.sock = self.sock or machine.tcp()
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                self.sock.bind(address)
                self.sock.listen(BACKLOG)
            else:
                self.sock = machine.inherited(self.inherited)
        except OSError as fault:
            return fault

    def open(self):
        """Takes in whoever connects, where that is this process's to do."""
        if self.sock and self.sock.fileno() >= 0 and not self.listening and not self.left and self.duty.accepts():
            self.listening = True
            self.loop.add_reader(self.sock, self.accept)

    def attend(self):
        """Whether to take in who connects may have changed."""
        self.open() if self.duty.accepts() else self.hush()

    def hush(self):
        """Takes in nobody; those who connect wait outside, for this process or another."""
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.sock)

    def shut(self):
        self.hush()
        # A socket that others hold too stays open until this process ends: closed while it is looked at, epoll would
        # go on telling of it for ever, and nobody could stop it.
        if self.sock and self.inherited is None:
            self.sock.close()

    def accept(self, most=AT_ONCE):
        """Those for whom there is no seat wait outside; whether nobody does any more.  Of a crowd the last may have
        asked long before they are let in, and their clients' time runs from then (rule 1): a request that is there with
        its connection counts as waiting since the crowd was first met."""
        for _ in range(most):
            if not self.seats.take():
                self.crowd = self.crowd or f.clock()
                self.pause()
                return False
            try:
                sock, _ = self.sock.accept()
            except OSError as fault:
                self.seats.give()
                if isinstance(fault, BlockingIOError):
                    self.crowd, self.stalled = None, 0
                    return True
                if not isinstance(fault, ConnectionAbortedError):
                    warn("accept", "{}", fault)
                    self.pause()
                return False
            if not http1.let_in(sock):
                self.seats.give()
                continue
            guest = Guest(self, sock)
            if not self.stalled:
                guest.outside = self.crowd
                continue
            guest.waited = f.clock() - self.crowd
            self.stalled -= 1
            if not self.stalled:  # whoever stood outside then has been let in
                self.crowd = f.clock()
        self.crowd = self.crowd or f.clock()
        return False

    def pause(self):
        self.hush()
        self.loop.call_later(PAUSE, self.open)

    async def sweep(self):
        """Ends connections that have been idle, or half way through a request, for too long."""
        while True:
            await asyncio.sleep(READING / 10)
            most = CROWDED if len(self.guests) > self.seats.most / 8 else IDLE
            for guest in list(self.guests):
                now, wire = machine.monotonic(), guest.wire
                owed = READING + wire.message.size / PACE * wire.begun if guest.fresh or wire.begun else most
                if guest.sending and now > guest.sending + SENDING:
                    guest.end()
                elif guest.pulling and now > guest.pulling + READING:
                    guest.turn_out()
                elif guest.download and not guest.sending and guest.download.stalled(now):
                    guest.end()
                elif not guest.busy and not guest.wire.whole and machine.monotonic() > guest.since + owed:
                    guest.hurry() if guest.wire.begun else guest.end()
            if self.duty.lets_go(f.clock()):
                self.nudge()
            # Some ask once and stay for good; those who let clients connect allow them only so many.
            idle = list(self.seats.idle.items())
            for guest, (since, end) in idle[: max(0, len(idle) - self.seats.most // 4)]:
                if machine.monotonic() - since > STALE and http1.quiet(guest.sock):
                    end()

    async def backstop(self):
        """Looks after those whose txn is out: the client may have gone meanwhile, and should the decisions
        fail, which answer before expiry, it is answered all the same."""
        while True:
            await asyncio.sleep(LOOK)
            self.facade.turned()
            self.turned()
            now = f.clock()
            for guest in list(self.guests):
                # Most are answered before the first look: a look at a socket costs as much as a small read.
                if guest.errand and not guest.errand.over and now > guest.errand.began + 1000 * LOOK:
                    if now > guest.errand.ends + OVERDUE:
                        warn("txn", "no answer decided in time")
                        self.facade.report_left(guest.errand)
                    elif guest.gone():
                        self.facade.report_left(guest.errand)

    def turned(self):
        """This loop turns; for how long it just stood still, if it did (ms).  Said by whoever comes first, a timer or
        one who has read a request: of the two either may come first when the machine goes on."""
        now = f.clock()
        late, self.turn = now - self.turn - 1000 * LOOK, now
        if self.facade.door.stood(late):
            self.late = late
            self.stood(late)
            self.backends.spawn(self.past())
        return self.late

    async def past(self):
        """What had come by the time it went on has been read by now."""
        for _ in range(PASSES):
            await asyncio.sleep(0)
        self.late = 0.0

    def stood(self, late):
        """This program got no time for so long (ms).  What lies unread has waited for most of it, and its client's
        time runs from when it was sent: taken for new, it would be sent on past its expiry (rule 1)."""
        for guest in self.guests:
            guest.waited = 0.0 if guest.busy or http1.quiet(guest.sock) else late
        if not self.duty.leaving:
            before = dict(self.guests)  # not how many: who comes in may push out another who idles
            self.accept(BACKLOG)  # those who came meanwhile
            for guest in self.guests:
                if guest not in before:
                    guest.waited = late
            if self.crowd is not None:  # there was no room for all: who is let in later has waited for as long, too
                self.crowd, self.stalled = self.crowd - late, BACKLOG

    # The way out

    def close(self):
        self.shut()
        for guest in list(self.guests):
            guest.end()

    def done_with(self, guest):
        """Sent away, whether an idle connection may end.  One that never asked has a little time; and so have all
        while another process takes over: each one ended from this side may cross a request."""
        if guest.wire.begun:
            return False
        asked = not guest.fresh or machine.monotonic() > guest.since + STILL_COMING
        if not (
            self.left
            or asked
            and (self.duty.leaving and not self.duty.companions and not guest.fresh or self.duty.lets_go(f.clock()))
        ):
            return False
        return http1.quiet(guest.sock)  # else a request, or an end, is there to be read

    async def leave(self):
        """Takes what still comes for a while, ends what is idle, waits for the rest."""
        self.duty.leave()  # asks who else is there
        self.killed = f.clock() + max(self.expiry.values()) + 1000 * KILLED
        logger.info("{}, {} connections", self.duty.state(len(self.guests)), len(self.guests))
        if not self.duty.accepts():
            self.hush()  # whoever connects now is the other process's
        self.nudge()
        await asyncio.sleep(STILL_COMING)
        # What the machine has accepted and nobody has fetched yet is reset with the listener: with a full table it
        # waits for seats, for as long as any of it can be in time.
        until = machine.monotonic() + max(self.expiry.values()) / 1000
        while self.duty.accepts() and not self.accept(BACKLOG) and machine.monotonic() < until:
            self.nudge()
            await asyncio.sleep(PAUSE)
        self.shut()
        await asyncio.sleep(LAST)
        self.left = True
        while self.guests:
            self.nudge()
            await asyncio.sleep(PAUSE)

    def nudge(self):
        """Ends those that wait for a request, if none will be taken any more."""
        for guest in list(self.guests):
            if not guest.busy and not guest.wire.whole and self.done_with(guest):
                guest.end()
