"""Measures how long a client has waited for this process to read what it sent.

Bytes may arrive long before they are read: their connection waits in the listen backlog, or the event loop has stalled.  The time
left of a request runs from its last byte (safety rule 1).
"""

import math
import socket

from sloeferry import environment


class UnreadTime:
    """The unread time of one client connection; times in ms, monotonic."""

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._accepted_at_ms = environment.monotonic_ms()
        # Of a connection that may have waited in the backlog, until its first request: from when on at the earliest, and whether
        # the backlog was there before this process listened.
        self.queued_since_ms: float | None = None
        self.may_have_waited_longer = False
        self.stalled_ms = 0.0  # how long bytes have been unread while the event loop was stalled
        self._came_in_pieces = False  # the first request

    def note_partial_request(self) -> None:
        """Record that a receive did not complete a request."""
        self._came_in_pieces = True

    def note_wait(self, waited_ms: float) -> None:
        """Record that nothing was read for a time: the rest of a request may have arrived during it."""
        arrived_ms_ago = environment.ms_since_arrival(self._sock)
        unread_ms = waited_ms if arrived_ms_ago is None else min(waited_ms, arrived_ms_ago)
        self.stalled_ms = max(self.stalled_ms, unread_ms)

    def silent_since(self, is_partial: bool) -> float | None:
        """Return from when on the client has sent nothing (seconds, monotonic); None for now.

        `is_partial`: it has sent a part of a request.
        """
        if not is_partial and not self._may_have_queued():
            return None
        silent_ms = environment.ms_since_arrival(self._sock)
        if silent_ms is None:
            return None
        return environment.monotonic() - min(silent_ms, self._max_ms()) / 1000

    def take_ms(self, time_left_ms: float, recent_stall_ms: float) -> float:
        """Return how long a request that has just been read was unread, and begin anew.

        `time_left_ms`: its time left as the client stated it.  `recent_stall_ms`: of a stall of the event loop just ended.
        """
        unread_ms = max(self.unread_ms(time_left_ms), recent_stall_ms)
        self.stalled_ms, self.queued_since_ms, self.may_have_waited_longer = 0.0, None, False
        return unread_ms

    def unread_ms(self, time_left_ms: float) -> float:
        """Return how long the request being received has been unread so far."""
        return max(self.stalled_ms, self._queued_ms(time_left_ms)) if self._may_have_queued() else self.stalled_ms

    def _may_have_queued(self) -> bool:
        return self.queued_since_ms is not None or self.may_have_waited_longer

    def _queued_ms(self, time_left_ms: float) -> float:
        """Return how long ago the last byte of the first request arrived."""
        arrived_ms_ago = environment.ms_since_arrival(self._sock)
        if arrived_ms_ago is not None:
            return min(arrived_ms_ago, self._max_ms())
        if self._came_in_pieces or self.queued_since_ms is None:
            return 0.0
        # An upper bound only. Limited to half of the time left, or a long backlog would cause all requests to be rejected.
        return min(time_left_ms / 2, environment.monotonic_ms() - self.queued_since_ms)

    def _max_ms(self) -> float:
        """Return how long unread bytes may have waited, as far as this process can tell."""
        if self.may_have_waited_longer:
            return math.inf
        since_ms = self._accepted_at_ms if self.queued_since_ms is None else self.queued_since_ms
        return environment.monotonic_ms() - since_ms
