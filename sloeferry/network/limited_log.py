"""Limits warnings to a few lines per kind and minute: a fault that occurs with every request must not fill the log."""

from typing import Any

from loguru import logger

from sloeferry import environment

LINES_PER_SPAN = 5
SPAN_SECONDS = 60.0
_span_start_seconds: dict[str, float] = {}
_count: dict[str, int] = {}


def reset() -> None:
    """Begin all spans anew, as in a new process."""
    _span_start_seconds.clear()
    _count.clear()


def warn(kind: str, text: str, *values: Any) -> None:
    """Log a warning of the given kind unless the limit of the kind is reached.

    The number of suppressed lines is logged before the first warning of the kind after the span; if none follows, it is not
    logged.
    """
    now = environment.monotonic()
    if now - _span_start_seconds.get(kind, -SPAN_SECONDS) >= SPAN_SECONDS:
        if _count.get(kind, 0) > LINES_PER_SPAN:
            logger.warning(
                "{}: suppressed={} span_s={:.0f}", kind, _count[kind] - LINES_PER_SPAN, now - _span_start_seconds[kind]
            )
        _span_start_seconds[kind], _count[kind] = now, 0
    _count[kind] += 1
    if _count[kind] <= LINES_PER_SPAN:
        logger.warning("{}: " + text, kind, *values)
