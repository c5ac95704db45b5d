"""A request or a response as it was received."""

from collections.abc import Set
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sloeferry.network.body_stream import ResponseBodyStream

Header = tuple[bytes, bytes]  # name in lower case, value

# Headers that speak of one connection alone, or are written anew.
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
    """What a client's request is, by the settings."""

    class_index: int
    tenant_index: int
    time_left_ms: float


class Message:
    """A request or a response; its body may still be on its way."""

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
        "rejection_delay_ms",
        "body_stream",
    )

    def __init__(self):
        self.url = b""
        self.method = b""
        self.status = 0
        self.headers: list[Header] = []
        self.single_headers: dict[bytes, bytes | None] = {}  # None: it came twice
        self.body_parts: list[bytes] = []
        self.body_bytes = 0  # received; until the head is complete, bytes of the head
        self.content_length: int | None = None  # None: the head does not tell
        self.is_http10 = False
        self.keep_alive = False
        self.expects_continue = False
        self.is_head_complete = False
        self.is_complete = False
        self.completed_at = 0.0  # seconds, monotonic
        self.is_streamed = False  # somebody takes the body as it comes: at its end it is nobody's next message
        self.attributes: RequestAttributes | None = None  # of a client's request; None for one to /ready
        self.rejection_delay_ms: float | None = None  # rejected before it is taken on, with that Retry-After
        self.body_stream: ResponseBodyStream | None = None  # of a response whose body is still on its way

    def header(self, name: bytes) -> bytes | None:
        """The one value of a header; None if it is missing or came twice."""
        return self.single_headers.get(name)

    def body(self) -> bytes:
        """All that has come of the body."""
        self.body_parts = [b"".join(self.body_parts)]  # not both: bodies are most of the memory
        return self.body_parts[0]

    def take_body(self) -> bytes:
        """What has come of the body since the last time."""
        data = b"".join(self.body_parts)
        self.body_parts.clear()
        return data

    def forwarded_headers(self, dropped: Set[bytes]) -> list[Header]:
        """Its headers, without those dropped and those that its Connection names: these are for one hop alone."""
        if b"connection" in self.single_headers:
            named = b",".join(value for name, value in self.headers if name == b"connection")
            dropped = dropped.union(name.strip().lower() for name in named.split(b","))
        return [header for header in self.headers if header[0] not in dropped]
