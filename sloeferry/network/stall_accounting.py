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

LOOP_TICK_SECONDS = 0.01  # how often the loop is known to turn
# Turns of the loop until what was there to be read is read.
TURNS_UNTIL_READ = 3


class StallAccounting:
    """Notices stalls of the loop, and accounts for them on each connection."""

    def __init__(self, server: "ClientServer"):
        self._server = server
        self._last_turn = environment.monotonic_ms()
        self._just_stalled_ms = 0.0

    def note_turn(self) -> float:
        """The loop turns; for how long it just stood still, if it did (ms)."""
        now = environment.monotonic_ms()
        late_ms, self._last_turn = now - self._last_turn - 1000 * LOOP_TICK_SECONDS, now
        if self._server.dispatcher.overload.is_stall(late_ms):
            self._just_stalled_ms = late_ms
            self._account(late_ms)
            self._server.tasks.spawn(self._forget())
        return self._just_stalled_ms

    async def _forget(self) -> None:
        """What had come by the time it went on has been read by now."""
        for _ in range(TURNS_UNTIL_READ):
            await asyncio.sleep(0)
        self._just_stalled_ms = 0.0

    def _account(self, stalled_ms: float) -> None:
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
        if listener.crowded_since is not None:  # there was no room for all: who is let in later has waited as long, too
            listener.crowded_since -= stalled_ms
            listener.waited_in_stall = BACKLOG
