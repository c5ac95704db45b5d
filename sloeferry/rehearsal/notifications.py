"""Tracks the starts and ends of backends of which each proxy was notified, or counts as notified (rules 3 and 4).

Times are in seconds.
"""

from typing import NamedTuple

from sloeferry.stand_ins.wire_protocol import BackendState


class KnownStart(NamedTuple):
    """A start of which a proxy was notified; `started_at_ms` is the start time in the endpoint list."""

    started_at_ms: int
    notified_at: float


class ColdStart(NamedTuple):
    """A cold start, by the clock of the run and as the start time in the endpoint list."""

    started_at: float
    started_at_ms: int


UNKNOWN_START = KnownStart(0, 0.0)


class Notifications:
    """Records the changes of which each proxy was notified.

    A proxy is deemed notified, or counts as notified, of a change `deemed_notified_seconds` after it was published, even if no
    notification has reached it.
    """

    def __init__(self, deemed_notified_seconds: float):
        self._deemed_notified_seconds = deemed_notified_seconds
        self._end_notified_at: dict[tuple[str, str], float] = {}  # by proxy and backend
        self._end_deemed_at: dict[str, float] = {}  # by backend
        self._known_starts: dict[tuple[str, str], KnownStart] = {}  # by proxy and backend
        self._cold_starts: dict[str, ColdStart] = {}  # by backend

    def proxy_notified(self, proxy: str, backend_id: str, state: str, now: float, started_at_ms: int) -> None:
        """Record that discovery notifies a proxy of a backend's state."""
        key = proxy, backend_id
        if self._known_starts.get(key, UNKNOWN_START).started_at_ms != started_at_ms:
            self._known_starts[key] = KnownStart(started_at_ms, now)
        if state == BackendState.READY:
            self._end_notified_at.pop(key, None)
        else:
            self._end_notified_at.setdefault(key, now)

    def state_published(self, backend_id: str, state: str, now: float) -> None:
        """Record that the endpoint list has a new state of a backend."""
        if state == BackendState.READY:
            self._end_deemed_at.pop(backend_id, None)
        else:
            self._end_deemed_at.setdefault(backend_id, now + self._deemed_notified_seconds)

    def backend_started(self, backend_id: str, now: float, started_at_ms: int) -> None:
        """Record a cold start, and forget when proxies count as notified of the backend's previous end."""
        self._end_deemed_at.pop(backend_id, None)
        self._cold_starts[backend_id] = ColdStart(now, started_at_ms)

    def end_notified_at(self, proxy: str, backend_id: str) -> float | None:
        """Return the time at which a proxy was notified that a backend takes no new requests; None if it takes them."""
        return self._end_notified_at.get((proxy, backend_id))

    def end_deemed_at(self, backend_id: str) -> float | None:
        """Return the time from which all proxies count as notified of a backend's end; None if the backend takes new requests."""
        return self._end_deemed_at.get(backend_id)

    def knew_start(self, proxy: str, backend_id: str, at: float) -> bool:
        """Return whether a proxy was notified of a backend's latest start by the time `at`, or counted as notified."""
        start = self._cold_starts.get(backend_id, ColdStart(at, 0))
        known = self._known_starts.get((proxy, backend_id), UNKNOWN_START)
        was_notified = known.started_at_ms >= start.started_at_ms and known.notified_at <= at
        return was_notified or at >= start.started_at + self._deemed_notified_seconds
