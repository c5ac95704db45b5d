"""Messages that come in on a socket.

Nothing is read before it is asked for, so that a reader that does not take holds the sender back (backpressure).
"""

import asyncio
import socket
from collections.abc import Callable

from sloeferry.network.buffers import BufferPool
from sloeferry.network.http1.framing import MAX_BODY_BYTES, MessageFraming, StreamEnd
from sloeferry.network.http1.message import Message


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
    ):
        """`reject_unparsed` is shown the first bytes of a message before they are parsed; True: they are done with."""
        super().__init__(is_response, on_body, accepts_head, max_body_bytes)
        self._loop = loop
        self._sock = sock
        self._buffers = buffers
        self._reject_unparsed = reject_unparsed
        self._receiving: asyncio.Task | None = None  # a receive that goes on

    def close(self) -> None:
        """Nothing more is read."""
        super().close()
        if self._receiving:
            self._receiving.cancel()
            self._receiving = None

    async def receive(self) -> StreamEnd | None:
        """Receives once; None, or why nothing more will come."""
        if self._receiving:
            receiving, self._receiving = self._receiving, None
            return await receiving
        return await self._receive()

    async def receive_within(self, seconds: float) -> bool:
        """Receives once, for so long; whether anything came.

        The receive goes on after that, for the next one who asks: called off it might have taken bytes already, and they
        would be missing from the middle of a body.
        """
        self._receiving = self._receiving or self._loop.create_task(self._receive())
        done, _ = await asyncio.wait([self._receiving], timeout=seconds)
        if done:
            await self.receive()
        return bool(done)

    async def _receive(self) -> StreamEnd | None:
        buffer = self._buffers.acquire()
        try:
            length = await self._loop.sock_recv_into(self._sock, buffer)
            if length and self._reject_unparsed and not self.has_begun and self._reject_unparsed(buffer, length):
                return StreamEnd.REJECTED_UNPARSED
            return self.feed(buffer, length)
        except OSError:
            self.fault = StreamEnd.CLOSED
        finally:
            self._buffers.release(buffer)
        return self.fault
