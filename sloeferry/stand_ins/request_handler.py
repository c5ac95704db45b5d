"""Handles the requests of a stand-in backend, from their arrival to their response.

Errors, lost messages and truncated responses are drawn here at random.
"""

import json
from collections.abc import Mapping
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from sloeferry.stand_ins import upload_plays, wire_protocol
from sloeferry.stand_ins.bad_clients import ID_PREFIX
from sloeferry.stand_ins.deduplication import DeduplicationStore
from sloeferry.stand_ins.http_messages import Message, make_response
from sloeferry.stand_ins.rules import Rule
from sloeferry.stand_ins.run_observer import RecentWork
from sloeferry.stand_ins.wire_protocol import RequestKind
from sloeferry.stand_ins.work_queue import Job

if TYPE_CHECKING:
    from sloeferry.rehearsal.scenario_tables import RequestClass
    from sloeferry.stand_ins.backend_connection import BackendConnection
    from sloeferry.stand_ins.backends import StandInBackend

# Multiple of its class's mean work that one request counts for at most in warm-up: proxies cannot know that it is heavier.
MAX_WORK_MULTIPLE = 2.0
HEALTH_CHECK_WORK_MS = 0.04
TRUNCATED_RESPONSE = b"HTTP/1.1 200 X\r\nContent-Le"
IDLE_REPORT = b'{"inflight":0,"queue":0,"util":0.0}'


class LinkFault(NamedTuple):
    """The fault of the link between a backend and a proxy."""

    loss_odds: float = 0.0  # probability that a request is lost; in half of the cases its response is lost instead
    delay_seconds: float = 0.0  # added in each direction


NO_LINK_FAULT = LinkFault()

BAD_CLIENT_ID_PREFIX = ID_PREFIX.encode()
UPLOAD_ID_PREFIX = upload_plays.ID_PREFIX.encode()
# Of the answers to bad clients, some of which read slowly.
LONG_RESPONSE_BYTES, LONG_RESPONSE_RATIO = 1_000_000, 0.2


class RequestHandler:
    """Handles the requests of one backend and makes its load reports."""

    def __init__(self, backend: "StandInBackend", deduplication_stores: Mapping[str, DeduplicationStore], rng: Random):
        self._backend = backend
        self._observer = backend.observer
        self._settings = backend.settings
        self._deduplication_stores = deduplication_stores
        self._rng = rng
        self._report = b""
        self._reported_at = 0.0

    # Arrival

    def receive(self, connection: "BackendConnection", message: Message, began_at: float) -> None:
        """Process a complete request whose first byte was received at `began_at`, in seconds; apply the fault of its link."""
        backend = self._backend
        request_id = message.fields.get(wire_protocol.REQUEST_ID)
        if request_id is not None and self._observer.request_class(request_id):
            self._observer.attempt_received(backend.backend_id, backend.zone, request_id, began_at)
            if wire_protocol.ACTED_ON in message.fields:
                versions = message.fields[wire_protocol.ACTED_ON]
                self._observer.acted_on_received(backend.backend_id, request_id, versions, backend.loop.time())
            fault = self._link_fault(request_id)
            if fault.loss_odds and self._rng.random() < fault.loss_odds / 2:
                return
            if fault.delay_seconds:
                backend.loop.call_later(fault.delay_seconds, backend.request_arrived, connection, message)
                return
        backend.request_arrived(connection, message)

    def handle(self, connection: "BackendConnection", message: Message, received_at: float) -> None:
        """Handle a request; its last byte was received at `received_at`, which is in the past if the backend was stalled."""
        backend = self._backend
        path = message.first_line.split(b" ")[1]
        if path in (wire_protocol.LOAD_PATH, wire_protocol.HEALTH_PATH):
            self._observer.health_check_received(backend.backend_id, HEALTH_CHECK_WORK_MS)
            connection.respond(make_response(200, self.load_report() if path == wire_protocol.LOAD_PATH else b""))
            return
        request_id = message.fields.get(wire_protocol.REQUEST_ID, b"")
        if request_id.startswith(BAD_CLIENT_ID_PREFIX):
            body_bytes = LONG_RESPONSE_BYTES if self._rng.random() < LONG_RESPONSE_RATIO else 0
            connection.respond(make_response(200, bytes(body_bytes)))
            return
        if request_id.startswith(UPLOAD_ID_PREFIX):
            connection.upload_received()
            return
        request_class = self._observer.request_class(request_id)
        if request_class is None:
            text = f"{backend.backend_id} received a request with an unknown id: {request_id!r}"
            self._observer.rule_violated(Rule.PROTOCOL, backend.loop.time(), text)
            connection.respond(make_response(400))
            return
        # An error response does not tell whether the request ran: half of the errors are sent at once, half after all the work.
        if self._observer.always_fails(request_id) or backend.error_odds and self._rng.random() < backend.error_odds / 2:
            connection.respond(make_response(500, b"", self._report_header()))
            return
        work_ms = self._observer.work_ms(request_id)
        if self._crash_if_overloaded(request_id, min(work_ms, MAX_WORK_MULTIPLE * request_class.work_ms)):
            return
        if self._backend.in_flight() >= self._settings.cores * (1 + self._settings.queue_per_core):
            self.reject(connection)
            return
        job = Job(request_id, work_ms, connection)
        if not self._answer_if_repeat(job, message, request_class, received_at):
            backend.work.add(job)

    def _crash_if_overloaded(self, request_id: bytes, work_ms: float) -> bool:
        """Crash the backend, without scheduling a restart, if its warm-up gets too much work; return whether it crashed."""
        backend = self._backend
        now = backend.loop.time()
        if not backend.warm_up.add_work(RecentWork(now, work_ms, request_id)):
            return False
        capacity_ratio = backend.warm_up.capacity_ratio(now)
        self._observer.backend_overloaded(backend.backend_id, now, capacity_ratio, backend.warm_up.recent_work())
        backend.crash()
        return True

    def _answer_if_repeat(self, job: Job, message: Message, request_class: "RequestClass", received_at: float) -> bool:
        """Answer a repeat of a known idempotency key, or let it wait for the first request; return whether it is one."""
        if request_class.kind != RequestKind.DEDUPLICATED:
            return False
        # The window is measured at the time of arrival, so that a stall of the backend does not make a repeat too late.
        job.key_entry, is_repeat = self._deduplication_stores[request_class.deduplication_group].look_up(
            message.fields.get(wire_protocol.IDEMPOTENCY_KEY), received_at, request_class.deduplication_window_ms / 1000
        )
        if is_repeat and job.key_entry.is_done:
            self._respond(job.connection, job.request_id)
        elif is_repeat:
            job.key_entry.wait(job.connection, job.request_id)
        return is_repeat

    # Response

    def reject(self, connection: "BackendConnection") -> None:
        """Reject a request that has not run."""
        connection.respond(make_response(503, b"", wire_protocol.REJECTED_HEADER + self._report_header()))

    def job_done(self, job: Job) -> None:
        """Answer a request that is done, and the repeats that have waited for it."""
        if job.key_entry is not None:
            for waiting in job.key_entry.finish():
                self._respond(waiting.connection, waiting.request_id)
        self._respond(job.connection, job.request_id)

    def _link_fault(self, request_id: bytes) -> LinkFault:
        """Return the fault of the link to the proxy that sent the request."""
        link_faults = self._backend.link_faults
        if not link_faults:
            return NO_LINK_FAULT
        return link_faults.get(self._observer.proxy_of(request_id), NO_LINK_FAULT)

    def _respond(self, connection: "BackendConnection", request_id: bytes) -> None:
        fault = self._link_fault(request_id)
        if fault.loss_odds and self._rng.random() < fault.loss_odds / 2:
            return  # the request ran, but its response is lost
        if fault.delay_seconds:
            self._backend.loop.call_later(fault.delay_seconds, self._respond_now, connection, request_id)
        else:
            self._respond_now(connection, request_id)

    def _respond_now(self, connection: "BackendConnection", request_id: bytes) -> None:
        if self._backend.error_odds and self._rng.random() < self._backend.error_odds / 2:
            connection.respond(make_response(500, b"", self._report_header()))
            return
        if self._backend.truncation_odds and self._rng.random() < self._backend.truncation_odds:
            connection.truncate(TRUNCATED_RESPONSE)
            return
        self._backend.served_count += 1
        body = request_id.ljust(self._observer.response_bytes(request_id))
        connection.respond(make_response(200, body, self._report_header()))

    def _report_header(self) -> bytes:
        return b"X-Load-Report: %b\r\n" % self.load_report()

    def load_report(self) -> bytes:
        """Return the load report; it is updated once per report interval."""
        backend = self._backend
        now = backend.loop.time()
        if backend.report_override == "idle":
            return IDLE_REPORT
        is_expired = backend.report_override != "stuck" and now - self._reported_at >= self._settings.report_interval_ms / 1000
        if not self._report or is_expired:
            values = {
                "inflight": backend.in_flight(),
                "queue": len(backend.work.waiting),
                "util": round(len(backend.work.running) / self._settings.cores, 2),
            }
            self._report = json.dumps(values, separators=(",", ":")).encode()
            self._reported_at = now
        return self._report
