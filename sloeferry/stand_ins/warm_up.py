"""How a stand-in backend warms up, and whether it is pushed over meanwhile (rule 4)."""

from collections import deque
from typing import TYPE_CHECKING

from sloeferry.stand_ins.effect_log import RecentWork

if TYPE_CHECKING:
    from sloeferry.rehearsal.scenario_tables import Backends, Obligations

WORK_TOLERANCE = 1.1  # of the work that pushes a backend over: for chance in a single request


class WarmUp:
    """From its start on a backend's capacity grows evenly, until it has all of it."""

    def __init__(self, settings: "Backends", obligations: "Obligations | None"):
        """`obligations` may be None where backends do not warm up."""
        self._settings = settings
        self._obligations = obligations
        self._started_at = 0.0
        self._recent: deque[RecentWork] = deque()

    def start(self, now: float, is_warm: bool) -> None:
        """The backend starts, in seconds; a warm one has its whole capacity at once."""
        self._started_at = now - (self._settings.warm_up_seconds if is_warm else 0.0)

    def capacity_ratio(self, now: float) -> float:
        """The part of its capacity that it has."""
        age_seconds = now - self._started_at
        warm_up_seconds = self._settings.warm_up_seconds
        initial_ratio = self._settings.initial_capacity_ratio
        if age_seconds >= warm_up_seconds:
            return 1.0
        return initial_ratio + (1 - initial_ratio) * age_seconds / warm_up_seconds

    def recent_work(self) -> list[RecentWork]:
        """What has come in the span that counts."""
        return list(self._recent)

    def is_pushed_over(self, work: RecentWork) -> bool:
        """Takes in work that has come, whoever sent it; whether it is more than the backend can do over a span."""
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
        return sum(recent.work_ms for recent in self._recent) > limit_ms * WORK_TOLERANCE

    def clear(self) -> None:
        """The backend has died."""
        self._recent.clear()
