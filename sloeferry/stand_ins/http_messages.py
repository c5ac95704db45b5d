"""As much of HTTP/1.1 as stand-ins need: whole messages, with a stated length or in chunks, out of bytes as they come."""

import re

LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
CHUNKED = re.compile(rb"(?i)\r\ntransfer-encoding: *chunked")
FIELD = re.compile(rb"\r\n([^:\r\n]+): *([^\r\n]*)")


class Frames:
    """Bytes in, messages out; `begun` while one is there in part."""

    __slots__ = ("rest", "need")

    def __init__(self):
        self.rest, self.need = b"", 0

    @property
    def begun(self):
        return bool(self.rest)

    def feed(self, data):
        """All that is whole now, as (first line, fields, body)."""
        self.rest += data
        found = []
        while len(self.rest) >= self.need and (end := self.rest.find(b"\r\n\r\n")) >= 0:
            if CHUNKED.search(self.rest, 0, end + 2):
                body, whole = dechunked(self.rest, end + 4)
                if body is None:
                    self.need = max(whole, len(self.rest) + 1)
                    break
            else:
                length = LENGTH.search(self.rest, 0, end + 2)
                whole = end + 4 + (int(length[1]) if length else 0)
                if len(self.rest) < whole:
                    self.need = whole  # not looked at again before it is there
                    break
                body = self.rest[end + 4 : whole]
            head, self.rest, self.need = self.rest[:end], self.rest[whole:], 0
            found.append((head.partition(b"\r\n")[0], {name.lower(): value for name, value in FIELD.findall(head)}, body))
        return found


def dechunked(data, at):
    """The body of the chunks that begin there, and where they end; None and how many bytes it takes to see more."""
    parts = []
    while (end := data.find(b"\r\n", at)) >= 0:
        size = int(data[at:end].partition(b";")[0], 16)
        if not size:
            while (line := data.find(b"\r\n", end + 2)) > end + 2:  # trailers
                end = line
            return (b"".join(parts), end + 4) if line == end + 2 else (None, 0)
        at = end + 2 + size + 2
        if len(data) < at:
            return None, at
        parts.append(data[end + 2 : at - 2])
    return None, 0


def chunked(body, sizes):
    """A body in chunks of those sizes, over and over, with an extension and a trailer that would do harm as a header."""
    text, at, turn = b"", 0, 0
    while at < len(body):
        part = body[at : at + sizes[turn % len(sizes)]]
        text += b"%x%b\r\n%b\r\n" % (len(part), b";a=b" if turn % 2 else b"", part)
        at, turn = at + len(part), turn + 1
    return text + b"0\r\nX-Call-Class: another\r\nX-Tail: 1\r\n\r\n"


def content(ident, size):
    """The body of one request: its own, so that another's, or a part of it, is known for what it is."""
    return (ident * (size // len(ident) + 1))[:size]


def answer(status, body=b"", more=b""):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), more, body)
