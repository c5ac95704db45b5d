"""How many attempts of one kind, or on one path, are answered in time."""

from collections.abc import Collection
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sloeferry.policy.requests import Attempt

SMOOTHING = 8  # attempts over which the rate is averaged


class SuccessRateTracker:
    """The rate at which the attempts of a request class or a tenant, or those to a zone or a cell, are answered in time.

    Attempts that are still out count as soon as they are overdue, so that one never answered shows as soon as a late one.
    """

    def __init__(self):
        self.rate = 1.0  # a moving average
        self.last_recorded_at = -inf  # when anything was last told of it
        self.open_attempts: dict[Attempt, bool] = {}
        self.uncounted_attempts: dict[Attempt, bool] = {}  # of those, the ones that count, oldest first
        self.is_at_fault = False  # its attempts are late wherever they go: one at a time goes on
        self.was_last_late = False
        self.relative_rate = 1.0  # against the best of its group

    def record(self, now: float, in_time: float) -> None:
        """One attempt was answered in time (1) or was not (0)."""
        self.rate += (in_time - self.rate) / SMOOTHING
        self.last_recorded_at = now
        self.was_last_late = not in_time

    def must_wait(self, now: float, pause_ms: float) -> bool:
        """Whether another attempt has to wait: while at fault one at a time goes on, after a late one a while later."""
        return self.is_at_fault and bool(self.open_attempts or self.was_last_late and now - self.last_recorded_at < pause_ms)

    def attempt_sent(self, attempt: "Attempt", is_counted: bool) -> None:
        """An attempt began; `is_counted`: how it ends will be counted."""
        self.open_attempts[attempt] = True
        if is_counted:
            self.uncounted_attempts[attempt] = True

    def attempt_ended(self, now: float, attempt: "Attempt", in_time: bool | None) -> None:
        """An attempt ended; None: that tells nothing of how soon they are answered."""
        self.open_attempts.pop(attempt, None)
        if self.uncounted_attempts.pop(attempt, False) and in_time is not None:
            self.record(now, in_time)

    def count_overdue(self, now: float) -> None:
        """Counts the attempts that are overdue by now as not answered in time."""
        while self.uncounted_attempts and now > (oldest := next(iter(self.uncounted_attempts))).overdue_at:
            del self.uncounted_attempts[oldest]
            self.record(now, 0.0)


def update_relative_rates(trackers: Collection[SuccessRateTracker], now: float, max_age_ms: float) -> None:
    """Rates each tracker against the best of its group; 1 where nothing was told of any within `max_age_ms`."""
    for tracker in trackers:
        tracker.count_overdue(now)
    best = max([tracker.rate for tracker in trackers if now - tracker.last_recorded_at < max_age_ms], default=0.0)
    for tracker in trackers:  # the best is as good as itself, however bad it is
        tracker.relative_rate = min(1.0, tracker.rate / best) if best else 1.0
