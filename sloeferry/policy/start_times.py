"""When endpoints started, on this process's monotonic clock (safety rule 4).  Free of I/O.

Discovery tells starts in Unix time, and the wall clock here may be an hour off either way.  Taken at its word, a clock
that is ahead makes an endpoint that warms up pass for a warm one, which shows as its crash under a full load.  So a start is
believed as far as other evidence bears it out:

- nothing has started later than now;
- until something confirms the clock, a start counts from when it was first met;
- a start that came as a change on a standing watch, not older than changes commonly are, confirms the clock;
- a Date header of discovery's (RFC 9110, 6.6.1) tells its clock to the second: it goes before the one here, and confirms it.

Once the clock is confirmed, the starts met before are taken at their word, too.  Times are float milliseconds; `unix` ones
since the epoch, all others monotonic.
"""

from collections.abc import Set
from typing import NamedTuple

from sloeferry.policy.endpoint_staleness import NOTIFICATION_LIMIT_MS
from sloeferry.policy.interface import EndpointId

DATE_ERROR_MS = 2000.0  # a Date header's second, and how long it was on its way
PROMPT_NOTICE_MS = NOTIFICATION_LIMIT_MS / 3  # a change that tells of a start is commonly not older than that


class _KnownStart(NamedTuple):
    told_unix: float
    started_at: float
    met_at: float


class StartTimes:
    """The starts of one proxy's endpoints."""

    def __init__(self, now: float, unix: float):
        self.is_clock_confirmed = False
        self._is_reviewed = False  # whether what was met before that has been looked at again
        self._offset = unix - now
        self._known: dict[EndpointId, _KnownStart] = {}

    def set_discovery_time(self, now: float, unix: float) -> None:
        """Discovery's own word of what time it is."""
        ahead = now + self._offset - unix
        if abs(ahead) > DATE_ERROR_MS:
            self._offset -= ahead
        self.is_clock_confirmed = True

    def started_at(self, now: float, endpoint_id: EndpointId, told_unix: float, is_news: bool) -> float:
        """When an endpoint started that discovery says started at `told_unix` (0: long ago).

        `is_news`: the start was told as a change, while the watch stood.
        """
        if not told_unix:
            return told_unix
        known = self._known.get(endpoint_id)
        if known and known.told_unix == told_unix:
            return known.started_at  # once taken it stays, or each list would tell of another start
        age_ms = now - (told_unix - self._offset)
        if is_news and 0 <= age_ms <= PROMPT_NOTICE_MS:
            self.is_clock_confirmed = True
        is_believed = self.is_clock_confirmed and not (is_news and age_ms > NOTIFICATION_LIMIT_MS)
        started_at = now - max(0.0, age_ms) if is_believed else now
        self._known[endpoint_id] = _KnownStart(told_unix, started_at, now)
        return started_at

    def confirmed_starts(self) -> dict[EndpointId, float]:
        """The starts that are taken otherwise now that the clock is confirmed."""
        if not self.is_clock_confirmed or self._is_reviewed:
            return {}
        self._is_reviewed = True
        changed = {}
        for endpoint_id, known in self._known.items():
            confirmed = min(known.met_at, known.told_unix - self._offset)
            if confirmed != known.started_at and known.started_at == known.met_at:
                changed[endpoint_id] = confirmed
                self._known[endpoint_id] = known._replace(started_at=confirmed)
        return changed

    def forget(self, endpoint_id: EndpointId) -> None:
        """That endpoint is gone."""
        self._known.pop(endpoint_id, None)

    def keep_only(self, endpoint_ids: Set[EndpointId]) -> None:
        """A complete list names just these."""
        for endpoint_id in self._known.keys() - endpoint_ids:
            del self._known[endpoint_id]
