"""Connects a client of the open-loop load to a proxy: sends one request at a time and parses whole responses."""

import asyncio
from typing import NamedTuple, Protocol, cast

from sloeferry.load_testing.outcomes import Outcome
from sloeferry.load_testing.plan import Arrival, RequestClassLoad

HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH = b"content-length:"
RETRY_AFTER = b"retry-after:"
STATUS_CODE = slice(9, 12)  # of "HTTP/1.1 200 OK"
UNKNOWN_REQUEST_CLASS = "nobody"  # not configured: every proxy refuses it


class Response(NamedTuple):
    """A complete response: status, and head with body."""

    status: int
    data: bytes

    def closes_connection(self) -> bool:
        """Return whether the proxy closes the connection after this response."""
        return b"onnection: close" in self.data[: self.data.find(HEAD_END)]

    def retry_after_seconds(self) -> float | None:
        """Return the value of Retry-After; None if the header is absent."""
        value_start = self.data.lower().find(RETRY_AFTER)
        if value_start < 0:
            return None
        return float(self.data[value_start + len(RETRY_AFTER) : self.data.find(b"\r", value_start)])


class OpenLoopRequest:
    """A request of a client with all of its attempts; times are in seconds of the monotonic clock."""

    __slots__ = ("arrival", "due_at", "expires_at", "sent_at", "attempts", "connection", "is_over", "outcome")

    def __init__(self, arrival: Arrival, due_at: float):
        self.arrival = arrival
        self.due_at = due_at
        self.expires_at = due_at + arrival.patience_ms / 1000
        self.sent_at = 0.0  # 0: no attempt in flight
        self.attempts = 0
        self.connection: ClientConnection | None = None
        self.is_over = False
        self.outcome = Outcome.UNSENT  # until an attempt ends


class ConnectionOwner(Protocol):
    """Receives the events of a connection."""

    def connection_opened(self, connection: "ClientConnection") -> None:
        """Handle an established connection."""

    def response_received(self, connection: "ClientConnection", response: Response) -> None:
        """Handle a complete response."""

    def connection_closed(self, connection: "ClientConnection") -> None:
        """Handle a connection that either side has closed."""


class ClientConnection(asyncio.Protocol):
    """A connection of a client; `request` is the request in flight on it."""

    transport: asyncio.Transport  # set by connection_made

    def __init__(self, owner: ConnectionOwner):
        self._owner = owner
        self._received = b""
        self._response_bytes: int | None = None  # known once the head is complete
        self.request: OpenLoopRequest | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and report each complete response; called by the event loop."""
        if self._received:
            data = self._received + data
        self._received = data
        if self._response_bytes is None:
            self._response_bytes = response_bytes(data)
        if self._response_bytes is None or len(data) < self._response_bytes:
            return
        self._received = data[self._response_bytes :]
        self._response_bytes = None
        self._owner.response_received(self, Response(int(data[STATUS_CODE]), data))

    def connection_lost(self, error: Exception | None) -> None:
        """Report the closed connection; called by the event loop."""
        self._owner.connection_closed(self)


def response_bytes(data: bytes) -> int | None:
    """Return the length of a response including its head; None until the head is complete."""
    head_end = data.find(HEAD_END)
    if head_end < 0:
        return None
    length_start = data.lower().find(CONTENT_LENGTH, 0, head_end)
    length = int(data[length_start + len(CONTENT_LENGTH) : data.find(b"\r", length_start)]) if length_start >= 0 else 0
    return head_end + len(HEAD_END) + length


def encode_request(
    request_id: str,
    idempotency_key: str,
    request_class: RequestClassLoad,
    tenant: str,
    arrival: Arrival,
    budget_ms: int,
    is_retry: bool,
    body: bytes,
) -> bytes:
    """Return the bytes of one attempt."""
    has_key = request_class.has_idempotency_key
    class_name = UNKNOWN_REQUEST_CLASS if arrival.is_invalid else request_class.name
    lines = [
        f"{'POST' if has_key else 'GET'} /api HTTP/1.1",
        "Host: backend.local",
        f"X-Call-Id: {request_id}",
        f"X-Call-Class: {class_name}",
        f"X-Caller: {tenant}",
        f"X-Budget-Ms: {budget_ms}",
    ]
    if has_key:
        lines.append(f"Idempotency-Key: {idempotency_key}")
    if is_retry:
        lines.append("X-Again: 1")
    if body or has_key:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
