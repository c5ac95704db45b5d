"""An open request and its attempts.

A request's kind is its class and its tenant; an attempt's path is the zone and the cell of its endpoint.  For each of these
four a tracker measures the ratio of attempts answered in time (`success_rate.py`, `fault_attribution.py`).
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
# These say nothing about the endpoint: nothing was sent to it, or its response was malformed, and any endpoint's response may be
# corrupted in transit.
UNINFORMATIVE_OUTCOMES = (AttemptOutcome.NEVER_SENT, AttemptOutcome.UNKNOWN)
# The latency of these also depends on the request's kind.
REQUEST_KIND_OUTCOMES = (AttemptOutcome.SERVED, AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED)
ENDPOINT_RESPONSE_OUTCOMES = (AttemptOutcome.SERVED, AttemptOutcome.ERROR, AttemptOutcome.REJECTED)
CONNECTION_FAILURE_OUTCOMES = (AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST)
MIN_GOOD_PATH_QUALITY = 0.3  # on a better path, a late attempt is attributed to the request's kind


class AttemptState(enum.Enum):
    """The state of an attempt: in flight, ended and possibly run, or ended and certainly never run."""

    IN_FLIGHT = "out"
    MAY_HAVE_RUN = "may have run"
    NEVER_RAN = "never ran"


class Attempt:
    """An attempt to have one endpoint serve a request."""

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
        self.estimate_when_sent = estimate  # requests in flight at the endpoint
        self.expected_ms = expected_ms
        self.state = AttemptState.IN_FLIGHT
        self.outcome: AttemptOutcome | None = None
        self.overdue_at = 0.0
        self.opens_connection = endpoint.own_in_flight >= endpoint.open_connections

    def track(self, overdue_at: float) -> None:
        """Register the attempt with the trackers of its request and its path, to be counted once it ends or is overdue.

        An attempt of a kind that is at fault does not count for the path, and an attempt on a bad path does not count for its
        kind.
        """
        self.overdue_at = overdue_at
        is_path_good = self.endpoint.path_quality > MIN_GOOD_PATH_QUALITY
        is_at_fault = self.request.is_at_fault()
        for tracker in self.request.trackers:
            tracker.attempt_sent(self, tracker.is_at_fault or is_path_good and not is_at_fault)
        for tracker in self.endpoint.path_trackers:
            tracker.attempt_sent(self, not is_at_fault)

    def is_overtaken(self) -> bool:
        """Return whether the last three attempts served by the endpoint were all sent after this one.

        Then this one's connection is probably dead.
        """
        served = self.endpoint.last_served_sent_at
        return len(served) == served.maxlen and min(served) > self.sent_at

    def end(self, now: float, outcome: AttemptOutcome) -> None:
        """End the attempt and update its endpoint and the trackers of its request's kind and its path."""
        self.state = AttemptState.NEVER_RAN if outcome in NEVER_RAN_OUTCOMES else AttemptState.MAY_HAVE_RUN
        self.outcome = outcome
        self.endpoint.attempt_ended(outcome)
        is_served = outcome is AttemptOutcome.SERVED
        in_time = None if outcome in UNINFORMATIVE_OUTCOMES else is_served and now <= self.overdue_at
        is_kind_outcome = outcome in REQUEST_KIND_OUTCOMES
        if is_kind_outcome and not self.request.is_at_fault():
            self.request.request_class.attempt_ended(now, is_served)
        for tracker in self.request.trackers:
            tracker.attempt_ended(now, self, in_time if is_kind_outcome else None)
        is_answered = outcome is AttemptOutcome.ERROR or in_time
        path_in_time = is_answered if outcome is not AttemptOutcome.REJECTED else None
        for tracker in self.endpoint.path_trackers:
            tracker.attempt_ended(now, self, path_in_time)
        del self.request  # which refers to its attempts: the two would wait for the garbage collector


class Request:
    """A request that the proxy has accepted."""

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
        self.relative_size = relative_size  # its cost hint relative to the mean of its class
        self.attempts: list[Attempt] = []
        self.is_answered = False
        self.trackers: tuple[SuccessRateTracker, ...] = ()

    def typical_latency_ms(self) -> float:
        """Return the typical latency at an idle endpoint."""
        return self.request_class.typical_latency_ms() * self.relative_size

    def is_at_fault(self) -> bool:
        """Return whether requests of its class or tenant are late at every endpoint."""
        return any(tracker.is_at_fault for tracker in self.trackers)

    def has_attempt_in_flight(self) -> bool:
        """Return whether an attempt is in flight."""
        return any(attempt.state is AttemptState.IN_FLIGHT for attempt in self.attempts)

    def attempts_that_may_have_run(self, before: int | None = None) -> list[Attempt]:
        """Return the attempts (with a number below `before`) that are in flight, or ended without proof that they never ran."""
        return [attempt for attempt in self.attempts[:before] if attempt.state is not AttemptState.NEVER_RAN]
