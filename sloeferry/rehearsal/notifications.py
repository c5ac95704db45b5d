"""What each proxy has been told of backends' starts and ends, and what counts as told (rules 3 and 4).  Times in seconds."""

from typing import NamedTuple

from sloeferry.stand_ins.wire_protocol import BackendState


class KnownStart(NamedTuple):
    """A start that a proxy was told of; `started_at_ms` as discovery says it."""

    started_at_ms: int
    notified_at: float


class ColdStart(NamedTuple):
    """A start, by the play's clock and as discovery says it."""

    started_at: float
    started_at_ms: int


UNKNOWN_START = KnownStart(0, 0.0)


class Notifications:
    """What there is to tell counts as told `deemed_notified_seconds` after it was listed."""

    def __init__(self, deemed_notified_seconds: float):
        self._deemed_notified_seconds = deemed_notified_seconds
        self._end_notified_at: dict[tuple[str, str], float] = {}  # by proxy and backend
        self._end_deemed_at: dict[str, float] = {}  # by backend
        self._known_starts: dict[tuple[str, str], KnownStart] = {}  # by proxy and backend
        self._cold_starts: dict[str, ColdStart] = {}  # by backend

    def proxy_notified(self, proxy: str, backend_id: str, state: str, now: float, started_at_ms: int) -> None:
        """A proxy is told a backend's state."""
        key = proxy, backend_id
        if self._known_starts.get(key, UNKNOWN_START).started_at_ms != started_at_ms:
            self._known_starts[key] = KnownStart(started_at_ms, now)
        if state == BackendState.READY:
            self._end_notified_at.pop(key, None)
        else:
            self._end_notified_at.setdefault(key, now)

    def state_published(self, backend_id: str, state: str, now: float) -> None:
        """A backend's state is listed."""
        if state == BackendState.READY:
            self._end_deemed_at.pop(backend_id, None)
        else:
            self._end_deemed_at.setdefault(backend_id, now + self._deemed_notified_seconds)

    def backend_started(self, backend_id: str, now: float, started_at_ms: int) -> None:
        """It runs again: what was never told of its end counts as told no more."""
        self._end_deemed_at.pop(backend_id, None)
        self._cold_starts[backend_id] = ColdStart(now, started_at_ms)

    def end_notified_at(self, proxy: str, backend_id: str) -> float | None:
        """When a proxy was told that a backend wants nothing new; None if it does want."""
        return self._end_notified_at.get((proxy, backend_id))

    def end_deemed_at(self, backend_id: str) -> float | None:
        """When every proxy counts as told so."""
        return self._end_deemed_at.get(backend_id)

    def knew_start(self, proxy: str, backend_id: str, at: float) -> bool:
        """Whether a proxy had been told by then that a backend has started anew, or counted as told."""
        start = self._cold_starts.get(backend_id, ColdStart(at, 0))
        known = self._known_starts.get((proxy, backend_id), UNKNOWN_START)
        was_notified = known.started_at_ms >= start.started_at_ms and known.notified_at <= at
        return was_notified or at >= start.started_at + self._deemed_notified_seconds
