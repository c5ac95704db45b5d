"""The platform's protocol as stand-ins speak it: header and path names, and the words for kinds, states and outcomes.

Spelt here and not taken from the proxy, so that a fault in the proxy's own spelling shows.  Names of fields received are in
lower case, as they are looked up.
"""

import enum

REQUEST_ID = b"x-call-id"
IDEMPOTENCY_KEY = b"idempotency-key"
ACTED_ON = b"x-acted-on"  # which settings and which endpoint list an attempt acts on
RETRY_AFTER = b"retry-after"
CONNECTION = b"connection"

READY_PATH = b"/ready"
LOAD_PATH = b"/status/load"
HEALTH_PATH = b"/health"
ENDPOINTS_PATH = b"/v1/endpoints"

ADMIN_PORT_OFFSET = 1000  # a proxy's admin port is so far above its clients' port
REJECTED_HEADER = b"X-Rejected: 1\r\n"

STATUS_OK = 200
REJECTED_STATUSES = (429, 503)


class RequestKind(enum.StrEnum):
    """What running a request twice does; the values are the words of scenarios and plans."""

    IDEMPOTENT = "repeatable"
    DEDUPLICATED = "referenced"
    NON_IDEMPOTENT = "once-only"


class BackendState(enum.StrEnum):
    """What discovery lists a backend as; the values are the words on the wire."""

    READY = "active"
    DRAINING = "leaving"
    GONE = "left"


class RequestOutcome(enum.StrEnum):
    """How a request ended for its client; the values are the words of records."""

    SERVED = "settled"
    REJECTED = "declined"
    FAILED = "reversed"
    UNANSWERED = "lost"
    PROXY_KILLED = "killed"  # unanswered, because its proxy was killed
    CLIENT_LEFT = "left"
    NOT_ACCEPTED = "untaken"  # no proxy took it
    PROXY_STOPPED = "late"  # unanswered in time, because its proxy's machine stood still


def outcome_of_status(status: int) -> RequestOutcome:
    """What a response's status means to its client."""
    if status == STATUS_OK:
        return RequestOutcome.SERVED
    return RequestOutcome.REJECTED if status in REJECTED_STATUSES else RequestOutcome.FAILED
