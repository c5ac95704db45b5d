"""What a process of a run saw, recorded: one JSON line an event, with the machine's monotonic time.

A recorder stands where a rehearsal's judge stands: stand-ins ask it what a request costs, which every process knows by
itself (the requests of a run depend on plan and seed alone), and report to it what happened.  The verdict comes later, from
all records together.
"""

import asyncio
import io
import pathlib
from collections.abc import Callable, Iterable
from random import Random
from time import monotonic
from typing import Any

import msgspec

from sloeferry.fault_testing.plan import Plan
from sloeferry.fault_testing.recorded_events import Event
from sloeferry.rehearsal.judge import Ask, arrivals
from sloeferry.rehearsal.scenario import Scheme
from sloeferry.stand_ins.effect_log import Ledger
from sloeferry.stand_ins.http_messages import content

LATENESS_CHECK_SECONDS = 0.02  # between two looks at how late a process runs
BUFFER_BYTES = 1 << 18
ID_CHARACTERS = 16  # of a request: the number of its call, in hexadecimal, and of the attempt of its client
CALL_NUMBER_CHARACTERS = 12

RecordedEvent = list[Any]  # loop time, word, fields


def call_number(ident: str | bytes) -> int:
    """The number of the call that a request belongs to; ValueError where there is none in it."""
    return int(ident[:CALL_NUMBER_CHARACTERS], 16)


class EventRecorder(Ledger):
    """Writes the record of one process; `clock` gives its loop's time, in seconds."""

    def __init__(self, plan: Plan, seed: int, path: pathlib.Path | str, clock: Callable[[], float]):
        self.plan = plan
        self.path = path
        self.asks = arrivals(plan, Random(f"{seed}/arrivals"))
        self.begin = 0.0  # loop time at which the run began
        self.slack = plan.obligations.slack_ms / 1000
        self._clock = clock
        self._file = io.BufferedWriter(io.FileIO(path, "wb"), BUFFER_BYTES)

    def note(self, at: float, event: Event, *fields: Any) -> None:
        """Records an event; `at` is loop time."""
        # A loop's own time is that of its pass, in whole ms: the order of events is by the machine's clock.
        self._file.write(msgspec.json.encode((monotonic(), at, event, *fields)) + b"\n")

    def watch_lateness(self, loop: asyncio.AbstractEventLoop, role: str, due_at: float | None = None) -> None:
        """Records how late this process runs, whenever it does, from now on."""
        if self._file.closed:  # what the loop still had to call when this process ended
            return
        if due_at is not None and (late_seconds := loop.time() - due_at) > LATENESS_CHECK_SECONDS:
            self.note(loop.time(), Event.PROCESS_LATE, role, late_seconds * 1000)
        next_check_at = loop.time() + LATENESS_CHECK_SECONDS
        loop.call_later(LATENESS_CHECK_SECONDS, self.watch_lateness, loop, role, next_check_at)

    def close(self) -> None:
        """Ends the record."""
        self._file.close()

    # What stand-ins ask

    def ask(self, ident: bytes) -> Ask | None:
        """The call that a request belongs to."""
        try:
            number = call_number(ident) if len(ident) == ID_CHARACTERS else -1
        except ValueError:
            return None
        return self.asks[number] if 0 <= number < len(self.asks) else None

    def scheme(self, ident: bytes) -> Scheme | None:
        """Its request class."""
        ask = self.ask(ident)
        return self.plan.scheme[ask.scheme] if ask else None

    def work(self, ident: bytes) -> float:
        """What it costs an idle backend of one core, in ms."""
        return self.ask(ident).work

    def bad(self, ident: bytes) -> bool:
        """Whether it errs at any backend."""
        return self.ask(ident).bad

    def body_size(self, ident: bytes) -> int:
        """Bytes of its body."""
        request_class = self.scheme(ident)
        return request_class.body if request_class.kind != "repeatable" else 0

    # What callers report

    def asked(self, ident: bytes, ask: Ask, proxy: str, now: float, ends: float) -> None:
        """A request is being written; `ends` is its deadline."""
        self.note(now, Event.REQUEST_BEGAN, ident.decode(), proxy, ends)

    def sent(self, ident: bytes, now: float, ends: float) -> None:
        """Its last byte was written."""
        self.note(now, Event.REQUEST_SENT, ident.decode(), ends)

    def answered(self, ident: bytes, now: float, status: int, body: bytes) -> str:
        """A complete response came; the outcome, in the word that records have for it."""
        is_own = status != 200 or body == ident.ljust(self.answer_size(ident))
        self.note(now, Event.RESPONSE_RECEIVED, ident.decode(), status, is_own)
        if status == 200:
            return "settled"
        return "declined" if status in (429, 503) else "reversed"

    def unheard(self, ident: bytes) -> bool:
        """Whether it crossed the end of its connection is known only once all records are there: not sent again."""
        self.note(self._clock(), Event.IDLE_CLOSE_CROSSED, ident.decode())
        return False

    def lost(self, ident: bytes, now: float, why: str) -> str:
        """No response came."""
        self.note(now, Event.RESPONSE_MISSING, ident.decode(), why)
        return "lost"

    def ended(self, ask: Ask, how: str, now: float) -> None:
        """A call ended, after all the requests that its client made of it."""
        ask.how = how
        ask.ended = now
        self.note(now, Event.CALL_ENDED, ask.number, how, ask.first, ask.tries)

    # What backends report

    def got(self, node: str, ident: bytes | None, body: bytes, now: float) -> None:
        """A complete request came: its body has to be the one that its client sent."""
        if ident is not None and self.scheme(ident) and body != content(ident, self.body_size(ident)):
            self.breach("protocol", now, f"{node} got a body of {len(body)} bytes that is not {ident.decode()}'s own")

    def posted(self, node: str, zone: str, ident: bytes, since: float) -> None:
        """A complete request came, its first byte at `since`."""
        self.note(self._clock(), Event.ATTEMPT_RECEIVED, node, zone, ident.decode(), since)

    def acted(self, node: str, ident: bytes, said: bytes, now: float) -> None:
        """Under which versions its proxy says to have sent it."""
        self.note(now, Event.ATTEMPT_VERSIONS, node, ident.decode(), said.decode("latin-1"))

    def ran(self, node: str, ident: bytes, now: float) -> None:
        """Its work began."""
        self.note(now, Event.ATTEMPT_RAN, node, ident.decode())

    def choked(self, node: str) -> None:
        """A long queue makes a backend slow."""
        self.note(self._clock(), Event.BACKEND_CHOKED, node)

    def fell(self, node: str, now: float, warmth: float, sent: Iterable[tuple[float, float, bytes]]) -> None:
        """A backend that warms up was pushed over by `sent`: when, work in ms, id."""
        self.note(now, Event.BACKEND_FELL_OVER, node, warmth, [(at, work, ident.decode()) for at, work, ident in sent])

    def breach(self, rule: str, now: float, text: str) -> None:
        """A rule that a stand-in saw broken."""
        self.note(now, Event.RULE_BROKEN, rule, text)

    # What discovery and the run report

    def told(self, proxy: str, node: str, phase: str, now: float, launched: int = 0) -> None:
        """A proxy is notified of an endpoint; `launched`: Unix time of its start, in ms."""
        self.note(now, Event.ENDPOINT_NOTIFIED, proxy, node, phase, launched)

    def listed(self, proxy: str, revision: int, now: float) -> None:
        """A list or a change of it was written to a proxy."""
        self.note(now, Event.LIST_WRITTEN, proxy, revision)

    def published(self, node: str, phase: str, now: float) -> None:
        """Discovery knows of an endpoint's phase."""
        self.note(now, Event.ENDPOINT_PUBLISHED, node, phase)

    def started(self, node: str, now: float, launched: int) -> None:
        """A backend starts again."""
        self.note(now, Event.BACKEND_STARTED, node, launched)

    def was_killed(self, proxy: str, now: float) -> None:
        """A proxy was killed on purpose."""
        self.note(now, Event.PROXY_KILLED, proxy)

    def crashed(self, proxy: str, now: float, how: str) -> None:
        """A proxy ended by itself."""
        self.note(now, Event.PROXY_CRASHED, proxy, how)

    def stopped(self, proxy: str, now: float, until: float) -> None:
        """A proxy's process or machine stands still."""
        self.note(now, Event.PROXY_STOPPED, proxy, until)


def read_events(paths: Iterable[pathlib.Path | str]) -> list[RecordedEvent]:
    """All events of those records, in the order in which they were recorded."""
    entries = []
    for path in paths:
        with open(path, "rb") as file:
            for line in file:
                try:
                    entries.append(msgspec.json.decode(line))
                except msgspec.DecodeError:
                    break  # its writer was killed in the middle of a line
    entries.sort(key=lambda entry: entry[0])
    return [entry[1:] for entry in entries]
