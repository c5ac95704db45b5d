"""For how long what clients sent lay unread while this program stood still.

Guards against requests that are sent to a backend past their deadline: taken for new, what lies unread would be.  It shows as
`sent past its deadline`, or as responses that come late after a stall.  A stall is noticed by the first to run after it, a
timer or a connection that has read a request.
"""

import asyncio
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.network.listener import BACKLOG
from sloeferry.network.sockets import is_open_and_idle

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer

LOOP_CHECK_INTERVAL_SECONDS = 0.01  # how often the loop is known to turn
# Turns of the loop until what was there to be read is read.
ITERATIONS_UNTIL_READ = 3


class StallAccounting:
    """Notices stalls of the loop, and accounts for them on each connection."""

    def __init__(self, server: "ClientServer"):
        self._server = server
        self._last_iteration_ms = environment.monotonic_ms()
        self._recent_stall_ms = 0.0

    def note_loop_iteration(self) -> float:
        """The loop turns; for how long it just stood still, if it did (ms)."""
        now = environment.monotonic_ms()
        late_ms, self._last_iteration_ms = now - self._last_iteration_ms - 1000 * LOOP_CHECK_INTERVAL_SECONDS, now
        if self._server.dispatcher.overload.is_stall(late_ms):
            self._recent_stall_ms = late_ms
            self._charge_stall(late_ms)
            self._server.tasks.spawn(self._clear_recent_stall())
        return self._recent_stall_ms

    async def _clear_recent_stall(self) -> None:
        """What had come by the time it went on has been read by now."""
        for _ in range(ITERATIONS_UNTIL_READ):
            await asyncio.sleep(0)
        self._recent_stall_ms = 0.0

    def _charge_stall(self, stalled_ms: float) -> None:
        """What lies unread has waited for most of the stall, and its client's time runs from when it was sent."""
        server, listener = self._server, self._server.listener
        for connection in server.connections:
            has_nothing_unread = connection.is_busy or is_open_and_idle(connection.sock)
            connection.reader.unread_ms = 0.0 if has_nothing_unread else stalled_ms
        if server.lifecycle.is_stopping:
            return
        before = dict(server.connections)  # not how many: who comes in may push out another who idles
        listener.accept(BACKLOG)  # those who came meanwhile
        for connection in server.connections:
            if connection not in before:
                connection.reader.unread_ms = stalled_ms
        if listener.backlogged_since_ms is not None:  # there was no room for all: who is let in later has waited as long, too
            listener.backlogged_since_ms -= stalled_ms
            listener.stalled_backlog_count = BACKLOG
