"""Limits the connections to one kind of peer and selects which one to close for a new one."""

from collections.abc import Callable
from socket import socket
from typing import Protocol

from sloeferry import environment
from sloeferry.network.sockets import is_open_and_idle


class Connection(Protocol):
    """A connection that holds a descriptor of the budget."""

    sock: socket


_Waiting = dict[Connection, tuple[float, Callable[[], None]]]  # start time in seconds, function that closes it


def _waiting_since(item: tuple[Connection, tuple[float, Callable[[], None]]]) -> float:
    _, (since, _) = item
    return since


class DescriptorBudget:
    """A budget of descriptors, one for each connection.

    When it is exhausted, a connection is closed for a new one, the longest waiting first within each group: idle connections
    that have had a response, whose clients can reconnect; then new ones that have sent nothing, whose first request may be in
    transit; then those that have stopped in the middle of a message.
    """

    # How long a connection of each group has to wait before it may be closed.
    MIN_IDLE_SECONDS, MIN_NEW_SECONDS, MIN_PARTIAL_SECONDS = 0.05, 0.15, 0.4

    def __init__(self, limit: int):
        self.limit = limit
        self._full_limit = limit
        self.in_use = 0
        self.idle: _Waiting = {}
        self._new: _Waiting = {}
        self.partial: _Waiting = {}

    def acquire(self, is_urgent: bool = False) -> bool:
        """Acquire a descriptor, closing a waiting connection if necessary; return False if none is available.

        `is_urgent`: others have waited for a descriptor for too long, so that also a connection that has not waited for its
        shortest time is closed for one.
        """
        if self.in_use >= self.limit and not self._close_waiting() and not (is_urgent and self._close_any()):
            return False
        self.in_use += 1
        return True

    def _close_waiting(self) -> bool:
        """Close one connection that has waited for the shortest time of its group; return whether one was closed."""
        return (
            self._close_oldest(self.idle, self.MIN_IDLE_SECONDS)
            or self._close_oldest(self._new, self.MIN_NEW_SECONDS)
            or self._close_oldest(self.partial, self.MIN_PARTIAL_SECONDS)
        )

    def _close_any(self) -> bool:
        """Close one waiting connection, new ones last: their first request may be in transit.  Return whether one was closed."""
        return any(self._close_oldest(waiting, 0.0) for waiting in (self.idle, self.partial, self._new))

    def release(self) -> None:
        """Release a descriptor."""
        self.in_use -= 1

    def _close_oldest(self, waiting: _Waiting, min_seconds: float) -> bool:
        """Close the connection that has waited longest, if it has waited `min_seconds`; return whether one was closed."""
        for _ in range(len(waiting)):
            connection, (since, close) = min(waiting.items(), key=_waiting_since)
            # Under many new connections, the request of a recent one may still be in transit and would be lost.
            if environment.monotonic() - since < min_seconds:
                return False
            del waiting[connection]
            if is_open_and_idle(connection.sock):
                close()
                return True
            waiting[connection] = environment.monotonic(), close  # a request or the end of the stream is unread
        return False

    def divide_among(self, processes: int, max_limit: int) -> None:
        """Reduce the limit to the share of one of `processes` processes, `max_limit` at most."""
        self.limit = min(self._full_limit // processes, max_limit)

    def mark_waiting(
        self,
        connection: Connection,
        close: Callable[[], None],
        is_new: bool = False,
        is_partial: bool = False,
        since: float | None = None,
    ) -> None:
        """Mark the connection as waiting: for its first request (new), the rest of a message (partial) or the next message.

        `since` (seconds, monotonic): from when on, if not from now.
        """
        waiting = self.partial if is_partial else self._new if is_new else self.idle
        waiting[connection] = environment.monotonic() if since is None else since, close

    def mark_active(self, connection: Connection) -> None:
        """Mark the connection as no longer waiting."""
        self.idle.pop(connection, None)
        self._new.pop(connection, None)
        self.partial.pop(connection, None)
