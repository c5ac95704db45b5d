"""Tracks the ratio of attempts answered in time, by request class, tenant, zone and cell."""

from collections.abc import Collection
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sloeferry.policy.requests import Attempt

RATE_SMOOTHING_ATTEMPTS = 8  # attempts over which the success rate is averaged


class SuccessRateTracker:
    """The ratio of attempts answered in time of one request class or tenant, or on the path to one zone or cell.

    An attempt in flight counts as late as soon as it is overdue, so that unanswered attempts show as early as late ones.
    """

    def __init__(self):
        self.rate = 1.0  # exponential moving average
        self.last_recorded_at = -inf  # ms
        self.open_attempts: dict[Attempt, bool] = {}
        self.attempts_to_count: dict[Attempt, bool] = {}  # open attempts that are not counted yet, oldest first
        self.is_at_fault = False  # late at all endpoints, therefore limited to one attempt at a time
        self.was_last_late = False
        self.relative_rate = 1.0  # relative to the best rate in its group

    def record(self, now: float, in_time: float) -> None:
        """Record an attempt that was answered in time (1) or was not (0)."""
        self.rate += (in_time - self.rate) / RATE_SMOOTHING_ATTEMPTS
        self.last_recorded_at = now
        self.was_last_late = not in_time

    def must_wait(self, now: float, pause_ms: float) -> bool:
        """Return whether another attempt has to wait.

        While at fault, attempts are sent one at a time, and after a late one only `pause_ms` later.
        """
        return self.is_at_fault and bool(self.open_attempts or self.was_last_late and now - self.last_recorded_at < pause_ms)

    def attempt_sent(self, attempt: "Attempt", is_counted: bool) -> None:
        """Record the start of an attempt; `is_counted` tells whether its end will count."""
        self.open_attempts[attempt] = True
        if is_counted:
            self.attempts_to_count[attempt] = True

    def attempt_ended(self, now: float, attempt: "Attempt", in_time: bool | None) -> None:
        """Record the end of an attempt; `in_time` is None where the end says nothing about lateness."""
        self.open_attempts.pop(attempt, None)
        if self.attempts_to_count.pop(attempt, False) and in_time is not None:
            self.record(now, in_time)

    def count_overdue(self, now: float) -> None:
        """Count the attempts that are overdue by now as not answered in time."""
        while self.attempts_to_count and now > (oldest := next(iter(self.attempts_to_count))).overdue_at:
            del self.attempts_to_count[oldest]
            self.record(now, 0.0)


def update_relative_rates(trackers: Collection[SuccessRateTracker], now: float, max_age_ms: float) -> None:
    """Set each tracker's rate relative to the best of the group; 1 where none has a record within `max_age_ms`."""
    for tracker in trackers:
        tracker.count_overdue(now)
    best = max([tracker.rate for tracker in trackers if now - tracker.last_recorded_at < max_age_ms], default=0.0)
    for tracker in trackers:  # the best one gets 1, however low its rate
        tracker.relative_rate = min(1.0, tracker.rate / best) if best else 1.0
