"""The rate at which requests arrive."""

INITIAL_GAP_MS = 50.0
MAX_GAP_MS = 1000.0  # cap of one sample
GAP_SMOOTHING = 100  # requests over which the gap is averaged
# Ticks after which a health check counts as unanswered; if requests arrive faster, there is no time for one.
HEALTH_CHECK_TIMEOUT_TICKS = 4


class ArrivalRate:
    """Measures the mean gap between requests as a moving average."""

    def __init__(self, tick_ms: float, now: float):
        self._check_timeout_ms = HEALTH_CHECK_TIMEOUT_TICKS * tick_ms
        self.mean_gap_ms = max(INITIAL_GAP_MS, self._check_timeout_ms)
        self.last_arrival = now

    def record_arrival(self, now: float) -> None:
        """Update the mean gap with a request that arrives now."""
        self.mean_gap_ms += (min(now - self.last_arrival, MAX_GAP_MS) - self.mean_gap_ms) / GAP_SMOOTHING
        self.last_arrival = now

    def is_faster_than_health_checks(self) -> bool:
        """Return whether requests arrive faster than a health check is answered."""
        return self.mean_gap_ms < self._check_timeout_ms
