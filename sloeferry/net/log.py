"""Warnings, a few lines a kind and minute: a fault that comes with every txn must not fill the log."""

from loguru import logger

from sloeferry import machine

EACH, SPAN = 5, 60.0
_since, _count = {}, {}


def warn(kind, text, *what):
    now = machine.monotonic()
    if now - _since.get(kind, -SPAN) >= SPAN:
        if _count.get(kind, 0) > EACH:
            logger.warning("{}: {} more in the last minute", kind, _count[kind] - EACH)
        _since[kind], _count[kind] = now, 0
    _count[kind] += 1
    if _count[kind] <= EACH:
        logger.warning("{}: " + text, kind, *what)
