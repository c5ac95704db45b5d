"""The account of what the process holds for messages, against the platform's memory limit.

A connection and a small request on it have a fixed cost, which limits the number of connections.  What may be much larger, a
head of many fields or a body, is reserved before it is read.  A reservation lasts as long as the object that holds it.
"""

import asyncio
from collections import deque
from typing import NamedTuple

from sloeferry.network.buffers import BUFFER_BYTES
from sloeferry.network.http1.framing import MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES
from sloeferry.network.reservation import Reservation

BYTES_PER_KIB = 1024
STARTUP_GROWTH_BYTES = 2 * BYTES_PER_KIB**2  # code and tables that are used first by requests
USABLE_RATIO = 0.85  # of what the limit leaves; the rest is for the endpoint list, the policy and gaps in the heap
MAX_CONNECTION_RATIO = 1 / 2  # of what is usable, for connections
# A client connection with a small request, or a few pipelined ones, its attempt and the connection to a backend.
CONNECTION_BYTES = 32 * BYTES_PER_KIB
MIN_CONNECTIONS = 16
MIN_MESSAGE_BYTES = 256 * BYTES_PER_KIB  # that all messages together may hold, however low the limit is
RESIDENT_AT_REST_BYTES = 30 * BYTES_PER_KIB**2  # of a process without connections, where it cannot be measured

# What is read without a reservation, as a part of the connection's cost.
SMALL_MESSAGE_BYTES = 2 * BYTES_PER_KIB
# A head of short fields: the text of its fields, and the first of them as objects.
LARGE_HEAD_BYTES = MAX_HEAD_BYTES + 20 * BYTES_PER_KIB
# A body that is forwarded in parts: the part read and the part written.
STREAMED_BODY_BYTES = 2 * BUFFER_BYTES
# Of the connections, so that there are always some for small requests.
MAX_RESERVATION_RATIO = 2 / 3
MAX_WAITER_RATIO = 1 / 16
# Of the memory and of the reservations, for requests; the rest is for responses to requests that have run.
MAX_REQUEST_RATIO = 3 / 4
MAX_WAIT_SECONDS = 1.0  # for memory; a client that stops in the middle of a request has to get its error in 3 s


def buffered_request_bytes(content_length: int | None) -> int:
    """Return what the buffered part of a request's body costs while it is received."""
    return _buffered_bytes(content_length) + BUFFER_BYTES


def buffered_response_bytes(content_length: int | None) -> int:
    """Return what a buffered response costs: its body, and once more as it is written to the client."""
    return 2 * _buffered_bytes(content_length)


def _buffered_bytes(content_length: int | None) -> int:
    return MAX_BUFFERED_BODY_BYTES if content_length is None else min(content_length, MAX_BUFFERED_BODY_BYTES)


class _Waiter(NamedTuple):
    """A reservation that waits for memory."""

    size: int
    granted: "asyncio.Future[Reservation]"


class MemoryBudget:
    """The memory that messages may hold; bytes."""

    def __init__(self, limit_bytes: int, resident_bytes: int = RESIDENT_AT_REST_BYTES):
        """Divide what the process may still take, of which it has `resident_bytes` at its start."""
        self._limit_bytes = limit_bytes
        self._resident_bytes = resident_bytes
        self.reserved = 0
        self.refused_count = 0  # reservations for which there was no memory in time
        self._reservation_count = 0
        self._waiters: deque[_Waiter] = deque()
        self.divide_among(1)

    def divide_among(self, processes: int) -> None:
        """Use the share of one of `processes` processes, which are one proxy to the platform."""
        usable_bytes = int(max(0, self._limit_bytes / processes - self._resident_bytes - STARTUP_GROWTH_BYTES) * USABLE_RATIO)
        self._usable_bytes = usable_bytes
        self.max_connections = max(MIN_CONNECTIONS, int(usable_bytes * MAX_CONNECTION_RATIO) // CONNECTION_BYTES)
        self.set_connections(self.max_connections)

    def set_connections(self, count: int) -> None:
        """Set how many client connections there may be, `max_connections` at most; messages may hold what these leave."""
        self.limit = max(MIN_MESSAGE_BYTES, self._usable_bytes - count * CONNECTION_BYTES)
        self._max_reservations = int(count * MAX_RESERVATION_RATIO)
        self._max_waiters = int(count * MAX_WAITER_RATIO)

    def reserve_for_response(self, size: int) -> Reservation | None:
        """Reserve memory if there is enough, whether requests wait for it or not: the work for a response is done."""
        return self._reserve(size) if self._has_room(size, 1.0) else None

    def reserve_now_for_request(self, size: int) -> Reservation | None:
        """Reserve memory unless other requests wait for it, or there is not enough."""
        return self._reserve(size) if not self._waiters and self._has_room(size, MAX_REQUEST_RATIO) else None

    async def reserve_for_request(self, size: int, max_wait_seconds: float = MAX_WAIT_SECONDS) -> Reservation | None:
        """Reserve memory, first come, first served; return None if there is not enough in time."""
        if reservation := self.reserve_now_for_request(size):
            return reservation
        if len(self._waiters) < self._max_waiters:
            waiter = _Waiter(size, asyncio.get_running_loop().create_future())
            self._waiters.append(waiter)
            try:
                await asyncio.wait([waiter.granted], timeout=min(max_wait_seconds, MAX_WAIT_SECONDS))
            finally:
                self._remove(waiter)
            if waiter.granted.done():
                return waiter.granted.result()
        self.refused_count += 1
        return None

    def _remove(self, waiter: _Waiter) -> None:
        """Remove a waiter that gives up, and look at those behind it, which may need less."""
        if not waiter.granted.done():
            self._waiters.remove(waiter)
            self._grant()

    def _reserve(self, size: int) -> Reservation:
        self.reserved += size
        self._reservation_count += 1
        return Reservation(self, size)

    def release(self, size: int) -> None:
        """Release a part of a reservation."""
        self.reserved -= size
        self._grant()

    def reservation_ended(self, size: int) -> None:
        """Release the rest of a reservation."""
        self._reservation_count -= 1
        self.release(size)

    def _grant(self) -> None:
        while self._waiters and self._has_room(self._waiters[0].size, MAX_REQUEST_RATIO):
            waiter = self._waiters.popleft()
            waiter.granted.set_result(self._reserve(waiter.size))

    def _has_room(self, size: int, ratio: float) -> bool:
        """Return whether there is room in a part of the budget; also for a message larger than that if there is no other."""
        if self._reservation_count >= self._max_reservations * ratio:
            return False
        return self.reserved + size <= self.limit * ratio or not self.reserved

    def gauges(self) -> dict[str, int]:
        """Return the account for the admin server."""
        return {
            "limit_bytes": self._limit_bytes,
            "resident_at_start_bytes": self._resident_bytes,
            "max_connections": self.max_connections,
            "messages_limit_bytes": self.limit,
            "messages_reserved_bytes": self.reserved,
            "messages": self._reservation_count,
            "waiting": len(self._waiters),
            "refused": self.refused_count,
        }
