"""Recorder of the events that one process of a run observes: one JSON line per event, with the machine's monotonic time.

A recorder takes the place of a rehearsal's judge: stand-ins query it for the cost of a request and report events to it.
Every process can compute the cost, since the requests of a run depend only on plan and seed.  The verdict is derived
afterwards from the records of all processes.

A request is a `PlannedRequest`; each time its client sends it is a try, with an id of its own.
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
from sloeferry.stand_ins.http_messages import make_request_body
from sloeferry.stand_ins.rules import Rule
from sloeferry.stand_ins.run_observer import RecentWork, RunObserver
from sloeferry.stand_ins.wire_protocol import STATUS_OK, RequestKind, RequestOutcome, outcome_of_status

LAG_CHECK_SECONDS = 0.02  # interval of the event-loop lag check
BUFFER_BYTES = 1 << 18
# A request id is the number of the request in hexadecimal, followed by the number of the try.
ID_CHARACTERS = 16
REQUEST_NUMBER_CHARACTERS = 12

RecordedEvent = list[Any]  # loop time, event name, fields


def request_number(request_id: str | bytes) -> int:
    """Return the number of the request that an id belongs to; raises ValueError if the id holds no number."""
    return int(request_id[:REQUEST_NUMBER_CHARACTERS], 16)


class EventRecorder(RunObserver):
    """A recorder that writes the events of one process to a file; `clock` returns its loop time in seconds."""

    def __init__(self, plan: Plan, seed: int, path: pathlib.Path | str, clock: Callable[[], float]):
        self.plan = plan
        self.path = path
        self.planned_requests = plan_requests(plan, Random(f"{seed}/arrivals"))
        self.began_at = 0.0  # loop time of the start of the run
        self.slack_seconds = plan.obligations.slack_ms / 1000
        self._clock = clock
        self._file = io.BufferedWriter(io.FileIO(path, "wb"), BUFFER_BYTES)

    def note(self, at: float, event: Event, *fields: Any) -> None:
        """Record an event; `at` is loop time."""
        # Loop time is cached once per iteration, in whole ms: events are ordered by the machine's monotonic clock.
        self._file.write(msgspec.json.encode((monotonic(), at, event, *fields)) + b"\n")

    def monitor_loop_lag(self, loop: asyncio.AbstractEventLoop, role: str, due_at: float | None = None) -> None:
        """Record the event-loop lag of this process whenever it exceeds LAG_CHECK_SECONDS, until the record is closed."""
        if self._file.closed:  # a timer that was still scheduled when the record was closed
            return
        if due_at is not None and (late_seconds := loop.time() - due_at) > LAG_CHECK_SECONDS:
            self.note(loop.time(), Event.PROCESS_LATE, role, late_seconds * 1000)
        next_check_at = loop.time() + LAG_CHECK_SECONDS
        loop.call_later(LAG_CHECK_SECONDS, self.monitor_loop_lag, loop, role, next_check_at)

    def close(self) -> None:
        """Flush and close the record."""
        self._file.close()

    # Queries of stand-ins

    def planned_request(self, request_id: bytes) -> PlannedRequest | None:
        """Return the request that an id belongs to; None if the id is not one of this run."""
        try:
            number = request_number(request_id) if len(request_id) == ID_CHARACTERS else -1
        except ValueError:
            return None
        return self.planned_requests[number] if 0 <= number < len(self.planned_requests) else None

    def request_class(self, request_id: bytes) -> RequestClass | None:
        """Return the class of a request; None if its id is not one of this run."""
        planned = self.planned_request(request_id)
        return self.plan.request_classes[planned.class_index] if planned else None

    def work_ms(self, request_id: bytes) -> float:
        """Return the service time of a request at an idle backend with one core, in ms."""
        return self.planned_request(request_id).work_ms

    def always_fails(self, request_id: bytes) -> bool:
        """Return True if every backend answers a request with an error."""
        return self.planned_request(request_id).always_fails

    def body_bytes(self, request_id: bytes) -> int:
        """Return the size of a request's body; idempotent requests have none."""
        request_class = self.request_class(request_id)
        return request_class.body_bytes if request_class.kind != RequestKind.IDEMPOTENT else 0

    # Reports of clients

    def request_started(self, request_id: bytes, planned: PlannedRequest, proxy: str, now: float, deadline: float) -> None:
        """Record that a client starts to write a try."""
        self.note(now, Event.REQUEST_BEGAN, request_id.decode(), proxy, deadline)

    def request_written(self, request_id: bytes, now: float, deadline: float) -> None:
        """Record that a client has written the last byte of a try."""
        self.note(now, Event.REQUEST_SENT, request_id.decode(), deadline)

    def response_received(self, request_id: bytes, now: float, status: int, body: bytes) -> RequestOutcome:
        """Record a complete response and return the outcome that its status means."""
        is_own = status != STATUS_OK or body == request_id.ljust(self.response_bytes(request_id))
        self.note(now, Event.RESPONSE_RECEIVED, request_id.decode(), status, is_own)
        return outcome_of_status(status)

    def may_send_again(self, request_id: bytes) -> bool:
        """Record a possible race with the close of an idle connection, and return False.

        Only the joined records show whether the try raced the close, so the client does not send the request again.
        """
        self.note(self._clock(), Event.IDLE_CLOSE_RACED, request_id.decode())
        return False

    def response_missing(self, request_id: bytes, now: float, reason: str) -> RequestOutcome:
        """Record that a try got no response, and return its outcome."""
        self.note(now, Event.RESPONSE_MISSING, request_id.decode(), reason)
        return RequestOutcome.UNANSWERED

    def request_ended(self, planned: PlannedRequest, outcome: RequestOutcome, now: float) -> None:
        """Record the end of a request, after all its tries."""
        planned.outcome = outcome
        planned.ended_at = now
        self.note(now, Event.CALL_ENDED, planned.number, outcome, planned.first_sent_at, planned.try_count)

    # Reports of backends

    def body_received(self, backend_id: str, request_id: bytes | None, body: bytes, now: float) -> None:
        """Record a violation if the body of a complete request is not the one that its client sent."""
        if (
            request_id is not None
            and self.request_class(request_id)
            and body != make_request_body(request_id, self.body_bytes(request_id))
        ):
            self.rule_violated(
                Rule.PROTOCOL,
                now,
                f"{backend_id} received a body of {len(body)} bytes, which is not {request_id.decode()}'s body",
            )

    def attempt_received(self, backend_id: str, zone: str, request_id: bytes, sent_at: float) -> None:
        """Record that a backend received a complete request, whose first byte arrived at `sent_at`."""
        self.note(self._clock(), Event.ATTEMPT_RECEIVED, backend_id, zone, request_id.decode(), sent_at)

    def acted_on_received(self, backend_id: str, request_id: bytes, versions: bytes, now: float) -> None:
        """Record the versions of settings and endpoint list that the proxy reports to have acted on."""
        self.note(now, Event.ATTEMPT_VERSIONS, backend_id, request_id.decode(), versions.decode("latin-1"))

    def request_ran(self, backend_id: str, request_id: bytes, now: float) -> None:
        """Record that a backend started to process a request."""
        self.note(now, Event.ATTEMPT_RAN, backend_id, request_id.decode())

    def congestion_began(self, backend_id: str) -> None:
        """Record that a long queue starts to slow a backend down."""
        self.note(self._clock(), Event.BACKEND_CONGESTED, backend_id)

    def backend_overloaded(self, backend_id: str, now: float, capacity_ratio: float, recent: Iterable[RecentWork]) -> None:
        """Record that the work in `recent` overloaded a backend during its warm-up."""
        self.note(
            now,
            Event.BACKEND_OVERLOADED,
            backend_id,
            capacity_ratio,
            [(at, work, request_id.decode()) for at, work, request_id in recent],
        )

    def rule_violated(self, rule: str, now: float, text: str) -> None:
        """Record a rule violation that a stand-in detected."""
        self.note(now, Event.RULE_VIOLATED, rule, text)

    # Reports of discovery and of the driver

    def proxy_notified(self, proxy: str, backend_id: str, state: str, now: float, started_at_ms: int = 0) -> None:
        """Record that discovery notifies a proxy of an endpoint; `started_at_ms` is the Unix time of its start."""
        self.note(now, Event.ENDPOINT_NOTIFIED, proxy, backend_id, state, started_at_ms)

    def list_sent(self, proxy: str, revision: int, now: float) -> None:
        """Record that discovery wrote an endpoint list, or a change of it, to a proxy."""
        self.note(now, Event.LIST_WRITTEN, proxy, revision)

    def state_published(self, backend_id: str, state: str, now: float) -> None:
        """Record that discovery lists an endpoint in that state."""
        self.note(now, Event.ENDPOINT_PUBLISHED, backend_id, state)

    def backend_started(self, backend_id: str, now: float, started_at_ms: int) -> None:
        """Record that a backend was started again."""
        self.note(now, Event.BACKEND_STARTED, backend_id, started_at_ms)

    def proxy_killed(self, proxy: str, now: float) -> None:
        """Record that a proxy was killed by a fault."""
        self.note(now, Event.PROXY_KILLED, proxy)

    def proxy_crashed(self, proxy: str, now: float, reason: str) -> None:
        """Record that a proxy exited unexpectedly."""
        self.note(now, Event.PROXY_CRASHED, proxy, reason)

    def proxy_stopped(self, proxy: str, now: float, until: float) -> None:
        """Record that a proxy is stopped until that loop time."""
        self.note(now, Event.PROXY_STOPPED, proxy, until)


def read_events(paths: Iterable[pathlib.Path | str]) -> list[RecordedEvent]:
    """Return all events of those records, in the order in which they were recorded."""
    entries = []
    for path in paths:
        with open(path, "rb") as file:
            for line in file:
                try:
                    entries.append(msgspec.json.decode(line))
                except msgspec.DecodeError:
                    break  # the writing process was killed in the middle of a line
    entries.sort(key=lambda entry: entry[0])
    return [entry[1:] for entry in entries]
