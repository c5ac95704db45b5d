"""Listens for client connections and accepts them within the descriptor budget."""

import socket
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.config.instance import Address
from sloeferry.network.client_connection import ClientConnection
from sloeferry.network.limited_log import warn
from sloeferry.network.sockets import prepare_accepted

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer

BACKLOG = 1024  # connections that wait to be accepted
MAX_ACCEPTS_PER_EVENT = 16
RETRY_DELAY_SECONDS = 0.01  # before accepting again after a full budget or an error
# If connections may have waited longer in the backlog, they get descriptors of any waiting connections: a request whose answer
# comes this long after its deadline counts as lost.  With short deadlines they get them so early that a request is still in time.
MAX_BACKLOG_WAIT_MS = 500.0
MAX_BACKLOG_WAIT_RATIO = 1 / 2  # of the shortest deadline


class Listener:
    """Accepts client connections while this process, and not another one on the same socket, is responsible for them."""

    def __init__(self, server: "ClientServer", inherited_fd: int | None):
        self._server = server
        self._inherited_fd = inherited_fd  # of a listening socket opened by the platform
        self._is_listening = False
        self.sock: socket.socket | None = None
        self.backlogged_since_ms: float | None = None  # since when the backlog has not been empty
        self._is_backlog_unknown = False  # connections may have waited since before this process listened
        self.stalled_backlog_count = 0  # of the next accepted connections, how many may have arrived during a stall

    def bind(self, address: Address) -> OSError | None:
        """Bind the address or use the inherited socket; return the error if that fails."""
        try:
            if self._inherited_fd is None:
                self.sock = self.sock or environment.tcp_socket()
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                self.sock.bind(address)
                self.sock.listen(BACKLOG)
            else:
                self.sock = environment.inherited_socket(self._inherited_fd)
        except OSError as error:
            return error
        return None

    def open(self) -> None:
        """Start to accept connections if this process is responsible for them."""
        is_open = self.sock and self.sock.fileno() >= 0
        if not is_open or self._is_listening or self._server.shutdown.is_grace_over:
            return
        if self._server.lifecycle.accepts_connections():
            self._is_listening = True
            self._is_backlog_unknown = self._is_backlog_unknown or self.backlogged_since_ms is None
            self._server.loop.add_reader(self.sock, self.accept)

    def update(self) -> None:
        """Start or stop accepting connections after a change of the lifecycle state."""
        if self._server.lifecycle.accepts_connections():
            self.open()
        else:
            self.pause()

    def pause(self) -> None:
        """Stop accepting; new connections wait in the backlog for this process or another."""
        if self._is_listening:
            self._is_listening = False
            self._server.loop.remove_reader(self.sock)

    def close(self) -> None:
        """Stop accepting and close the socket unless it is inherited."""
        self.pause()
        # A socket that other processes share stays open until this process ends: if it were closed while registered, epoll
        # would go on reporting it and it could not be unregistered.
        if self.sock and self._inherited_fd is None:
            self.sock.close()

    def accept(self, limit: int = MAX_ACCEPTS_PER_EVENT) -> bool:
        """Accept connections from the backlog within the budget; return whether the backlog is empty.

        A client in a long backlog may have sent its request long before it is accepted, and its time left runs from then (safety
        rule 1). Its connection therefore notes since when it may have waited.
        """
        for _ in range(limit):
            if not self._server.budget.acquire(is_urgent=self.has_backlog_waited(self._max_backlog_wait_ms())):
                self.backlogged_since_ms = self.backlogged_since_ms or environment.monotonic_ms()
                self._pause_briefly()
                return False
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                self._server.budget.release()
                return self._handle_accept_error(error)
            if not prepare_accepted(sock):
                self._server.budget.release()
                continue
            self._set_waiting_time(ClientConnection(self._server, sock))
        self.backlogged_since_ms = self.backlogged_since_ms or environment.monotonic_ms()
        return False

    def _max_backlog_wait_ms(self) -> float:
        return min(MAX_BACKLOG_WAIT_MS, self._server.intake.shortest_deadline_ms() * MAX_BACKLOG_WAIT_RATIO)

    def has_backlog_waited(self, wait_ms: float) -> bool:
        """Return whether connections may have waited in the backlog for longer than that."""
        since_ms = self.backlogged_since_ms
        return since_ms is not None and environment.monotonic_ms() - since_ms > wait_ms

    def _handle_accept_error(self, error: OSError) -> bool:
        if isinstance(error, BlockingIOError):
            self.backlogged_since_ms, self.stalled_backlog_count, self._is_backlog_unknown = None, 0, False
            return True
        if not isinstance(error, ConnectionAbortedError):
            warn("accept failed", "error={!r}", error)
            self._pause_briefly()
        return False

    def _set_waiting_time(self, connection: ClientConnection) -> None:
        """Record on the connection how long it may have waited in the backlog."""
        unread_time = connection.client_state.unread_time
        if not self.stalled_backlog_count:
            unread_time.queued_since_ms = self.backlogged_since_ms
            unread_time.may_have_waited_longer = self._is_backlog_unknown
            return
        unread_time.stalled_ms = environment.monotonic_ms() - self.backlogged_since_ms
        self.stalled_backlog_count -= 1
        if not self.stalled_backlog_count:  # all that were in the backlog then are accepted
            self.backlogged_since_ms = environment.monotonic_ms()

    def _pause_briefly(self) -> None:
        self.pause()
        self._server.loop.call_later(RETRY_DELAY_SECONDS, self.open)
