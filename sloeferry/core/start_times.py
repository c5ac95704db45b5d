"""When backends started, on this process's monotonic clock (rule 4).  Decisions, free of I/O.

Discovery tells starts in Unix time, and the wall clock here may be an hour off either way.  Taken at its word, a clock
that is ahead makes a cold backend pass for warm.  So a start is believed as far as other evidence bears it out:

- nothing has started later than now;
- until something confirms the clock, a start counts from when it was first met;
- a start that came as news on a standing watch, not older than news commonly is, confirms the clock;
- a Date header of discovery's (RFC 9110, 6.6.1) tells its clock to the second: it goes before the one here, and confirms it.

Once the clock is confirmed, the starts met before are taken at their word, too.  Times are float milliseconds; `unix` ones
since the epoch, all others monotonic.
"""

from sloeferry.core.staleness import NEWS

DATE_ERROR = 2000.0  # ms: a Date header's second, and how long it was on its way
PROMPT = NEWS / 3  # ms: news of a start is commonly not older than that


class StartTimes:
    """The starts of one proxy's backends."""

    def __init__(self, now: float, unix: float):
        self.confirmed = False  # whether anything has borne the clock out
        self._reviewed = False  # whether what was met before that has been looked at again
        self._offset = unix - now
        self._known: dict = {}  # backend -> (start as told, start as taken, when it was met)

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
        age = now - (told - self._offset)
        if news and 0 <= age <= PROMPT:
            self.confirmed = True
        believed = self.confirmed and not (news and age > NEWS)
        at = now - max(0.0, age) if believed else now
        self._known[backend] = told, at, now
        return at

    def confirmed_starts(self) -> dict:
        """The starts that are taken otherwise now that the clock is confirmed: backend -> start."""
        changed = {}
        if self.confirmed and not self._reviewed:
            self._reviewed = True
            for backend, (told, at, met) in self._known.items():
                if (right := min(met, told - self._offset)) != at and at == met:
                    changed[backend] = right
                    self._known[backend] = told, right, met
        return changed

    def forget(self, backend) -> None:
        """That backend is gone."""
        self._known.pop(backend, None)

    def keep_only(self, backends) -> None:
        """A whole list names just these."""
        for backend in self._known.keys() - backends:
            del self._known[backend]
