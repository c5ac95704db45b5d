"""How fast requests come in."""

INITIAL_GAP_MS = 50.0
MAX_GAP_MS = 1000.0  # what one pause counts for at most
GAP_SMOOTHING = 100  # requests over which the gap is averaged
# Ticks that a question to an endpoint takes: where requests come faster, there is no time to ask.
HEALTH_CHECK_TIMEOUT_TICKS = 4


class ArrivalRate:
    """The mean gap between requests."""

    def __init__(self, tick_ms: float, now: float):
        self._question_ms = HEALTH_CHECK_TIMEOUT_TICKS * tick_ms
        self.mean_gap_ms = max(INITIAL_GAP_MS, self._question_ms)
        self.last_arrival = now

    def record_arrival(self, now: float) -> None:
        """Updates the gap with a request that came now."""
        self.mean_gap_ms += (min(now - self.last_arrival, MAX_GAP_MS) - self.mean_gap_ms) / GAP_SMOOTHING
        self.last_arrival = now

    def is_faster_than_health_checks(self) -> bool:
        """Whether requests come faster than an endpoint could be asked for its load."""
        return self.mean_gap_ms < self._question_ms
