"""The interface between the decisions and their host.

A host (the bench's adapter, or the dispatcher of a real proxy) makes one `Policy` for each instance, calls it as
`PolicyInterface` says and carries out what the policy asks of it through `PolicyHost`.  Between two calls nothing happens.

Times are float milliseconds of the host's monotonic clock.  Request ids, endpoint ids and keys stay as the host gives them;
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
    """How an attempt or a health check ended."""

    SERVED = "served"
    ERROR = "error"  # a response that is not the request's
    REJECTED = "rejected"  # by the endpoint, which promises that it never ran
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"  # no connection, or the request was not written completely: it never ran
    CONNECTION_LOST = "connection lost"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"
    UNKNOWN = "unknown"  # it may have run, and nothing tells of the endpoint


class EndpointState(enum.Enum):
    """What the endpoint list says of an endpoint."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListScope(enum.Enum):
    """What came of a poll or a watch."""

    COMPLETE = "complete"  # all endpoints; one that is not named is gone
    CHANGES = "changes"
    CACHED = "cached"  # all endpoints, as an earlier process last held them
    POLL_FAILED = "poll failed"
    WATCH_ENDED = "watch ended"  # the watch that had told its list


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list."""

    endpoint_id: EndpointId
    zone: Hashable  # an index into the settings, or a name that they do not know
    machine_kind: Hashable  # the same
    cell: int
    state: EndpointState
    started_at: float  # ms; 0: long ago


# Commands, as the dispatcher queues them for whoever carries a request


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Begin an attempt."""

    attempt_number: int  # of its request, from 0
    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Call an attempt off."""

    attempt_number: int


@dataclass(frozen=True, slots=True)
class Complete:
    """Answer with this response of an endpoint."""

    response: Any


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer that the request had no effect; trying again is harmless."""

    retry_after_ms: float  # 0: nothing is said of it


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer that the request may have had an effect."""


@dataclass(frozen=True, slots=True)
class Abandon:
    """No decision follows: the client has gone, or none came in time.  A client that is still there is told 504."""


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Ask an endpoint for its load, or whether it answers at all."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Ask discovery for the endpoint list."""


RequestCommand = SendAttempt | CancelAttempt | Complete | Reject | Fail | Abandon


class PolicyHost(Protocol):
    """What a policy asks of its host.  Each call takes effect now, in order."""

    def send_attempt(self, request_id: int, endpoint_id: EndpointId) -> None:
        """Begin the request's next attempt; its attempts are numbered 0, 1, 2 ... in the order of these calls."""

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Call that attempt off."""

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """Give the final answer that nothing has run and that trying again is harmless."""

    def fail(self, request_id: int) -> None:
        """Give the final answer that the request may have run."""

    def send_health_check(self, endpoint_id: EndpointId) -> None:
        """Ask that endpoint for its load."""

    def poll_endpoints(self) -> None:
        """Ask discovery for the endpoint list."""

    def schedule_wakeup(self, at: float, token: int) -> None:
        """Call `timer_fired` with that token at that time."""


class PolicyInterface(Protocol):
    """What a host tells a policy.

    The host on sockets reads more of it: `rules`, `table`, `requests` and `polling.staleness` (the send guard, the endpoint
    events), `timers` (whether a wake-up is still needed) and `fleet.process_count` (a takeover).
    """

    def update_settings(self, settings: Settings) -> None:
        """Other settings hold from now on."""

    def rejection_delay_ms(
        self, now: float, class_index: int, tenant_index: int, is_retry: bool, has_waited: bool
    ) -> float | None:
        """Before a request is taken on: None if it may be, else the Retry-After of its rejection."""

    def endpoints_listed(self, now: float, scope: ListScope, entries: Sequence[EndpointEntry], answers_poll: bool = True) -> None:
        """A list came, or a poll failed.

        `answers_poll`: not so if a watch told it that is about to end, while the poll for another is still out.
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
        """A request is taken on; `affinity_key` 0 and `cost_hint` None: none is known."""

    def response_started(self, now: float, request_id: int, attempt_number: int) -> None:
        """An attempt's response has begun to go out to the client."""

    def body_outgrew_buffer(self, now: float, request_id: int, attempt_number: int) -> None:
        """More of the request's body has gone out with this attempt than is held: no other attempt can follow."""

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
        """An attempt has ended; `is_answered`: its request has its final answer."""

    def health_check_ended(
        self, now: float, endpoint_id: EndpointId, outcome: AttemptOutcome, took_ms: float, load_report: Sequence[float]
    ) -> None:
        """A health check has ended."""

    def client_left(self, now: float, request_id: int) -> None:
        """The client has gone: the request needs no answer."""

    def timer_fired(self, now: float, token: int) -> None:
        """A wake-up is due."""


class ExtensionPoint(Protocol):
    """Another subsystem's part in the decisions, free of I/O; the host installs it in `Policy.extensions`."""

    def rejection_delay_ms(
        self, now: float, request_class: "RequestClass", tenant_index: int, is_retry: bool, has_waited: bool
    ) -> float | None:
        """Before a request is taken on: None if it may be, else the Retry-After of its rejection.

        `has_waited`: it has waited to be admitted for as long as it may.
        """

    def may_retry(self, now: float, request: "Request") -> bool:
        """Before each attempt after the first."""

    def request_accepted(self, now: float, request: "Request") -> None:
        """Told once of each request."""

    def request_ended(self, request: "Request", is_served: bool) -> None:
        """Told once of each request."""

    def is_overloaded(self) -> bool:
        """Whether how long things take tells of this proxy now, not of the endpoints."""
