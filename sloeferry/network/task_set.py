"""Tasks that nothing awaits."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


class TaskSet:
    """Keeps tasks from being collected until they have ended, and logs those that failed.

    Attempts, health checks, connection tasks that were handed over, the end of a stall.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Starts a task."""
        return self.adopt(self._loop.create_task(coroutine))

    def adopt(self, task: asyncio.Task) -> asyncio.Task:
        """Takes over a task that was started elsewhere."""
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            logger.opt(exception=task.exception()).error(
                "background task failed: task={!r} error={!r}", task.get_coro(), task.exception()
            )
