"""Deadlines of tasks.  Nearly all are called off long before: setting one costs a push on a heap.

`asyncio.timeout` or a timer of the loop for each attempt would take as long as all the parsing.
"""

import asyncio
from heapq import heappop, heappush


class DeadlineTimer:
    """One deadline."""

    __slots__ = ("task", "has_expired")

    def __init__(self, task: asyncio.Task):
        self.task: asyncio.Task | None = task
        self.has_expired = False

    def cancel(self) -> None:
        """Calls it off."""
        self.task = None


class DeadlineTimers:
    """One timer of the loop for all deadlines."""

    RESOLUTION_SECONDS = 0.002

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._heap: list[tuple[float, int, DeadlineTimer]] = []  # the number keeps equal times in order
        self._count = 0
        self._handle: asyncio.TimerHandle | None = None
        self._due_at = 0.0

    def set(self, at: float, task: asyncio.Task) -> DeadlineTimer:
        """Cancels the task at that time of the loop, unless called off."""
        self._count += 1
        timer = DeadlineTimer(task)
        heappush(self._heap, (at, self._count, timer))
        if self._handle is None or at < self._due_at - self.RESOLUTION_SECONDS:
            self._arm(at)
        return timer

    def _arm(self, at: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._due_at = max(at, self._loop.time() + self.RESOLUTION_SECONDS)
        self._handle = self._loop.call_at(self._due_at, self._expire)

    def _expire(self) -> None:
        self._handle, now = None, self._loop.time()
        while self._heap and (self._heap[0][2].task is None or self._heap[0][0] <= now):
            timer = heappop(self._heap)[2]
            if timer.task is not None:
                timer.has_expired = True
                timer.task.cancel()
        if self._heap:
            self._arm(self._heap[0][0])
