"""Bodies that are longer than what is held of them: they go on as they come.

Nobody takes faster than the other side gives or wants.  Nothing is read that cannot be written yet, so a body of any length
costs a buffer.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.dispatch.request_context import RequestContext
from sloeferry.network.http1 import writer
from sloeferry.network.http1.message import Message

if TYPE_CHECKING:
    from sloeferry.network.backend_connection import BackendConnection
    from sloeferry.network.client_connection import ClientConnection

SLICE_BYTES = 16384  # written at a time, each within the time that a write may take
MAX_BACKEND_PAUSE_SECONDS = 10.0  # without a byte from a backend whose response has begun


class BodyInterruptedError(Exception):
    """The rest of a body will not come; its text says why."""


class RequestBodyStream:
    """The body of a request on its way to the one backend that gets all of it.

    Until more has gone out than is held, it can start anew elsewhere; from then on it is bound to its attempt.  The time of
    its request begins with its last byte.
    """

    def __init__(self, connection: "ClientConnection", message: Message, dispatcher: Dispatcher, context: RequestContext):
        self._connection = connection
        self._message = message
        self._dispatcher = dispatcher
        self.context = context
        self.time_left_ms = context.deadline - environment.monotonic_ms()  # from the last byte on
        self._buffered = message.take_body()
        self._claimed_by: int | None = None  # the attempt that writes it
        self.is_bound = False
        self.last_byte_at_ms: float | None = None  # ms
        self.task: asyncio.Task | None = None  # that writes it
        self.is_complete = False  # whether its last byte has come
        message.is_streamed = True

    def claim(self, attempt_number: int) -> bool:
        """Whether an attempt may begin to write it: only one at a time does."""
        if self._claimed_by is not None:
            return False
        self._claimed_by = attempt_number
        return True

    def release(self, attempt_number: int) -> None:
        """That attempt has ended; one that was refused it must not give away another's."""
        if self._claimed_by == attempt_number:
            self._claimed_by = None

    def buffered_part(self) -> bytes:
        """What is held, framed."""
        return self._framed(self._buffered)

    def _framed(self, data: bytes) -> bytes:
        return data if self._message.content_length is not None else writer.chunk(data)

    def bind(self, attempt_number: int, task: asyncio.Task) -> None:
        """All that was held has gone out."""
        self._buffered, self.is_bound, self.task = b"", True, task
        self._dispatcher.body_outgrew_buffer(self.context, attempt_number)

    async def next_part(self) -> bytes:
        """What came next, framed; with its last byte the end of the framing too (`is_complete` from then on).

        Raises BodyInterruptedError where the client breaks off.
        """
        while True:
            data, is_last = self._message.take_body(), self._message.is_complete
            if data or is_last:
                part = self._framed(data) if data else b""
                if not is_last:
                    return part
                self._completed()
                return part if self._message.content_length is not None else part + writer.LAST_CHUNK
            if fault := self._connection.stream.fault:
                raise BodyInterruptedError(fault.value)
            await self._connection.reader.receive_body()

    def _completed(self) -> None:
        self.is_complete, self.last_byte_at_ms, self.task = True, environment.monotonic_ms(), None
        self.time_left_ms = self._connection.server.intake.cap_time_left_ms(self.time_left_ms)
        self._dispatcher.body_received(self.context, self.time_left_ms)


class ResponseBodyStream:
    """The body of a response on its way to the client; it holds the backend's connection until its end."""

    def __init__(self, backend: "BackendConnection", message: Message):
        self._backend: BackendConnection | None = backend  # None once it is done with
        self._message = message
        self._waiting_since = environment.monotonic()
        message.is_streamed = True

    def framing(self, is_http10: bool) -> list[bytes]:
        """Header lines that say how long it is; to an HTTP/1.0 client the connection's end says that."""
        if self._message.content_length is not None:
            return [b"Content-Length: %d" % self._message.content_length]
        return [] if is_http10 else [writer.CHUNKED]

    async def forward(self, send: Callable[[bytes], Awaitable[None]], is_http10: bool) -> None:
        """Sends all of it; raises BodyInterruptedError where the backend breaks off."""
        backend = self._backend
        if backend is None:
            raise BodyInterruptedError("closed")
        is_chunked = self._message.content_length is None and not is_http10
        while True:
            data = self._message.take_body()
            for at in range(0, len(data), SLICE_BYTES):
                piece = data[at : at + SLICE_BYTES]
                await send(writer.chunk(piece) if is_chunked else piece)
            if self._message.is_complete:
                break
            if fault := backend.stream.fault:
                raise BodyInterruptedError(fault.value)
            self._waiting_since = environment.monotonic()
            await backend.stream.receive()
        if is_chunked:
            await send(writer.LAST_CHUNK)
        self._backend = None
        backend.finish(self._message.keep_alive)

    def has_stalled(self, now: float) -> bool:
        """Whether the backend has given nothing for too long; what the client does not take is not its fault."""
        return now > self._waiting_since + MAX_BACKEND_PAUSE_SECONDS

    def close(self) -> None:
        """Nobody takes the rest."""
        if self._backend:
            self._backend.close()
            self._backend = None
