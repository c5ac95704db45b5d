"""Bytes of a client that were received before its earlier requests were answered, and are not parsed yet."""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

MAX_READ_AHEAD_BYTES = 65536


class ReceivedBytes(NamedTuple):
    """Received bytes, and when they were written at the earliest (ms, monotonic)."""

    data: bytes
    written_at_ms: float


@dataclass
class _Part:
    data: bytes
    written_at_ms: float
    position: int = 0


class ReadAhead:
    """The bytes that one connection has read ahead, in order."""

    def __init__(self) -> None:
        self._parts: deque[_Part] = deque()
        self.held_bytes = 0

    def append(self, data: bytes, written_at_ms: float) -> None:
        """Add bytes that were received."""
        self._parts.append(_Part(data, written_at_ms))
        self.held_bytes += len(data)

    def take(self, max_bytes: int) -> ReceivedBytes:
        """Return the first bytes, `max_bytes` at most; there have to be some."""
        part = self._parts[0]
        data = part.data[part.position : part.position + max_bytes]
        part.position += len(data)
        self.held_bytes -= len(data)
        if part.position == len(part.data):
            self._parts.popleft()
        return ReceivedBytes(data, part.written_at_ms)
