"""One connection to a backend, which carries one request at a time and is then kept."""

import socket
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.config.instance import Address
from sloeferry.network.http1.stream import HttpStream
from sloeferry.network.sockets import is_open_and_idle, reset_on_close

if TYPE_CHECKING:
    from sloeferry.network.connection_pool import ConnectionPool


class BackendConnection:
    """A connection of the pool, at rest or in use."""

    def __init__(self, pool: "ConnectionPool", endpoint_id: str, address: Address, sock: socket.socket):
        self._pool = pool
        self.endpoint_id = endpoint_id
        self.address = address
        self.sock = sock
        self.stream = HttpStream(pool.loop, sock, pool.buffers, is_response=True)
        self.idle_since = environment.monotonic()

    def is_usable(self) -> bool:
        """Whether it still stands, and its backend will not close it for idleness any moment."""
        if environment.monotonic() - self.idle_since > self._pool.max_idle_seconds:
            return False
        return is_open_and_idle(self.sock)  # else an end, or bytes that nobody asked for

    def has_current_address(self) -> bool:
        """Whether its endpoint still listens where this leads: it may have moved meanwhile."""
        return self._pool.addresses.get(self.endpoint_id) == self.address

    def mark_idle(self) -> None:
        """It is kept until it is needed again."""
        self.idle_since = environment.monotonic()
        self._pool.idle.setdefault(self.endpoint_id, []).append(self)
        self._pool.budget.mark_waiting(self, self.close)

    def mark_in_use(self) -> None:
        """It is needed again."""
        self._pool.idle[self.endpoint_id].remove(self)
        self._pool.budget.mark_active(self)

    def finish(self, keep_alive: bool) -> None:
        """A response has ended.  What more there is belongs to no attempt: the next would take it for its response."""
        has_more = self.stream.completed or self.stream.has_begun
        if keep_alive and not has_more and self.has_current_address():
            self.mark_idle()
        else:
            self.close()

    def abort(self) -> None:
        """Ends it in the middle of a request or response.

        What the machine still holds of the request must not go out when a network cut is over: its request has had its final
        answer by then (rule 1), and a repeat may be known no more (rule 2).
        """
        reset_on_close(self.sock)
        self.close()

    def close(self) -> None:
        """It is gone, and its place in the budget free."""
        if self in self._pool.idle.get(self.endpoint_id, ()):
            self.mark_in_use()
        self.stream.close()
        self.sock.close()
        self._pool.budget.release()
