"""Outcomes of requests, counted by second, and their latencies in HDR histograms; free of I/O.

The latency of a request starts when the request was due, not when the client sent it: otherwise a proxy that stalls for a
second would hide the latency of all requests due in that second (coordinated omission).
"""

from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram


class Outcome(StrEnum):
    """Outcome of a request.  The values are used as keys in the tool's records."""

    IN_TIME = "in_time"
    LATE = "late"  # served after its latency objective
    REJECTED = "declined"
    FAILED = "reversed"
    LOST = "lost"  # sent completely, without a response before its deadline
    OVERDUE = "overdue"  # served after its deadline
    UNSENT = "unsent"  # never sent, because no connection was available
    INVALID = "refused"  # an invalid request, correctly refused with a 4xx status


# Range of the histograms, and their precision.
MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS = 1, 60_000_000, 3
LATENCY_PERCENTILES = (50, 99, 99.9)
RECOVERED_RATIO = 0.9  # of a second's valid requests served in time: the proxy has recovered


def _histogram() -> HdrHistogram:
    return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


class OutcomeCounts:
    """Outcomes of a run, or of several workers' parts of one."""

    def __init__(self) -> None:
        self.by_second: dict[int, dict[Outcome, int]] = {}
        self.served_times = _histogram()  # since the request was due
        self.rejection_times = _histogram()  # since the attempt was sent
        self.weight_in_time = 0.0
        self.weight_offered = 0.0
        self.attempts = 0
        self.connections = 0
        self.duplicate_answers = 0

    def count(self, due_seconds: float, outcome: Outcome, priority_weight: float = 0.0) -> None:
        """Count the outcome of a request; `due_seconds` is relative to the start of the run."""
        self._add(int(due_seconds), outcome, 1)
        if outcome is not Outcome.INVALID:
            self.weight_offered += priority_weight
            self.weight_in_time += priority_weight * (outcome is Outcome.IN_TIME)

    def _add(self, second: int, outcome: Outcome, count: int) -> None:
        counts = self.by_second.setdefault(second, {})
        counts[outcome] = counts.get(outcome, 0) + count

    def record_time(self, outcome: Outcome, duration_ms: float) -> None:
        """Record the latency of a response."""
        histogram = self.rejection_times if outcome is Outcome.REJECTED else self.served_times
        histogram.record_value(max(MIN_MICROSECONDS, min(MAX_MICROSECONDS, int(duration_ms * 1000))))

    def by_second_as_json(self) -> dict[str, dict[Outcome, int]]:
        """Return the counts by second in chronological order."""
        return {str(second): counts for second, counts in sorted(self.by_second.items())}

    def as_json(self) -> dict[str, Any]:
        """Return the JSON form in which a worker process passes on its part."""
        return {
            "by_second": self.by_second_as_json(),
            "weight_in_time": self.weight_in_time,
            "weight_offered": self.weight_offered,
            "served_times": self.served_times.encode().decode(),
            "rejection_times": self.rejection_times.encode().decode(),
            "attempts": self.attempts,
            "connections": self.connections,
            "duplicate_answers": self.duplicate_answers,
        }

    def merge(self, part: dict[str, Any]) -> None:
        """Add the part of another worker, in the form of `as_json`."""
        for second, counts in part["by_second"].items():
            for outcome, count in counts.items():
                self._add(int(second), Outcome(outcome), count)
        self.weight_in_time += part["weight_in_time"]
        self.weight_offered += part["weight_offered"]
        self.served_times.decode_and_add(part["served_times"])
        self.rejection_times.decode_and_add(part["rejection_times"])
        self.attempts += part["attempts"]
        self.connections += part["connections"]
        self.duplicate_answers += part["duplicate_answers"]

    def total(self, outcome: Outcome, since_seconds: float = 0.0, until_seconds: float = float("inf")) -> int:
        """Return the number of requests with that outcome that were due in an interval."""
        seconds = self.by_second.items()
        return sum(counts.get(outcome, 0) for second, counts in seconds if since_seconds <= second < until_seconds)

    def offered(self, since_seconds: float = 0.0, until_seconds: float = float("inf")) -> int:
        """Return the number of requests that were due in an interval."""
        return sum(self.total(outcome, since_seconds, until_seconds) for outcome in Outcome)

    def latency_ms(self) -> dict[str, float]:
        """Return percentiles of the served requests' latencies."""
        return {
            f"p{percentile:g}": self.served_times.get_value_at_percentile(percentile) / 1000 for percentile in LATENCY_PERCENTILES
        }

    def median_rejection_ms(self) -> float:
        """Return the median time from sending an attempt to its rejection."""
        return self.rejection_times.get_value_at_percentile(50) / 1000

    def weight_ratio(self) -> float:
        """Return the ratio of the valid requests' priority weight that was served in time."""
        return self.weight_in_time / self.weight_offered if self.weight_offered else 0.0

    def recovery_seconds(self, since_seconds: float, ratio: float = RECOVERED_RATIO) -> float | None:
        """Return the seconds until the ratio of valid requests served in time reaches `ratio` and stays there; None: never."""
        seconds = sorted(second for second in self.by_second if second >= since_seconds)
        degraded_seconds = [second for second in seconds if self._is_below_ratio(second, ratio)]
        if not degraded_seconds:
            return 0.0
        if degraded_seconds[-1] == seconds[-1]:
            return None
        return degraded_seconds[-1] + 1 - since_seconds

    def _is_below_ratio(self, second: int, ratio: float) -> bool:
        valid = self.offered(second, second + 1) - self.total(Outcome.INVALID, second, second + 1)
        return self.total(Outcome.IN_TIME, second, second + 1) < ratio * valid
