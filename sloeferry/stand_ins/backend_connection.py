"""A connection to a stand-in backend, from the backend's side."""

import asyncio
from typing import TYPE_CHECKING

from sloeferry.stand_ins import wire_protocol
from sloeferry.stand_ins.http_messages import MessageReader

if TYPE_CHECKING:
    from sloeferry.stand_ins.backends import StandInBackend


class BackendConnection(asyncio.Protocol):
    """Reads requests and writes their responses; closes itself when it has been idle for long enough."""

    def __init__(self, backend: "StandInBackend"):
        self.is_gone = False  # the other side has ended it
        self._backend = backend
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None
        self._request_began_at: float | None = None
        self._is_busy = False
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """As asyncio calls it."""
        self._transport = transport
        backend = self._backend
        if not backend.is_up or len(backend.connections) >= backend.settings.max_connections:
            transport.abort()
            return
        backend.connections[self] = None
        self._become_idle()

    def connection_lost(self, error: Exception | None) -> None:
        """As asyncio calls it."""
        self.is_gone = True
        self._backend.connections.pop(self, None)
        if self._idle_timer:
            self._idle_timer.cancel()

    def eof_received(self) -> bool:
        """As asyncio calls it: what is being worked on may still be answered."""
        self.is_gone = True
        return self._is_busy

    def data_received(self, data: bytes) -> None:
        """As asyncio calls it."""
        backend = self._backend
        if backend.is_cut_off:
            return
        if self._request_began_at is None:
            self._request_began_at = backend.loop.time()
        for message in self._reader.feed(data):
            began_at = self._request_began_at
            self._request_began_at = None
            if backend.is_up:
                request_id = message.fields.get(wire_protocol.REQUEST_ID)
                backend.effect_log.body_received(backend.backend_id, request_id, message.body, backend.loop.time())
                self._is_busy = True
                backend.request_received(self, message, began_at)

    def respond(self, data: bytes) -> None:
        """Writes a complete response."""
        if not self._transport.is_closing():
            self._transport.write(data)
            self._become_idle()

    def truncate(self, data: bytes) -> None:
        """Writes a part of a response and ends the connection."""
        if not self._transport.is_closing():
            self._transport.write(data)
            self._transport.close()

    def abort(self) -> None:
        """Resets it."""
        self._transport.abort()

    def _become_idle(self) -> None:
        self._is_busy = False
        if self._idle_timer:
            self._idle_timer.cancel()
        self._idle_timer = self._backend.loop.call_later(self._backend.settings.idle_timeout_seconds, self._idle_too_long)

    def _idle_too_long(self) -> None:
        if not self._is_busy and not self._reader.has_partial_message:
            self._transport.close()
