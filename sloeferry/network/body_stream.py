"""Streams request and response bodies that exceed the buffer limit.

The next part is read only after the previous one has been written (backpressure), so a body of any length costs one buffer.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import TYPE_CHECKING, NamedTuple

from sloeferry import environment
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.dispatch.request_context import RequestContext
from sloeferry.network.http1 import writer
from sloeferry.network.http1.message import Message
from sloeferry.network.memory_budget import STREAMED_BODY_BYTES
from sloeferry.network.upload_reader import UploadReader
from sloeferry.network.write_progress import WriteProgress

if TYPE_CHECKING:
    from sloeferry.network.backend_connection import BackendConnection
    from sloeferry.network.client_connection import ClientConnection

SLICE_BYTES = 16384  # per write
MAX_UPLOAD_PAUSE_SECONDS = 10.0  # of a backend that is sent a request body
# Of a backend that sends a response body.  What it still gives must not be cut off, but a machine that has vanished stays silent.
MAX_RESPONSE_PAUSE_SECONDS = 60.0


class BodyInterruptedError(Exception):
    """Raised when the rest of a body cannot be received; its text gives the reason."""


class BackendWrites(NamedTuple):
    """The writes of a request body to a backend, and the task that runs them."""

    progress: WriteProgress
    task: asyncio.Task


class RequestBodyStream:
    """A request body that is streamed to one backend.

    Until more than the buffered part has been sent, another attempt can start over with it; from then on it is bound to its
    attempt. The time left of the request runs from the last byte of the body, which may have been written before it is read.
    """

    def __init__(
        self,
        connection: "ClientConnection",
        message: Message,
        reader: UploadReader,
        dispatcher: Dispatcher,
        context: RequestContext,
    ):
        self._connection = connection
        self._message = message
        self._reader = reader
        self._dispatcher = dispatcher
        self.context = context
        self.is_overdue = False  # the attempt was ended, because its answer is due before the last byte was read
        self._buffered = message.take_body()
        self._claimed_by: int | None = None  # the number of the attempt that writes it
        self.is_bound = False
        self.last_byte_at_ms: float | None = None
        self.task: asyncio.Task | None = None  # the task that writes it
        self.is_complete = False  # the last part has been taken
        self._backend_writes: BackendWrites | None = None  # while they last
        self._reading: asyncio.Task | None = None  # while the rest of the body is read
        message.is_streamed = True

    def claim(self, attempt_number: int) -> bool:
        """Claim the body for an attempt; return False if another attempt is writing it."""
        if self._claimed_by is not None:
            return False
        self._claimed_by = attempt_number
        return True

    def release(self, attempt_number: int) -> None:
        """Release the claim of an attempt that has ended; without effect if another attempt holds it."""
        if self._claimed_by == attempt_number:
            self._claimed_by = None

    @property
    def received_bytes(self) -> int:
        """Return how much of the body has been received."""
        return self._message.body_bytes

    def buffered_part(self) -> bytes:
        """Return the buffered part of the body, framed."""
        return self._framed(self._buffered)

    def _framed(self, data: bytes) -> bytes:
        return data if self._message.content_length is not None else writer.chunk(data)

    def bind(self, attempt_number: int, task: asyncio.Task) -> None:
        """Bind the body to an attempt, because all of the buffered part has been sent."""
        self._buffered, self.is_bound, self.task = b"", True, task
        if self._message.reservation:
            self._message.reservation.shrink(STREAMED_BODY_BYTES)
        self._dispatcher.body_outgrew_buffer(self.context, attempt_number)

    @contextlib.contextmanager
    def writing_to(self, backend: "BackendConnection", task: asyncio.Task) -> Iterator[WriteProgress]:
        """Return a context manager for the writes of the rest of the body, which is read meanwhile.

        `task` is cancelled if the backend stops reading, or if the final answer is due.
        """
        loop = self._connection.server.loop
        progress = WriteProgress(loop, backend.sock, MAX_UPLOAD_PAUSE_SECONDS)
        self._backend_writes = BackendWrites(progress, task)
        self._reading = self._connection.server.tasks.spawn(self._read())
        try:
            yield progress
        finally:
            self._backend_writes = None
            self.stop_reading()

    def stop_reading(self) -> None:
        """End the task that reads the rest of the body; to be called before the client's connection is closed."""
        if self._reading:
            self._reading.cancel()
            self._reading = None

    def cancel_stalled_write(self, now: float) -> None:
        """Cancel the task that writes to the backend if the backend has stopped reading; to be called repeatedly."""
        if self._backend_writes and self._backend_writes.progress.has_stalled(now):
            self._backend_writes.task.cancel()

    def cancel_overdue_write(self, now_ms: float) -> None:
        """Cancel the task that writes to the backend if the final answer is due; to be called every few ms."""
        if not self._backend_writes or self.is_complete or self.is_overdue:
            return
        if self._reader.is_overdue(now_ms, self._connection.server.intake.answer_by_ms):
            self.is_overdue = True
            self._backend_writes.task.cancel()

    async def next_part(self) -> bytes:
        """Return the next part, framed; the last part includes the end of the framing and sets `is_complete`.

        Raises BodyInterruptedError if the client's connection fails.
        """
        message = self._message
        data = await self._reader.next_part()
        part = self._framed(data) if data else b""
        if not message.is_complete or message.held_bytes:
            if not data:
                fault = self._connection.stream.fault
                raise BodyInterruptedError(fault.value if fault else "reading failed")
            return part
        self.is_complete, self.task = True, None
        return part if message.content_length is not None else part + writer.LAST_CHUNK

    async def _read(self) -> None:
        await self._reader.read()
        if self._message.is_complete:
            now_ms = environment.monotonic_ms()
            self.last_byte_at_ms = now_ms
            self._dispatcher.body_received(self.context, self.time_left_ms(now_ms))

    def time_left_ms(self, now_ms: float) -> float:
        """Return how long from now on the client waits for its answer, as far as is known."""
        return self._connection.server.intake.cap_time_left_ms(self._reader.due_ms() - now_ms)


class ResponseBodyStream:
    """A response body that is streamed to the client; it holds the backend connection until its end."""

    def __init__(self, backend: "BackendConnection", message: Message):
        self._backend: BackendConnection | None = backend  # None once it is finished or closed
        self.endpoint_id = backend.endpoint_id
        self.forwarded_bytes = 0
        self._message = message
        self._waiting_since = environment.monotonic()
        message.is_streamed = True
        if message.reservation:
            message.reservation.shrink(STREAMED_BODY_BYTES)

    def framing(self, is_http10: bool) -> list[bytes]:
        """Return the header lines for its framing; none for HTTP/1.0 clients if the length is unknown (end of connection)."""
        if self._message.content_length is not None:
            return [b"Content-Length: %d" % self._message.content_length]
        return [] if is_http10 else [writer.CHUNKED]

    async def forward(self, send: Callable[[bytes], Awaitable[None]], is_http10: bool) -> None:
        """Send the whole body; raise BodyInterruptedError if the backend connection fails."""
        backend = self._backend
        if backend is None:
            raise BodyInterruptedError("closed")
        is_chunked = self._message.content_length is None and not is_http10
        while True:
            data = self._message.take_body()
            for at in range(0, len(data), SLICE_BYTES):
                piece = data[at : at + SLICE_BYTES]
                await send(writer.chunk(piece) if is_chunked else piece)
                self.forwarded_bytes += len(piece)
            if self._message.is_complete:
                break
            if fault := backend.stream.fault:
                raise BodyInterruptedError("reset" if backend.stream.was_reset else fault.value)
            self._waiting_since = environment.monotonic()
            await backend.stream.receive()
        if is_chunked:
            await send(writer.LAST_CHUNK)
        self._backend = None
        backend.finish(self._message.keep_alive)

    def has_stalled(self, now: float) -> bool:
        """Return whether the backend has sent nothing for too long; time that the client takes to read does not count."""
        return now > self._waiting_since + MAX_RESPONSE_PAUSE_SECONDS

    def close(self) -> None:
        """Discard the rest and close the backend connection."""
        if self._backend:
            self._backend.close()
            self._backend = None
