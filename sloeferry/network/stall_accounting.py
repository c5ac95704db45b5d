"""Measures how long client requests waited unread while the event loop was stalled.

Without this, a request that arrived during a stall would count as new and could be sent to a backend past its deadline. The
fault shows as `sent past its deadline` in the log, or as late responses after a stall. A stall is detected by the first code to
run after it: a timer, or a connection that has read a request.
"""

import asyncio
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.network.listener import BACKLOG

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer

LOOP_CHECK_INTERVAL_SECONDS = 0.01
# Loop iterations after a stall until all bytes that arrived during it have been read.
ITERATIONS_UNTIL_READ = 3


class StallAccounting:
    """Detects stalls of the event loop and records their duration on each connection with unread bytes."""

    def __init__(self, server: "ClientServer"):
        self._server = server
        self._last_iteration_ms = environment.monotonic_ms()
        self._recent_stall_ms = 0.0

    def note_loop_iteration(self) -> float:
        """Record that the loop runs; return the duration of a stall that has just ended, or 0 (ms)."""
        now = environment.monotonic_ms()
        late_ms, self._last_iteration_ms = now - self._last_iteration_ms - 1000 * LOOP_CHECK_INTERVAL_SECONDS, now
        if self._server.dispatcher.overload.is_stall(late_ms):
            self._recent_stall_ms = late_ms
            self._charge_stall(late_ms)
            self._server.tasks.spawn(self._clear_recent_stall())
        return self._recent_stall_ms

    async def _clear_recent_stall(self) -> None:
        """Reset the recent stall once the bytes that arrived during it have been read."""
        for _ in range(ITERATIONS_UNTIL_READ):
            await asyncio.sleep(0)
        self._recent_stall_ms = 0.0

    def _charge_stall(self, stalled_ms: float) -> None:
        """Charge the stall to connections with unread bytes: the time left of a request runs from when it was sent."""
        server, listener = self._server, self._server.listener
        for connection in server.connections:
            has_nothing_unread = connection.is_busy or connection.client_state.is_idle()
            connection.client_state.unread_time.stalled_ms = 0.0 if has_nothing_unread else stalled_ms
        if server.lifecycle.is_stopping:
            return
        connections_before = dict(server.connections)  # not just their number: accepting a connection may evict an idle one
        listener.accept(BACKLOG)  # connections that arrived during the stall
        for connection in server.connections:
            if connection not in connections_before:
                connection.client_state.unread_time.stalled_ms = stalled_ms
        if listener.backlogged_since_ms is not None:  # some are left in the backlog: they have waited for the stall as well
            listener.backlogged_since_ms -= stalled_ms
            listener.stalled_backlog_count = BACKLOG
