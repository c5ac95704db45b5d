"""The server side of one connection to a stand-in backend."""

import asyncio
from typing import TYPE_CHECKING

from sloeferry.stand_ins import wire_protocol
from sloeferry.stand_ins.http_messages import MessageReader
from sloeferry.stand_ins.upload_plays import AnswerKind, BackendPlay, answer_parts

if TYPE_CHECKING:
    from sloeferry.stand_ins.backends import StandInBackend


MAX_HALT_SECONDS = 10.0  # after which a connection that is not read any more is reset


class BackendConnection(asyncio.Protocol):
    """Reads requests and writes their responses; closes itself after the idle timeout of the settings."""

    def __init__(self, backend: "StandInBackend"):
        self.is_gone = False  # closed by the peer
        self._backend = backend
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None
        self._request_began_at: float | None = None
        self._is_busy = False
        self._idle_timer: asyncio.TimerHandle | None = None
        self._play: BackendPlay | None = None  # of the upload that is being read
        self._upload_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection, or reset it if the backend is down or has too many; called by the event loop."""
        self._transport = transport
        backend = self._backend
        if not backend.is_up or len(backend.connections) >= backend.settings.max_connections:
            transport.abort()
            return
        backend.connections[self] = None
        self._mark_idle()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the backend; called by the event loop."""
        self.is_gone = True
        self._backend.connections.pop(self, None)
        if self._idle_timer:
            self._idle_timer.cancel()

    def eof_received(self) -> bool:
        """Keep the connection open while a request is in progress, so that its response can be sent; called by the event loop."""
        self.is_gone = True
        return self._is_busy

    def data_received(self, data: bytes) -> None:
        """Pass each complete request to the backend; called by the event loop."""
        backend = self._backend
        if backend.is_cut_off:
            return
        if self._request_began_at is None:
            self._request_began_at = backend.loop.time()
            self._upload_begins(data)
        messages = self._reader.feed(data)
        if self._play and not messages:  # behind a complete upload the next request is read at once
            self._follow_pace(self._play, len(data))
        for message in messages:
            began_at = self._request_began_at
            self._request_began_at = None
            if backend.is_up:
                request_id = message.fields.get(wire_protocol.REQUEST_ID)
                backend.observer.body_received(backend.backend_id, request_id, message.body, backend.loop.time())
                self._is_busy = True
                backend.request_received(self, message, began_at)

    def respond(self, data: bytes) -> None:
        """Write a complete response."""
        if not self._transport.is_closing():
            self._transport.write(data)
            self._mark_idle()

    def _upload_begins(self, data: bytes) -> None:
        self._play, self._upload_bytes = BackendPlay.from_head(data), 0
        if self._play and self._play.answer is AnswerKind.EARLY:
            self._respond_in_parts(self._play)

    def _follow_pace(self, play: BackendPlay, received_bytes: int) -> None:
        """Stop reading until the pace of an upload allows more."""
        self._upload_bytes += received_bytes
        loop = self._backend.loop
        wait_seconds = self._request_began_at + play.pace.seconds_until(self._upload_bytes) - loop.time()
        if wait_seconds > MAX_HALT_SECONDS:
            self._transport.pause_reading()
            loop.call_later(MAX_HALT_SECONDS, self._transport.abort)
        elif wait_seconds > 0:
            self._transport.pause_reading()
            loop.call_later(wait_seconds, self._resume_reading)

    def _resume_reading(self) -> None:
        if not self.is_gone and not self._transport.is_closing():
            self._transport.resume_reading()

    def upload_received(self) -> None:
        """Write the response for which a complete upload asks, unless it was written before the upload was read."""
        if self._play and self._play.answer is not AnswerKind.EARLY:
            self._respond_in_parts(self._play)

    def _respond_in_parts(self, play: BackendPlay) -> None:
        after_seconds = 0.0
        for part in answer_parts(play.answer):
            after_seconds += part.pause_seconds
            self._backend.loop.call_later(after_seconds, self.respond, part.data)

    def truncate(self, data: bytes) -> None:
        """Write a part of a response and close the connection."""
        if not self._transport.is_closing():
            self._transport.write(data)
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def _mark_idle(self) -> None:
        self._is_busy = False
        if self._idle_timer:
            self._idle_timer.cancel()
        self._idle_timer = self._backend.loop.call_later(self._backend.settings.idle_timeout_seconds, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if not self._is_busy and not self._reader.has_partial_message:
            self._transport.close()
