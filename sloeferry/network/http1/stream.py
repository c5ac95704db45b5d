"""Receives HTTP messages from a socket.

The socket is read only on request, so that a slow reader slows down the sender (backpressure).
"""

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from sloeferry import environment
from sloeferry.network.buffers import BUFFER_BYTES, SMALL_BUFFER_BYTES, BufferPool
from sloeferry.network.http1.framing import MAX_BODY_BYTES, MessageFraming, StreamEnd
from sloeferry.network.http1.message import Message
from sloeferry.network.read_ahead import MAX_READ_AHEAD_BYTES, ReadAhead


class ReadObserver(Protocol):
    """Learns from the reads of a connection when its peer wrote what they received; times in ms, monotonic."""

    def read_ended(self, began_at_ms: float, received_bytes: int, is_drained: bool) -> float:
        """Record a read, after which nothing was unread if `is_drained`; return when its bytes were written at the earliest."""

    def received_ahead(self, received_bytes: int, is_drained: bool) -> None:
        """Record that bytes were received without waiting for them."""


class HttpStream(MessageFraming):
    """The receiving side of one connection."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        buffers: BufferPool,
        is_response: bool,
        on_body: Callable[[Message, bytes], None] | None = None,
        accepts_head: Callable[[Message], bool] | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
        reject_unparsed: Callable[[bytearray, int], bool] | None = None,
        reads_large_bodies: bool = False,
        observer: ReadObserver | None = None,
    ):
        """Create a stream; `reject_unparsed` gets the first bytes of a message and returns True if it has handled them.

        Large buffers are used for a message with a reservation of memory, or if it `reads_large_bodies` all the time.
        """
        super().__init__(is_response, on_body, accepts_head, max_body_bytes)
        self._loop = loop
        self._sock = sock
        self._buffers = buffers
        self._reject_unparsed = reject_unparsed
        self._reads_large_bodies = reads_large_bodies
        self._observer = observer
        self._read_ahead: ReadAhead | None = None  # while bytes are held
        self._receiving: asyncio.Task | None = None  # a receive that outlasted its timeout
        self.was_reset = False  # the connection ended with an error, not with the end of the stream

    def close(self) -> None:
        """Stop reading and release the parser."""
        super().close()
        self._reject_unparsed = None
        if self._receiving:
            self._receiving.cancel()
            self._receiving = None

    async def receive(self) -> StreamEnd | None:
        """Receive once; return why no more can be read, or None."""
        if self._receiving:
            receiving, self._receiving = self._receiving, None
            return await receiving
        return await self._receive()

    def begin_receive(self) -> "asyncio.Task[StreamEnd | None]":
        """Begin to receive once, and return the task; `receive` returns its result."""
        self._receiving = self._receiving or self._loop.create_task(self._receive())
        return self._receiving

    async def receive_within(self, seconds: float) -> bool:
        """Receive once with a timeout; return whether the receive has completed.

        After a timeout the receive stays pending for the next call: a cancelled receive might already have read bytes, which
        would then be missing from the middle of a body.
        """
        done, _ = await asyncio.wait([self.begin_receive()], timeout=seconds)
        if done:
            await self.receive()
        return bool(done)

    async def _receive(self) -> StreamEnd | None:
        is_large = self._reads_large_bodies or self.message.reservation
        size = BUFFER_BYTES if is_large else SMALL_BUFFER_BYTES
        if self._read_ahead:
            return self._take_read_ahead(self._read_ahead, size)
        buffer = self._buffers.acquire(size)
        try:
            began_at_ms = environment.monotonic_ms() if self._observer else 0.0
            length = await self._loop.sock_recv_into(self._sock, buffer)
            if self._observer:
                self.written_at_ms = self._observer.read_ended(began_at_ms, length, length < size)
            return self._received(buffer, length)
        except OSError:
            self.fault, self.was_reset = StreamEnd.CLOSED, True
        finally:
            self._buffers.release(buffer)
        return self.fault

    def _take_read_ahead(self, read_ahead: ReadAhead, max_bytes: int) -> StreamEnd | None:
        data, self.written_at_ms = read_ahead.take(max_bytes)
        if not read_ahead.held_bytes:
            self._read_ahead = None
        return self._received(data, len(data))

    def _received(self, buffer: bytearray | bytes, length: int) -> StreamEnd | None:
        if length and self._reject_unparsed and not self.has_begun and self._reject_unparsed(buffer, length):
            return StreamEnd.REJECTED_UNPARSED
        return self.feed(buffer, length)

    # Reading ahead

    @property
    def has_pending(self) -> bool:
        """Return whether bytes behind the current message have been received."""
        return bool(self.completed or self._read_ahead)

    @property
    def held_bytes(self) -> int:
        """Return how many bytes have been read ahead and not parsed."""
        return self._read_ahead.held_bytes if self._read_ahead else 0

    def receive_ahead(self, written_at_ms: float) -> bool:
        """Receive what has arrived, up to a limit, without parsing it; return whether nothing is left unread.

        `written_at_ms`: when it was written at the earliest.  The end of the stream stays unread, as far as this is concerned.
        """
        held_bytes = self.held_bytes
        read_ahead = self._read_ahead or ReadAhead()
        is_drained = self._fill(read_ahead, written_at_ms)
        self._read_ahead = read_ahead if read_ahead.held_bytes else None
        if self._observer:
            self._observer.received_ahead(self.held_bytes - held_bytes, is_drained)
        return is_drained

    def _fill(self, read_ahead: ReadAhead, written_at_ms: float) -> bool:
        buffer = self._buffers.acquire(BUFFER_BYTES)
        try:
            while read_ahead.held_bytes < MAX_READ_AHEAD_BYTES:
                length = self._sock.recv_into(buffer)
                if not length:
                    return True
                read_ahead.append(bytes(memoryview(buffer)[:length]), written_at_ms)
        except OSError:  # nothing more has arrived, or the connection has failed
            return True
        finally:
            self._buffers.release(buffer)
        return False
