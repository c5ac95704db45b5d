"""Tells a peer that reads slowly from one that has stopped reading."""

import asyncio
import socket

from sloeferry import environment

# A peer that sends or takes this much on the average of its body has not stopped, however long a single read or write waits.
MIN_BYTES_PER_SECOND = 32768


class WriteProgress:
    """The writes of one body to one peer, and how much of them the peer has taken.

    How long a single write lasts tells little: the kernel takes more only once a third of its send buffer is free, and the
    peer's kernel makes room in steps that grow with its receive buffer.  Both may be megabytes, so that a write to a peer that
    reads steadily can wait for a minute.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, max_pause_seconds: float):
        """Create the record of a body; a peer that has stopped reading is given `max_pause_seconds`."""
        self._loop = loop
        self._sock = sock
        self._max_pause_seconds = max_pause_seconds
        self.waiting_since: float | None = None  # seconds, monotonic: the begin of the write that has not ended
        self.restart()

    def restart(self) -> None:
        """Begin with another body."""
        self._sent_bytes = 0
        self._taken_bytes = 0
        self._taken_at = self._looked_at = float("-inf")  # seconds, monotonic
        self._waited_seconds = 0.0

    async def send(self, data: bytes) -> None:
        """Send data.  The caller of `has_stalled` ends a write that waits for too long."""
        self.waiting_since = environment.monotonic()
        await self._loop.sock_sendall(self._sock, data)
        self.waiting_since = None
        self._sent_bytes += len(data)

    def has_stalled(self, now: float) -> bool:
        """Return whether the peer has stopped reading; has to be called repeatedly while a write waits.

        It has if it has taken nothing for the longest pause, and if the writes have waited for longer than that pause and the
        time in which it would have read what it took.
        """
        if self.waiting_since is None:
            return False
        # Below 0 while bytes of the body before, which a client that pipelines requests has not read, are out.
        taken_bytes = self._sent_bytes - (environment.unacknowledged_bytes(self._sock) or 0)
        if taken_bytes != self._taken_bytes:
            self._taken_bytes, self._taken_at = taken_bytes, now
        self._waited_seconds += now - max(self._looked_at, self.waiting_since)
        self._looked_at = now
        has_paused = now > max(self._taken_at, self.waiting_since) + self._max_pause_seconds
        return has_paused and self._waited_seconds > self._max_pause_seconds + max(0, taken_bytes) / MIN_BYTES_PER_SECOND
