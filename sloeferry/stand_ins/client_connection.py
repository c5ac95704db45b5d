"""A stand-in client's connection to a proxy: one request at a time."""

import asyncio
import enum
from collections.abc import Callable
from typing import NamedTuple

from sloeferry.stand_ins.http_messages import MessageReader


class Response(NamedTuple):
    """What came; names of fields are in lower case."""

    status: int
    fields: dict[bytes, bytes]
    body: bytes


class NoResponse(enum.Enum):
    """Why none came."""

    CONNECTION_ENDED = enum.auto()
    TIMED_OUT = enum.auto()


class ClientConnection(asyncio.Protocol):
    """`response` is the future of what is outstanding, None before the first request."""

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
        """As asyncio calls it."""
        self.transport = transport

    def send_request(self, data: bytes) -> None:
        """Writes a request, or the first part of one."""
        self.response = self._loop.create_future()
        self.has_response_begun = False
        self.request_count += 1
        if self.is_closed:
            self.response.set_result(NoResponse.CONNECTION_ENDED)
        else:
            self.transport.write(data)

    async def wait_for_response(self, seconds: float) -> Response | NoResponse:
        """The response to what was sent last, if it comes in that time."""
        timer = self._loop.call_later(seconds, self._resolve, NoResponse.TIMED_OUT)
        try:
            return await self.response
        finally:
            timer.cancel()

    def data_received(self, data: bytes) -> None:
        """As asyncio calls it."""
        self.has_response_begun = True
        for message in self._reader.feed(data):
            status = int(message.first_line.split(b" ")[1])
            if not self._resolve(Response(status, message.fields, message.body)):
                self._on_unexpected_response(self)
                self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """As asyncio calls it."""
        self.is_closed = True
        self._resolve(NoResponse.CONNECTION_ENDED)
        self.leave_pool()

    def _resolve(self, result: Response | NoResponse) -> bool:
        """Whether somebody waits for it."""
        if self.response is None or self.response.done():
            return False
        self.response.set_result(result)
        return True

    def enter_pool(self, pool: list["ClientConnection"], idle_timeout_seconds: float) -> None:
        """It is kept for the next request, for so long."""
        self._pool = pool
        pool.append(self)
        self._idle_timer = self._loop.call_later(idle_timeout_seconds, self.transport.close)

    def leave_pool(self) -> None:
        """It is in use again, or has ended."""
        if self._pool is not None:
            self._pool.remove(self)
            self._pool = None
        if self._idle_timer:
            self._idle_timer.cancel()
            self._idle_timer = None
