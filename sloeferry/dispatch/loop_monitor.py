"""Notices that the event loop stood still, and has what came meanwhile read before anything is sent.

After a stall (the process was stopped, or starved) a list may lie unread that counts as notified when it was written (safety
rule 3): sent by the list as it was known before, an attempt would go to an endpoint that drains.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from sloeferry import environment
from sloeferry.config.settings import Settings
from sloeferry.dispatch.limits import SOCKET_SLACK_MS


def stall_threshold_ms(settings: Settings) -> float:
    """For how long the loop may stand still before what is known is looked at again: half of what a drain may go unheard.

    Without the slack on sockets a grace of nought would have it look for ever, and nothing be sent.
    """
    return (settings.obligations.drain_grace_ms + SOCKET_SLACK_MS) / 2


class LoopMonitor:
    """When the loop last turned, and the catching up after a stall."""

    def __init__(self, settings: Settings):
        self.last_iteration_at = environment.monotonic_ms()
        self.iteration_before_stall_at = self.last_iteration_at
        self.catch_up_task: asyncio.Task | None = None
        # Set by the network: returns once what discovery wrote meanwhile is read and taken in.
        self.catch_up: Callable[[], Coroutine[Any, Any, None]] | None = None
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Takes over for how long the loop may stand still."""
        self._threshold_ms = stall_threshold_ms(settings)

    def record_iteration(self) -> asyncio.Task | None:
        """The loop turns, which is said again and again; the task that catches up after a stall, while it runs."""
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
        """Since when what is read now may have been written: after a stall, any time since the loop last turned."""
        if self.catch_up_task:
            return self.iteration_before_stall_at
        now = environment.monotonic_ms()
        return self.last_iteration_at if now - self.last_iteration_at > self._threshold_ms else now
