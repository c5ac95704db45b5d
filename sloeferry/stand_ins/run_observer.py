"""Interfaces through which stand-ins look up planned requests and report events to the recorder or judge of a run.

Backends and discovery use `RunObserver`, whose default implementation knows no requests and records nothing.  Clients use
`ClientLog`.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from sloeferry.stand_ins.wire_protocol import RequestOutcome

if TYPE_CHECKING:
    from sloeferry.rehearsal.arrivals import PlannedRequest


class RecentWork(NamedTuple):
    """Work received by a backend during its warm-up."""

    received_at: float  # seconds
    work_ms: float
    request_id: bytes


class RunObserver:
    """The default observer of a run: it knows no requests and records nothing; times are seconds of the stand-in's event loop."""

    # Properties of requests, looked up by backends

    def request_class(self, request_id: bytes | None) -> Any:
        """Return the request class (the scenario's `RequestClass`) of a request; None for an id that no client has used."""

    def work_ms(self, request_id: bytes) -> float:
        """Return the work that a request costs an idle backend of one core."""
        return 0.0

    def always_fails(self, request_id: bytes) -> bool:
        """Return whether every backend answers the request with an error."""
        return False

    def proxy_of(self, request_id: bytes) -> str:
        """Return the proxy that the request was sent to, or an empty string if that is unknown."""
        return ""

    def is_expired(self, request_id: bytes, now: float) -> bool:
        """Return whether the deadline of the request has passed."""
        return False

    def response_bytes(self, request_id: bytes) -> int:
        """Return the size of the response's body."""
        return self.request_class(request_id).response_bytes

    # Events of backends

    def body_received(self, backend_id: str, request_id: bytes | None, body: bytes, now: float) -> None:
        """Record that a backend received a complete request with this body."""

    def attempt_received(self, backend_id: str, zone: str, request_id: bytes, sent_at: float) -> None:
        """Record that a backend received an attempt, its first byte at `sent_at`."""

    def acted_on_received(self, backend_id: str, request_id: bytes, versions: bytes, now: float) -> None:
        """Record the versions of settings and endpoint list that an attempt states it was sent under."""

    def request_ran(self, backend_id: str, request_id: bytes, now: float) -> None:
        """Record that a backend begins to run a request."""

    def work_done(self, work_ms: float) -> None:
        """Record an amount of work done."""

    def health_check_received(self, backend_id: str, work_ms: float) -> None:
        """Record that a backend received a health check, and the work that it costs."""

    def congestion_began(self, backend_id: str) -> None:
        """Record that a long queue begins to slow a backend down."""

    def backend_overloaded(self, backend_id: str, now: float, capacity_ratio: float, recent: Sequence[RecentWork]) -> None:
        """Record that a backend received more work in its warm-up than it can do; `recent` is the work of the overload window."""

    def rule_violated(self, rule: str, now: float, text: str) -> None:
        """Record that a rule was broken."""

    # Events of discovery

    def proxy_notified(self, proxy: str, backend_id: str, state: str, now: float, started_at_ms: int = 0) -> None:
        """Record that a proxy is notified of a backend's state."""

    def list_sent(self, proxy: str, revision: int, now: float) -> None:
        """Record that the list of a revision, or the changes up to it, is sent to a proxy."""

    def state_published(self, backend_id: str, state: str, now: float) -> None:
        """Record that a backend's state has changed in the list."""


class ClientLog(Protocol):
    """The interface through which clients look up requests and report events; times are as for `RunObserver`."""

    slack_seconds: float  # tolerance of time limits

    def body_bytes(self, request_id: bytes) -> int:
        """Return the size of a request's body."""

    def request_started(self, request_id: bytes, planned: "PlannedRequest", proxy: str, now: float, deadline: float) -> None:
        """Record that a client begins to write a request."""

    def request_written(self, request_id: bytes, now: float, deadline: float) -> None:
        """Record that the last byte of a request has been written."""

    def response_received(self, request_id: bytes, now: float, status: int, body: bytes) -> RequestOutcome:
        """Record a complete response and return the outcome that it stands for."""

    def may_send_again(self, request_id: bytes) -> bool:
        """Return whether a client may send a request once more because the proxy may have been closing the idle connection."""

    def response_missing(self, request_id: bytes, now: float, reason: str) -> RequestOutcome:
        """Record that a request got no response and return the outcome that it counts as."""

    def request_ended(self, planned: "PlannedRequest", outcome: RequestOutcome, now: float) -> None:
        """Record that a client is done with a request, including all retries."""

    def rule_violated(self, rule: str, now: float, text: str) -> None:
        """Record that a rule was broken."""
