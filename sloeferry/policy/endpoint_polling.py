"""Polling of discovery for the endpoint list.

Discovery is shared by the fleet and has limited capacity, so polls are spread out.  `endpoint_staleness.py` decides how long
the list may be used meanwhile.
"""

from random import Random

from sloeferry.config.settings import Settings
from sloeferry.policy.endpoint_staleness import MAX_GAPLESS_MS, ListStaleness, StalenessLimits
from sloeferry.policy.fleet import FleetShare
from sloeferry.policy.interface import ListScope, PolicyHost
from sloeferry.policy.timers import Timers

# The mean backoff is `BACKOFF_BASE_RATIO` of the poll limit (the longest time allowed between two polls), which counts as at most
# `MAX_BACKOFF_BASE_MS`, and doubles with each failure.
MAX_BACKOFF_BASE_MS = 10000.0
BACKOFF_BASE_RATIO = 1 / 16
MAX_BACKOFF_DOUBLINGS = 3
# Longest mean backoff, as a ratio of the notification limit.  A continuing outage is then detected within the notification limit,
# even with the longest wait for an answer before and after the backoff: discovery takes less than a quarter of
# `MAX_BACKOFF_BASE_MS` to answer.
MAX_BACKOFF_NOTICE_RATIO = 2 / 9


class EndpointPolling:
    """Polls discovery for the endpoint list and backs off while polls fail."""

    def __init__(
        self,
        settings: Settings,
        host: PolicyHost,
        timers: Timers,
        fleet: FleetShare,
        rng: Random,
        now: float,
        limits: StalenessLimits,
    ):
        self._host = host
        self._timers = timers
        self._rng = rng
        self._failures = 0
        self._poll_number = 0
        self._watch_list_at: float | None = None  # when the current watch sent its list
        self.is_list_polled = settings.is_endpoint_list_polled
        self._poll_within_ms = settings.obligations.poll_within_ms
        self.staleness = ListStaleness(now, self._poll_within_ms, self.is_list_polled, limits)
        if self.is_list_polled:
            phase_ratio = (fleet.instance_index + rng.random()) / fleet.instance_count
            timers.schedule(now + phase_ratio * self._poll_within_ms / 4, self._poll)

    def update(self, settings: Settings) -> None:
        """Apply the setting of the longest time between two polls."""
        self._poll_within_ms = self.staleness.poll_within_ms = settings.obligations.poll_within_ms

    def _poll(self, now: float, number: int | None = None) -> None:
        """Poll discovery, unless poll `number`, whose answer was awaited, has been answered meanwhile."""
        if number not in (None, self._poll_number):
            return
        self._poll_number += 1
        self.staleness.poll_began(now)
        self._host.poll_endpoints()
        self._timers.schedule(now + self._poll_within_ms / 2, self._poll, self._poll_number)

    def poll_or_watch_ended(self, now: float, scope: ListScope) -> None:
        """Handle the answer or failure of a poll, or the end of a watch.

        Any list answers the poll, or shows that the watch works; a failure is followed by another poll.
        """
        self._poll_number += 1
        if scope not in (ListScope.POLL_FAILED, ListScope.WATCH_ENDED):
            self._failures, self._watch_list_at = 0, self._watch_list_at or now
            self.staleness.poll_succeeded(now)
            return
        self.staleness.list_unavailable(now)
        watch_lasted_ms = now - self._watch_list_at if self._watch_list_at is not None else 0.0
        self._watch_list_at = None
        if scope is ListScope.WATCH_ENDED and watch_lasted_ms >= MAX_GAPLESS_MS:
            # The list may have changed meanwhile, and a poll soon shows whether discovery is reachable.
            self._timers.schedule(now + self._rng.random() * MAX_GAPLESS_MS / 2, self._poll)
            return
        self._failures = min(self._failures + 1, MAX_BACKOFF_DOUBLINGS)
        self._timers.schedule(now + self._backoff_ms() * (0.5 + self._rng.random()), self._poll)

    def _backoff_ms(self) -> float:
        """Return the mean backoff before the next poll."""
        base_ms = min(self._poll_within_ms, MAX_BACKOFF_BASE_MS) * BACKOFF_BASE_RATIO
        return min(base_ms * 2**self._failures, MAX_BACKOFF_NOTICE_RATIO * self.staleness.limits.notification_limit_ms)
