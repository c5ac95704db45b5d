"""Warnings, a few lines a kind and minute: a fault that comes with every request must not fill the log."""

from typing import Any

from loguru import logger

from sloeferry import environment

LINES_PER_SPAN = 5
SPAN_SECONDS = 60.0
_span_start_seconds: dict[str, float] = {}
_count: dict[str, int] = {}


def warn(kind: str, text: str, *values: Any) -> None:
    """Logs a warning of that kind.

    How many were suppressed is logged with the first warning of the kind after the span; if none follows, never.
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
