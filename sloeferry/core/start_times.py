"""When backends started, on this process's monotonic clock (rule 4).  Decisions, free of I/O.

Discovery tells starts in Unix time, and the wall clock here may be an hour off either way.  Taken at its word, a clock
that is ahead makes a cold backend pass for warm.  So a start is believed as far as other evidence bears it out:

- nothing has started later than now;
- a start that came as news on a standing watch is not older than news may be;
- a Date header of discovery's (RFC 9110, 6.6.1) tells its clock to the second, and goes before the one here;
- a start that claims to be over by a whole warm-up, on a clock that nothing has confirmed, counts from when it was first
  met.  A clock that is ahead by less than a warm-up is not told from a right one until a Date header or news says so.

Times are float milliseconds; `unix` ones since the epoch, all others monotonic.
"""

from sloeferry.core.staleness import NEWS

DATE_ERROR = 2000.0  # ms: a Date header's second, and how long it was on its way


class StartTimes:
    """The starts of one proxy's backends.  `cold` is how long (ms) a backend takes to be warm, by the settings."""

    def __init__(self, now: float, unix: float, cold: float):
        self.cold = cold
        self.confirmed = False  # whether anything has borne the clock out
        self._offset = unix - now
        self._known: dict = {}  # backend -> (start as told, start as taken)

    def told_time(self, now: float, unix: float) -> None:
        """Discovery's own word of what time it is."""
        ahead = now + self._offset - unix
        if abs(ahead) > DATE_ERROR:
            self._offset -= ahead
        self.confirmed = True

    def taken(self, now: float, backend, told: float, news: bool) -> float:
        """When a backend started that discovery says started at `told` (unix; 0: long ago)."""
        if not told:
            return told
        known = self._known.get(backend)
        if known and known[0] == told:
            return known[1]  # once taken it stays, or each list would tell of another start
        at = told - self._offset
        if news:
            if 0 <= now - at <= NEWS:
                self.confirmed = True
            elif now - at > NEWS:  # the clock is ahead: how old it is nobody knows
                at = now
        elif not self.confirmed and now - at >= self.cold:
            at = now
        at = min(now, at)
        self._known[backend] = told, at
        return at

    def forget(self, backend) -> None:
        """That backend is gone."""
        self._known.pop(backend, None)

    def keep_only(self, backends) -> None:
        """A whole list names just these."""
        for backend in self._known.keys() - backends:
            del self._known[backend]
