"""Models the warm-up of a stand-in backend, and detects its overload during the warm-up (rule 4)."""

from collections import deque
from typing import TYPE_CHECKING

from sloeferry.stand_ins.run_observer import RecentWork

if TYPE_CHECKING:
    from sloeferry.rehearsal.scenario_tables import Backends, Obligations

OVERLOAD_TOLERANCE_RATIO = 1.1  # to the work limit, since the work of a single request is random


class WarmUpModel:
    """A warm-up in which the capacity of a backend grows linearly from its start on."""

    def __init__(self, settings: "Backends", obligations: "Obligations | None"):
        """Create the model; `obligations` may be None where backends do not warm up."""
        self._settings = settings
        self._obligations = obligations
        self._started_at = 0.0
        self._recent: deque[RecentWork] = deque()

    def start(self, now: float, is_warm: bool) -> None:
        """Begin the warm-up at `now`, in seconds; with `is_warm` the backend has its full capacity at once."""
        self._started_at = now - (self._settings.warm_up_seconds if is_warm else 0.0)

    def capacity_ratio(self, now: float) -> float:
        """Return the ratio of its current to its full capacity."""
        age_seconds = now - self._started_at
        warm_up_seconds = self._settings.warm_up_seconds
        initial_ratio = self._settings.initial_capacity_ratio
        if age_seconds >= warm_up_seconds:
            return 1.0
        return initial_ratio + (1 - initial_ratio) * age_seconds / warm_up_seconds

    def recent_work(self) -> list[RecentWork]:
        """Return the work received in the overload window."""
        return list(self._recent)

    def add_work(self, work: RecentWork) -> bool:
        """Add received work from any proxy; return whether the work of the overload window overloads the backend."""
        now = work.received_at
        capacity_ratio = self.capacity_ratio(now)
        if capacity_ratio == 1.0:
            return False
        obligations, settings = self._obligations, self._settings
        window_seconds = obligations.overload_window_ms / 1000
        self._recent.append(work)
        while self._recent and self._recent[0].received_at <= now - window_seconds:
            self._recent.popleft()
        max_rate = obligations.overload_multiple * capacity_ratio * settings.cores * settings.speed
        limit_ms = max_rate * obligations.overload_window_ms
        return sum(recent.work_ms for recent in self._recent) > limit_ms * OVERLOAD_TOLERANCE_RATIO

    def clear(self) -> None:
        """Forget all received work because the backend has stopped."""
        self._recent.clear()
