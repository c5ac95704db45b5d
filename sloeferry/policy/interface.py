"""The interface between the policy and its host.

A host (the bench's adapter, or the dispatcher of a real proxy) creates one `Policy` per instance, calls it according to
`PolicyInterface` and carries out the commands that the policy gives through `PolicyHost`.  The policy runs only during these
calls.

Times are float milliseconds of the host's monotonic clock.  Request ids, endpoint ids and keys are opaque values of the host;
request classes, tenants, zones and machine kinds are indexes into the settings.
"""

import enum
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from sloeferry.config.settings import Settings

if TYPE_CHECKING:
    from sloeferry.policy.request_classes import RequestClass
    from sloeferry.policy.requests import Request

EndpointId = Hashable


class AttemptOutcome(enum.Enum):
    """The result of an attempt or a health check."""

    SERVED = "served"
    ERROR = "error"  # the endpoint answered with an error instead of the request's response
    REJECTED = "rejected"  # by the endpoint, which guarantees that the request never ran
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"  # no connection, or the request was not written completely, so it never ran
    CONNECTION_LOST = "connection lost"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"
    UNKNOWN = "unknown"  # it may have run; says nothing about the endpoint


class EndpointState(enum.Enum):
    """The state of an endpoint according to the endpoint list."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListScope(enum.Enum):
    """The scope of a list from a poll or a watch, or the reason why there is none."""

    COMPLETE = "complete"  # all endpoints; one that is not listed is gone
    CHANGES = "changes"
    CACHED = "cached"  # all endpoints, as an earlier process last knew them
    POLL_FAILED = "poll failed"
    WATCH_ENDED = "watch ended"  # a watch that had sent its list ended


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list."""

    endpoint_id: EndpointId
    zone: Hashable  # an index into the settings, or a name that is not in them
    machine_kind: Hashable  # like `zone`
    cell: int
    state: EndpointState
    started_at: float  # ms; 0: unknown, long ago


# Commands, as the dispatcher queues them for the carrier of a request


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send an attempt to an endpoint."""

    attempt_number: int  # per request, from 0
    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt."""

    attempt_number: int


@dataclass(frozen=True, slots=True)
class Complete:
    """Answer the request with an endpoint's response."""

    response: Any


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer that the request had no effect, so that a retry is harmless."""

    retry_after_ms: float  # 0: none is sent


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer that the request failed and may have had an effect."""


@dataclass(frozen=True, slots=True)
class Abandon:
    """End a request without a decision: the client has disconnected, or there was none in time, which is answered with 504."""


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Ask an endpoint for its load, or only for a response."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Ask discovery for the endpoint list."""


RequestCommand = SendAttempt | CancelAttempt | Complete | Reject | Fail | Abandon


class PolicyHost(Protocol):
    """The commands that a policy gives to its host; each call takes effect at once, in order."""

    def send_attempt(self, request_id: int, endpoint_id: EndpointId) -> None:
        """Send the request's next attempt; its attempts are numbered 0, 1, 2 ... in the order of these calls."""

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Cancel that attempt."""

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """Send the final answer that the request had no effect and that a retry is harmless."""

    def fail(self, request_id: int) -> None:
        """Send the final answer that the request failed and may have run."""

    def send_health_check(self, endpoint_id: EndpointId) -> None:
        """Ask that endpoint for its load."""

    def poll_endpoints(self) -> None:
        """Ask discovery for the endpoint list."""

    def schedule_wakeup(self, at: float, token: int) -> None:
        """Call `timer_fired` with that token at that time."""


class PolicyInterface(Protocol):
    """The events that a host passes to a policy.

    The host on sockets also uses its attributes `rules`, `table`, `requests` and `polling.staleness` (in the send guard and the
    endpoint events), `timers` (for obsolete wake-ups) and `fleet.process_count` (in a takeover).
    """

    def update_settings(self, settings: Settings) -> None:
        """Apply other settings from now on."""

    def retry_after_if_rejected_ms(
        self, now: float, class_index: int, tenant_index: int, is_retry: bool, has_waited: bool
    ) -> float | None:
        """Return None if a request may be accepted, or else the Retry-After of its rejection (0.0: rejected without one)."""

    def endpoints_listed(self, now: float, scope: ListScope, entries: Sequence[EndpointEntry], answers_poll: bool = True) -> None:
        """Process an endpoint list, or a poll that failed.

        `answers_poll` is false if the list came from a watch that is about to end while a poll is still unanswered.
        """

    def request_arrived(
        self,
        now: float,
        request_id: int,
        class_index: int,
        tenant_index: int,
        affinity_key: Hashable,
        time_left_ms: float,
        cost_hint: float | None,
        is_retry: bool,
    ) -> None:
        """Accept a request; an `affinity_key` of 0 and a `cost_hint` of None mean that it has none."""

    def response_started(self, now: float, request_id: int, attempt_number: int) -> None:
        """Note that an attempt's response is being sent to the client."""

    def body_outgrew_buffer(self, now: float, request_id: int, attempt_number: int) -> None:
        """Note that more of the request's body was sent than is buffered, so that no other attempt can follow this one."""

    def attempt_ended(
        self,
        now: float,
        request_id: int,
        attempt_number: int,
        outcome: AttemptOutcome,
        is_answered: bool,
        took_ms: float,
        load_report: Sequence[float],
    ) -> None:
        """Process the end of an attempt; `is_answered` if its request thereby has its final answer."""

    def health_check_ended(
        self, now: float, endpoint_id: EndpointId, outcome: AttemptOutcome, took_ms: float, load_report: Sequence[float]
    ) -> None:
        """Process the end of a health check."""

    def client_left(self, now: float, request_id: int) -> None:
        """Close a request that needs no answer of the policy: its client has disconnected, or none was decided in time."""

    def timer_fired(self, now: float, token: int) -> None:
        """Run the timer whose wake-up is due."""


class ExtensionPoint(Protocol):
    """Another subsystem's part in the policy's decisions, free of I/O; the host installs it in `Policy.extensions`."""

    def retry_after_if_rejected_ms(
        self, now: float, request_class: "RequestClass", tenant_index: int, is_retry: bool, has_waited: bool
    ) -> float | None:
        """Return None if a request may be accepted, or else the Retry-After of its rejection (0.0: rejected without one).

        `has_waited` if it has waited in the queue for the longest time allowed.
        """

    def may_retry(self, now: float, request: "Request") -> bool:
        """Return whether a further attempt may be sent; called before each retry and each hedge or cancellation.

        It is not called for a request that passes admission again.
        """

    def request_accepted(self, now: float, request: "Request") -> None:
        """Note that a request was accepted; called once per request."""

    def request_ended(self, request: "Request", is_served: bool) -> None:
        """Note that a request has ended; called once per request."""

    def is_overloaded(self) -> bool:
        """Return whether latencies currently reflect the load of this proxy instead of the endpoints."""
