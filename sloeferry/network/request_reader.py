"""Reads the requests of a client connection one at a time."""

import asyncio
import enum
import math
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.network.http1 import writer
from sloeferry.network.http1.framing import StreamEnd
from sloeferry.network.http1.message import Message
from sloeferry.network.http1.stream import HttpStream

if TYPE_CHECKING:
    from sloeferry.network.client_connection import ClientConnection


class ReadOutcome(enum.Enum):
    """The result of reading from a client connection."""

    REQUEST = "a request or invalid input"
    REJECTED = "rejected unparsed"
    CLOSING = "no further request is read"


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
        )
        self.is_reading = False
        self._is_overdue = False
        self.retry_after_if_rejected_ms = 0.0  # of the last request that was rejected unparsed
        # Of a connection that may have waited to be accepted: since when at most; infinity if that is not known.
        self.queued_since_ms: float | None = None
        self._came_in_pieces = False  # its first request
        self.unread_ms = 0.0  # how long its bytes were unread while the event loop was stalled
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
            server.budget.mark_waiting(connection, connection.evict, connection.is_new, had_begun, self._waiting_since(had_begun))
            if not had_begun and server.dispatcher.overload.is_shedding() and not server.lifecycle.is_stopping:
                await server.admission_queue.park(connection)
                if stream.completed or stream.fault or stream.has_begun:  # the admission queue has read from it
                    server.budget.mark_active(connection)
                    continue
            end = await self._receive()
            server.budget.mark_active(connection)  # it received bytes, even if the request is not complete yet
            self._came_in_pieces = self._came_in_pieces or not stream.completed
            if end is StreamEnd.REJECTED_UNPARSED:
                return ReadOutcome.REJECTED
            if stream.has_begun and not had_begun and not connection.is_new:
                # Set once per request, so that a client that sends slowly cannot extend its timeout.
                connection.waiting_since = environment.monotonic()
            await self._send_continue()
        return ReadOutcome.REQUEST

    def _waiting_since(self, is_partial: bool) -> float | None:
        """Return since when the client has sent nothing (seconds, monotonic); None for now.

        Bytes and connections may have arrived long before this process read or accepted them.
        """
        if not is_partial and self.queued_since_ms is None:
            return None
        silent_ms = environment.ms_since_arrival(self._connection.sock)
        if silent_ms is None:
            return None
        return environment.monotonic() - min(silent_ms, self._max_queued_ms()) / 1000

    def _max_queued_ms(self) -> float:
        """Return how long the connection may have waited to be accepted, as far as this process can tell."""
        since_ms = self._connection.accepted_at * 1000 if self.queued_since_ms is None else self.queued_since_ms
        return environment.monotonic_ms() - since_ms

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
        if self.stream.completed:
            return self.stream.completed.pop(0)
        return self.stream.oversized_message()

    def take_unread_ms(self, message: Message) -> float:
        """Return how long the request waited unread, either during a stall or in the listen backlog."""
        unread_ms, self.unread_ms = max(self.unread_ms, self._server.stalls.note_loop_iteration()), 0.0
        if self.queued_since_ms is not None:
            unread_ms, self.queued_since_ms = max(unread_ms, self._queued_ms(message)), None
        return unread_ms

    def _queued_ms(self, message: Message) -> float:
        """Return how long ago the last byte of the first request arrived."""
        max_queued_ms = self._max_queued_ms()
        arrived_ms_ago = environment.ms_since_arrival(self._connection.sock)
        if arrived_ms_ago is not None:
            return min(arrived_ms_ago, max_queued_ms)
        if self._came_in_pieces or max_queued_ms == math.inf or not message.attributes:
            return 0.0
        # An upper bound only. Limited to half of the time left, or a long backlog would cause all requests to be rejected.
        return min(message.attributes.time_left_ms / 2, max_queued_ms)

    def reject_unparsed(self, buffer: bytearray, length: int, has_waited: bool = False) -> bool:
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
