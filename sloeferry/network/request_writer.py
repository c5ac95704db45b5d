"""Writes a request to a backend, and notices a response that comes before all of it is written.

A backend may respond before it has read a request, and need not read the rest (RFC 9112, 9.3).
"""

import asyncio
from collections.abc import Awaitable, Callable

from sloeferry import environment
from sloeferry.network.backend_connection import BackendConnection
from sloeferry.network.sockets import is_open_and_idle

FIRST_FINAL_STATUS = 200  # lower ones are those of interim responses


class RequestWriter:
    """The sending side of one exchange."""

    def __init__(self, loop: asyncio.AbstractEventLoop, connection: BackendConnection):
        self._loop = loop
        self._sock = connection.sock
        self._stream = connection.stream

    async def send(self, data: bytes, send_rest: Callable[[memoryview], Awaitable[None]] | None = None) -> bool:
        """Send data; return whether the backend responded, or ended the connection, before its kernel had taken all of it.

        `send_rest` sends what the kernel does not take at once.  Raises OSError if the connection fails without a response.
        """
        try:
            sent_bytes = environment.send_now(self._sock, data)
            if sent_bytes == len(data):
                return False
            return await self._send_rest(send_rest or self._send_all, memoryview(data)[sent_bytes:])
        except OSError:
            if await self._has_final_response():
                return True
            raise

    async def _send_all(self, data: memoryview) -> None:
        await self._loop.sock_sendall(self._sock, data)

    async def _send_rest(self, send: Callable[[memoryview], Awaitable[None]], data: memoryview) -> bool:
        """Send data while the backend may respond; a receive that has not ended stays pending for the next one."""
        writing = asyncio.ensure_future(send(data))
        try:
            while True:
                receiving = self._stream.begin_receive()
                await asyncio.wait([writing, receiving], return_when=asyncio.FIRST_COMPLETED)
                if writing.done():
                    writing.result()
                    return False
                await self._stream.receive()
                if self._has_response_begun():
                    return True
        finally:
            if not writing.done():
                writing.cancel()
                await asyncio.wait([writing])

    async def is_answered(self) -> bool:
        """Return whether the backend has begun its final response, or ended the connection.

        Interim responses (1xx) are read and dropped: the backend still wants the rest of the request (RFC 9110, 15.2).
        """
        while not self._has_response_begun():  # a pending receive may have read it
            if is_open_and_idle(self._sock):
                return False
            await self._stream.receive()
        return True

    async def _has_final_response(self) -> bool:
        """Return whether a final response can still be read from a connection that has failed."""
        stream = self._stream
        while not (stream.completed or stream.fault or self._has_final_status()):
            await stream.receive()
        return bool(stream.completed) or self._has_final_status()

    def _has_response_begun(self) -> bool:
        return bool(self._stream.completed or self._stream.fault) or self._has_final_status()

    def _has_final_status(self) -> bool:
        return self._stream.has_begun and self._stream.message.status >= FIRST_FINAL_STATUS
