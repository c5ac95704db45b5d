"""How long the endpoint list may be used once nobody confirms it any more (safety rule 3).  Free of I/O.

Guards against attempts to an endpoint that drains or is gone, of which this proxy has not heard: they show as `sent past the
drain grace` or `sent by a stale list` among the send guard's violations.

What a proxy knows has one age.  `trusted_until` is the moment up to which each change of the list is known to have been
notified; each way in which word of changes stops starts the same clock from there, and `usable_until` is the one deadline that
follows.  It is derived from recorded facts: when a list or a sign of life last came, whether a watch stands, how polls ended.

Times are float milliseconds, monotonic.  Source of the limits: the bench's protocol page and its standing test, as
`docs/design.md` (Staleness of the list) sets out.
"""

import enum
from dataclasses import dataclass
from math import inf

NOTIFICATION_LIMIT_MS = 6000.0  # a change counts as notified so long after discovery had it and could be reached
MOVED_NOTIFICATION_LIMIT_MS = 4000.0  # the same where the list is pushed and discovery has moved
ENDED_WATCH_NOTIFICATION_LIMIT_MS = 2000.0  # the same for a change that ended a watch instead of being told on it
WATCH_DELAY_MS = NOTIFICATION_LIMIT_MS / 15  # a change may be so much older than the watch's word that does not tell it
SHORT_WATCH_MS = NOTIFICATION_LIMIT_MS / 24  # a poll so soon after a watch's end, or after a failed poll, leaves no gap behind it
FAILED_POLL_FACTOR = 4  # a list may be so much older after a poll that failed


class PollEnd(enum.Enum):
    """How a poll ended that brought no list."""

    UNREACHABLE = "no connection came up"
    NOT_SENT = "no descriptor for it"
    REFUSED = "discovery ended it at once"
    UNANSWERED = "discovery ended it after a wait"


class StalenessCause(enum.Enum):
    """Why the list's age runs: the last fact that set the deadline."""

    WATCHED = "watched"
    CACHED = "as last held by an earlier process"  # also at a start without any list
    WATCH_ENDED = "watch ended"
    WATCH_SILENT = "watch silent"
    POLL_FAILED = "call failed"
    DISCOVERY_UNREACHABLE = "discovery out of reach"
    DISCOVERY_MOVED = "discovery moved"


@dataclass(frozen=True, slots=True)
class StalenessLimits:
    """What a host's platform allows, in ms.  The defaults leave only the settings' own limit (the simulator's rule)."""

    notification_limit_ms: float = inf
    moved_notification_limit_ms: float = inf
    ended_watch_notification_limit_ms: float = inf


NO_PLATFORM_LIMITS = StalenessLimits()
SOCKET_LIMITS = StalenessLimits(NOTIFICATION_LIMIT_MS, MOVED_NOTIFICATION_LIMIT_MS, ENDED_WATCH_NOTIFICATION_LIMIT_MS)


class ListStaleness:
    """The age of one proxy's list, and until when it may be used.

    `is_polled` says whether the list is polled (else it is pushed); `poll_within_ms` is the settings' own limit, which
    holds only where it is polled, and four times as long after a poll that failed.
    """

    def __init__(self, now: float, poll_within_ms: float, is_polled: bool, limits: StalenessLimits = NO_PLATFORM_LIMITS):
        self.poll_within_ms = poll_within_ms
        self.limits = limits
        self.trusted_until = now
        self.cause = StalenessCause.CACHED
        self.usable_until = now + min(limits.notification_limit_ms, poll_within_ms if is_polled else inf)
        self.is_watch_overdue = False  # a watch was given up as silent, and no list has come since
        self._is_polled = is_polled
        self._is_on_sockets = limits.notification_limit_ms < inf
        # Whether word of changes may have stopped because discovery is out of reach, and since when that would be.
        self._outage_since = now
        self._may_be_outage = True
        self._outage_gap_ms = (
            limits.notification_limit_ms
        )  # before its first poll a proxy has no watch whose end tells of an outage

    def is_usable(self, now: float) -> bool:
        """Whether requests may be sent by this list."""
        return now <= self.usable_until

    # Facts from sockets and from the bench

    def confirmed(self, at: float) -> None:
        """A list was taken in, or a watch that stands said something, written at `at` or later."""
        self.trusted_until = max(self.trusted_until, at - WATCH_DELAY_MS)
        self.cause = StalenessCause.WATCHED
        self.usable_until = self.trusted_until + self.limits.notification_limit_ms
        self._may_be_outage, self._outage_gap_ms, self.is_watch_overdue = True, SHORT_WATCH_MS, False

    def poll_began(self, now: float) -> None:
        """The list is polled.  In the simulator, where only the settings limit its age, that runs from here."""
        if self._is_polled and not self._is_on_sockets:
            self.usable_until = now + self.poll_within_ms

    def poll_succeeded(self, now: float) -> None:
        """A list came.  Only in the simulator: on sockets `confirmed` says more."""
        if not self._is_on_sockets:
            self.trusted_until, self.cause, self.usable_until = now, StalenessCause.WATCHED, inf

    def poll_unanswered(self, now: float) -> None:
        """A poll failed.  Only in the simulator: on sockets the events below say more."""
        if not self._is_on_sockets:
            self.cause = StalenessCause.POLL_FAILED
            self.usable_until = now + FAILED_POLL_FACTOR * self.poll_within_ms

    def watch_ended(self, now: float) -> None:
        """A watch that had told its list ended.  It may have ended instead of telling a change, made just before."""
        if self.cause is StalenessCause.WATCHED:
            self.trusted_until = max(self.trusted_until, now - WATCH_DELAY_MS)
        self._outage_since = now
        limit_ms = self.limits.ended_watch_notification_limit_ms if self._is_polled else self.limits.notification_limit_ms
        self._limit(StalenessCause.WATCH_ENDED, limit_ms)

    def watch_silent(self, since: float) -> None:
        """A watch has said nothing since then, and is given up: what it missed counts as notified in time."""
        self.trusted_until = min(self.trusted_until, since)
        self._may_be_outage, self.is_watch_overdue = False, True
        self._limit(StalenessCause.WATCH_SILENT, self.limits.notification_limit_ms)

    def discovery_relocated(self, now: float) -> None:
        """Discovery is elsewhere: nothing that the former place says tells what the new one has."""
        self.trusted_until = min(self.trusted_until, now)
        limit_ms = self.limits.notification_limit_ms if self._is_polled else self.limits.moved_notification_limit_ms
        self._limit(StalenessCause.DISCOVERY_MOVED, limit_ms)

    def poll_waiting(self, began: float, tried: float) -> bool:
        """A poll that began then is still on its way; whether that tells of an outage.

        Its dial of the time `tried` failed, or its request, written then, has waited for longer than discovery, where it is
        there, lets one wait.
        """
        if not self._may_be_outage or began - self._outage_since > self._outage_gap_ms:
            return False
        # Word stopped because discovery is out of reach, and has been from then on: nothing was missed so far.
        self.trusted_until = max(self.trusted_until, tried)
        self.cause = StalenessCause.DISCOVERY_UNREACHABLE
        self.usable_until = self._allowed_until(self.trusted_until, began)
        return True

    def poll_failed(self, now: float, end: PollEnd, began: float, tried: float) -> None:
        """A poll that brought no list has ended; `began` and `tried` as above."""
        if end in (PollEnd.UNREACHABLE, PollEnd.UNANSWERED) and self.poll_waiting(began, tried):
            self._outage_since, self._outage_gap_ms = now, self.limits.notification_limit_ms
            return
        self._may_be_outage = False
        if self.cause is StalenessCause.WATCH_ENDED and now <= self.usable_until:
            self.cause = StalenessCause.POLL_FAILED
            self.usable_until = self._allowed_until(self.trusted_until, began)

    # The deadline

    def _allowed_until(self, since: float, began: float) -> float:
        by_settings = began + FAILED_POLL_FACTOR * self.poll_within_ms if self._is_polled else inf
        return min(since + self.limits.notification_limit_ms, by_settings)

    def _limit(self, cause: StalenessCause, limit_ms: float) -> None:
        """The list's age runs from `trusted_until`; a deadline that stands already is only brought forward."""
        limit_ms = min(limit_ms, self.poll_within_ms) if self._is_polled else limit_ms
        until = self.trusted_until + limit_ms
        if self.cause is StalenessCause.WATCHED or until < self.usable_until:
            self.cause, self.usable_until = cause, min(self.usable_until, until)
