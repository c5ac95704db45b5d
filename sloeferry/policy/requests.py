"""A request on its way, and its attempts.

A request's kind is its class and its tenant; an attempt's path is the zone and the cell of its endpoint.  Each has a tracker
of how many attempts are answered in time (`success_rate.py`, `fault_attribution.py`).
"""

import enum
from collections.abc import Hashable
from typing import TYPE_CHECKING

from sloeferry.policy.interface import AttemptOutcome
from sloeferry.policy.request_classes import RequestClass
from sloeferry.policy.success_rate import SuccessRateTracker

if TYPE_CHECKING:
    from sloeferry.policy.endpoints import Endpoint

NEVER_RAN_OUTCOMES = (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE, AttemptOutcome.NEVER_SENT)
# They tell nothing of the endpoint: the response of any may be corrupted on the way.
UNINFORMATIVE_OUTCOMES = (AttemptOutcome.NEVER_SENT, AttemptOutcome.UNKNOWN)
# Of these how long they took tells of the request's kind, too.
REQUEST_KIND_OUTCOMES = (AttemptOutcome.SERVED, AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED)
ENDPOINT_RESPONSE_OUTCOMES = (AttemptOutcome.SERVED, AttemptOutcome.ERROR, AttemptOutcome.REJECTED)
CONNECTION_FAILURE_OUTCOMES = (AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST)
GOOD_PATH_QUALITY = 0.3  # above it a late attempt tells of its request's kind, not of the path


class AttemptState(enum.Enum):
    """Whether an attempt may have run."""

    IN_FLIGHT = "out"  # no word yet
    MAY_HAVE_RUN = "may have run"
    NEVER_RAN = "never ran"


class Attempt:
    """One sending of a request to an endpoint."""

    __slots__ = (
        "request",
        "endpoint",
        "sent_at",
        "estimate_when_sent",
        "expected_ms",
        "state",
        "outcome",
        "overdue_at",
        "opens_connection",
    )

    def __init__(self, request: "Request", endpoint: "Endpoint", now: float, estimate: float, expected_ms: float):
        self.request = request
        self.endpoint = endpoint
        self.sent_at = now
        self.estimate_when_sent = estimate  # of requests in flight at the endpoint
        self.expected_ms = expected_ms
        self.state = AttemptState.IN_FLIGHT
        self.outcome: AttemptOutcome | None = None
        self.overdue_at = 0.0
        self.opens_connection = endpoint.own_in_flight >= endpoint.open_connections

    def track(self, overdue_at: float) -> None:
        """Registers the attempt with the trackers of its request and its path, to be judged once it ends or is overdue.

        A request whose kind is at fault tells nothing of the path; an attempt on a bad path tells nothing of its kind.
        """
        self.overdue_at = overdue_at
        is_path_good = self.endpoint.path_quality > GOOD_PATH_QUALITY
        is_at_fault = self.request.is_at_fault()
        for tracker in self.request.trackers:
            tracker.attempt_sent(self, tracker.is_at_fault or is_path_good and not is_at_fault)
        for tracker in self.endpoint.path_trackers:
            tracker.attempt_sent(self, not is_at_fault)

    def is_overtaken(self) -> bool:
        """Three attempts sent there later were served: this one's connection is dead, its endpoint is not."""
        served = self.endpoint.last_served_sent_at
        return len(served) == served.maxlen and min(served) > self.sent_at

    def end(self, now: float, outcome: AttemptOutcome) -> None:
        """It ended: what that tells of its connection, its request's kind and its path."""
        self.state = AttemptState.NEVER_RAN if outcome in NEVER_RAN_OUTCOMES else AttemptState.MAY_HAVE_RUN
        self.outcome = outcome
        self.endpoint.attempt_ended(outcome)
        is_served = outcome is AttemptOutcome.SERVED
        in_time = None if outcome in UNINFORMATIVE_OUTCOMES else is_served and now <= self.overdue_at
        tells_of_kind = outcome in REQUEST_KIND_OUTCOMES
        if tells_of_kind and not self.request.is_at_fault():
            self.request.request_class.attempt_ended(now, is_served)
        for tracker in self.request.trackers:
            tracker.attempt_ended(now, self, in_time if tells_of_kind else None)
        is_answered = outcome is AttemptOutcome.ERROR or in_time
        path_in_time = is_answered if outcome is not AttemptOutcome.REJECTED else None
        for tracker in self.endpoint.path_trackers:
            tracker.attempt_ended(now, self, path_in_time)


class Request:
    """A request that was taken on."""

    __slots__ = (
        "request_id",
        "request_class",
        "arrived_at",
        "tenant_index",
        "affinity_key",
        "max_attempts",
        "deadline",
        "objective_at",
        "weight",
        "relative_size",
        "attempts",
        "is_answered",
        "trackers",
    )

    def __init__(
        self,
        request_id: int,
        request_class: RequestClass,
        now: float,
        time_left_ms: float,
        tenant_index: int = 0,
        affinity_key: Hashable = 0,
        relative_size: float = 1.0,
    ):
        self.request_id = request_id
        self.request_class = request_class
        self.arrived_at = now
        self.tenant_index = tenant_index
        self.affinity_key = affinity_key
        self.max_attempts = request_class.max_attempts
        self.deadline = now + time_left_ms
        self.objective_at = now + request_class.objective_ms
        self.weight = request_class.request_weight(relative_size)
        self.relative_size = relative_size  # its cost hint against the mean hint of its class
        self.attempts: list[Attempt] = []
        self.is_answered = False
        self.trackers: tuple[SuccessRateTracker, ...] = ()

    def typical_latency_ms(self) -> float:
        """How long it takes at an idle endpoint."""
        return self.request_class.typical_latency_ms() * self.relative_size

    def is_at_fault(self) -> bool:
        """Whether its class or its tenant is late wherever it goes."""
        return any(tracker.is_at_fault for tracker in self.trackers)

    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt is still out."""
        return any(attempt.state is AttemptState.IN_FLIGHT for attempt in self.attempts)

    def attempts_that_may_have_run(self, before: int | None = None) -> list[Attempt]:
        """Its attempts (those before that number) that are out, or ended without proof that they did not run."""
        return [attempt for attempt in self.attempts[:before] if attempt.state is not AttemptState.NEVER_RAN]
