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
from sloeferry.rehearsal.arrivals import PlannedRequest, plan_requests
from sloeferry.rehearsal.scenario_tables import RequestClass
from sloeferry.stand_ins.effect_log import EffectLog, RecentWork
from sloeferry.stand_ins.http_messages import make_request_body
from sloeferry.stand_ins.rules import Rule
from sloeferry.stand_ins.wire_protocol import STATUS_OK, RequestKind, RequestOutcome, outcome_of_status

LAG_CHECK_SECONDS = 0.02  # between two looks at how late a process runs
BUFFER_BYTES = 1 << 18
ID_CHARACTERS = 16  # of a request: the number of its call, in hexadecimal, and of the attempt of its client
CALL_NUMBER_CHARACTERS = 12

RecordedEvent = list[Any]  # loop time, word, fields


def call_number(request_id: str | bytes) -> int:
    """The number of the call that a request belongs to; ValueError where there is none in it."""
    return int(request_id[:CALL_NUMBER_CHARACTERS], 16)


class EventRecorder(EffectLog):
    """Writes the record of one process; `clock` gives its loop's time, in seconds."""

    def __init__(self, plan: Plan, seed: int, path: pathlib.Path | str, clock: Callable[[], float]):
        self.plan = plan
        self.path = path
        self.planned_requests = plan_requests(plan, Random(f"{seed}/arrivals"))
        self.began_at = 0.0  # loop time at which the run began
        self.slack_seconds = plan.obligations.slack_ms / 1000
        self._clock = clock
        self._file = io.BufferedWriter(io.FileIO(path, "wb"), BUFFER_BYTES)

    def note(self, at: float, event: Event, *fields: Any) -> None:
        """Records an event; `at` is loop time."""
        # A loop's own time is that of its pass, in whole ms: the order of events is by the machine's clock.
        self._file.write(msgspec.json.encode((monotonic(), at, event, *fields)) + b"\n")

    def monitor_loop_lag(self, loop: asyncio.AbstractEventLoop, role: str, due_at: float | None = None) -> None:
        """Records how late this process runs, whenever it does, from now on."""
        if self._file.closed:  # what the loop still had to call when this process ended
            return
        if due_at is not None and (late_seconds := loop.time() - due_at) > LAG_CHECK_SECONDS:
            self.note(loop.time(), Event.PROCESS_LATE, role, late_seconds * 1000)
        next_check_at = loop.time() + LAG_CHECK_SECONDS
        loop.call_later(LAG_CHECK_SECONDS, self.monitor_loop_lag, loop, role, next_check_at)

    def close(self) -> None:
        """Ends the record."""
        self._file.close()

    # What stand-ins ask

    def planned_request(self, request_id: bytes) -> PlannedRequest | None:
        """The call that a request belongs to."""
        try:
            number = call_number(request_id) if len(request_id) == ID_CHARACTERS else -1
        except ValueError:
            return None
        return self.planned_requests[number] if 0 <= number < len(self.planned_requests) else None

    def request_class(self, request_id: bytes) -> RequestClass | None:
        """Its request class."""
        planned = self.planned_request(request_id)
        return self.plan.request_classes[planned.class_index] if planned else None

    def work_ms(self, request_id: bytes) -> float:
        """What it costs an idle backend of one core, in ms."""
        return self.planned_request(request_id).work_ms

    def always_fails(self, request_id: bytes) -> bool:
        """Whether it errs at any backend."""
        return self.planned_request(request_id).always_fails

    def body_bytes(self, request_id: bytes) -> int:
        """Bytes of its body."""
        request_class = self.request_class(request_id)
        return request_class.body_bytes if request_class.kind != RequestKind.IDEMPOTENT else 0

    # What clients report

    def request_started(self, request_id: bytes, planned: PlannedRequest, proxy: str, now: float, deadline: float) -> None:
        """A request is being written."""
        self.note(now, Event.REQUEST_BEGAN, request_id.decode(), proxy, deadline)

    def request_written(self, request_id: bytes, now: float, deadline: float) -> None:
        """Its last byte was written."""
        self.note(now, Event.REQUEST_SENT, request_id.decode(), deadline)

    def response_received(self, request_id: bytes, now: float, status: int, body: bytes) -> RequestOutcome:
        """A complete response came; what it means."""
        is_own = status != STATUS_OK or body == request_id.ljust(self.response_bytes(request_id))
        self.note(now, Event.RESPONSE_RECEIVED, request_id.decode(), status, is_own)
        return outcome_of_status(status)

    def may_send_again(self, request_id: bytes) -> bool:
        """Whether it crossed the end of its connection is known only once all records are there: not sent again."""
        self.note(self._clock(), Event.IDLE_CLOSE_RACED, request_id.decode())
        return False

    def response_missing(self, request_id: bytes, now: float, reason: str) -> RequestOutcome:
        """No response came."""
        self.note(now, Event.RESPONSE_MISSING, request_id.decode(), reason)
        return RequestOutcome.UNANSWERED

    def request_ended(self, planned: PlannedRequest, outcome: RequestOutcome, now: float) -> None:
        """A call ended, after all the requests that its client made of it."""
        planned.outcome = outcome
        planned.ended_at = now
        self.note(now, Event.CALL_ENDED, planned.number, outcome, planned.first_sent_at, planned.try_count)

    # What backends report

    def body_received(self, backend_id: str, request_id: bytes | None, body: bytes, now: float) -> None:
        """A complete request came: its body has to be the one that its client sent."""
        if (
            request_id is not None
            and self.request_class(request_id)
            and body != make_request_body(request_id, self.body_bytes(request_id))
        ):
            self.violation(
                Rule.PROTOCOL, now, f"{backend_id} got a body of {len(body)} bytes that is not {request_id.decode()}'s own"
            )

    def attempt_received(self, backend_id: str, zone: str, request_id: bytes, sent_at: float) -> None:
        """A complete request came, its first byte at `sent_at`."""
        self.note(self._clock(), Event.ATTEMPT_RECEIVED, backend_id, zone, request_id.decode(), sent_at)

    def acted_on_received(self, backend_id: str, request_id: bytes, versions: bytes, now: float) -> None:
        """Under which versions its proxy says to have sent it."""
        self.note(now, Event.ATTEMPT_VERSIONS, backend_id, request_id.decode(), versions.decode("latin-1"))

    def request_ran(self, backend_id: str, request_id: bytes, now: float) -> None:
        """Its work began."""
        self.note(now, Event.ATTEMPT_RAN, backend_id, request_id.decode())

    def congestion_began(self, backend_id: str) -> None:
        """A long queue makes a backend slow."""
        self.note(self._clock(), Event.BACKEND_CONGESTED, backend_id)

    def backend_overloaded(self, backend_id: str, now: float, capacity_ratio: float, recent: Iterable[RecentWork]) -> None:
        """A backend that warms up was pushed over by `recent`."""
        self.note(
            now,
            Event.BACKEND_OVERLOADED,
            backend_id,
            capacity_ratio,
            [(at, work, request_id.decode()) for at, work, request_id in recent],
        )

    def violation(self, rule: str, now: float, text: str) -> None:
        """A rule that a stand-in saw broken."""
        self.note(now, Event.RULE_VIOLATED, rule, text)

    # What discovery and the run report

    def proxy_notified(self, proxy: str, backend_id: str, state: str, now: float, started_at_ms: int = 0) -> None:
        """A proxy is notified of an endpoint; `started_at_ms`: Unix time of its start."""
        self.note(now, Event.ENDPOINT_NOTIFIED, proxy, backend_id, state, started_at_ms)

    def list_sent(self, proxy: str, revision: int, now: float) -> None:
        """A list or a change of it was written to a proxy."""
        self.note(now, Event.LIST_WRITTEN, proxy, revision)

    def state_published(self, backend_id: str, state: str, now: float) -> None:
        """Discovery lists an endpoint in that state."""
        self.note(now, Event.ENDPOINT_PUBLISHED, backend_id, state)

    def backend_started(self, backend_id: str, now: float, started_at_ms: int) -> None:
        """A backend starts again."""
        self.note(now, Event.BACKEND_STARTED, backend_id, started_at_ms)

    def proxy_killed(self, proxy: str, now: float) -> None:
        """A proxy was killed on purpose."""
        self.note(now, Event.PROXY_KILLED, proxy)

    def proxy_crashed(self, proxy: str, now: float, reason: str) -> None:
        """A proxy ended by itself."""
        self.note(now, Event.PROXY_CRASHED, proxy, reason)

    def proxy_stopped(self, proxy: str, now: float, until: float) -> None:
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
