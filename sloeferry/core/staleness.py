"""How long the list of backends may be used once nobody confirms it any more (rule 3).  Decisions, free of I/O.

What a proxy knows has one age.  `trusted_until` is the moment up to which each change of the list is known to have been
told; each way in which word of changes stops starts the same clock from there, and `usable_until` is the one deadline
that follows.  It is derived from recorded facts: when a list or a sign of life last came, whether a watch stands, how
calls ended.  `usable` is read by Rules alone.

Times are float milliseconds, monotonic.  Source of the limits: the bench's protocol page and its standing test, as
`docs/design.md` (Staleness of the list) sets out.
"""

import enum
from dataclasses import dataclass
from math import inf

NEWS = 6000.0  # a change counts as told so long after discovery had it and could be reached
MOVED_NEWS = 4000.0  # the same where lists are pushed and discovery has moved
WAIT_OVER = 2000.0  # the same for a change that ended a watch instead of being told on it
SPREAD = NEWS / 15  # a change may be so much older than the watch's word that does not tell it
AT_ONCE = NEWS / 24  # a call so soon after a watch's end, or a failed call, leaves no gap behind it


class CallEnd(enum.Enum):
    """How a call for the list ended that brought none."""

    UNREACHABLE = "no connection came up"
    NOT_MADE = "no descriptor for it"
    REFUSED = "discovery ended it at once"
    UNANSWERED = "discovery ended it after a wait"
    SILENT = "given up here, nothing came"


class Cause(enum.Enum):
    """Why the list's age runs: the last fact that set the deadline."""

    WATCHED = "watched"
    HELD = "as last held by an earlier process"
    WATCH_ENDED = "watch ended"
    WATCH_SILENT = "watch silent"
    CALL_FAILED = "call failed"
    OUT_OF_REACH = "discovery out of reach"
    MOVED = "discovery moved"
    UNASKED = "not asked for in time"


@dataclass(frozen=True)
class Limits:
    """What a host's platform allows, in ms.  The defaults leave only the settings' own limit (the simulator's rule)."""

    news: float = inf
    moved_news: float = inf
    wait_over: float = inf


BY_SETTINGS_ALONE = Limits()
ON_SOCKETS = Limits(NEWS, MOVED_NEWS, WAIT_OVER)


class ListStaleness:
    """The age of one proxy's list, and until when it may be used.

    `asked` says whether lists are asked for (else they are pushed); `must_ask_in` is the settings' own limit, which
    holds only where they are asked for, and four times as long after a call that failed.
    """

    def __init__(self, now: float, must_ask_in: float, asked: bool, limits: Limits = BY_SETTINGS_ALONE):
        self.must_ask_in, self.asked, self.limits = must_ask_in, asked, limits
        self.trusted_until = now
        self.cause = Cause.HELD
        self.usable_until = now + min(limits.news, must_ask_in if asked else inf)
        self._facts_reported = limits.news < inf
        self.overdue = False  # whether a watch was given up as silent, and no list has come since
        # Whether word of changes may have stopped because discovery is out of reach, and since when that would be.
        self._outage_since = now
        self._may_be_outage = True
        self._outage_gap = limits.news  # before its first call a proxy has no watch whose end tells of an outage

    def usable(self, now: float) -> bool:
        """Whether requests may be sent by this list."""
        return now <= self.usable_until

    # Facts

    def confirmed(self, at: float) -> None:
        """A list was taken in, or a watch that stands said something, written at `at` or later."""
        self.trusted_until = max(self.trusted_until, at - SPREAD)
        self.cause = Cause.WATCHED
        self.usable_until = self.trusted_until + self.limits.news
        self._may_be_outage, self._outage_gap, self.overdue = True, AT_ONCE, False

    def call_began(self, now: float) -> None:
        """The list is asked for: where only the settings limit it, that runs from here."""
        if self.asked and not self._facts_reported:
            self.usable_until = now + self.must_ask_in

    def answered(self, now: float) -> None:
        """A list came, on a host that tells no more of it than that."""
        if not self._facts_reported:
            self.trusted_until, self.cause, self.usable_until = now, Cause.WATCHED, inf

    def unanswered(self, now: float) -> None:
        """A call failed, on a host that tells no more of it than that."""
        if not self._facts_reported:
            self.cause, self.usable_until = Cause.CALL_FAILED, now + 4 * self.must_ask_in

    def watch_ended(self, now: float) -> None:
        """A watch that had told its list ended.  It may have ended instead of telling a change, made just before."""
        if self.cause is Cause.WATCHED:
            self.trusted_until = max(self.trusted_until, now - SPREAD)
        self._outage_since = now
        self._limit(Cause.WATCH_ENDED, self.limits.wait_over if self.asked else self.limits.news)

    def watch_silent(self, since: float) -> None:
        """A watch has said nothing since then, and is given up: what it missed counts as told in time."""
        self.trusted_until = min(self.trusted_until, since)
        self._may_be_outage, self.overdue = False, True
        self._limit(Cause.WATCH_SILENT, self.limits.news)

    def moved(self, now: float) -> None:
        """Discovery is elsewhere: nothing that the former place says tells what the new one has."""
        self.trusted_until = min(self.trusted_until, now)
        self._limit(Cause.MOVED, self.limits.news if self.asked else self.limits.moved_news)

    def call_waiting(self, began: float, tried: float) -> bool:
        """A call that began then is still on its way: its dial of the time `tried` failed, or its request, written then, has
        waited for longer than discovery, where it is there, lets one wait.  Whether that tells of an outage."""
        if not self._may_be_outage or began - self._outage_since > self._outage_gap:
            return False
        # Word stopped because discovery is out of reach, and has been from then on: nothing was missed so far.
        self.trusted_until = max(self.trusted_until, tried)
        self.cause, self.usable_until = Cause.OUT_OF_REACH, self._allowed(self.trusted_until, began)
        return True

    def call_failed(self, now: float, how: CallEnd, began: float, tried: float) -> None:
        """A call that brought no list has ended; `began` and `tried` as above."""
        if how is CallEnd.SILENT:
            return self.watch_silent(tried)
        if how in (CallEnd.UNREACHABLE, CallEnd.UNANSWERED) and self.call_waiting(began, tried):
            self._outage_since, self._outage_gap = now, self.limits.news
            return
        self._may_be_outage = False
        if self.cause is Cause.WATCH_ENDED and now <= self.usable_until:
            self.cause, self.usable_until = Cause.CALL_FAILED, self._allowed(self.trusted_until, began)

    # The deadline

    def _allowed(self, since: float, began: float) -> float:
        return min(since + self.limits.news, began + 4 * self.must_ask_in if self.asked else inf)

    def _limit(self, cause: Cause, span: float) -> None:
        """The list's age runs from `trusted_until`; a deadline that stands already is only brought forward."""
        span = min(span, self.must_ask_in) if self.asked else span
        until = self.trusted_until + span
        if self.cause is Cause.WATCHED or until < self.usable_until:
            self.cause, self.usable_until = cause, min(self.usable_until, until)
