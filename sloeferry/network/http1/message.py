"""Received HTTP requests and responses."""

from collections.abc import Sequence, Set
from typing import NamedTuple

from sloeferry.network.http1.packed_headers import PackedHeaders
from sloeferry.network.http1.streamed_body import StreamedBody
from sloeferry.network.reservation import Reservation

Header = tuple[bytes, bytes]  # name in lower case, value

MAX_SEPARATE_HEADERS = 64  # held as objects of their own, which is faster; few messages have more

# Headers that apply to a single connection, or that the proxy writes itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)


class RequestAttributes(NamedTuple):
    """The request class, tenant and time left of a client's request."""

    class_index: int
    tenant_index: int
    time_left_ms: float


class Message:
    """A request or a response; its body may be incomplete."""

    __slots__ = (
        "url",
        "method",
        "status",
        "headers",
        "single_headers",
        "_packed_headers",
        "_body",
        "body_bytes",
        "content_length",
        "is_http10",
        "keep_alive",
        "expects_continue",
        "is_head_complete",
        "is_complete",
        "written_at_ms",
        "is_streamed",
        "attributes",
        "retry_after_if_rejected_ms",
        "body_stream",
        "reservation",
    )

    def __init__(self):
        self.url = b""
        self.method = b""
        self.status = 0
        self.headers: list[Header] = []  # the first ones; `all_headers` returns all
        self.single_headers: dict[bytes, bytes | None] = {}  # of `headers`; None: the header is repeated
        self._packed_headers: PackedHeaders | None = None  # the others
        # What was received and not taken, in one piece: as objects of their own, small chunks would take many times their bytes.
        self._body: bytes | bytearray = b""
        self.body_bytes = 0  # received so far; until the head is complete, bytes of the headers
        self.content_length: int | None = None  # None: not given in the head
        self.is_http10 = False
        self.keep_alive = False
        self.expects_continue = False
        self.is_head_complete = False
        self.is_complete = False
        self.written_at_ms = 0.0  # when its last byte was written at the earliest; ms, monotonic
        self.is_streamed = False  # the body is streamed: at its end the message is not added to those completed
        self.attributes: RequestAttributes | None = None  # of a client's request; None for one to /ready
        # Retry-After if the request is rejected before acceptance (0.0: none is sent); None if it is not rejected.
        self.retry_after_if_rejected_ms: float | None = None
        self.body_stream: StreamedBody | None = None  # of a response whose body is incomplete
        self.reservation: Reservation | None = None  # of memory, for a large head or body

    def append_header(self, name: bytes, value: bytes) -> None:
        """Add a received header; `name` is in lower case."""
        if len(self.headers) < MAX_SEPARATE_HEADERS:
            self.headers.append((name, value))
            self.single_headers[name] = None if name in self.single_headers else value
            return
        if self._packed_headers is None:
            self._packed_headers = PackedHeaders()
        self._packed_headers.append(name, value)
        if name in self.single_headers:
            self.single_headers[name] = None

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; None if it is missing or repeated."""
        if self._packed_headers and name not in self.single_headers:
            return self._packed_headers.get(name)
        return self.single_headers.get(name)

    def has_header(self, name: bytes) -> bool:
        """Return whether there is a header of that name, repeated or not."""
        return name in self.single_headers or bool(self._packed_headers and name in self._packed_headers)

    def all_headers(self) -> Sequence[Header]:
        """Return all headers in order."""
        return [*self.headers, *self._packed_headers] if self._packed_headers else self.headers

    def append_body(self, data: bytes) -> None:
        """Add a received part of the body."""
        self.body_bytes += len(data)
        if not self._body:
            self._body = data  # most bodies come in one part, which is not copied
            return
        if isinstance(self._body, bytes):
            self._body = bytearray(self._body)
        self._body += data

    def body(self) -> bytes:
        """Return all of the body that has been received and not taken."""
        if isinstance(self._body, bytearray):
            self._body = bytes(self._body)
        return self._body

    @property
    def held_bytes(self) -> int:
        """Return how much of the body has been received and not taken."""
        return len(self._body)

    def take_body(self, max_bytes: int | None = None) -> bytes:
        """Return what was received of the body and not taken, or its first `max_bytes`."""
        if max_bytes is not None and len(self._body) > max_bytes:
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            data = bytes(self._body[:max_bytes])
            del self._body[:max_bytes]
            return data
        data = self.body()
        self._body = b""
        return data

    def forwarded_headers(self, dropped: Set[bytes]) -> list[Header]:
        """Return the headers to forward: without those dropped and the hop-by-hop headers that Connection lists."""
        headers = self.all_headers()
        if self.has_header(b"connection"):
            named = b",".join(value for name, value in headers if name == b"connection")
            dropped = dropped.union(name.strip().lower() for name in named.split(b","))
        return [header for header in headers if header[0] not in dropped]
