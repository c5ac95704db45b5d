"""Bounds the time at which a client wrote the last byte of a body that is being received.

The time left of a request runs from that byte.  It may wait unread: with this machine's kernel while the body is forwarded to a
slow backend, and with the client's kernel, which nothing on this machine can look into.  So the earliest time is assumed that
the facts allow (safety rule 1).  Two facts prove that the byte had not been written at some time:

- Nothing was unread for longer than bytes are in transit: then neither kernel held any.
- More of the body was still to arrive than the client's kernel can hold.
"""

from collections import deque
from typing import NamedTuple

MAX_TRANSIT_MS = 10.0  # from the client's kernel to this one, in an open receive window
# What a client's kernel with unsent bytes delivers in MAX_TRANSIT_MS at least, if they are read as they arrive.
MIN_TRANSIT_BYTES = 65536
MAX_READ_DELAY_MS = 4.0  # of bytes that are read as they arrive, to the precision of the kernel's word
# The largest send buffer that Linux allows by default: tcp(7), tcp_wmem.
MAX_CLIENT_BUFFER_BYTES = 1 << 22
MIN_BYTES_BETWEEN_SAMPLES = MAX_CLIENT_BUFFER_BYTES // 64


class _Sample(NamedTuple):
    """How much of a body had arrived at a time; ms and bytes."""

    at_ms: float
    arrived_bytes: int


class LastByteBound:
    """The earliest time at which the last byte of one body may have been written; times in ms, monotonic."""

    def __init__(self, now_ms: float, length_bytes: int | None):
        """Begin with a body that may have been written completely; `length_bytes`: None if it is not known."""
        self.earliest_ms = now_ms
        self._length_bytes = length_bytes
        self._samples: deque[_Sample] = deque()
        self._waiting: _Sample | None = None  # the begin of the last read, if it found nothing
        self._keeping_up: _Sample | None = None  # since when each read has found nothing at first

    def read_begins(self, now_ms: float, received_bytes: int, unread_bytes: int, ms_since_arrival: float = 0.0) -> None:
        """Record that a read begins, before which so much has been received, and so much has arrived and is unread.

        `ms_since_arrival`: how long ago the last bytes arrived, as far as the system tells; after a late event loop they were
        read long after that.
        """
        self.bytes_arrived(now_ms, received_bytes + unread_bytes)
        if unread_bytes:
            self._waiting = self._keeping_up = None
            return
        waited, self._waiting = self._waiting, _Sample(now_ms, received_bytes)
        if waited and now_ms - ms_since_arrival >= waited.at_ms + MAX_TRANSIT_MS:
            self._advance(waited.at_ms)
        since = self._keeping_up
        has_much_arrived = since is None or received_bytes - since.arrived_bytes >= MIN_TRANSIT_BYTES
        if since is None or has_much_arrived or ms_since_arrival >= MAX_READ_DELAY_MS:
            self._keeping_up = self._waiting
        elif now_ms >= since.at_ms + MAX_TRANSIT_MS:
            self._advance(since.at_ms)
            self._keeping_up = self._waiting

    def read_waits(self, now_ms: float) -> None:
        """Record that nothing has arrived since the read in progress began."""
        if self._waiting and now_ms >= self._waiting.at_ms + MAX_TRANSIT_MS:
            self._advance(now_ms - MAX_TRANSIT_MS)

    def bytes_arrived(self, now_ms: float, arrived_bytes: int) -> None:
        """Record how much of the body has arrived, read or not."""
        samples = self._samples
        if not samples or arrived_bytes >= samples[-1].arrived_bytes + MIN_BYTES_BETWEEN_SAMPLES:
            samples.append(_Sample(now_ms, arrived_bytes))
        least_bytes = arrived_bytes if self._length_bytes is None else self._length_bytes
        while samples and samples[0].arrived_bytes <= least_bytes - MAX_CLIENT_BUFFER_BYTES:
            self._advance(samples.popleft().at_ms)

    def _advance(self, time_ms: float) -> None:
        self.earliest_ms = max(self.earliest_ms, time_ms)
