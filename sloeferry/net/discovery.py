"""The list of backends: a watch on discovery, whenever the decisions ask for one."""

import asyncio
import contextlib
import math
import socket
from dataclasses import dataclass
from email.utils import parsedate_to_datetime

from loguru import logger

from sloeferry.core import facade as f
from sloeferry.core.staleness import CallEnd
from sloeferry.net import http1
from sloeferry.net.log import warn
from sloeferry.net.values import Values

PHASES = {"active": "ready", "leaving": "draining", "left": "gone"}
SILENCE = 2.5  # seconds; a watch says something every 2 s
WAITED = 0.25  # of a call's patience: discovery that ends it sooner is there, and has no time
AWAY = 0.5  # of it: a call that waits on with no byte of an answer is taken for an outage's
PASSES, MOST_PASSES = 5, 1000  # of the loop: until what was there to be read is taken in; and no more
SHORT = 40.0  # ms: a shorter grace than that paces no dials
LOGGED = 20  # backends named in the log line of a list, at the most
LINE = 1 << 22  # the longest list that is read, in characters


@dataclass
class Call:
    """One call for the list, from its dial to its end.  Times are ms of `facade.clock`."""

    number: int  # in the log
    began: float
    tried: float  # when its last dial began, or its request was written
    dialled: bool = False  # whether a socket was to be had at all
    connected: bool = False
    answered: bool = False  # whether anything of an answer with status 200 came
    presumed: bool = False  # whether its wait has been looked at once
    told: bool = False  # whether it brought its list: a watch from then on
    silent_since: float | None = None  # when it was last heard, if it was given up as silent

    def end(self, now: float, patience: float) -> CallEnd:
        """How it failed, for one that brought no list; `patience` is for how long (ms) a call may take."""
        if not self.dialled:
            return CallEnd.NOT_MADE
        if not self.connected:
            return CallEnd.UNREACHABLE
        if self.answered or now - self.tried < WAITED * patience:
            return CallEnd.REFUSED
        return CallEnd.UNANSWERED


class Discovery:
    def __init__(self, loop, facade, berth, seats, buffers, backends, duty, careful=False):
        self.duty = duty  # told once a list is at hand
        self.loop, self.facade, self.backends = loop, facade, backends
        self.seats, self.buffers = seats, buffers
        # Of the start, for as long as it runs: what is known counts by their places.
        self.address, self.zones, self.kinds = berth.discovery, berth.places("zones"), berth.places("kinds")
        self.pushed = berth.terms["discovery"] != "subscribe"
        self.retune(berth)
        self.known, self.revision, self.standing = {}, None, False
        self.watching = self.former = None  # the watch, and after a move the one before until this stands
        self.socks = {}  # of the watches that stand or begin: after a move there are two
        self.calls = 0  # so many were begun: each call's number in the log
        self.witness = None  # where versions are kept account of
        # Where changes come unasked, what was told before this process began binds it from its first moment (rule 3):
        # the list as last held is no list until it is known that there is none to be had.
        self.held = berth.known if self.pushed else None
        if berth.known and not self.pushed:
            self.take(berth.known, cached=True)
            # A bank that restarts as one asks a discovery that has no time for all: who knows whom to send to
            # serves on that, under rule 3 as ever, and calls when its turn comes.
            # A process that takes over has another that serves meanwhile, and hears the list itself first.
            if not careful and any(line[4] == "ready" for line in self.known.values()):
                self.duty.list_came()

    def retune(self, berth):
        """The settings, at the start and as they are from now on.  How long a call may take is a quarter of what a list
        may be old, and never longer than a watch may be silent: before its first list it is none yet."""
        self.patience = min(berth.terms["obligations.must_ask_in"] / 4, SILENCE * 1000)
        self.dial_time = self.pause = berth.terms["limits.dial_timeout"]
        if self.pushed:
            # What the agent has counts as told, watch or no watch: a dial and the pause behind it are over, and a list
            # is read, within the grace that a drain has.
            grace = max(SHORT, berth.terms["obligations.drain_grace"])
            self.dial_time, self.pause = min(self.dial_time, grace / 2), min(self.pause, grace / 4)

    async def run(self):
        """One watch at the start, without being asked, where no list is at hand: until it is in, no client is
        sent here.  Then one whenever one is wanted; where changes come unasked, always."""
        if self.pushed or not self.duty.listed:
            self.watching = self.loop.create_task(self.watch())
        while True:
            await self.facade.pick(self.facade.listing)
            if not self.watching or self.watching.done():
                self.watching = self.loop.create_task(self.watch())
            elif self.standing:  # it stands already, and all it said has been passed on
                self.facade.report_list(False, ())

    def late(self):
        """The list has not come in the time there is: the one as last held has to do, under rule 3 as ever."""
        if self.held:
            self.take(self.held, cached=True)
        if self.known:
            self.duty.list_came()

    def told(self):
        """The list as it is known, in discovery's form."""
        zones, kinds = ({at: name for name, at in names.items()} for names in (self.zones, self.kinds))
        phases = {ours: theirs for theirs, ours in PHASES.items()}
        return {
            "revision": self.revision or 0,
            "complete": True,
            "members": [
                {
                    "id": ident,
                    "host_port": "{}:{}".format(*self.backends.addresses[ident]),
                    "locality": zones.get(zone, zone),
                    "flavor": kinds.get(kind, kind),
                    "cell": cell,
                    "phase": phases[standing],
                    "size": share,
                    "up_since_ms": started,
                }
                for ident, zone, kind, cell, standing, share, started in self.known.values()
                if ident in self.backends.addresses
            ],
        }

    def move(self, address):
        """Discovery is somewhere else: the whole list is asked for there, since its revisions are its own.
        Until that has come the former watch goes on telling; after several moves, the one that still stands."""
        if address == self.address:
            return
        logger.info("discovery moves to {}:{}", *address)
        self.address = address
        self.again()

    def again(self):
        """The whole list is asked for on another watch; the one that stands goes on telling until that has come."""
        self.revision = None
        self.facade.report_moved()
        if self.standing:
            self.former = self.watching
        elif self.watching:
            self.watching.cancel()
        self.standing = False
        self.watching = self.loop.create_task(self.watch())

    async def watch(self):
        """One watch, from its dial to its end; its end is a failed call."""
        self.calls += 1
        began, why = f.clock(), "no connection"
        call = Call(self.calls, began, began)
        logger.info("call {} for the list begins, at {}:{}, after revision {}", call.number, *self.address, self.revision)
        try:
            sock = await self.dial(call)
            if sock:
                self.socks[sock] = True
                try:
                    why = await self.lines(sock, call)
                finally:
                    del self.socks[sock]
                    sock.close()
                    self.seats.give()
        except Exception as fault:  # never the end of the program: the list as known goes on serving
            why = repr(fault)
        self.ended(call, why)
        if asyncio.current_task() is not self.watching:
            return  # its successor is on its way, and will say how that went
        self.standing = False
        self.late()
        self.duty.list_came()
        if call.told and call.silent_since is None:
            self.facade.report_no_watch()
        else:
            self.facade.report_no_list()
        if self.pushed:  # the newest: a former one may stand on, and tells nothing of the new place
            self.loop.call_later(self.pause / 1000, self.facade.watch)

    def ended(self, call, why):
        """A call or watch has ended: what that tells of the list's age."""
        now, current = f.clock(), asyncio.current_task() is self.watching
        logger.info("call {} ended after {:.0f} ms: {}", call.number, now - call.began, why)
        if call.silent_since is not None:
            self.facade.report_silent(call.silent_since)
        elif call.told:
            if current or not self.standing:  # else its successor has told the list meanwhile
                self.facade.report_watch_ended()
        elif current:
            self.facade.report_call_failed(call.end(now, self.patience), call.began, call.tried)

    async def catch_up(self):
        """This program stood still: goes on until what discovery wrote meanwhile is read and taken in."""
        quiet = 0  # turns in a row: what was read last is yet to be taken in
        for _ in range(MOST_PASSES):
            await asyncio.sleep(0)
            quiet = quiet + 1 if all(http1.quiet(sock) for sock in self.socks) else 0
            if quiet > PASSES:
                return

    async def dial(self, call):
        """Dials again and again for as long as a call may take: one that never arrived cost discovery nothing,
        and after a cut every second without the list is one in which drains go unheard (rule 3).  Where one may have
        been missed nothing is sent from some time on, and it dials until it is through: a pause between two calls would
        go on when the cut is over."""
        if not self.seats.take():
            return None
        until, sock = self.loop.time() + self.patience / 1000, None
        try:
            while not (sock := await self.dial_once(call)):
                self.late()
                if call.dialled and asyncio.current_task() is self.watching:
                    self.facade.report_call_waiting(call.began, call.tried)
                if self.loop.time() >= until and not self.facade.unheard():
                    return None
                await asyncio.sleep(self.pause / 1000)
            call.connected = True
            return sock
        finally:
            if not sock:
                self.seats.give()

    async def dial_once(self, call):
        """One dial; None if no connection came up.  What this machine can't do tells nothing of discovery."""
        call.tried = f.clock()
        try:
            sock = await http1.dial(self.loop, self.address, self.dial_time)
        except OSError as fault:
            warn("dial", "discovery: {}", fault)
            call.dialled = False
            return None
        call.dialled = True
        return sock

    async def lines(self, sock, call):
        """Take what comes, list by list, until it ends; why it did."""
        values, came, alive = Values(), [], False

        def stream(message, data):
            nonlocal alive
            if message.status == 200:
                if not call.answered:
                    self.told_time(message)
                call.answered = True
                came.extend(values.feed(data))
                alive = alive or b"\n" in data and not values.held

        wire = http1.Wire(self.loop, sock, self.buffers, answers=True, stream=stream)
        after = "" if self.revision is None else f"&index={self.revision}"
        host = "{}:{}".format(*self.address).encode()
        ask = http1.request(b"GET", f"/v1/endpoints?stream=1{after}".encode(), [(b"Host", host)])
        try:
            # A call waits its turn at discovery; a watch that stands says something now and then.
            due = self.loop.time() + self.patience / 1000
            async with asyncio.timeout_at(due):
                await self.loop.sock_sendall(sock, ask)
            heard = call.tried = f.clock()
            while not wire.fault and not wire.whole and len(values.held) < LINE:
                if not await self.waited(wire, due, call):
                    # After this program stood still the time is over before anything is read: what lies there is
                    # news, and dropped with the watch it would be heard only when the next one stands (rule 3).
                    if http1.quiet(sock):
                        call.silent_since = heard
                        return "silent"
                    due = self.loop.time() + SILENCE
                alive = alive or bool(came)
                while came:
                    call.told = self.take(came.pop(0), call.number) or call.told
                # A sign of life, an empty line or what can't be read, is one of a watch that has told its list and is
                # not half way through another.
                if alive and call.told:
                    due, heard = self.loop.time() + SILENCE, f.clock()
                    if asyncio.current_task() is self.watching:
                        self.facade.report_confirmed()
                    if self.witness:
                        self.witness.confirmed()
                alive = False
        except TimeoutError:
            call.silent_since = call.tried
            return "silent"
        except OSError as broken:
            return str(broken)
        finally:
            # It may know nothing of the version named, having begun anew: nothing would ever have changed after that.
            if not call.told and 200 <= wire.message.status < 500:
                self.revision = None
            wire.close()
        if values.held:
            warn("list", "cut short, ignored: {!r}", values.held[:120])
        return wire.fault or f"answered {wire.message.status}, ended"

    async def waited(self, wire, due, call):
        """Receives once, until `due`; whether anything came."""
        if not (call.answered or call.presumed):
            call.presumed = True
            away = call.tried + AWAY * self.patience
            if await wire.waited(max(0.0, (away - f.clock()) / 1000)):
                return True
            if asyncio.current_task() is self.watching and http1.quiet(wire.sock):
                self.facade.report_call_waiting(call.began, call.tried)
        return await wire.waited(max(0.0, due - self.loop.time()))

    def told_time(self, message):
        """What time discovery says it is, where it says so (RFC 9110, 6.6.1)."""
        if date := message.header(b"date"):
            with contextlib.suppress(ValueError, OverflowError):
                self.facade.report_time(parsedate_to_datetime(date.decode("latin-1")).timestamp() * 1000)

    def take(self, said, number=0, cached=False):
        """A list or what changed in it, in discovery's form, as call `number` brought it; whether it was one."""
        said = said if isinstance(said, dict) else {}
        revision, members = said.get("revision"), said.get("members")
        if not isinstance(revision, int) or not isinstance(members, list):
            warn("list", "not understood, ignored: {!r}", str(said)[:120])
            return False
        whole, lines = said.get("complete") is True, {}
        for member in members:
            line = self.member(member)
            if line:
                lines[line[0]] = line
        known = lines if whole else self.known | lines
        # Told while the watch stood, a start is news; what the first line brings may be of any age.
        news = {
            ident
            for ident, line in lines.items()
            if self.standing and not whole and (ident not in self.known or self.known[ident][6] != line[6])
        }
        ours = cached or asyncio.current_task() is self.watching
        if ours:
            self.revision = revision
        self.known, self.held = {ident: line for ident, line in known.items() if line[4] != "gone"}, None
        for ident in [ident for ident in self.backends.addresses if ident not in self.known]:
            self.backends.told(ident, None)
        self.log_list(number, revision, whole, lines)
        if ours and not cached:
            if self.former:  # its list is whole now
                self.former.cancel()
            self.former, self.standing = None, True
            self.duty.list_came()
        if self.witness:
            self.witness.listed(revision, self.known, None if cached else "discovery at {}:{}".format(*self.address))
        self.facade.report_list(whole, list(lines.values()), cached, news, ours)
        if ours and not cached:
            self.facade.report_confirmed()
        return True

    @staticmethod
    def log_list(number, revision, whole, lines):
        """One line a list: its source, its revision, and the backends that it says are to get nothing new."""
        source = f"call {number}" if number else "as last held"
        leaving = [f"{ident} {line[4]}" for ident, line in lines.items() if line[4] != "ready"]
        logger.info(
            "list taken in ({}): revision {}, {}, {} entries; {}",
            source,
            revision,
            "whole" if whole else "changes",
            len(lines),
            ", ".join(leaving[:LOGGED]) + (f" and {len(leaving) - LOGGED} more" if len(leaving) > LOGGED else "")
            or "none leaves",
        )

    def member(self, said):
        """One entry; one that can't be read stays as it was known."""
        ident = said.get("id") if isinstance(said, dict) else None
        if not isinstance(ident, str):
            return warn("list entry", "without an id, ignored: {!r}", str(said)[:120])
        try:
            standing = PHASES[said["phase"]]
            host, _, port = said["host_port"].rpartition(":")
            address = host, int(port)
            socket.inet_aton(host)
            share, started = float(said.get("size", 1.0)), float(said.get("up_since_ms") or 0)
            if not (host.count(".") == 3 and 0 < address[1] < 65536 and math.isfinite(share + started)):
                raise ValueError
            # One that the settings don't name stands for itself: two of them are not one zone (rule 2), and each proxy
            # tells them apart alike, whichever it met first.
            zone, kind = (
                places.get(name, str(name))
                for places, name in ((self.zones, said.get("locality")), (self.kinds, said.get("flavor")))
            )
            line = ident, zone, kind, int(said.get("cell", 0)), standing, share, started
        except (KeyError, TypeError, ValueError, AttributeError, OSError, OverflowError):
            warn("list entry", "not understood, ignored: {!r}", str(said)[:120])
            known, phase = self.known.get(ident), said.get("phase")
            if known is None or phase not in ("leaving", "left"):
                return known
            # What it says for certain holds: a drain must not go unheard for the sake of a spoilt address (rule 3).
            standing, address = PHASES[phase], self.backends.addresses.get(ident)
            line = *known[:4], standing, *known[5:]
        self.backends.told(ident, None if standing == "gone" else address)
        return line
