"""Serializes requests and responses."""

from collections.abc import Iterable

from sloeferry.network.http1.message import Header

REASONS = {
    200: b"OK",
    202: b"Accepted",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    409: b"Conflict",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked"


def request_head(method: bytes, url: bytes, headers: Iterable[Header], content_length: int | None = 0) -> bytes:
    """Return the head of a request without its final empty line, so that headers can be added.

    Without a content length, the body is sent in chunks.
    """
    lines = [b"%b %b HTTP/1.1\r\n" % (method, url), *[b"%b: %b\r\n" % header for header in headers]]
    if content_length is None:
        lines.append(CHUNKED + b"\r\n")
    elif content_length or method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d\r\n" % content_length)
    return b"".join(lines)


def request(method: bytes, url: bytes, headers: Iterable[Header], body: bytes = b"") -> bytes:
    """Return a complete request."""
    return request_head(method, url, headers, len(body)) + b"\r\n" + body


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def response(
    status: int,
    body: bytes = b"",
    headers: Iterable[Header] = (),
    keep_alive: bool = True,
    framing: list[bytes] | None = None,
) -> bytes:
    """Return a response; if the header lines for its framing are given, return its head only, and the body follows."""
    lines = [
        b"HTTP/1.1 %d %b" % (status, REASONS[status]),
        *([b"Content-Length: %d" % len(body)] if framing is None else framing),
        *(b"%b: %b" % header for header in headers),
    ]
    if not keep_alive:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
