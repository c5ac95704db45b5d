"""How requests ended, counted by second and in HDR histograms; free of I/O.

The time of a request runs from when it was due, not from when the client came to send it: else a proxy that stands still for
a second would hide all that should have come in it (coordinated omission).
"""

from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram


class Outcome(StrEnum):
    """How a request ended.  The value is the word of the tool's records."""

    IN_TIME = "in_time"
    LATE = "late"  # served after its latency objective
    REJECTED = "declined"
    FAILED = "reversed"
    LOST = "lost"  # written whole, and no answer before its deadline
    OVERDUE = "overdue"  # served after its deadline
    UNSENT = "unsent"  # never written, since there was no connection
    INVALID = "refused"  # refused with a 4xx, as it deserved


# Of the histograms, in microseconds; and their precision.
LEAST_MICROSECONDS, MOST_MICROSECONDS, SIGNIFICANT_DIGITS = 1, 60_000_000, 3
LATENCY_PERCENTILES = (50, 99, 99.9)
RECOVERED_RATIO = 0.9  # of the valid requests of a second are served in time


def _histogram() -> HdrHistogram:
    return HdrHistogram(LEAST_MICROSECONDS, MOST_MICROSECONDS, SIGNIFICANT_DIGITS)


class OutcomeCounts:
    """The outcomes of one run, or of several workers' parts of it."""

    def __init__(self) -> None:
        self.by_second: dict[int, dict[Outcome, int]] = {}
        self.served_times = _histogram()  # from when the request was due
        self.rejection_times = _histogram()  # from when the attempt was written
        self.weight_in_time = 0.0
        self.weight_offered = 0.0
        self.attempts = 0
        self.connections = 0
        self.duplicate_answers = 0

    def count(self, due_seconds: float, outcome: Outcome, priority_weight: float = 0.0) -> None:
        """One request, due so long after the start, has ended."""
        self._add(int(due_seconds), outcome, 1)
        if outcome is not Outcome.INVALID:
            self.weight_offered += priority_weight
            self.weight_in_time += priority_weight * (outcome is Outcome.IN_TIME)

    def _add(self, second: int, outcome: Outcome, count: int) -> None:
        counts = self.by_second.setdefault(second, {})
        counts[outcome] = counts.get(outcome, 0) + count

    def record_time(self, outcome: Outcome, took_ms: float) -> None:
        """How long an answer took."""
        histogram = self.rejection_times if outcome is Outcome.REJECTED else self.served_times
        histogram.record_value(max(LEAST_MICROSECONDS, min(MOST_MICROSECONDS, int(took_ms * 1000))))

    def by_second_as_json(self) -> dict[str, dict[Outcome, int]]:
        """The counts of each second, in the order of time."""
        return {str(second): counts for second, counts in sorted(self.by_second.items())}

    def as_json(self) -> dict[str, Any]:
        """The form in which a worker hands its part over."""
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
        """Takes in another worker's part, as `as_json` made it."""
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
        """Requests with that outcome that were due in a span."""
        seconds = self.by_second.items()
        return sum(counts.get(outcome, 0) for second, counts in seconds if since_seconds <= second < until_seconds)

    def offered(self, since_seconds: float = 0.0, until_seconds: float = float("inf")) -> int:
        """All requests that were due in a span."""
        return sum(self.total(outcome, since_seconds, until_seconds) for outcome in Outcome)

    def latency_ms(self) -> dict[str, float]:
        """Percentiles of the served requests' times."""
        return {f"p{part:g}": self.served_times.get_value_at_percentile(part) / 1000 for part in LATENCY_PERCENTILES}

    def median_rejection_ms(self) -> float:
        """From the writing of an attempt to its rejection."""
        return self.rejection_times.get_value_at_percentile(50) / 1000

    def weight_ratio(self) -> float:
        """Of the priority weight of all valid requests, the part served in time."""
        return self.weight_in_time / self.weight_offered if self.weight_offered else 0.0

    def recovery_seconds(self, since_seconds: float, ratio: float = RECOVERED_RATIO) -> float | None:
        """From then until the part of the valid requests served in time is over `ratio` and stays there; None: never."""
        seconds = sorted(second for second in self.by_second if second >= since_seconds)
        bad_seconds = [second for second in seconds if self._is_bad(second, ratio)]
        if not bad_seconds:
            return 0.0
        if bad_seconds[-1] == seconds[-1]:
            return None
        return bad_seconds[-1] + 1 - since_seconds

    def _is_bad(self, second: int, ratio: float) -> bool:
        valid = self.offered(second, second + 1) - self.total(Outcome.INVALID, second, second + 1)
        return self.total(Outcome.IN_TIME, second, second + 1) < ratio * valid
