"""Models a stand-in backend that is slowed down by a long queue until it has been mostly idle for a while."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sloeferry.rehearsal.scenario_tables import Congestion

MAX_IDLE_REQUESTS_PER_CORE = 1 / 2  # requests in flight up to which a backend counts as mostly idle


class CongestionModel:
    """The congestion state of one backend; times are in seconds."""

    def __init__(self, settings: "Congestion | None", cores: int):
        """Create the model; without settings the backend is never slowed down."""
        self.is_active = False
        self._settings = settings
        self._cores = cores
        self._active_since = 0.0
        self._queue_long_since: float | None = None
        self._idle_since: float | None = None

    def slowdown(self) -> float:
        """Return the factor by which the backend is slowed down."""
        return self._settings.slowdown if self.is_active else 1.0

    def should_toggle(self, now: float, waiting: int, in_flight: int) -> bool:
        """Return whether congestion has to begin or end now; to be called several times a second."""
        settings = self._settings
        if settings is None:
            return False
        if self.is_active:
            is_idle = in_flight <= self._cores * MAX_IDLE_REQUESTS_PER_CORE
            self._idle_since = (self._idle_since or now) if is_idle else None
            has_recovered = self._idle_since is not None and now - self._idle_since >= settings.recovery_seconds
            return has_recovered or now - self._active_since >= settings.max_seconds
        if waiting < settings.waiting_per_core * self._cores:
            self._queue_long_since = None
            return False
        self._queue_long_since = self._queue_long_since or now
        return now - self._queue_long_since >= settings.onset_seconds

    def toggle(self, now: float) -> None:
        """Begin or end congestion."""
        self.is_active = not self.is_active
        if self.is_active:
            self._active_since = now
            self._idle_since = None
        else:
            self._queue_long_since = None

    def reset(self) -> None:
        """End congestion because the backend has stopped."""
        self.is_active = False
