"""Records spans of time in which a fault kept a proxy from acting."""

from collections import defaultdict
from typing import NamedTuple

NOTIFICATION_GRACE_SECONDS = 0.4  # in which a proxy may not have applied a notification yet


class Span(NamedTuple):
    """A span between two loop times, in seconds."""

    since: float
    until: float


class ProxySpans:
    """Holds the spans of each proxy, by its name."""

    def __init__(self) -> None:
        self._spans: defaultdict[str, list[Span]] = defaultdict(list)

    def add(self, proxy: str, since: float, until: float) -> None:
        """Add a span, which may overlap others."""
        self._spans[proxy].append(Span(since, until))

    def spans_of(self, proxy: str) -> list[Span]:
        """Return all spans of a proxy, in the order in which they were added."""
        return self._spans[proxy]

    def covers(self, proxy: str, at: float, before: float = 0.0, after: float | None = None) -> bool:
        """Return whether a span contains the time `at`, extended by `before` and `after`; `after` defaults to `before`."""
        after = before if after is None else after
        return any(span.since - before <= at <= span.until + after for span in self._spans[proxy])

    def overlaps(self, proxy: str, since: float, until: float) -> bool:
        """Return whether a span overlaps the time from `since` to `until`."""
        return any(span.since <= until and span.until >= since for span in self._spans[proxy])

    def end_of_spans_at(self, proxy: str, at: float) -> float | None:
        """Return the latest end of the spans that contain the time `at`; None if there is none."""
        return max((span.until for span in self._spans[proxy] if span.since <= at < span.until), default=None)
