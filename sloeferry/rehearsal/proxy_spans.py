"""Spans of time in which something kept a proxy from what it would have done else."""

from collections import defaultdict
from typing import NamedTuple

NOTIFICATION_GRACE_SECONDS = 0.4  # in which a proxy that was notified may not have taken it in yet


class Span(NamedTuple):
    """Loop times, in seconds."""

    since: float
    until: float


class ProxySpans:
    """Spans for each proxy, by its name."""

    def __init__(self) -> None:
        self._spans: defaultdict[str, list[Span]] = defaultdict(list)

    def add(self, proxy: str, since: float, until: float) -> None:
        """Another span; it may overlap others."""
        self._spans[proxy].append(Span(since, until))

    def spans_of(self, proxy: str) -> list[Span]:
        """All spans of that proxy, in the order in which they were added."""
        return self._spans[proxy]

    def covers(self, proxy: str, at: float, before: float = 0.0, after: float | None = None) -> bool:
        """Whether a span, longer by `before` and `after` (the same where not given), contains that moment."""
        after = before if after is None else after
        return any(span.since - before <= at <= span.until + after for span in self._spans[proxy])

    def overlaps(self, proxy: str, since: float, until: float) -> bool:
        """Whether a span has part of that time."""
        return any(span.since <= until and span.until >= since for span in self._spans[proxy])

    def end_after(self, proxy: str, at: float) -> float | None:
        """The latest end of those spans that contain that moment; None where none does."""
        return max((span.until for span in self._spans[proxy] if span.since <= at < span.until), default=None)
