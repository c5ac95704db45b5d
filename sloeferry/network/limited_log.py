"""Warnings, a few lines a kind and minute: a fault that comes with every request must not fill the log."""

from typing import Any

from loguru import logger

from sloeferry import environment

LINES_PER_SPAN = 5
SPAN_SECONDS = 60.0
_span_began: dict[str, float] = {}
_count: dict[str, int] = {}


def warn(kind: str, text: str, *values: Any) -> None:
    """Logs a warning of that kind; how many were left out is said with the first of the next span."""
    now = environment.monotonic()
    if now - _span_began.get(kind, -SPAN_SECONDS) >= SPAN_SECONDS:
        if _count.get(kind, 0) > LINES_PER_SPAN:
            logger.warning("{}: {} more in the last minute", kind, _count[kind] - LINES_PER_SPAN)
        _span_began[kind], _count[kind] = now, 0
    _count[kind] += 1
    if _count[kind] <= LINES_PER_SPAN:
        logger.warning("{}: " + text, kind, *values)
