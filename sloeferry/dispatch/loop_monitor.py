"""Detects event-loop stalls, and has pending discovery data read before anything is sent.

After a stall (the process was stopped, or starved of CPU) a newer endpoint list may be unread in the socket, and it counts as
notified from the moment it was written (safety rule 3).  An attempt sent by the older list could reach a draining endpoint.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from sloeferry import environment
from sloeferry.config.settings import Settings
from sloeferry.dispatch.limits import SOCKET_SLACK_MS


def stall_threshold_ms(settings: Settings) -> float:
    """Return the loop stall after which discovery data is read again: half of the drain grace on sockets.

    The socket slack keeps the threshold above 0 if the drain grace is 0; otherwise every iteration would count as a stall, and
    nothing would ever be sent.
    """
    return (settings.obligations.drain_grace_ms + SOCKET_SLACK_MS) / 2


class LoopMonitor:
    """Tracks event-loop iterations and runs the catch-up after a stall."""

    def __init__(self, settings: Settings):
        self.last_iteration_at = environment.monotonic_ms()
        self.iteration_before_stall_at = self.last_iteration_at
        self.catch_up_task: asyncio.Task | None = None
        # Set by the network layer: returns once all that discovery wrote during the stall is read and applied.
        self.catch_up: Callable[[], Coroutine[Any, Any, None]] | None = None
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Apply the stall threshold of the given settings."""
        self._threshold_ms = stall_threshold_ms(settings)

    def record_iteration(self) -> asyncio.Task | None:
        """Record an iteration of the loop, called at short intervals; return the catch-up task while one runs."""
        now = environment.monotonic_ms()
        if self.catch_up and not self.catch_up_task and now - self.last_iteration_at > self._threshold_ms:
            self.iteration_before_stall_at = self.last_iteration_at
            self.catch_up_task = asyncio.get_running_loop().create_task(self.catch_up())
            self.catch_up_task.add_done_callback(self._caught_up)
        self.last_iteration_at = now
        return self.catch_up_task

    def _caught_up(self, task: asyncio.Task) -> None:
        self.catch_up_task = None

    def earliest_write_time(self) -> float:
        """Return the earliest time at which data read now can have been written: after a stall, the last iteration before it."""
        if self.catch_up_task:
            return self.iteration_before_stall_at
        now = environment.monotonic_ms()
        return self.last_iteration_at if now - self.last_iteration_at > self._threshold_ms else now
