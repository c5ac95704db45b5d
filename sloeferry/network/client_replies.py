"""Builds the replies to clients and maps faults to status codes."""

from collections.abc import Sequence
from typing import NamedTuple

from sloeferry.network import protocol
from sloeferry.network.http1.framing import StreamEnd
from sloeferry.network.http1.message import HOP_BY_HOP_HEADERS, Header, Message
from sloeferry.network.http1.streamed_body import StreamedBody
from sloeferry.network.reservation import Reservation

OK, BAD_REQUEST, METHOD_NOT_ALLOWED, REQUEST_TIMEOUT = 200, 400, 405, 408
CONFLICT, CONTENT_TOO_LARGE, SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT = 409, 413, 503, 504
# Replies to invalid requests. There is none for CLOSED: the client has disconnected.
STATUS_BY_FAULT = {
    StreamEnd.MALFORMED: BAD_REQUEST,
    StreamEnd.UNWANTED: BAD_REQUEST,
    StreamEnd.TOO_LARGE: CONTENT_TOO_LARGE,
    StreamEnd.OVERDUE: REQUEST_TIMEOUT,
}
# Headers of a backend's response that are not forwarded to the client.
WITHHELD_HEADERS = HOP_BY_HOP_HEADERS | {protocol.LOAD_REPORT, protocol.IS_REJECTED}


class Reply(NamedTuple):
    """A reply to a client."""

    status: int
    body: bytes | StreamedBody = b""
    headers: Sequence[Header] = ()
    reservation: Reservation | None = None  # of the memory for the body, until it is written


FAILED = Reply(GATEWAY_TIMEOUT)


def retry_after_headers(delay_ms: float) -> Sequence[Header]:
    """Return the Retry-After header for the delay; no header if the delay is 0."""
    return [(protocol.RETRY_AFTER, b"%.3f" % (delay_ms / 1000))] if delay_ms else ()


def rejection_reply(delay_ms: float) -> Reply:
    """Return the reply to a request that had no effect, so that the client may safely retry it."""
    return Reply(SERVICE_UNAVAILABLE, headers=retry_after_headers(delay_ms))


def backend_reply(response: Message) -> Reply:
    """Return the reply that forwards a backend's response."""
    return Reply(OK, response.body_stream or response.body(), response.forwarded_headers(WITHHELD_HEADERS), response.reservation)
