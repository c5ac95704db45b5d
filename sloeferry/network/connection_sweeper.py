"""Ends client connections that take too long, and looks after requests whose client has left."""

import asyncio
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.network import stall_accounting
from sloeferry.network.client_connection import ClientConnection
from sloeferry.network.limited_log import warn
from sloeferry.network.sockets import is_open_and_idle

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer

IDLE_TIMEOUT_SECONDS = 60.0  # between two requests
SHORT_IDLE_TIMEOUT_SECONDS = 2.0  # the same where more than an eighth of the budget is taken
SHORT_IDLE_TIMEOUT_RATIO = 1 / 8
READ_TIMEOUT_SECONDS = 3.0  # for a head, the first from connecting
MIN_BODY_BYTES_PER_SECOND = 32768  # that a body brings, over all of its time
WRITE_TIMEOUT_SECONDS = 5.0  # for a slice of a response to go
SWEEPS_PER_READ_TIMEOUT = 10
# More idle connections than a quarter of the budget are closed after so many seconds.
EXCESS_IDLE_SECONDS = 0.2
MAX_IDLE_RATIO = 1 / 4
# Past a request's deadline, when its reply waits for no decision.
OVERDUE_MS = 30.0


class ConnectionSweeper:
    """Two loops, for as long as the program runs."""

    def __init__(self, server: "ClientServer"):
        self._server = server

    async def sweep(self) -> None:
        """Ends connections that have been idle, or half way through a message, for too long."""
        while True:
            await asyncio.sleep(READ_TIMEOUT_SECONDS / SWEEPS_PER_READ_TIMEOUT)
            server = self._server
            has_many_connections = len(server.connections) > server.budget.limit * SHORT_IDLE_TIMEOUT_RATIO
            idle_seconds = SHORT_IDLE_TIMEOUT_SECONDS if has_many_connections else IDLE_TIMEOUT_SECONDS
            for connection in list(server.connections):
                self._sweep_connection(connection, idle_seconds)
            if server.lifecycle.may_close_idle(environment.monotonic_ms()):
                server.shutdown.close_idle()
            self._close_excess_idle()

    def _sweep_connection(self, connection: ClientConnection, idle_seconds: float) -> None:
        now, stream = environment.monotonic(), connection.stream
        if connection.sending_since and now > connection.sending_since + WRITE_TIMEOUT_SECONDS:
            connection.close()
        elif connection.reader.receiving_body_since and now > connection.reader.receiving_body_since + READ_TIMEOUT_SECONDS:
            connection.evict()
        elif (
            connection.reply_writer.response_body
            and not connection.sending_since
            and connection.reply_writer.response_body.has_stalled(now)
        ):
            connection.close()
        elif not connection.is_busy and not stream.completed:
            allowed = idle_seconds
            if connection.is_new or stream.has_begun:
                allowed = READ_TIMEOUT_SECONDS + stream.message.body_bytes / MIN_BODY_BYTES_PER_SECOND * stream.has_begun
            if environment.monotonic() > connection.waiting_since + allowed:
                if stream.has_begun:
                    connection.reader.time_out()
                else:
                    connection.close()

    def _close_excess_idle(self) -> None:
        """Closes idle connections beyond a quarter of the budget: some clients ask once and keep the connection."""
        budget = self._server.budget
        idle = list(budget.idle.items())
        for connection, (since, close) in idle[: max(0, len(idle) - int(budget.limit * MAX_IDLE_RATIO))]:
            if environment.monotonic() - since > EXCESS_IDLE_SECONDS and is_open_and_idle(connection.sock):
                close()

    async def check_loop_and_requests(self) -> None:
        """Every 10 ms: notes the loop's turn for the three stall detectors, and looks at each request that is open.

        The dispatcher is told of clients that have left.  Should the policy fail to answer a request before its deadline, the
        request is ended here all the same.
        """
        while True:
            await asyncio.sleep(stall_accounting.LOOP_CHECK_INTERVAL_SECONDS)
            self._server.dispatcher.record_loop_iteration()
            self._server.stalls.note_loop_iteration()
            now = environment.monotonic_ms()
            for connection in list(self._server.connections):
                self._check_request(connection, now)

    def _check_request(self, connection: ClientConnection, now: float) -> None:
        context = connection.request_runner.context
        # Most are answered before the first look: a look at a socket costs as much as a small read.
        if not context or context.is_answered or now <= context.arrived_at + 1000 * stall_accounting.LOOP_CHECK_INTERVAL_SECONDS:
            return
        if now > context.deadline + OVERDUE_MS:
            warn("request overdue", "no answer decided in time: request={}", context.request_id)
            self._server.dispatcher.client_left(context)
        elif connection.has_client_left():
            self._server.dispatcher.client_left(context)
