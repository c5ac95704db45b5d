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
ACCEPTED_TOGETHER = 16  # connections let in in a row
RETRY_SECONDS = 0.01  # until a full budget is tried again


class Listener:
    """Takes in clients, where that is this process's to do."""

    def __init__(self, server: "ClientServer", inherited_fd: int | None):
        self._server = server
        self._inherited_fd = inherited_fd  # of the socket that the platform holds, if it does
        self._is_listening = False
        self.sock: socket.socket | None = None
        self.crowded_since: float | None = None  # ms; since when more wait outside than are let in in a row
        self.waited_in_stall = 0  # so many more that wait outside may have come while this loop stood still

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

    def accept(self, limit: int = ACCEPTED_TOGETHER) -> bool:
        """Takes in those who wait outside, as far as the budget goes; whether nobody does any more.

        Of a crowd the last may have asked long before they are let in, and their clients' time runs from then (rule 1): a
        request that is there with its connection counts as waiting since the crowd was first met.
        """
        for _ in range(limit):
            if not self._server.budget.take():
                self.crowded_since = self.crowded_since or environment.monotonic_ms()
                self._pause_for_a_while()
                return False
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                self._server.budget.give()
                return self._accept_failed(error)
            if not prepare_accepted(sock):
                self._server.budget.give()
                continue
            self._note_waiting(ClientConnection(self._server, sock))
        self.crowded_since = self.crowded_since or environment.monotonic_ms()
        return False

    def _accept_failed(self, error: OSError) -> bool:
        if isinstance(error, BlockingIOError):
            self.crowded_since, self.waited_in_stall = None, 0
            return True
        if not isinstance(error, ConnectionAbortedError):
            warn("accept failed", "error={!r}", error)
            self._pause_for_a_while()
        return False

    def _note_waiting(self, connection: ClientConnection) -> None:
        """For how long the connection has waited outside, as far as that is known."""
        if not self.waited_in_stall:
            connection.reader.queued_since = self.crowded_since
            return
        connection.reader.unread_ms = environment.monotonic_ms() - self.crowded_since
        self.waited_in_stall -= 1
        if not self.waited_in_stall:  # whoever stood outside then has been let in
            self.crowded_since = environment.monotonic_ms()

    def _pause_for_a_while(self) -> None:
        self.pause()
        self._server.loop.call_later(RETRY_SECONDS, self.open)
