"""The platform's protocol: its header, path and document names, each spelt here alone.

Source: the platform's protocol page.  Header names of messages received are in lower case, as they are looked up.
"""

from sloeferry.policy.interface import EndpointState

# Of a client's request
REQUEST_ID = b"x-call-id"
REQUEST_CLASS = b"x-call-class"
TENANT = b"x-caller"
IS_RETRY = b"x-again"  # TRUE: the client's own retry
TIME_LEFT_MS = b"x-budget-ms"
IDEMPOTENCY_KEY = b"idempotency-key"
REQUEST_INFO = b"x-call-info"  # entity=KEY among its comma-separated parts: the affinity key
TRUE = b"1"

READY_PATH = b"/ready"
RETRY_AFTER = b"Retry-After"  # seconds

# Of an attempt, beside what the client's request had
ATTEMPT_TIME_LEFT_MS = b"X-Budget-Ms"

# Of a backend's response
LOAD_REPORT = b"x-load-report"
IS_REJECTED = b"x-rejected"  # TRUE on a 503 or 504: it never ran

LOAD_PATH = b"/status/load"  # health check where there are load reports
HEALTH_PATH = b"/health"  # and where there are none
BACKEND_HOST = b"backend.local"

# Discovery
ENDPOINTS_PATH = "/v1/endpoints?stream=1"
REVISION_PARAMETER = "&index="

REVISION = "revision"
IS_COMPLETE = "complete"
ENDPOINTS = "members"
ENDPOINT_ID = "id"
ENDPOINT_ADDRESS = "host_port"
ENDPOINT_ZONE = "locality"
MACHINE_KIND = "flavor"
ENDPOINT_CELL = "cell"
ENDPOINT_STATE = "phase"
CAPACITY_SHARE = "size"
STARTED_AT_UNIX_MS = "up_since_ms"

ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
STATE_NAMES = {state: word for word, state in ENDPOINT_STATES.items()}
