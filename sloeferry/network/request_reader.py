"""Reads one request after the other from a client's connection."""

import asyncio
import enum
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.network.http1 import writer
from sloeferry.network.http1.framing import StreamEnd
from sloeferry.network.http1.message import Message
from sloeferry.network.http1.stream import HttpStream

if TYPE_CHECKING:
    from sloeferry.network.client_connection import ClientConnection


class ReadOutcome(enum.Enum):
    """What reading came to."""

    REQUEST = "a request, or what is none"
    REJECTED = "rejected unparsed"
    CLOSING = "no further request is read"


class RequestReader:
    """The receiving side of a client's connection."""

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
        self.rejection_delay_ms = 0.0  # of the last request that was rejected unparsed
        self.queued_since_ms: float | None = None  # ms; since when it may have waited, with others, to be let in
        self.unread_ms = 0.0  # for how long what it sent lay unread while this program stood still
        self.receiving_body_since: float | None = None  # seconds; the sweeper looks at it

    async def read(self) -> ReadOutcome:
        """Reads until a request is complete, or too long to be held, or cannot be read.

        Nothing is read while a request is out: two bodies for each client would not fit the memory.
        """
        stream, server, connection = self.stream, self._server, self._connection
        while not stream.completed and not stream.fault and not stream.oversized_message():
            if server.shutdown.may_close(connection):
                return ReadOutcome.CLOSING
            had_begun = stream.has_begun
            server.budget.mark_waiting(connection, connection.evict, connection.is_new, had_begun)
            if not had_begun and server.dispatcher.overload.is_shedding() and not server.lifecycle.is_stopping:
                await server.admission_queue.park(connection)
                if stream.completed or stream.fault or stream.has_begun:  # read there already
                    server.budget.mark_active(connection)
                    continue
            end = await self._receive()
            server.budget.mark_active(connection)  # something came, if not a complete request: not idle
            if not stream.completed:  # its last byte is yet to come, and its time runs from that
                self.queued_since_ms = None
            if end is StreamEnd.REJECTED_UNPARSED:
                return ReadOutcome.REJECTED
            if stream.has_begun and not had_begun and not connection.is_new:
                connection.waiting_since = environment.monotonic()  # for all of it, or drops would hold it for ever
            await self._send_continue()
        return ReadOutcome.REQUEST

    async def _receive(self) -> StreamEnd | None:
        """Receives once; a request that is overdue ends here, not the task (`time_out`)."""
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
        """More of a body that is on its way; how long its client takes for it is looked at by the sweeper."""
        self.receiving_body_since = environment.monotonic()
        try:
            await self.stream.receive()
        finally:  # given up meanwhile it waits for nothing: its response may take long
            self.receiving_body_since = None

    def take_message(self) -> Message | None:
        """The request that was read; None if it cannot be read."""
        if self.stream.completed:
            return self.stream.completed.pop(0)
        return self.stream.oversized_message()

    def take_unread_ms(self, message: Message) -> float:
        """For how long the request lay unread: while this program stood still, or outside with others."""
        unread_ms, self.unread_ms = max(self.unread_ms, self._server.stalls.note_loop_iteration()), 0.0
        if self.queued_since_ms is not None:
            # Not known to the ms: half of its time at the most, or a long crowded listener would reject all.
            most_ms = message.attributes.time_left_ms / 2 if message.attributes else 0.0
            queued_ms = environment.monotonic_ms() - self.queued_since_ms
            unread_ms, self.queued_since_ms = max(unread_ms, min(most_ms, queued_ms)), None
        return unread_ms

    def reject_unparsed(self, buffer: bytearray, length: int, has_waited: bool = False) -> bool:
        """Before anything is parsed, while requests are shed: whether a plain request is rejected here.

        It is for certain where it has waited for too long (`has_waited`).
        """
        delay_ms = self._server.intake.unparsed_rejection_delay_ms(buffer, length, has_waited)
        if delay_ms is None:
            return False
        self.rejection_delay_ms = delay_ms
        return True

    def time_out(self) -> None:
        """Half a request, and its time is over: it is told so.

        Closed without a word, one whose last byte is on its way would be lost (rule 1).  Only where it waits to read:
        cancelled while it writes, a reply of its own would break off half way.
        """
        if self.is_reading and not self._is_overdue:
            self._is_overdue = True
            self._connection.task.cancel()
