"""Converts the start times of endpoints to this process's monotonic clock (safety rule 4).  Free of I/O.

Discovery reports start times as Unix time, and the local wall clock may be an hour off either way.  With a local clock that is
ahead, an endpoint that warms up would look warm and crash under the full load.  So a reported start time is used only as far as
other evidence supports it:

- an endpoint never started later than now;
- until the clock is confirmed, an endpoint counts as started when this process first saw that start time;
- a start reported as a change on an established watch, no older than changes commonly are, confirms the clock;
- the Date header of discovery (RFC 9110, 6.6.1) gives discovery's clock to the second: it takes precedence over the local wall
  clock and confirms it.

Once the clock is confirmed, the start times seen earlier are used as reported, too.  Times are float milliseconds; `unix_ms`
ones since the epoch, all others monotonic.
"""

from collections.abc import Set
from typing import NamedTuple

from sloeferry.policy.endpoint_staleness import NOTIFICATION_LIMIT_MS
from sloeferry.policy.interface import EndpointId

MAX_DATE_ERROR_MS = 2000.0  # resolution of a Date header, plus its transfer time
PROMPT_CHANGE_MS = NOTIFICATION_LIMIT_MS / 3  # changes that report a start are commonly not older


class _SeenStart(NamedTuple):
    reported_unix_ms: float
    started_at: float
    first_seen_at: float


class StartTimes:
    """The start times of one proxy's endpoints."""

    def __init__(self, now: float, unix_ms: float):
        self.is_clock_confirmed = False
        self._is_reviewed = False  # whether the start times seen before the confirmation were reviewed
        self._unix_offset_ms = unix_ms - now
        self._seen: dict[EndpointId, _SeenStart] = {}

    def set_discovery_time(self, now: float, unix_ms: float) -> None:
        """Correct the offset of the wall clock by the time that discovery gives."""
        ahead_ms = now + self._unix_offset_ms - unix_ms
        if abs(ahead_ms) > MAX_DATE_ERROR_MS:
            self._unix_offset_ms -= ahead_ms
        self.is_clock_confirmed = True

    def started_at(self, now: float, endpoint_id: EndpointId, reported_unix_ms: float, is_change: bool) -> float:
        """Return the monotonic start time of an endpoint for which discovery reports `reported_unix_ms` (0: long ago).

        `is_change` tells that the start was reported as a change on an established watch.
        """
        if not reported_unix_ms:
            return reported_unix_ms
        seen = self._seen.get(endpoint_id)
        if seen and seen.reported_unix_ms == reported_unix_ms:
            return seen.started_at  # kept, or each list would look like a restart
        age_ms = now - (reported_unix_ms - self._unix_offset_ms)
        if is_change and 0 <= age_ms <= PROMPT_CHANGE_MS:
            self.is_clock_confirmed = True
        is_clock_trusted = self.is_clock_confirmed and not (is_change and age_ms > NOTIFICATION_LIMIT_MS)
        started_at = now - max(0.0, age_ms) if is_clock_trusted else now
        self._seen[endpoint_id] = _SeenStart(reported_unix_ms, started_at, now)
        return started_at

    def confirmed_starts(self) -> dict[EndpointId, float]:
        """Return the start times that change by the confirmation of the clock; once, and then none."""
        if not self.is_clock_confirmed or self._is_reviewed:
            return {}
        self._is_reviewed = True
        changed = {}
        for endpoint_id, seen in self._seen.items():
            corrected = min(seen.first_seen_at, seen.reported_unix_ms - self._unix_offset_ms)
            if corrected != seen.started_at and seen.started_at == seen.first_seen_at:
                changed[endpoint_id] = corrected
                self._seen[endpoint_id] = seen._replace(started_at=corrected)
        return changed

    def forget(self, endpoint_id: EndpointId) -> None:
        """Drop the start time of an endpoint that is gone."""
        self._seen.pop(endpoint_id, None)

    def keep_only(self, endpoint_ids: Set[EndpointId]) -> None:
        """Drop the start times of all endpoints but those of a complete list."""
        for endpoint_id in self._seen.keys() - endpoint_ids:
            del self._seen[endpoint_id]
