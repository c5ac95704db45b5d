"""Staleness of the endpoint list: the time for which it may be used without confirmation (safety rule 3).  Free of I/O.

Guards against attempts to an endpoint that is draining or gone without this proxy having been notified.  They show as `sent past
the drain grace` or `sent by a stale list` among the send guard's violations.

The list has a single age.  `trusted_until` is the time up to which all changes of the list are known to have been notified.
Each event that interrupts the notification of changes starts a limit from there, and `usable_until` is the resulting deadline.
It is derived from recorded events: the last list or sign of life, the state of the watch and the ends of polls.

Times are float milliseconds, monotonic.  The limits follow from the bench's protocol page and its standing test, as
`docs/design.md` (Staleness of the list) sets out.
"""

import enum
from dataclasses import dataclass
from math import inf

NOTIFICATION_LIMIT_MS = 6000.0  # a change counts as notified this long after discovery had it and was reachable
MOVED_NOTIFICATION_LIMIT_MS = 4000.0  # the same where the list is pushed and discovery has moved
ENDED_WATCH_NOTIFICATION_LIMIT_MS = 2000.0  # the same for a change that ended a watch instead of being sent on it
WATCH_DELAY_MS = NOTIFICATION_LIMIT_MS / 15  # a message on a watch may miss changes made up to this long before it
# A poll this soon after the end of a watch or of a failed poll leaves no gap in which a change could be missed.
MAX_GAPLESS_MS = NOTIFICATION_LIMIT_MS / 24
FAILED_POLL_FACTOR = 4  # multiple of the settings' age limit that holds after a failed poll


class PollEnd(enum.Enum):
    """The end of a poll that returned no list."""

    UNREACHABLE = "no connection came up"
    NOT_SENT = "no descriptor for it"  # or the dial failed with a local error
    REFUSED = "discovery ended it at once"  # or a response began, but brought no list
    UNANSWERED = "discovery ended it after a wait"


class StalenessCause(enum.Enum):
    """The event that last set the deadline of the list."""

    WATCHED = "watched"
    CACHED = "as last held by an earlier process"  # also when a process starts without any list
    WATCH_ENDED = "watch ended"
    WATCH_SILENT = "watch silent"
    POLL_FAILED = "call failed"
    DISCOVERY_UNREACHABLE = "discovery out of reach"
    DISCOVERY_MOVED = "discovery moved"


@dataclass(frozen=True, slots=True)
class StalenessLimits:
    """The notification limits of a host's platform, in ms.

    The defaults leave only the limit of the settings, which is the simulator's rule.
    """

    notification_limit_ms: float = inf
    moved_notification_limit_ms: float = inf
    ended_watch_notification_limit_ms: float = inf


NO_PLATFORM_LIMITS = StalenessLimits()
SOCKET_LIMITS = StalenessLimits(NOTIFICATION_LIMIT_MS, MOVED_NOTIFICATION_LIMIT_MS, ENDED_WATCH_NOTIFICATION_LIMIT_MS)


class ListStaleness:
    """The age of one proxy's endpoint list and the time until which it may be used.

    `is_polled` tells whether the list is polled rather than pushed.  `poll_within_ms` is the limit of the settings, which applies
    only to a polled list, and is four times as long after a failed poll.
    """

    def __init__(self, now: float, poll_within_ms: float, is_polled: bool, limits: StalenessLimits = NO_PLATFORM_LIMITS):
        self.poll_within_ms = poll_within_ms
        self.limits = limits
        self.trusted_until = now
        self.cause = StalenessCause.CACHED
        self.usable_until = now + min(limits.notification_limit_ms, poll_within_ms if is_polled else inf)
        self.is_watch_overdue = False  # a watch was closed as silent, and no list was received since
        self._is_polled = is_polled
        self._is_on_sockets = limits.notification_limit_ms < inf
        # Start of a possible outage, whether notifications may have stopped because discovery is out of reach, and whether
        # anything but an unanswered poll shows that: a crowded discovery leaves polls unanswered, too.
        self._outage_since = now
        self._may_be_outage = True
        self._has_outage_sign = False
        self._outage_gap_ms = MAX_GAPLESS_MS

    def is_usable(self, now: float) -> bool:
        """Return whether requests may be sent by this list."""
        return now <= self.usable_until

    # Events from sockets and from the bench

    def confirmed(self, at: float) -> None:
        """Record a list that was applied or a message on the established watch, written at `at` or later."""
        self.trusted_until = max(self.trusted_until, at - WATCH_DELAY_MS)
        self.cause = StalenessCause.WATCHED
        self.usable_until = self.trusted_until + self.limits.notification_limit_ms
        self._may_be_outage, self._outage_gap_ms, self.is_watch_overdue = True, MAX_GAPLESS_MS, False
        self._has_outage_sign = False

    def poll_began(self, now: float) -> None:
        """Record the start of a poll, from which the limit of the settings runs in the simulator, where it is the only one."""
        if self._is_polled and not self._is_on_sockets:
            self.usable_until = now + self.poll_within_ms

    def poll_succeeded(self, now: float) -> None:
        """Record a poll that returned a list.  Has an effect in the simulator alone: on sockets `confirmed` is more precise."""
        if not self._is_on_sockets:
            self.trusted_until, self.cause, self.usable_until = now, StalenessCause.WATCHED, inf

    def list_unavailable(self, now: float) -> None:
        """Record a failed poll or an ended watch.

        Has an effect in the simulator alone: on sockets the events below are more precise.
        """
        if not self._is_on_sockets:
            self.cause = StalenessCause.POLL_FAILED
            self.usable_until = now + FAILED_POLL_FACTOR * self.poll_within_ms

    def watch_ended(self, now: float, was_reset: bool) -> None:
        """Record the end of a watch that had sent its list.  It may have ended instead of sending a change made just before.

        `was_reset`: the connection was reset, which is what remains of a discovery that has gone down.  An orderly end is the
        act of one that runs.
        """
        if self.cause is StalenessCause.WATCHED:
            self._has_outage_sign = was_reset
            self.trusted_until = max(self.trusted_until, now - WATCH_DELAY_MS)
        self._outage_since = now
        limit_ms = self.limits.ended_watch_notification_limit_ms if self._is_polled else self.limits.notification_limit_ms
        self._limit(StalenessCause.WATCH_ENDED, limit_ms)

    def watch_silent(self, since: float) -> None:
        """Record that a watch was closed because it had sent nothing since `since`.

        A change made after that still counts as notified within the limit.
        """
        self.trusted_until = min(self.trusted_until, since)
        self._may_be_outage, self.is_watch_overdue = False, True
        self._limit(StalenessCause.WATCH_SILENT, self.limits.notification_limit_ms)

    def discovery_relocated(self, now: float) -> None:
        """Record a new address of discovery: what the former one sends says nothing about the list at the new one."""
        self.trusted_until = min(self.trusted_until, now)
        limit_ms = self.limits.notification_limit_ms if self._is_polled else self.limits.moved_notification_limit_ms
        self._limit(StalenessCause.DISCOVERY_MOVED, limit_ms)

    def dial_failed(self, began_at: float, tried_at: float) -> bool:
        """Record a poll that began at `began_at` and whose connection attempt of `tried_at` failed: discovery is out of reach.

        Return whether it has been since the last message; otherwise a change may have been missed in between.
        """
        if not self._may_continue_outage(began_at):
            return False
        self._has_outage_sign = True
        return self.poll_waiting(began_at, tried_at)

    def poll_waiting(self, began_at: float, tried_at: float) -> bool:
        """Record a poll that is still waiting, and return whether that belongs to an outage of discovery.

        The poll began at `began_at`, and its request, written at `tried_at`, has waited for long.  A discovery with too many
        callers lets polls wait as well, and a change that it has counts as notified: without a sign of an outage, a wait is none.
        """
        if not self._has_outage_sign or not self._may_continue_outage(began_at):
            return False
        # Notifications stopped because discovery has been out of reach since: no change was missed so far.
        self.trusted_until = max(self.trusted_until, tried_at)
        self.cause = StalenessCause.DISCOVERY_UNREACHABLE
        self.usable_until = self._allowed_until(self.trusted_until, began_at)
        return True

    def _may_continue_outage(self, began_at: float) -> bool:
        """Return whether discovery may have been out of reach without a gap up to a poll that began at `began_at`."""
        return self._may_be_outage and began_at - self._outage_since <= self._outage_gap_ms

    def poll_failed(self, now: float, end: PollEnd, began_at: float, tried_at: float) -> None:
        """Record the end of a poll that returned no list; `began_at` and `tried_at` are those of `poll_waiting`."""
        is_outage = (
            end is PollEnd.UNREACHABLE
            and self.dial_failed(began_at, tried_at)
            or end is PollEnd.UNANSWERED
            and self.poll_waiting(began_at, tried_at)
        )
        if is_outage:
            self._outage_since, self._outage_gap_ms = now, self.limits.notification_limit_ms
            return
        self._may_be_outage = False
        if self.cause is StalenessCause.WATCH_ENDED and now <= self.usable_until:
            self.cause = StalenessCause.POLL_FAILED
            self.usable_until = self._allowed_until(self.trusted_until, began_at)

    # The deadline

    def _allowed_until(self, since: float, began_at: float) -> float:
        settings_deadline = began_at + FAILED_POLL_FACTOR * self.poll_within_ms if self._is_polled else inf
        return min(since + self.limits.notification_limit_ms, settings_deadline)

    def _limit(self, cause: StalenessCause, limit_ms: float) -> None:
        """Set the deadline to `limit_ms` after `trusted_until`; an existing deadline is only moved to an earlier time."""
        limit_ms = min(limit_ms, self.poll_within_ms) if self._is_polled else limit_ms
        deadline = self.trusted_until + limit_ms
        if self.cause is StalenessCause.WATCHED or deadline < self.usable_until:
            self.cause, self.usable_until = cause, min(self.usable_until, deadline)
