"""The limit on descriptors: how many connections there may be to one kind of peer, and which ends for a new one."""

from collections.abc import Callable
from socket import socket
from typing import Protocol

from sloeferry import environment
from sloeferry.network.sockets import is_open_and_idle


class Connection(Protocol):
    """What holds a place in the budget."""

    sock: socket


_Waiting = dict[Connection, tuple[float, Callable[[], None]]]  # since when, how to close it; oldest first


class DescriptorBudget:
    """One place for each connection.

    A full budget closes connections by what each has shown: first those idle longest that have had an answer, and may ask
    anew elsewhere; then those that have sent nothing yet, whose first request may be on its way; then those half way
    through a message of which nothing more has come for longest.
    """

    # Seconds until a connection may be closed: one at rest, one that never asked, one half way through a message.
    MIN_IDLE_SECONDS, MIN_NEW_SECONDS, MIN_PARTIAL_SECONDS = 0.05, 0.15, 0.4

    def __init__(self, limit: int):
        self.limit = limit
        self._full_limit = limit
        self.in_use = 0
        self.idle: _Waiting = {}
        self._new: _Waiting = {}
        self.partial: _Waiting = {}

    def acquire(self) -> bool:
        """Takes a place; False if there is none to be had."""
        if self.in_use >= self.limit and not (
            self._close_oldest(self.idle, self.MIN_IDLE_SECONDS)
            or self._close_oldest(self._new, self.MIN_NEW_SECONDS)
            or self._close_oldest(self.partial, self.MIN_PARTIAL_SECONDS)
        ):
            return False
        self.in_use += 1
        return True

    def release(self) -> None:
        """A place is free again."""
        self.in_use -= 1

    def _close_oldest(self, waiting: _Waiting, min_seconds: float) -> bool:
        """Closes the one that has waited for longest, if it has for so long; whether one was closed."""
        for _ in range(len(waiting)):
            connection, (since, close) = next(iter(waiting.items()))
            # In a rush of newcomers the request of the one before may be on its way: closed, it would be lost.
            if environment.monotonic() - since < min_seconds:
                return False
            del waiting[connection]
            if is_open_and_idle(connection.sock):
                close()
                return True
            waiting[connection] = environment.monotonic(), close  # a request is there, only not read yet; or the end is
        return False

    def divide_among(self, processes: int) -> None:
        """So many processes share the limit of descriptors: this one's part of it."""
        self.limit = self._full_limit // processes

    def mark_waiting(
        self, connection: Connection, close: Callable[[], None], is_new: bool = False, is_partial: bool = False
    ) -> None:
        """The connection waits for what comes next: its first request (new), or the rest of a message (partial)."""
        waiting = self.partial if is_partial else self._new if is_new else self.idle
        waiting[connection] = environment.monotonic(), close

    def mark_active(self, connection: Connection) -> None:
        """The connection waits no more."""
        self.idle.pop(connection, None)
        self._new.pop(connection, None)
        self.partial.pop(connection, None)
