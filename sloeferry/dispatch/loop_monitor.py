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
        self.last_turn = environment.monotonic_ms()
        self.turn_before_stall = self.last_turn
        self.catching_up: asyncio.Task | None = None
        # Set by the network: returns once what discovery wrote meanwhile is read and taken in.
        self.catch_up: Callable[[], Coroutine[Any, Any, None]] | None = None
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Takes over for how long the loop may stand still."""
        self._threshold_ms = stall_threshold_ms(settings)

    def note_turn(self) -> asyncio.Task | None:
        """The loop turns, which is said again and again; the task that catches up after a stall, while it runs."""
        now = environment.monotonic_ms()
        if self.catch_up and not self.catching_up and now - self.last_turn > self._threshold_ms:
            self.turn_before_stall = self.last_turn
            self.catching_up = asyncio.get_running_loop().create_task(self.catch_up())
            self.catching_up.add_done_callback(self._caught_up)
        self.last_turn = now
        return self.catching_up

    def _caught_up(self, task: asyncio.Task) -> None:
        self.catching_up = None

    def earliest_time_of_writing(self) -> float:
        """Since when what is read now may have been written: after a stall, any time since the loop last turned."""
        if self.catching_up:
            return self.turn_before_stall
        now = environment.monotonic_ms()
        return self.last_turn if now - self.last_turn > self._threshold_ms else now
