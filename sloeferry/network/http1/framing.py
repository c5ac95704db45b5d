"""Bytes in; complete messages, or the parts of one's body as they come, out.  No socket here.

Strict about what says where a message ends, since two readers that disagree about it let one message hide in another.
"""

import enum
from collections.abc import Callable

import httptools

from sloeferry import environment
from sloeferry.network.http1.message import Message

MAX_BUFFERED_BODY_BYTES = 65536  # of a body; what is longer is passed on as it comes
MAX_HEAD_BYTES = 16384  # the most of all else of a message
MAX_BODY_BYTES = 1 << 26  # the longest body that is passed on
MAX_LENGTH_DIGITS = 9
CHUNK_LINE_ALLOWANCE = 9  # bytes of chunk lines that a byte of a body may bring along
BODILESS_STATUSES = (204, 304)  # responses that have no body, whatever their head says


class StreamEnd(enum.Enum):
    """Why no (further) message comes."""

    CLOSED = "closed"
    MALFORMED = "malformed"
    TOO_LARGE = "too large"
    UNWANTED = "unwanted"
    OVERDUE = "overdue"
    # No fault: a complete request, rejected before it was parsed.
    REJECTED_UNPARSED = "rejected unparsed"


class MessageFraming:
    """Cuts a stream into messages.

    `completed` holds the messages that ended; `message` is the one under way once `has_begun`; `fault` says why no more
    will come.
    """

    def __init__(
        self,
        is_response: bool,
        on_body: Callable[[Message, bytes], None] | None = None,
        accepts_head: Callable[[Message], bool] | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        """`on_body` takes each part of a body instead of having it kept; `accepts_head` is asked once a head is complete."""
        self._is_response = is_response
        self._on_body = on_body
        self._accepts_head = accepts_head
        self._max_body_bytes = max_body_bytes
        self._non_body_bytes = 0
        parser = httptools.HttpResponseParser if is_response else httptools.HttpRequestParser
        self._parser = parser(self)
        self.message = Message()
        self.completed: list[Message] = []
        self.fault: StreamEnd | None = None
        self.has_begun = False

    # What httptools calls

    def on_message_begin(self) -> None:
        """The first byte of a message."""
        self.message, self.has_begun = Message(), True

    def on_url(self, url: bytes) -> None:
        """A part of the request's target."""
        self.message.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer."""
        message = self.message
        if message.is_head_complete:
            return  # a trailer: it must not pass for a header, of its own message or the next
        name, value = name.lower(), value.strip(b" \t")  # blanks may stand at either end of a value
        message.headers.append((name, value))
        message.single_headers[name] = None if name in message.single_headers else value
        message.body_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """The head is complete: whether it can be read, and is wanted."""
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
            self._fail(StreamEnd.UNWANTED)  # before its body, which may be large or never come

    def _check_length(self, message: Message) -> None:
        headers = message.single_headers
        if b"transfer-encoding" in headers:
            # Another coding, or one twice, or chunks to one who cannot know of them: where it ends cannot be known.
            coding = (headers[b"transfer-encoding"] or b"").lower()
            if coding != b"chunked" or message.is_http10:
                self._fail(StreamEnd.MALFORMED)
        if b"content-length" in headers:
            # Two lengths, or one beside chunks: what the next reader takes for the body may hide a request.
            length = headers[b"content-length"] or b""
            if not length.isdigit() or b"transfer-encoding" in headers:
                self._fail(StreamEnd.MALFORMED)
            if len(length) > MAX_LENGTH_DIGITS or int(length) > self._max_body_bytes:
                self._fail(StreamEnd.TOO_LARGE)  # here: not a byte more of it is read
            message.content_length = int(length)

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        self._non_body_bytes = max(0, self._non_body_bytes - (1 + CHUNK_LINE_ALLOWANCE) * len(data))
        if self._on_body is not None:
            self._on_body(self.message, data)
            return
        self.message.body_bytes += len(data)
        if self.message.body_bytes > self._max_body_bytes:
            self._fail(StreamEnd.TOO_LARGE)
        self.message.body_parts.append(data)

    def on_message_complete(self) -> None:
        """The last byte of a message."""
        self.has_begun = False
        self.message.completed_at, self.message.is_complete = environment.monotonic(), True
        if not 100 <= self.message.status < 200:
            if not self.message.is_streamed:  # taken once more it would be sent twice
                self.completed.append(self.message)
            self._non_body_bytes = 0

    def _fail(self, fault: StreamEnd) -> None:
        """Ends the parsing, from within a call of the parser."""
        self.fault = fault
        raise ValueError(fault)

    # For whoever reads

    def feed(self, buffer: bytearray, length: int) -> StreamEnd | None:
        """Takes in `length` bytes received; none are the end of the stream.  Why nothing more will come, or None."""
        if not length:
            self._end_of_stream()
            return self.fault
        # Counted as it comes: of a head, a chunk line or trailer without end the parser tells nothing,
        # it only grows; and 1xx responses may come for ever, each of them complete.
        self._non_body_bytes += length
        try:
            self._parser.feed_data(memoryview(buffer)[:length])
            if self._non_body_bytes > MAX_HEAD_BYTES:
                self.fault = StreamEnd.TOO_LARGE
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fault = self.fault or StreamEnd.MALFORMED
        return self.fault

    def _end_of_stream(self) -> None:
        """The end of the connection is the end of a response without length; one that is cut off is reset."""
        message = self.message
        is_chunked = b"transfer-encoding" in message.single_headers
        if self.has_unknown_length() and not is_chunked and message.status not in BODILESS_STATUSES:
            message.keep_alive = False
            self.on_message_complete()
        self.fault = StreamEnd.CLOSED

    def oversized_message(self) -> Message | None:
        """The message under way, where it is more than is held: whoever wants the rest takes it as it comes."""
        message = self.message
        if not self.has_begun or not message.is_head_complete or not message.body_bytes or self.fault:
            return None
        # A response known to be long is passed on from its first bytes; of a request as much as may be is held, for until
        # more has gone out it can go elsewhere.
        is_long = self._is_response and (message.content_length or 0) > MAX_BUFFERED_BODY_BYTES
        return message if is_long or message.body_bytes >= MAX_BUFFERED_BODY_BYTES else None

    def pending_messages(self) -> list[Message]:
        """The messages that are complete or under way and that nobody has taken yet."""
        is_under_way = self.has_begun and not self.message.is_streamed
        return self.completed + [self.message] * is_under_way

    def has_unknown_length(self) -> bool:
        """Whether a response is under way of which nobody knows how long it is."""
        message = self.message
        is_final = message.status >= 200
        return self._is_response and self.has_begun and message.is_head_complete and message.content_length is None and is_final

    def close(self) -> None:
        """A parser and what it calls hold each other: left to the collector, ended connections pile up."""
        self._parser = None
