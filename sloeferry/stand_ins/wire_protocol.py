"""Names and values of the platform's protocol as stand-ins use it: headers, paths, kinds, states and outcomes.

They are defined here instead of imported from the proxy, so that a misspelling in the proxy is detected.  Names of received
headers are in lower case, as `Message.fields` has them.
"""

import enum

REQUEST_ID = b"x-call-id"
IDEMPOTENCY_KEY = b"idempotency-key"
ACTED_ON = b"x-acted-on"  # the versions of settings and endpoint list that an attempt was sent under
RETRY_AFTER = b"retry-after"
CONNECTION = b"connection"

READY_PATH = b"/ready"
LOAD_PATH = b"/status/load"
HEALTH_PATH = b"/health"
ENDPOINTS_PATH = b"/v1/endpoints"

ADMIN_PORT_OFFSET = 1000  # from a proxy's client port to its admin port
REJECTED_HEADER = b"X-Rejected: 1\r\n"

STATUS_OK = 200
REJECTED_STATUSES = (429, 503)


class RequestKind(enum.StrEnum):
    """The idempotency of a request class; the values are those of scenarios and plans."""

    IDEMPOTENT = "repeatable"
    DEDUPLICATED = "referenced"
    NON_IDEMPOTENT = "once-only"


class BackendState(enum.StrEnum):
    """The state in which discovery lists a backend; the values are those on the wire."""

    READY = "active"
    DRAINING = "leaving"
    GONE = "left"


class RequestOutcome(enum.StrEnum):
    """The outcome of a request for its client; the values are those of records."""

    SERVED = "settled"
    REJECTED = "declined"
    FAILED = "reversed"
    UNANSWERED = "lost"
    PROXY_KILLED = "killed"  # unanswered because its proxy was killed
    CLIENT_LEFT = "left"
    NOT_ACCEPTED = "untaken"  # no proxy accepted it
    PROXY_STOPPED = "late"  # unanswered in time because its proxy's machine was stalled


def outcome_of_status(status: int) -> RequestOutcome:
    """Return the outcome that the status of a response stands for."""
    if status == STATUS_OK:
        return RequestOutcome.SERVED
    return RequestOutcome.REJECTED if status in REJECTED_STATUSES else RequestOutcome.FAILED
