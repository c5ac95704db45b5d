"""The clients' listening socket, and who is taken in."""

import socket
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.config.instance import Address
from sloeferry.network.client_connection import ClientConnection
from sloeferry.network.limited_log import warn
from sloeferry.network.sockets import prepare_accepted

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer

BACKLOG = 1024  # connections that wait outside
MAX_ACCEPTS_PER_EVENT = 16  # connections let in in a row
RETRY_DELAY_SECONDS = 0.01  # until a full budget is tried again


class Listener:
    """Takes in clients, where that is this process's to do."""

    def __init__(self, server: "ClientServer", inherited_fd: int | None):
        self._server = server
        self._inherited_fd = inherited_fd  # of the socket that the platform holds, if it does
        self._is_listening = False
        self.sock: socket.socket | None = None
        self.backlogged_since_ms: float | None = None  # ms; since when more wait outside than are let in in a row
        self.stalled_backlog_count = 0  # so many more that wait outside may have come while this loop stood still

    def bind(self, address: Address) -> OSError | None:
        """Takes the address, or the socket that the platform holds there; why not, if it cannot be had."""
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
        """Takes in whoever connects, where that is this process's to do."""
        is_open = self.sock and self.sock.fileno() >= 0
        if not is_open or self._is_listening or self._server.shutdown.is_grace_over:
            return
        if self._server.lifecycle.accepts_connections():
            self._is_listening = True
            self._server.loop.add_reader(self.sock, self.accept)

    def update(self) -> None:
        """Whether to take in who connects may have changed."""
        if self._server.lifecycle.accepts_connections():
            self.open()
        else:
            self.pause()

    def pause(self) -> None:
        """Takes in nobody; those who connect wait outside, for this process or another."""
        if self._is_listening:
            self._is_listening = False
            self._server.loop.remove_reader(self.sock)

    def close(self) -> None:
        """Takes in nobody from now on."""
        self.pause()
        # A socket that others hold too stays open until this process ends: closed while it is looked at, epoll would
        # go on telling of it for ever, and nobody could stop it.
        if self.sock and self._inherited_fd is None:
            self.sock.close()

    def accept(self, limit: int = MAX_ACCEPTS_PER_EVENT) -> bool:
        """Takes in those who wait outside, as far as the budget goes; whether nobody does any more.

        Of a crowd the last may have asked long before they are let in, and their clients' time runs from then (rule 1): a
        request that is there with its connection counts as waiting since the crowd was first met.
        """
        for _ in range(limit):
            if not self._server.budget.acquire():
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

    def _handle_accept_error(self, error: OSError) -> bool:
        if isinstance(error, BlockingIOError):
            self.backlogged_since_ms, self.stalled_backlog_count = None, 0
            return True
        if not isinstance(error, ConnectionAbortedError):
            warn("accept failed", "error={!r}", error)
            self._pause_briefly()
        return False

    def _set_waiting_time(self, connection: ClientConnection) -> None:
        """For how long the connection has waited outside, as far as that is known."""
        if not self.stalled_backlog_count:
            connection.reader.queued_since_ms = self.backlogged_since_ms
            return
        connection.reader.unread_ms = environment.monotonic_ms() - self.backlogged_since_ms
        self.stalled_backlog_count -= 1
        if not self.stalled_backlog_count:  # whoever stood outside then has been let in
            self.backlogged_since_ms = environment.monotonic_ms()

    def _pause_briefly(self) -> None:
        self.pause()
        self._server.loop.call_later(RETRY_DELAY_SECONDS, self.open)
