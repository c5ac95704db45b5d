"""How a long queue slows a stand-in backend down, until it has been mostly idle for a while."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sloeferry.rehearsal.scenario_tables import Congestion

IDLE_IN_FLIGHT_RATIO = 1 / 2  # requests a core up to which a backend counts as mostly idle


class CongestionModel:
    """One backend's; times in seconds."""

    def __init__(self, settings: "Congestion | None", cores: int):
        """Without settings a backend is never slowed down."""
        self.is_active = False
        self._settings = settings
        self._cores = cores
        self._active_since = 0.0
        self._crowded_since: float | None = None
        self._idle_since: float | None = None

    def slowdown(self) -> float:
        """How many times slower it makes the backend."""
        return self._settings.slowdown if self.is_active else 1.0

    def is_due_to_change(self, now: float, waiting: int, in_flight: int) -> bool:
        """Whether congestion is to begin, or to end: called several times a second."""
        settings = self._settings
        if settings is None:
            return False
        if self.is_active:
            is_idle = in_flight <= self._cores * IDLE_IN_FLIGHT_RATIO
            self._idle_since = (self._idle_since or now) if is_idle else None
            has_recovered = self._idle_since is not None and now - self._idle_since >= settings.recovery_seconds
            return has_recovered or now - self._active_since >= settings.max_seconds
        if waiting < settings.waiting_per_core * self._cores:
            self._crowded_since = None
            return False
        self._crowded_since = self._crowded_since or now
        return now - self._crowded_since >= settings.onset_seconds

    def change(self, now: float) -> None:
        """It begins, or ends."""
        self.is_active = not self.is_active
        if self.is_active:
            self._active_since = now
            self._idle_since = None
        else:
            self._crowded_since = None

    def clear(self) -> None:
        """The backend has died."""
        self.is_active = False
