"""Shuts the client side down after SIGTERM.

New connections and requests are still accepted for a short time, idle connections are closed, open requests are awaited.
"""

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from sloeferry import environment
from sloeferry.dispatch.limits import SOCKET_SLACK_MS
from sloeferry.network.client_connection import ClientConnection
from sloeferry.network.listener import BACKLOG

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer

# Connections are accepted for this time after SIGTERM, which the protocol sets.
NEW_CONNECTION_GRACE_SECONDS = 0.4 + SOCKET_SLACK_MS / 1000
# Their first requests are accepted for this much longer, since the last connection may still be in transit at that time.
LAST_REQUEST_GRACE_SECONDS = 0.2
# The protocol allows SIGKILL from this time plus the longest deadline after SIGTERM.
KILL_DELAY_SECONDS = 0.7 - SOCKET_SLACK_MS / 1000
POLL_INTERVAL_SECONDS = 0.01


class ClientShutdown:
    """Closes all client connections without leaving a request unanswered."""

    def __init__(self, server: "ClientServer"):
        self._server = server
        self.is_grace_over = False  # True: connections that never sent a request may be closed as well

    async def run(self) -> None:
        """Run the shutdown from SIGTERM until the last connection has ended."""
        server = self._server
        server.lifecycle.stop()  # runs its callbacks: the takeover looks for other processes
        longest_deadline_ms = server.intake.longest_deadline_ms()
        server.intake.answer_by_ms = environment.monotonic_ms() + longest_deadline_ms + 1000 * KILL_DELAY_SECONDS
        count = len(server.connections)
        logger.info("shutdown begins: state={} connections={}", server.lifecycle.state(count), count)
        if not server.lifecycle.accepts_connections():
            server.listener.pause()  # another process accepts new connections
        self.close_idle()
        await asyncio.sleep(NEW_CONNECTION_GRACE_SECONDS)
        # Closing the listener resets the connections in its backlog. While the descriptor budget is full, they wait for a free
        # descriptor as long as any of their requests can still meet its deadline.
        until = environment.monotonic() + longest_deadline_ms / 1000
        while server.lifecycle.accepts_connections() and not server.listener.accept(BACKLOG):
            if environment.monotonic() >= until:
                break
            self.close_idle()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        server.listener.close()
        await asyncio.sleep(LAST_REQUEST_GRACE_SECONDS)
        self.is_grace_over = True
        while server.connections:
            self.close_idle()
            if environment.monotonic_ms() >= server.intake.answer_by_ms:
                self._end_partial_requests()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def close_idle(self) -> None:
        """Close the idle connections on which no further request is accepted."""
        for connection in list(self._server.connections):
            if not connection.is_busy and not connection.stream.has_pending and self.may_close(connection):
                connection.close()

    def _end_partial_requests(self) -> None:
        """Answer the requests that are still being received with an error: their last bytes may come before SIGKILL."""
        for connection in self._server.connections:
            if not connection.is_busy and connection.stream.has_begun:
                connection.reader.time_out()

    def may_close(self, connection: ClientConnection) -> bool:
        """Return whether a connection that waits for a request may be closed for a drain or a shutdown.

        A connection that has not sent a request yet has a grace period. During a takeover all connections have one: a request
        may be in transit on any connection that the proxy closes.
        """
        if connection.stream.has_begun or connection.stream.has_pending:
            return False
        if not self.is_grace_over and not self._is_past_grace(connection):
            return False
        return connection.client_state.is_idle()  # otherwise a request or the end of the stream is waiting to be read

    def _is_past_grace(self, connection: ClientConnection) -> bool:
        is_new, lifecycle = connection.is_new, self._server.lifecycle
        if is_new and environment.monotonic() <= connection.waiting_since + NEW_CONNECTION_GRACE_SECONDS:
            return False
        if lifecycle.is_stopping and not lifecycle.other_ready_processes and not is_new:
            return True
        return lifecycle.may_close_idle(environment.monotonic_ms())
