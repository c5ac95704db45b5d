"""Turns the bench's frames into calls of one `Policy` per instance, without shared state or decisions of its own."""

import sys
from collections.abc import Sequence

from sloeferry.bench_adapter import protocol
from sloeferry.bench_adapter.protocol import US_PER_MS, Event, ProtocolError
from sloeferry.bench_adapter.replies import BenchHost, FrameBuilder
from sloeferry.config.settings_reader import build_settings, flatten_lines
from sloeferry.policy.interface import AttemptOutcome, EndpointEntry, EndpointState, ListScope
from sloeferry.policy.policy import Policy


class Adapter:
    """Handles the bench's frames, one after the other."""

    def __init__(self):
        self._replies = FrameBuilder()
        self._policies: dict[int, Policy] = {}
        self._tables: dict[int, Sequence[EndpointEntry]] = {}
        self._body = b""  # of the current frame
        self._tail_offset = 0
        self._now = 0.0
        self._instance: int | None = None  # to which the current records belong
        self._handlers = {
            Event.ENDPOINTS_LISTED: self._endpoints_listed,
            Event.REQUEST_ARRIVED: self._request_arrived,
            Event.RESPONSE_STARTED: self._response_started,
            Event.ATTEMPT_ENDED: self._attempt_ended,
            Event.CLIENT_LEFT: self._client_left,
            Event.TIMER_FIRED: self._timer_fired,
            Event.HEALTH_CHECK_ENDED: self._health_check_ended,
            Event.PEER_MESSAGE: self._peer_message,
        }

    def handle_frame(self, body: bytes) -> bytes:
        """Return the reply to one frame; raise ProtocolError if the frame is malformed."""
        header_bytes = protocol.FRAME_IN_HEADER.size
        if len(body) < header_bytes:
            raise ProtocolError(f"frame of {len(body)} bytes is shorter than its header")
        time_us, count = protocol.FRAME_IN_HEADER.unpack_from(body)
        tail_offset = header_bytes + count * protocol.EVENT_BYTES
        if tail_offset > len(body):
            raise ProtocolError(f"{count} records do not fit a frame of {len(body)} bytes")
        self._body, self._tail_offset, self._now, self._instance = body, tail_offset, time_us / US_PER_MS, None
        self._replies.clear()
        for offset in range(header_bytes, tail_offset, protocol.EVENT_BYTES):
            code = protocol.RECORD_CODE.unpack_from(body, offset)[0]
            self._handle_record(code, offset + protocol.RECORD_CODE.size)
        return self._replies.frame()

    def _handle_record(self, code: int, offset: int) -> None:
        if code == Event.FOR_INSTANCE:
            self._instance = protocol.UINT16.unpack_from(self._body, offset)[0]
            return
        if code == Event.ENDPOINT_TABLE:
            self._read_table(offset)
            return
        if code not in self._handlers and code not in (Event.INSTANCE_STARTED, Event.INSTANCE_STOPPED):
            raise ProtocolError(f"event code {code} is unknown")
        if self._instance is None:
            raise ProtocolError(f"event code {code} comes before any instance is named")
        try:
            self._handle_instance_record(code, offset)
        except ProtocolError:
            raise
        except Exception as error:  # a policy that failed must not continue: report the failure to the bench
            self._replies.add_failure(self._instance, f"{type(error).__name__}: {error}")
            sys.excepthook(type(error), error, error.__traceback__)

    def _handle_instance_record(self, code: int, offset: int) -> None:
        if code == Event.INSTANCE_STARTED:
            self._start_instance(offset)
        elif code == Event.INSTANCE_STOPPED:
            self._policies.pop(self._instance, None)
        elif self._instance in self._policies:
            self._handlers[code](self._policies[self._instance], offset)

    def _tail(self, start: int, length: int) -> bytes:
        """Return a part of the frame's tail."""
        offset = self._tail_offset + start
        if offset + length > len(self._body):
            raise ProtocolError(f"offset {start} with length {length} lies outside the tail")
        return self._body[offset : offset + length]

    def _read_table(self, offset: int) -> None:
        number, start, count = protocol.ENDPOINT_TABLE.unpack_from(self._body, offset)
        data = self._tail(start, count * protocol.ENDPOINT_TABLE_ENTRY.size)
        self._tables[number] = [
            EndpointEntry(
                endpoint_id,
                zone,
                kind,
                cell,
                protocol.ENDPOINT_STATES.get(state, EndpointState.DRAINING),
                started_us / US_PER_MS,
            )
            for endpoint_id, zone, kind, cell, state, _, started_us in protocol.ENDPOINT_TABLE_ENTRY.iter_unpack(data)
        ]

    def _start_instance(self, offset: int) -> None:
        seed, start, length = protocol.INSTANCE_STARTED.unpack_from(self._body, offset)
        settings = build_settings(flatten_lines(self._tail(start, length).decode()))
        host = BenchHost(self._instance, self._replies)
        self._policies[self._instance] = Policy(host, self._now, seed, settings)

    # Events of an instance

    def _endpoints_listed(self, policy: Policy, offset: int) -> None:
        code, number, _ = protocol.ENDPOINTS_LISTED.unpack_from(self._body, offset)
        scope = protocol.LIST_SCOPES.get(code, ListScope.POLL_FAILED)
        if scope is ListScope.POLL_FAILED:
            policy.endpoints_listed(self._now, scope, ())
            return
        if number not in self._tables:
            raise ProtocolError(f"list number {number} was never sent")
        policy.endpoints_listed(self._now, scope, self._tables[number])

    def _request_arrived(self, policy: Policy, offset: int) -> None:
        fields = protocol.REQUEST_ARRIVED.unpack_from(self._body, offset)
        request_id, class_index, tenant_index, key, left_us, cost_us, flags = fields
        cost_hint = cost_us / US_PER_MS if flags & protocol.HAS_COST_HINT else None
        is_retry = bool(flags & protocol.IS_RETRY)
        policy.request_arrived(self._now, request_id, class_index, tenant_index, key, left_us / US_PER_MS, cost_hint, is_retry)

    def _response_started(self, policy: Policy, offset: int) -> None:
        request_id, _, _, attempt_number = protocol.RESPONSE_STARTED.unpack_from(self._body, offset)
        policy.response_started(self._now, request_id, attempt_number)

    def _attempt_ended(self, policy: Policy, offset: int) -> None:
        fields = protocol.ATTEMPT_ENDED.unpack_from(self._body, offset)
        request_id, took_us, is_answered, code, _, attempt_number, report_length, *report = fields
        outcome = protocol.OUTCOMES.get(code, AttemptOutcome.UNKNOWN)
        policy.attempt_ended(
            self._now,
            request_id,
            attempt_number,
            outcome,
            bool(is_answered),
            took_us / US_PER_MS,
            report[:report_length],
        )

    def _health_check_ended(self, policy: Policy, offset: int) -> None:
        fields = protocol.HEALTH_CHECK_ENDED.unpack_from(self._body, offset)
        endpoint_id, code, took_us, report_length, *report = fields
        outcome = protocol.OUTCOMES.get(code, AttemptOutcome.UNKNOWN)
        policy.health_check_ended(self._now, endpoint_id, outcome, took_us / US_PER_MS, report[:report_length])

    def _client_left(self, policy: Policy, offset: int) -> None:
        policy.client_left(self._now, protocol.UINT32.unpack_from(self._body, offset)[0])

    def _timer_fired(self, policy: Policy, offset: int) -> None:
        policy.timer_fired(self._now, protocol.UINT64.unpack_from(self._body, offset)[0])

    def _peer_message(self, policy: Policy, offset: int) -> None:
        """Ignore messages between instances, which this proxy does not use."""
