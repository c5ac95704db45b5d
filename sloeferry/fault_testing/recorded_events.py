"""The events that processes of a run record; the value is the word in the record."""

import enum
from typing import Any, Protocol


class Event(enum.StrEnum):
    """What happened.  The fields that follow time and word in a record stand beside each."""

    RUN_BEGAN = "begin"
    FAULT_BEGAN = "fault"  # number, kind, proxies, how many links
    FAULT_ENDED = "over"  # number
    PROCESS_LATE = "late"  # role, ms

    # Clients
    REQUEST_BEGAN = "asked"  # id, proxy, deadline
    REQUEST_SENT = "sent"  # id, deadline
    RESPONSE_RECEIVED = "answered"  # id, status, whether its body is its own
    IDLE_CLOSE_RACED = "crossed"  # id
    RESPONSE_MISSING = "lost"  # id, reason
    CALL_ENDED = "ended"  # number of the call, outcome, when it began, how many requests it made

    # Backends
    ATTEMPT_RECEIVED = "posted"  # backend, zone, id, when its first byte came
    ATTEMPT_VERSIONS = "acted"  # backend, id, under which versions its proxy sent it
    ATTEMPT_RAN = "ran"  # backend, id
    BACKEND_CONGESTED = "choked"  # backend
    BACKEND_OVERLOADED = "fell"  # backend, its warm-up fraction, what it was sent
    RULE_VIOLATED = "breach"  # rule, text

    # Links
    LINK_ENTERED = "entered"  # link, id, when its first byte came
    LINK_REFUSED = "refused"  # link
    CLIENTS_CUT_OFF = "apart"  # proxy, until when
    DISCOVERY_HELD = "unfed"  # proxy, until when
    DISCOVERY_UNREACHABLE = "unreached"  # proxy, until when

    # Discovery
    ENDPOINT_NOTIFIED = "told"  # proxy, endpoint, its phase, when it started
    LIST_WRITTEN = "listed"  # proxy, revision
    ENDPOINT_PUBLISHED = "published"  # endpoint, its phase
    BACKEND_STARTED = "started"  # backend, when

    # Proxies
    PROXY_KILLED = "killed"  # proxy
    PROXY_CRASHED = "crashed"  # proxy, how
    PROXY_STOPPED = "stopped"  # proxy, until when

    # The fleet's audit
    AUDIT_BEGAN = "auditing"  # discovery's revision
    AUDIT_ENDED = "audited"  # its result


class EventSink(Protocol):
    """Who takes events."""

    def note(self, at: float, event: Event, *fields: Any) -> None:
        """An event; `at` is loop time."""
