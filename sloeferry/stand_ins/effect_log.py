"""What stand-ins ask and tell whoever keeps the record of a play.

`EffectLog` is what backends and discovery need, and by itself knows and keeps nothing; `ClientLog` is what clients need.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from sloeferry.stand_ins.wire_protocol import RequestOutcome

if TYPE_CHECKING:
    from sloeferry.rehearsal.arrivals import PlannedRequest


class RecentWork(NamedTuple):
    """Work that came to a backend that warms up."""

    received_at: float  # seconds
    work_ms: float
    request_id: bytes


class EffectLog:
    """Request ids are bytes; times are seconds of the stand-in's own loop."""

    # What backends ask of a request

    def request_class(self, request_id: bytes | None) -> Any:
        """Its request class, as scenarios have it (`RequestClass`); None for an id that no client has used."""

    def work_ms(self, request_id: bytes) -> float:
        """What it costs an idle backend of one core."""
        return 0.0

    def always_fails(self, request_id: bytes) -> bool:
        """Whether any backend answers it with an error."""
        return False

    def proxy_of(self, request_id: bytes) -> str:
        """The proxy that has it, where that is known."""
        return ""

    def is_expired(self, request_id: bytes, now: float) -> bool:
        """Whether its deadline has passed."""
        return False

    def response_bytes(self, request_id: bytes) -> int:
        """The size of its response's body."""
        return self.request_class(request_id).response_bytes

    # What backends tell

    def body_received(self, backend_id: str, request_id: bytes | None, body: bytes, now: float) -> None:
        """A request has come whole."""

    def attempt_received(self, backend_id: str, zone: str, request_id: bytes, sent_at: float) -> None:
        """An attempt has come; its first byte came at `sent_at`."""

    def acted_on_received(self, backend_id: str, request_id: bytes, versions: bytes, now: float) -> None:
        """An attempt says which versions of settings and endpoint list it acts on."""

    def request_ran(self, backend_id: str, request_id: bytes, now: float) -> None:
        """A backend begins to run a request."""

    def work_done(self, work_ms: float) -> None:
        """So much work has been done."""

    def health_check_received(self, backend_id: str, work_ms: float) -> None:
        """A health check has come, and costs so much."""

    def congestion_began(self, backend_id: str) -> None:
        """A backend is slowed down by its long queue."""

    def backend_overloaded(self, backend_id: str, now: float, capacity_ratio: float, recent: Sequence[RecentWork]) -> None:
        """A backend that warms up got more work than it can do; `recent` is what came in the span that counts."""

    def violation(self, rule: str, now: float, text: str) -> None:
        """A rule is broken."""

    # What discovery tells

    def proxy_notified(self, proxy: str, backend_id: str, state: str, now: float, started_at_ms: int = 0) -> None:
        """A proxy is being told a backend's state."""

    def list_sent(self, proxy: str, revision: int, now: float) -> None:
        """A list of that revision, or what changed up to it, is being written to a proxy."""

    def state_published(self, backend_id: str, state: str, now: float) -> None:
        """A backend's state has changed in the list."""


class ClientLog(Protocol):
    """As `EffectLog`, for clients."""

    slack_seconds: float  # that a limit may be exceeded by

    def body_bytes(self, request_id: bytes) -> int:
        """The size of a request's body."""

    def request_started(self, request_id: bytes, planned: "PlannedRequest", proxy: str, now: float, deadline: float) -> None:
        """A request is being written; `request_written` tells when its last byte was."""

    def request_written(self, request_id: bytes, now: float, deadline: float) -> None:
        """The last byte of a request has been written."""

    def response_received(self, request_id: bytes, now: float, status: int, body: bytes) -> RequestOutcome:
        """A complete response has come; what it means."""

    def may_send_again(self, request_id: bytes) -> bool:
        """Whether a request may have crossed the closing of an idle connection, so that its client sends it once more."""

    def response_missing(self, request_id: bytes, now: float, reason: str) -> RequestOutcome:
        """No response came; what that counts as."""

    def request_ended(self, planned: "PlannedRequest", outcome: RequestOutcome, now: float) -> None:
        """A client is done with a request, all its tries included."""

    def violation(self, rule: str, now: float, text: str) -> None:
        """A rule is broken."""
