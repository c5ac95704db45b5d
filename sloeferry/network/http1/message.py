"""Received HTTP requests and responses."""

from collections.abc import Set
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sloeferry.network.body_stream import ResponseBodyStream

Header = tuple[bytes, bytes]  # name in lower case, value

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
        "body_parts",
        "body_bytes",
        "content_length",
        "is_http10",
        "keep_alive",
        "expects_continue",
        "is_head_complete",
        "is_complete",
        "completed_at",
        "is_streamed",
        "attributes",
        "retry_after_if_rejected_ms",
        "body_stream",
    )

    def __init__(self):
        self.url = b""
        self.method = b""
        self.status = 0
        self.headers: list[Header] = []
        self.single_headers: dict[bytes, bytes | None] = {}  # None: the header is repeated
        self.body_parts: list[bytes] = []
        self.body_bytes = 0  # received so far; until the head is complete, bytes of the headers
        self.content_length: int | None = None  # None: not given in the head
        self.is_http10 = False
        self.keep_alive = False
        self.expects_continue = False
        self.is_head_complete = False
        self.is_complete = False
        self.completed_at = 0.0  # seconds, monotonic
        self.is_streamed = False  # the body is streamed: at its end the message is not added to those completed
        self.attributes: RequestAttributes | None = None  # of a client's request; None for one to /ready
        # Retry-After if the request is rejected before acceptance (0.0: none is sent); None if it is not rejected.
        self.retry_after_if_rejected_ms: float | None = None
        self.body_stream: ResponseBodyStream | None = None  # of a response whose body is incomplete

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; None if it is missing or repeated."""
        return self.single_headers.get(name)

    def body(self) -> bytes:
        """Return all of the body that has been received."""
        self.body_parts = [b"".join(self.body_parts)]  # replaces the parts: bodies take most of the memory
        return self.body_parts[0]

    def take_body(self) -> bytes:
        """Return the part of the body that was received since the last call."""
        data = b"".join(self.body_parts)
        self.body_parts.clear()
        return data

    def forwarded_headers(self, dropped: Set[bytes]) -> list[Header]:
        """Return the headers to forward: without those dropped and the hop-by-hop headers that Connection lists."""
        if b"connection" in self.single_headers:
            named = b",".join(value for name, value in self.headers if name == b"connection")
            dropped = dropped.union(name.strip().lower() for name in named.split(b","))
        return [header for header in self.headers if header[0] not in dropped]
