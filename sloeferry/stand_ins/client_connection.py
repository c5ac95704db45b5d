"""A stand-in client's connection to a proxy, with one request in flight at a time."""

import asyncio
import enum
from collections.abc import Callable
from typing import NamedTuple

from sloeferry.stand_ins.http_messages import MessageReader


class Response(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    fields: dict[bytes, bytes]
    body: bytes


class NoResponse(enum.Enum):
    """The reason why there is no response."""

    CONNECTION_ENDED = enum.auto()
    TIMED_OUT = enum.auto()


class ClientConnection(asyncio.Protocol):
    """One connection; `response` is the future of the last request's response, or None before the first request."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        proxy: str = "",
        on_unexpected_response: Callable[["ClientConnection"], None] = lambda connection: None,
    ):
        self.proxy = proxy
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[Response | NoResponse] | None = None
        self.request_count = 0
        self.is_closed = False
        self.has_response_begun = False
        self._loop = loop
        self._on_unexpected_response = on_unexpected_response
        self._reader = MessageReader()
        self._pool: list[ClientConnection] | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = transport

    def send_request(self, data: bytes) -> None:
        """Write a request, or the first part of one."""
        self.response = self._loop.create_future()
        self.has_response_begun = False
        self.request_count += 1
        if self.is_closed:
            self.response.set_result(NoResponse.CONNECTION_ENDED)
        else:
            self.transport.write(data)

    async def wait_for_response(self, seconds: float) -> Response | NoResponse:
        """Return the response to the last request; stop waiting after `seconds`."""
        timer = self._loop.call_later(seconds, self._resolve, NoResponse.TIMED_OUT)
        try:
            return await self.response
        finally:
            timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Deliver complete responses, and reset the connection on an unexpected one; called by the event loop."""
        self.has_response_begun = True
        for message in self._reader.feed(data):
            status = int(message.first_line.split(b" ")[1])
            if not self._resolve(Response(status, message.fields, message.body)):
                self._on_unexpected_response(self)
                self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """End the outstanding request, and remove the connection from its pool; called by the event loop."""
        self.is_closed = True
        self._resolve(NoResponse.CONNECTION_ENDED)
        self.leave_pool()

    def _resolve(self, result: Response | NoResponse) -> bool:
        """Set the result of the outstanding request; return False if there is none."""
        if self.response is None or self.response.done():
            return False
        self.response.set_result(result)
        return True

    def enter_pool(self, pool: list["ClientConnection"], idle_timeout_seconds: float) -> None:
        """Add the idle connection to a pool, and close it after the idle timeout."""
        self._pool = pool
        pool.append(self)
        self._idle_timer = self._loop.call_later(idle_timeout_seconds, self.transport.close)

    def leave_pool(self) -> None:
        """Remove the connection from its pool, if it is in one."""
        if self._pool is not None:
            self._pool.remove(self)
            self._pool = None
        if self._idle_timer:
            self._idle_timer.cancel()
            self._idle_timer = None
