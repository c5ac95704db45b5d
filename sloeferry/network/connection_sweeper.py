"""Closes client connections that exceed a timeout and detects clients that have left."""

import asyncio
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.environment import PeerState
from sloeferry.network import stall_accounting
from sloeferry.network.client_connection import ClientConnection
from sloeferry.network.limited_log import warn
from sloeferry.network.write_progress import MIN_BYTES_PER_SECOND

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer

IDLE_TIMEOUT_SECONDS = 60.0  # between two requests
SHORT_IDLE_TIMEOUT_SECONDS = 2.0  # while the connections exceed the ratio below
SHORT_IDLE_TIMEOUT_RATIO = 1 / 8  # of the descriptor budget
READ_TIMEOUT_SECONDS = 3.0  # for a head; for the first one, counted from connecting
SWEEPS_PER_READ_TIMEOUT = 10
# Idle connections above the ratio of the descriptor budget are closed after this time.
EXCESS_IDLE_SECONDS = 0.2
MAX_IDLE_RATIO = 1 / 4
# A request that is unanswered this long after its deadline is ended without a decision of the policy.
OVERDUE_MS = 30.0


class ConnectionSweeper:
    """Runs two periodic checks for as long as the program runs."""

    def __init__(self, server: "ClientServer"):
        self._server = server

    async def sweep(self) -> None:
        """Close connections that have been idle, or have not completed a message, for too long."""
        while True:
            await asyncio.sleep(READ_TIMEOUT_SECONDS / SWEEPS_PER_READ_TIMEOUT)
            self._sweep_connections()
            server = self._server
            if server.lifecycle.may_close_idle(environment.monotonic_ms()):
                server.shutdown.close_idle()
            self._close_excess_idle()

    def _sweep_connections(self) -> None:
        server = self._server
        has_many_connections = len(server.connections) > server.budget.limit * SHORT_IDLE_TIMEOUT_RATIO
        idle_timeout_seconds = SHORT_IDLE_TIMEOUT_SECONDS if has_many_connections else IDLE_TIMEOUT_SECONDS
        for connection in list(server.connections):
            self._sweep_connection(connection, idle_timeout_seconds)

    def _sweep_connection(self, connection: ClientConnection, idle_timeout_seconds: float) -> None:
        now, stream = environment.monotonic(), connection.stream
        if connection.request_runner.body_stream:
            connection.request_runner.body_stream.cancel_stalled_write(now)
        if connection.write_progress.has_stalled(now):
            _log_close(connection, "the client does not read its response")
            connection.close()
        elif connection.reader.receiving_body_since and now > connection.reader.receiving_body_since + READ_TIMEOUT_SECONDS:
            _log_close(connection, "the client does not send the rest of its request")
            connection.evict()
        elif (
            connection.reply_writer.response_body
            and not connection.is_sending()
            and connection.reply_writer.response_body.has_stalled(now)
        ):
            _log_close(connection, "the backend does not send the rest of its response")
            connection.close()
        elif not connection.is_busy and not stream.has_pending:
            allowed_seconds = idle_timeout_seconds
            if connection.is_new or stream.has_begun:
                allowed_seconds = READ_TIMEOUT_SECONDS + stream.message.body_bytes / MIN_BYTES_PER_SECOND * stream.has_begun
            if environment.monotonic() > connection.waiting_since + allowed_seconds:
                if stream.has_begun:
                    connection.reader.time_out()
                else:
                    connection.close()

    def _close_excess_idle(self) -> None:
        """Close idle connections above MAX_IDLE_RATIO: some clients send one request and keep the connection open."""
        budget = self._server.budget
        idle = list(budget.idle.items())
        for connection, (since, close) in idle[: max(0, len(idle) - int(budget.limit * MAX_IDLE_RATIO))]:
            if environment.monotonic() - since > EXCESS_IDLE_SECONDS and connection.client_state.is_idle():
                close()

    async def check_loop_and_requests(self) -> None:
        """Every 10 ms, report a loop iteration to the loop monitor and the stall accounting, and check each open request.

        Clients that have left are reported to the dispatcher. A request that the policy has failed to answer by its deadline is
        ended here.
        """
        while True:
            await asyncio.sleep(stall_accounting.LOOP_CHECK_INTERVAL_SECONDS)
            self._server.dispatcher.record_loop_iteration()
            self._server.stalls.note_loop_iteration()
            self._check_requests()

    def _check_requests(self) -> None:
        now_ms = environment.monotonic_ms()
        for connection in list(self._server.connections):
            self._check_request(connection, now_ms)

    def _check_request(self, connection: ClientConnection, now_ms: float) -> None:
        context = connection.request_runner.context
        # Most requests are answered before their first check, and checking a socket costs as much as a small read.
        if (
            not context
            or context.is_answered
            or now_ms <= context.arrived_at + 1000 * stall_accounting.LOOP_CHECK_INTERVAL_SECONDS
        ):
            return
        if connection.request_runner.body_stream:
            connection.request_runner.body_stream.cancel_overdue_write(now_ms)
        if now_ms > context.deadline + OVERDUE_MS:
            warn("request overdue", "no answer decided in time: request={}", context.request_id)
            self._server.dispatcher.client_left(context)
            return
        state = connection.client_state.observe()
        if state.has_ended:
            self._server.dispatcher.client_left(context)
        elif state is PeerState.UNREAD and not connection.request_runner.body_stream:
            connection.reader.read_ahead()


def _log_close(connection: ClientConnection, reason: str) -> None:
    warn("connection closed", "request={!r} reason={!r}", connection.request_runner.request_id, reason)
