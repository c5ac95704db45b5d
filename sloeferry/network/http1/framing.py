"""Splits received bytes into HTTP messages and body parts, without any I/O.

It is strict about message framing: if two parsers disagree about where a message ends, one message can be hidden in another
(request smuggling).
"""

import enum
from collections.abc import Callable

import httptools

from sloeferry import environment
from sloeferry.network.http1.message import Message

MAX_BUFFERED_BODY_BYTES = 65536  # longer bodies are streamed
MAX_HEAD_BYTES = 16384  # for all bytes of a message outside its body
MAX_BODY_BYTES = 1 << 25
MAX_LENGTH_DIGITS = 9
CHUNK_LINE_ALLOWANCE = 9  # bytes of chunk lines for each byte of a body
BODILESS_STATUSES = (204, 304)  # responses without a body, regardless of their headers
NO_MESSAGE = Message()  # `MessageFraming.message` between two messages


class StreamEnd(enum.Enum):
    """The reason why no further message can be read."""

    CLOSED = "closed"
    MALFORMED = "malformed"
    TOO_LARGE = "too large"
    UNWANTED = "unwanted"
    OVERDUE = "overdue"
    # Not a fault: a complete request was rejected before it was parsed.
    REJECTED_UNPARSED = "rejected unparsed"


class MessageFraming:
    """Splits a byte stream into messages.

    `completed` holds the complete messages; `message` is the one being received if `has_begun` is set; `fault` is the reason why
    no more can be read.
    """

    def __init__(
        self,
        is_response: bool,
        on_body: Callable[[Message, bytes], None] | None = None,
        accepts_head: Callable[[Message], bool] | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        """Create a parser; `on_body` receives each part of a body, which is then not buffered.

        `accepts_head` decides whether a request with that head is read on.
        """
        self._is_response = is_response
        self._on_body = on_body
        self._accepts_head = accepts_head
        self._max_body_bytes = max_body_bytes
        self._non_body_bytes = 0
        parser = httptools.HttpResponseParser if is_response else httptools.HttpRequestParser
        self._parser = parser(self)
        self.message = NO_MESSAGE
        self.completed: list[Message] = []
        self.fault: StreamEnd | None = None
        self.has_begun = False
        self.written_at_ms: float | None = None  # when the bytes being fed were written at the earliest; None: now

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a message at its first byte."""
        self.message, self.has_begun = Message(), True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.message.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; ignore a trailer."""
        message = self.message
        if message.is_head_complete:
            return  # a trailer must not be taken for a header of this message or the next
        name, value = name.lower(), value.strip(b" \t")  # optional whitespace is not part of the value
        message.append_header(name, value)
        message.body_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """Validate the complete head and decide whether to read on."""
        message = self.message
        version = self._parser.get_http_version()
        message.keep_alive, message.is_http10 = self._parser.should_keep_alive(), version == "1.0"
        message.is_head_complete = True
        if version not in ("1.0", "1.1"):
            self._fail(StreamEnd.MALFORMED)
        head_bytes, message.body_bytes = len(message.url) + message.body_bytes, 0
        if head_bytes > MAX_HEAD_BYTES:
            self._fail(StreamEnd.TOO_LARGE)
        self._check_length(message)
        if self._is_response:
            message.status = self._parser.get_status_code()
            return
        message.method = self._parser.get_method()
        message.expects_continue = (message.header(b"expect") or b"").lower() == b"100-continue"
        if self._accepts_head and not self._accepts_head(message):
            self._fail(StreamEnd.UNWANTED)  # before its body, which may be large or never arrive

    def _check_length(self, message: Message) -> None:
        is_coded = message.has_header(b"transfer-encoding")
        if is_coded:
            # With another coding, a repeated header, or chunks in HTTP/1.0, the end of the message is ambiguous.
            coding = (message.header(b"transfer-encoding") or b"").lower()
            if coding != b"chunked" or message.is_http10:
                self._fail(StreamEnd.MALFORMED)
        if message.has_header(b"content-length"):
            # With two lengths, or a length and chunks, the next parser may find a hidden request in the body.
            length = message.header(b"content-length") or b""
            if not length.isdigit() or is_coded:
                self._fail(StreamEnd.MALFORMED)
            if len(length) > MAX_LENGTH_DIGITS or int(length) > self._max_body_bytes:
                self._fail(StreamEnd.TOO_LARGE)  # before any of the body is read
            message.content_length = int(length)

    def on_body(self, data: bytes) -> None:
        """Pass on or buffer a part of the body."""
        self._non_body_bytes = max(0, self._non_body_bytes - (1 + CHUNK_LINE_ALLOWANCE) * len(data))
        if self._on_body is not None:
            self._on_body(self.message, data)
            return
        self.message.append_body(data)
        if self.message.body_bytes > self._max_body_bytes:
            self._fail(StreamEnd.TOO_LARGE)

    def on_message_complete(self) -> None:
        """Complete a message at its last byte."""
        self.has_begun = False
        self.message.is_complete = True
        self.message.written_at_ms = environment.monotonic_ms() if self.written_at_ms is None else self.written_at_ms
        if not 100 <= self.message.status < 200:
            if not self.message.is_streamed:  # a streamed message would be sent twice
                self.completed.append(self.message)
            self._non_body_bytes = 0

    def _fail(self, fault: StreamEnd) -> None:
        """Record the fault and stop the parser, from within one of its callbacks."""
        self.fault = fault
        raise ValueError(fault)

    # Interface for readers

    def feed(self, buffer: bytearray | bytes, length: int) -> StreamEnd | None:
        """Parse `length` received bytes; 0 means the end of the stream. Return why no more can be read, or None."""
        if not length:
            self._end_of_stream()
            return self.fault
        # Counted on receipt: the parser reports nothing while an endless head, chunk line or trailer grows, and 1xx responses,
        # each of them complete, could follow each other forever.
        self._non_body_bytes += length
        try:
            self._parser.feed_data(memoryview(buffer)[:length])
            if self._non_body_bytes > MAX_HEAD_BYTES:
                self.fault = StreamEnd.TOO_LARGE
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fault = self.fault or StreamEnd.MALFORMED
        return self.fault

    def _end_of_stream(self) -> None:
        """Complete a response that is delimited by the end of the connection, and record the end.

        A truncated response of this kind is assumed to end with a reset instead.
        """
        message = self.message
        is_chunked = message.has_header(b"transfer-encoding")
        if self.has_unknown_length() and not is_chunked and message.status not in BODILESS_STATUSES:
            message.keep_alive = False
            self.on_message_complete()
        self.fault = StreamEnd.CLOSED

    def oversized_message(self) -> Message | None:
        """Return the message being received if it exceeds the buffer limit, so that the rest has to be streamed."""
        message = self.message
        if not self.has_begun or not message.is_head_complete or not message.body_bytes or self.fault:
            return None
        # A response known to be long is streamed from its first bytes. A request is buffered up to the limit, because it can be
        # sent to another backend until more than the buffered part has been sent.
        is_long = self._is_response and self.has_long_body()
        return message if is_long or message.body_bytes >= MAX_BUFFERED_BODY_BYTES else None

    def pending_messages(self) -> list[Message]:
        """Return the messages that are complete or being received and have not been taken by a reader."""
        is_under_way = self.has_begun and not self.message.is_streamed
        return self.completed + [self.message] * is_under_way

    def has_unknown_length(self) -> bool:
        """Return whether a final response of unknown length is being received."""
        message = self.message
        is_final = message.status >= 200
        return self._is_response and self.has_begun and message.is_head_complete and message.content_length is None and is_final

    def has_long_body(self) -> bool:
        """Return whether the message being received is stated to exceed the buffer limit."""
        return (self.message.content_length or 0) > MAX_BUFFERED_BODY_BYTES

    def head_bytes(self) -> int:
        """Return how many bytes of an incomplete head have been received; 0 once it is complete."""
        return 0 if self.message.is_head_complete or not self.has_begun else self._non_body_bytes

    def forget_message(self) -> None:
        """Drop the last complete message, whose body would be held until the next one begins."""
        if not self.has_begun:
            self.message = NO_MESSAGE

    def close(self) -> None:
        """Break the reference cycles through the parser and the callbacks.

        Otherwise the objects of closed connections accumulate until the garbage collector runs.
        """
        self._parser = None
        self._on_body = self._accepts_head = None
