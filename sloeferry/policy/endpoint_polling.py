"""When discovery is polled for the endpoint list: it is shared and of limited capacity, so polls are spread out.

How long the list may be used meanwhile is decided by `endpoint_staleness.py`.
"""

from random import Random

from sloeferry.config.settings import Settings
from sloeferry.policy.endpoint_staleness import SHORT_WATCH_MS, ListStaleness, StalenessLimits
from sloeferry.policy.fleet import FleetShare
from sloeferry.policy.interface import ListScope, PolicyHost
from sloeferry.policy.timers import Timers

# With a longer time between polls, a poll that failed is repeated as soon as with this one.
LONGEST_BACKOFF_BASE_MS = 10000.0
BACKOFF_BASE_RATIO = 1 / 16  # of the time between polls
MAX_BACKOFF_DOUBLINGS = 3
# Of the time after which a change counts as notified, the longest mean backoff.  With the longest wait for an answer before
# and after it (a quarter of LONGEST_BACKOFF_BASE_MS is more than discovery takes), an outage is known to go on before that
# time is over.
MAX_BACKOFF_OF_NOTICE = 2 / 9


class EndpointPolling:
    """Polls discovery, and backs off while polls fail."""

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
        self._watch_told_at: float | None = None  # when the watch that stands told its list
        self.is_list_polled = settings.is_endpoint_list_polled
        self._poll_within_ms = settings.obligations.poll_within_ms
        self.staleness = ListStaleness(now, self._poll_within_ms, self.is_list_polled, limits)
        if self.is_list_polled:
            turn = (fleet.instance_index + rng.random()) / fleet.instance_count
            timers.schedule(now + turn * self._poll_within_ms / 4, self._poll)

    def update(self, settings: Settings) -> None:
        """Takes over within which time a poll has to follow the last one."""
        self._poll_within_ms = self.staleness.poll_within_ms = settings.obligations.poll_within_ms

    def _poll(self, now: float, number: int | None = None) -> None:
        """Polls; `number` is the poll whose answer was waited for, which may have come meanwhile."""
        if number not in (None, self._poll_number):
            return
        self._poll_number += 1
        self.staleness.poll_began(now)
        self._host.poll_endpoints()
        self._timers.schedule(now + self._poll_within_ms / 2, self._poll, self._poll_number)

    def poll_or_watch_ended(self, now: float, scope: ListScope) -> None:
        """A poll was answered or failed, or a watch ended.

        Any list answers the poll, or shows that the watch stands; after a failure another poll follows.
        """
        self._poll_number += 1
        if scope not in (ListScope.POLL_FAILED, ListScope.WATCH_ENDED):
            self._failures, self._watch_told_at = 0, self._watch_told_at or now
            self.staleness.poll_succeeded(now)
            return
        self.staleness.poll_unanswered(now)
        stood_ms = now - self._watch_told_at if self._watch_told_at is not None else 0.0
        self._watch_told_at = None
        if scope is ListScope.WATCH_ENDED and stood_ms >= SHORT_WATCH_MS:
            # Whatever ended it, a change may have come meanwhile; and whether discovery is there shows at once.
            self._timers.schedule(now + self._rng.random() * SHORT_WATCH_MS / 2, self._poll)
            return
        self._failures = min(self._failures + 1, MAX_BACKOFF_DOUBLINGS)
        self._timers.schedule(now + self._backoff_ms() * (0.5 + self._rng.random()), self._poll)

    def _backoff_ms(self) -> float:
        """The mean wait until the next poll."""
        base_ms = min(self._poll_within_ms, LONGEST_BACKOFF_BASE_MS) * BACKOFF_BASE_RATIO
        return min(base_ms * 2**self._failures, MAX_BACKOFF_OF_NOTICE * self.staleness.limits.notification_limit_ms)
