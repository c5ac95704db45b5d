"""One connection of open-loop clients: requests out, one at a time, and whole responses in."""

import asyncio
from typing import NamedTuple, Protocol, cast

from sloeferry.load_testing.outcomes import Outcome
from sloeferry.load_testing.plan import Arrival, RequestClassLoad

HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH = b"content-length:"
RETRY_AFTER = b"retry-after:"
STATUS_CODE = slice(9, 12)  # of "HTTP/1.1 200 OK"
UNKNOWN_CLASS = "nobody"  # a request class that every proxy refuses


class Response(NamedTuple):
    """A whole response."""

    status: int
    data: bytes

    def closes_connection(self) -> bool:
        """Whether the proxy closes the connection after it."""
        return b"onnection: close" in self.data[: self.data.find(HEAD_END)]

    def retry_after_seconds(self) -> float | None:
        """When to come back; None where nothing is said of it."""
        value_at = self.data.lower().find(RETRY_AFTER)
        if value_at < 0:
            return None
        return float(self.data[value_at + len(RETRY_AFTER) : self.data.find(b"\r", value_at)])


class OpenLoopRequest:
    """One request of a client, through all of its attempts; times in seconds of the monotonic clock."""

    __slots__ = ("arrival", "due_at", "ends_at", "sent_at", "attempts", "connection", "is_over", "outcome")

    def __init__(self, arrival: Arrival, due_at: float):
        self.arrival = arrival
        self.due_at = due_at
        self.ends_at = due_at + arrival.patience_ms / 1000
        self.sent_at = 0.0  # 0: no attempt is out
        self.attempts = 0
        self.connection: ClientConnection | None = None
        self.is_over = False
        self.outcome = Outcome.UNSENT  # if nothing better comes


class ConnectionOwner(Protocol):
    """Who is told what happens on a connection."""

    def connection_opened(self, connection: "ClientConnection") -> None:
        """It is up."""

    def response_received(self, connection: "ClientConnection", response: Response) -> None:
        """A whole response has come."""

    def connection_closed(self, connection: "ClientConnection") -> None:
        """It has ended, from either side."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client; `request` is what is in flight on it."""

    transport: asyncio.Transport  # from connection_made on

    def __init__(self, owner: ConnectionOwner):
        self._owner = owner
        self._received = b""
        self._response_bytes: int | None = None  # once its head is there
        self.request: OpenLoopRequest | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop."""
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
        """Called by the event loop."""
        self._owner.connection_closed(self)


def response_bytes(data: bytes) -> int | None:
    """How long a response is by its head, head included; None while the head is not there."""
    head_end = data.find(HEAD_END)
    if head_end < 0:
        return None
    length_at = data.lower().find(CONTENT_LENGTH, 0, head_end)
    length = int(data[length_at + len(CONTENT_LENGTH) : data.find(b"\r", length_at)]) if length_at >= 0 else 0
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
    """An attempt as it is written."""
    has_key = request_class.has_idempotency_key
    class_name = UNKNOWN_CLASS if arrival.is_invalid else request_class.name
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
