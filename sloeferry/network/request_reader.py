"""Reads the requests of a client connection one at a time."""

import asyncio
import enum
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.network.buffers import BUFFER_BYTES
from sloeferry.network.http1 import writer
from sloeferry.network.http1.framing import StreamEnd
from sloeferry.network.http1.message import Message
from sloeferry.network.http1.stream import HttpStream
from sloeferry.network.memory_budget import (
    LARGE_HEAD_BYTES,
    MAX_WAIT_SECONDS,
    SMALL_MESSAGE_BYTES,
    buffered_request_bytes,
)
from sloeferry.network.read_ahead import MAX_READ_AHEAD_BYTES
from sloeferry.network.reservation import Reservation
from sloeferry.network.upload_reader import ANSWER_BEFORE_DUE_MS

if TYPE_CHECKING:
    from sloeferry.network.client_connection import ClientConnection


class ReadOutcome(enum.Enum):
    """The result of reading from a client connection."""

    REQUEST = "a request or invalid input"
    REJECTED = "rejected unparsed"
    CLOSING = "no further request is read"
    NO_MEMORY = "there is no memory for the rest of the request"


class RequestReader:
    """The receiving side of a client connection."""

    def __init__(self, connection: "ClientConnection"):
        server = connection.server
        self._connection = connection
        self._server = server
        self.stream = HttpStream(
            server.loop,
            connection.sock,
            server.buffers,
            is_response=False,
            accepts_head=server.intake.accepts_head,
            reject_unparsed=self.reject_unparsed,
            observer=connection.client_state,
        )
        self._client_state = connection.client_state
        self._read_ahead_reservation: Reservation | None = None
        self.is_reading = False
        self._is_overdue = False
        self.retry_after_if_rejected_ms = 0.0  # of the last request that was rejected unparsed
        self.unread_time = connection.client_state.unread_time
        self.receiving_body_since: float | None = None  # seconds; the sweeper checks the read timeout against it

    async def read(self) -> ReadOutcome:
        """Read until a request is complete, exceeds the buffer limit or is invalid.

        Nothing is read while a request is in flight: buffering two bodies for each client would exceed the memory limit.
        """
        stream, server, connection = self.stream, self._server, self._connection
        while not stream.completed and not stream.fault and not stream.oversized_message():
            if server.shutdown.may_close(connection):
                return ReadOutcome.CLOSING
            had_begun = stream.has_begun
            silent_since = self.unread_time.silent_since(is_partial=had_begun)
            if silent_since is not None and not had_begun:
                self._client_state.note_silence(1000 * silent_since)
            server.budget.mark_waiting(connection, connection.evict, connection.is_new, had_begun, silent_since)
            may_park = not had_begun and not stream.has_pending and not server.lifecycle.is_stopping
            if may_park and server.dispatcher.overload.is_shedding():
                await server.admission_queue.park(connection)
                if stream.completed or stream.fault or stream.has_begun:  # the admission queue has read from it
                    server.budget.mark_active(connection)
                    continue
            end = await self._receive()
            server.budget.mark_active(connection)  # it received bytes, even if the request is not complete yet
            if not stream.completed:
                self.unread_time.note_partial_request()
            if end is StreamEnd.REJECTED_UNPARSED:
                return ReadOutcome.REJECTED
            if stream.has_begun and not had_begun and not connection.is_new:
                # Set once per request, so that a client that sends slowly cannot extend its timeout.
                connection.waiting_since = environment.monotonic()
            if not stream.completed and not await self._reserve_memory():
                return ReadOutcome.NO_MEMORY
            await self._send_continue()
        return ReadOutcome.REQUEST

    def read_ahead(self) -> bool:
        """Receive what has arrived behind a complete request, if there is memory; return whether that seems to be all.

        It is parsed once it is its turn.  A client of which much is held may have more to send as soon as there is room.
        """
        if self._client_state.is_idle():
            return self.stream.held_bytes <= MAX_READ_AHEAD_BYTES / 2
        if not self._reserve_read_ahead():
            return False
        has_read_all = self.stream.receive_ahead(self._client_state.present_at_ms())
        return has_read_all and self.stream.held_bytes <= MAX_READ_AHEAD_BYTES / 2

    def _reserve_read_ahead(self) -> bool:
        if self._read_ahead_reservation is None:
            self._read_ahead_reservation = self._server.memory.reserve_now_for_request(MAX_READ_AHEAD_BYTES + BUFFER_BYTES)
        return self._read_ahead_reservation is not None

    async def _reserve_memory(self) -> bool:
        """Reserve memory for the rest of an incomplete request that may be large; return False if there is none in time."""
        message = self.stream.message
        missing_bytes = self._needed_bytes() - (message.reservation.size if message.reservation else 0)
        if missing_bytes <= 0:
            return True
        waiting_since_ms = environment.monotonic_ms()
        reservation = await self._server.memory.reserve_for_request(missing_bytes, self._max_memory_wait_seconds())
        self.unread_time.note_wait(environment.monotonic_ms() - waiting_since_ms)
        if reservation and message.reservation:
            message.reservation.merge(reservation)
        elif reservation:
            message.reservation = reservation
        return reservation is not None

    def _max_memory_wait_seconds(self) -> float:
        """Return how long the request being received may wait for memory: its last byte may have been written, unread."""
        attributes = self.stream.message.attributes
        if attributes is None:
            return MAX_WAIT_SECONDS
        time_left_ms = attributes.time_left_ms
        return max(0.0, (time_left_ms - self.unread_time.unread_ms(time_left_ms) - ANSWER_BEFORE_DUE_MS) / 1000)

    def _needed_bytes(self) -> int:
        """Return what the request being received has to reserve, as far as it is known."""
        stream, message = self.stream, self.stream.message
        if not stream.has_begun or stream.fault:
            return 0
        if not message.is_head_complete:
            return LARGE_HEAD_BYTES if stream.head_bytes() > SMALL_MESSAGE_BYTES else 0
        known_bytes = message.body_bytes if message.content_length is None else message.content_length
        if known_bytes <= SMALL_MESSAGE_BYTES:
            return 0
        return buffered_request_bytes(message.content_length)

    async def _receive(self) -> StreamEnd | None:
        """Receive once; if `time_out` cancels the task meanwhile, mark the request as overdue and keep the task running."""
        connection = self._connection
        try:
            self.is_reading = True
            return await self.stream.receive()
        except asyncio.CancelledError:
            if not self._is_overdue or connection.is_closed:
                raise
            connection.task.uncancel()
            self.stream.fault = StreamEnd.OVERDUE
            return StreamEnd.OVERDUE
        finally:
            self.is_reading = False

    async def _send_continue(self) -> None:
        stream = self.stream
        if stream.has_begun and stream.message.expects_continue and not stream.fault:
            stream.message.expects_continue = False
            await self._connection.send(writer.CONTINUE)

    async def receive_body(self) -> None:
        """Receive more of a streamed body; the sweeper enforces the read timeout."""
        self.receiving_body_since = environment.monotonic()
        try:
            await self.stream.receive()
        finally:  # also when cancelled: the connection no longer waits for the body while its response is pending
            self.receiving_body_since = None

    def take_message(self) -> Message | None:
        """Return the request that was read; None if the input was invalid."""
        if not self.stream.held_bytes:
            self._read_ahead_reservation = None
        if self.stream.completed:
            return self.stream.completed.pop(0)
        return self.stream.oversized_message()

    def take_unread_ms(self, message: Message) -> float:
        """Return how long the request waited unread, either during a stall or in the listen backlog."""
        time_left_ms = message.attributes.time_left_ms if message.attributes else 0.0
        unread_ms = self.unread_time.take_ms(time_left_ms, self._server.stalls.note_loop_iteration())
        if unread_ms:
            self._mark_as_unread(unread_ms)
        return unread_ms

    def _mark_as_unread(self, unread_ms: float) -> None:
        """Record that the requests behind the current one may have been unread for as long."""
        written_at_ms = environment.monotonic_ms() - unread_ms
        for message in self.stream.completed:
            message.written_at_ms = min(message.written_at_ms, written_at_ms)

    def reject_unparsed(self, buffer: bytearray | bytes, length: int, has_waited: bool = False) -> bool:
        """Return whether unparsed bytes are a plain request that is rejected during load shedding.

        A plain request that has waited too long (`has_waited`) is always rejected.
        """
        delay_ms = self._server.intake.retry_after_if_rejected_unparsed_ms(buffer, length, has_waited)
        if delay_ms is None:
            return False
        self.retry_after_if_rejected_ms = delay_ms
        return True

    def time_out(self) -> None:
        """End a partial request that has exceeded its read timeout, so that its client gets a 408.

        If the connection were closed without a reply, a request whose last byte is in transit would be lost (safety rule 1).
        The task is cancelled only while it reads: a cancel during a write would truncate a reply.
        """
        if self.is_reading and not self._is_overdue:
            self._is_overdue = True
            self._connection.task.cancel()

    def detach(self) -> None:
        """Drop the reference to the connection, after its end."""
        del self._connection
