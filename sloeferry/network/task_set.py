"""Keeps track of background tasks."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


class TaskSet:
    """Keeps tasks that nothing awaits from being garbage-collected, and logs those that failed.

    Holds attempts, health checks, connection tasks that were handed over and resets after a stall.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a task for the coroutine."""
        return self.adopt(self._loop.create_task(coroutine))

    def adopt(self, task: asyncio.Task) -> asyncio.Task:
        """Add a task that was started elsewhere."""
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            logger.opt(exception=task.exception()).error(
                "background task failed: task={!r} error={!r}", task.get_coro(), task.exception()
            )
