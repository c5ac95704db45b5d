"""The way out after SIGTERM: what still comes is taken for a while, idle connections are closed, the rest is waited for."""

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from sloeferry import environment
from sloeferry.dispatch.limits import SOCKET_SLACK_MS
from sloeferry.network.client_connection import ClientConnection
from sloeferry.network.listener import BACKLOG
from sloeferry.network.sockets import is_open_and_idle

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer

# Seconds after SIGTERM: for connections (protocol; the last is still on its way then), then for what they ask.
NEW_CONNECTION_GRACE_SECONDS = 0.4 + SOCKET_SLACK_MS / 1000
LAST_REQUEST_GRACE_SECONDS = 0.2
# Seconds after SIGTERM, beside the longest deadline: SIGKILL may come from there on (protocol).
KILL_DELAY_SECONDS = 0.7 - SOCKET_SLACK_MS / 1000
POLL_INTERVAL_SECONDS = 0.01


class ClientShutdown:
    """Ends all client connections, none of them with a request unanswered."""

    def __init__(self, server: "ClientServer"):
        self._server = server
        self.is_grace_over = False  # connections that never asked have had their time

    async def run(self) -> None:
        """From SIGTERM to the end of the last connection."""
        server = self._server
        server.lifecycle.stop()  # its listeners run now: the takeover looks for other processes
        longest_deadline_ms = server.intake.longest_deadline_ms()
        server.intake.answer_by_ms = environment.monotonic_ms() + longest_deadline_ms + 1000 * KILL_DELAY_SECONDS
        count = len(server.connections)
        logger.info("shutdown begins: state={} connections={}", server.lifecycle.state(count), count)
        if not server.lifecycle.accepts_connections():
            server.listener.pause()  # new connections are the other process's
        self.close_idle()
        await asyncio.sleep(NEW_CONNECTION_GRACE_SECONDS)
        # What the machine has accepted and nobody has fetched yet is reset with the listener: with a full budget it
        # waits for places, for as long as any of it can be in time.
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
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def close_idle(self) -> None:
        """Closes connections that wait for a request, if none will be taken any more."""
        for connection in list(self._server.connections):
            if not connection.is_busy and not connection.stream.completed and self.may_close(connection):
                connection.close()

    def may_close(self, connection: ClientConnection) -> bool:
        """Drained or stopping, whether a connection may be closed that waits for a request.

        A connection without a request so far has a little time; and so have all while another process takes over: each one
        closed from this side may cross a request.
        """
        if connection.stream.has_begun:
            return False
        if not self.is_grace_over and not self._is_past_grace(connection):
            return False
        return is_open_and_idle(connection.sock)  # else a request, or an end, is there to be read

    def _is_past_grace(self, connection: ClientConnection) -> bool:
        is_new, lifecycle = connection.is_new, self._server.lifecycle
        if is_new and environment.monotonic() <= connection.waiting_since + NEW_CONNECTION_GRACE_SECONDS:
            return False
        if lifecycle.is_stopping and not lifecycle.other_ready_processes and not is_new:
            return True
        return lifecycle.may_close_idle(environment.monotonic_ms())
