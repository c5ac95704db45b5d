"""Shares the event loop between clients that pipeline requests and those that send one at a time.

The next request of a client that pipelines is there already, so that its connection never waits for the socket.  Hundreds of
such connections would otherwise each take a turn in every iteration of the event loop, and all others would be read late.
"""

import asyncio
from collections import deque

MAX_TURNS_PER_ITERATION = 8


class PipelineTurns:
    """The connections whose next request has been read with the one before; a few of them go on in each loop iteration."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def wait(self) -> None:
        """Wait for the next turn, first come, first served."""
        turn = self._loop.create_future()
        if not self._waiting:
            self._loop.call_soon(self._grant)
        self._waiting.append(turn)
        await turn

    def _grant(self) -> None:
        for _ in range(min(MAX_TURNS_PER_ITERATION, len(self._waiting))):
            turn = self._waiting.popleft()
            if not turn.done():  # else its connection has closed
                turn.set_result(None)
        if self._waiting:
            self._loop.call_soon(self._grant)
