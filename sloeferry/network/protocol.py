"""The names of the platform's protocol: headers, paths and document fields, each defined only here.

Source: the platform's protocol page.  Header names of received messages are in lower case, since they are looked up that way.
"""

from sloeferry.policy.interface import EndpointState

# Headers of a client's request
REQUEST_ID = b"x-call-id"
REQUEST_CLASS = b"x-call-class"
TENANT = b"x-caller"
IS_RETRY = b"x-again"  # TRUE: the client's own retry
TIME_LEFT_MS = b"x-budget-ms"
IDEMPOTENCY_KEY = b"idempotency-key"
REQUEST_INFO = b"x-call-info"  # comma-separated parts; entity=KEY is the affinity key
TRUE = b"1"

READY_PATH = b"/ready"
RETRY_AFTER = b"Retry-After"  # seconds

# Header of an attempt, beside those of the client's request
ATTEMPT_TIME_LEFT_MS = b"X-Budget-Ms"

# Headers of a backend's response
LOAD_REPORT = b"x-load-report"
IS_REJECTED = b"x-rejected"  # TRUE on a 503 or 504: the request has not run

LOAD_PATH = b"/status/load"  # of health checks, if the settings name fields of load reports
HEALTH_PATH = b"/health"  # of health checks otherwise
BACKEND_HOST = b"backend.local"

# Discovery
ENDPOINTS_PATH = "/v1/endpoints?stream=1"
REVISION_PARAMETER = "&index="  # followed by the revision after which changes are requested

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
STATE_NAMES = {state: name for name, state in ENDPOINT_STATES.items()}
