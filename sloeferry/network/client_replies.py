"""What a client is answered."""

from collections.abc import Sequence
from typing import NamedTuple

from sloeferry.network import protocol
from sloeferry.network.body_stream import ResponseBodyStream
from sloeferry.network.http1.framing import StreamEnd
from sloeferry.network.http1.message import HOP_BY_HOP_HEADERS, Header, Message

OK, BAD_REQUEST, METHOD_NOT_ALLOWED, REQUEST_TIMEOUT = 200, 400, 405, 408
CONFLICT, CONTENT_TOO_LARGE, SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT = 409, 413, 503, 504
# To a request that cannot be read; whoever ended the connection gets nothing.
STATUS_BY_FAULT = {
    StreamEnd.MALFORMED: BAD_REQUEST,
    StreamEnd.UNWANTED: BAD_REQUEST,
    StreamEnd.TOO_LARGE: CONTENT_TOO_LARGE,
    StreamEnd.OVERDUE: REQUEST_TIMEOUT,
}
# Of a backend's response, what is not the client's.
WITHHELD_HEADERS = HOP_BY_HOP_HEADERS | {protocol.LOAD_REPORT, protocol.IS_REJECTED}


class Reply(NamedTuple):
    """A response to a client."""

    status: int
    body: bytes | ResponseBodyStream = b""
    headers: Sequence[Header] = ()


FAILED = Reply(GATEWAY_TIMEOUT)


def retry_after_headers(delay_ms: float) -> Sequence[Header]:
    """The header that says when to come back; none where nothing is said of it."""
    return [(protocol.RETRY_AFTER, b"%.3f" % (delay_ms / 1000))] if delay_ms else ()


def rejection_reply(delay_ms: float) -> Reply:
    """Trying again is harmless."""
    return Reply(SERVICE_UNAVAILABLE, headers=retry_after_headers(delay_ms))


def backend_reply(response: Message) -> Reply:
    """A backend's response."""
    return Reply(OK, response.body_stream or response.body(), response.forwarded_headers(WITHHELD_HEADERS))
