"""The events that processes of a run record."""

import enum
from typing import Any, Protocol


class Event(enum.StrEnum):
    """An event; its value is its name in records.  The comments list the fields that follow time and name."""

    RUN_BEGAN = "begin"
    RUN_ENDED = "done"  # proxies are killed from now on
    FAULT_BEGAN = "fault"  # number, kind, proxies, number of links
    FAULT_ENDED = "over"  # number
    PROCESS_LATE = "late"  # role, ms

    # Clients
    REQUEST_BEGAN = "asked"  # id, proxy, deadline
    REQUEST_SENT = "sent"  # id, deadline
    RESPONSE_RECEIVED = "answered"  # id, status, true unless a 200 has another request's body
    IDLE_CLOSE_RACED = "crossed"  # id
    RESPONSE_MISSING = "lost"  # id, reason
    CALL_ENDED = "ended"  # number of the request, outcome, time of its first try, number of its tries

    UPLOAD_ENDED = "uploaded"  # id, proxy, what its client waits in seconds, its record (UploadRecord) without the body
    UNSOUND_SERVED = "misused"  # proxy, kind of the bad client, id
    PROXY_STARTED = "launched"  # proxy

    # Backends
    ATTEMPT_RECEIVED = "posted"  # backend, zone, id, arrival time of its first byte
    ATTEMPT_VERSIONS = "acted"  # backend, id, versions that its proxy acted on
    ATTEMPT_RAN = "ran"  # backend, id
    BACKEND_CONGESTED = "choked"  # backend
    BACKEND_OVERLOADED = "fell"  # backend, its capacity ratio, recent work as lists of time, service time in ms and id
    RULE_VIOLATED = "breach"  # rule, text

    # Links
    LINK_ENTERED = "entered"  # link, id, arrival time of its first byte
    LINK_REFUSED = "refused"  # link
    CLIENTS_CUT_OFF = "apart"  # proxy, end time
    DISCOVERY_HELD = "unfed"  # proxy, end time
    DISCOVERY_UNREACHABLE = "unreached"  # proxy, end time

    # Discovery
    ENDPOINT_NOTIFIED = "told"  # proxy, endpoint, its state, Unix time of its start in ms
    LIST_WRITTEN = "listed"  # proxy, revision
    ENDPOINT_PUBLISHED = "published"  # endpoint, its state
    BACKEND_STARTED = "started"  # backend, Unix time of its start in ms

    # Proxies
    PROXY_KILLED = "killed"  # proxy
    PROXY_CRASHED = "crashed"  # proxy, reason
    PROXY_STOPPED = "stopped"  # proxy, end time

    # The fleet's audit
    AUDIT_BEGAN = "auditing"  # discovery's revision
    AUDIT_ENDED = "audited"  # its result


class EventSink(Protocol):
    """An object that records events."""

    def note(self, at: float, event: Event, *fields: Any) -> None:
        """Record an event; `at` is loop time."""
