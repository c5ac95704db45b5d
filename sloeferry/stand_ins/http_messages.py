"""Parses and encodes the subset of HTTP/1.1 that stand-ins need: complete messages, with a content length or chunked."""

import re
from collections.abc import Sequence
from typing import NamedTuple

CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
CHUNKED = re.compile(rb"(?i)\r\ntransfer-encoding: *chunked")
FIELD = re.compile(rb"\r\n([^:\r\n]+): *([^\r\n]*)")
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"


class Message(NamedTuple):
    """One request or response; header names are in lower case."""

    first_line: bytes
    fields: dict[bytes, bytes]
    body: bytes


class ChunkedBody(NamedTuple):
    """A decoded chunked body, or None if it is incomplete.

    `position` is the end of a complete body, or else the minimum length of the data at which decoding can make progress.
    """

    body: bytes | None
    position: int


class MessageReader:
    """Splits a stream of bytes into messages."""

    __slots__ = ("_unread", "_bytes_needed")

    def __init__(self):
        self._unread = b""
        self._bytes_needed = 0  # minimum length of the unread bytes to parse again

    @property
    def has_partial_message(self) -> bool:
        """Return whether a message has begun and is incomplete."""
        return bool(self._unread)

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return all messages that are now complete."""
        self._unread += data
        messages = []
        while len(self._unread) >= self._bytes_needed and (head_end := self._unread.find(HEAD_END)) >= 0:
            message = self._take(head_end)
            if message is None:
                break
            messages.append(message)
        return messages

    def _take(self, head_end: int) -> Message | None:
        """Remove and return the message whose head ends at `head_end`; return None if it is incomplete."""
        body_start = head_end + len(HEAD_END)
        if CHUNKED.search(self._unread, 0, head_end + len(LINE_END)):
            body, end = decode_chunked(self._unread, body_start)
            if body is None:
                self._bytes_needed = max(end, len(self._unread) + 1)
                return None
        else:
            length = CONTENT_LENGTH.search(self._unread, 0, head_end + len(LINE_END))
            end = body_start + (int(length[1]) if length else 0)
            if len(self._unread) < end:
                self._bytes_needed = end
                return None
            body = self._unread[body_start:end]
        head = self._unread[:head_end]
        self._unread = self._unread[end:]
        self._bytes_needed = 0
        fields = {name.lower(): value for name, value in FIELD.findall(head)}
        return Message(head.partition(LINE_END)[0], fields, body)


def decode_chunked(data: bytes, start: int) -> ChunkedBody:
    """Decode the chunked body that begins at `start`."""
    chunks = []
    position = start
    while (size_end := data.find(LINE_END, position)) >= 0:
        size = int(data[position:size_end].partition(b";")[0], 16)
        if not size:
            return _skip_trailers(data, size_end, b"".join(chunks))
        position = size_end + len(LINE_END) + size + len(LINE_END)
        if len(data) < position:
            return ChunkedBody(None, position)
        chunks.append(data[size_end + len(LINE_END) : position - len(LINE_END)])
    return ChunkedBody(None, 0)


def _skip_trailers(data: bytes, line_end: int, body: bytes) -> ChunkedBody:
    """Skip the trailers; `line_end` is the end of the last chunk's size line."""
    while (next_end := data.find(LINE_END, line_end + len(LINE_END))) > line_end + len(LINE_END):
        line_end = next_end
    if next_end == line_end + len(LINE_END):
        return ChunkedBody(body, line_end + len(HEAD_END))
    return ChunkedBody(None, 0)


def encode_chunked(body: bytes, sizes: Sequence[int]) -> bytes:
    """Encode a body in chunks, cycling through `sizes`.

    Chunk extensions and a trailer are added; a proxy that took the trailer for a header would change the request class.
    """
    encoded = b""
    position = 0
    chunk_count = 0
    while position < len(body):
        chunk = body[position : position + sizes[chunk_count % len(sizes)]]
        extension = b";a=b" if chunk_count % 2 else b""
        encoded += b"%x%b\r\n%b\r\n" % (len(chunk), extension, chunk)
        position += len(chunk)
        chunk_count += 1
    return encoded + b"0\r\nX-Call-Class: another\r\nX-Tail: 1\r\n\r\n"


def content_length(head: bytes) -> int:
    """Return the length that a head states; 0 if it states none."""
    length = CONTENT_LENGTH.search(head)
    return int(length[1]) if length else 0


def make_request_body(request_id: bytes, size_bytes: int) -> bytes:
    """Return the body of one request, made from its id, so that a truncated or another request's body is detected."""
    return (request_id * (size_bytes // len(request_id) + 1))[:size_bytes]


def make_response(status: int, body: bytes = b"", header_lines: bytes = b"") -> bytes:
    """Encode a complete response; each of the `header_lines` ends in CRLF."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), header_lines, body)
