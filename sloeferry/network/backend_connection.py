"""One connection to a backend, which carries one request at a time and is reused."""

import socket
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.config.instance import Address
from sloeferry.network.http1.stream import HttpStream
from sloeferry.network.sockets import is_open_and_idle, reset_on_close

if TYPE_CHECKING:
    from sloeferry.network.connection_pool import ConnectionPool


class BackendConnection:
    """A connection of the pool, idle or in use."""

    def __init__(self, pool: "ConnectionPool", endpoint_id: str, address: Address, sock: socket.socket):
        self._pool = pool
        self.endpoint_id = endpoint_id
        self.address = address
        self.sock = sock
        self.stream = HttpStream(pool.loop, sock, pool.buffers, is_response=True)
        self.idle_since = environment.monotonic()
        self._is_request_incomplete = False  # bytes of a request were written, and not its last one

    def is_usable(self) -> bool:
        """Return whether the connection is open and not close to its backend's idle timeout."""
        if environment.monotonic() - self.idle_since > self._pool.max_idle_seconds:
            return False
        return is_open_and_idle(self.sock)  # False: it is closed, or unexpected bytes have arrived

    def has_current_address(self) -> bool:
        """Return whether the connection leads to the endpoint's current address, which may have changed since the dial."""
        return self._pool.addresses.get(self.endpoint_id) == self.address

    def mark_idle(self) -> None:
        """Put the connection into the pool."""
        self.idle_since = environment.monotonic()
        self._pool.idle.setdefault(self.endpoint_id, []).append(self)
        self._pool.budget.mark_waiting(self, self.close)

    def mark_in_use(self) -> None:
        """Take the connection out of the pool."""
        self._pool.idle[self.endpoint_id].remove(self)
        self._pool.budget.mark_active(self)

    def request_begins(self) -> None:
        """Record that the first byte of a request is about to be written."""
        self._is_request_incomplete = True

    def request_written(self) -> None:
        """Record that the last byte of the request was written: only now may another one follow."""
        self._is_request_incomplete = False

    def finish(self, keep_alive: bool) -> None:
        """Return the connection to the pool after use, or close it if it cannot be reused.

        After an incomplete request the backend would read the next one as its rest (request smuggling).
        Surplus bytes belong to no attempt: the next one would read them as its response, so the connection is closed.
        """
        self.stream.forget_message()
        has_surplus_bytes = self.stream.completed or self.stream.has_begun
        if has_surplus_bytes:
            self._pool.note_surplus_bytes()
        is_reusable = keep_alive and not self._is_request_incomplete and not has_surplus_bytes
        if is_reusable and self.has_current_address():
            self.mark_idle()
        else:
            self.close()

    def abort(self) -> None:
        """Reset the connection in the middle of a request or response.

        Bytes of the request in the kernel's send buffer must not reach the backend once a network partition ends: by then the
        client has its final answer (rule 1), and the backend's deduplication window may have ended (rule 2).
        """
        reset_on_close(self.sock)
        self.close()

    def close(self) -> None:
        """Close the connection and release its descriptor."""
        if self in self._pool.idle.get(self.endpoint_id, ()):
            self.mark_in_use()
        self.stream.close()
        self.sock.close()
        self._pool.budget.release()
