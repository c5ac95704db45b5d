"""Cancels tasks at their deadlines, optimized for timers that are nearly always cancelled: setting one is a heap push.

`asyncio.timeout` or a loop timer for each attempt would take as much time as all the parsing.
"""

import asyncio
from heapq import heapify, heappop, heappush

MIN_TIMERS_TO_COMPACT = 256


class DeadlineTimer:
    """The deadline of one task."""

    __slots__ = ("task", "has_expired")

    def __init__(self, task: asyncio.Task):
        self.task: asyncio.Task | None = task
        self.has_expired = False

    def cancel(self) -> None:
        """Cancel the deadline; the task goes on."""
        self.task = None


class DeadlineTimers:
    """A heap of deadlines served by a single timer of the event loop."""

    RESOLUTION_SECONDS = 0.002

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._heap: list[tuple[float, int, DeadlineTimer]] = []  # the sequence number breaks ties
        self._count = 0
        self._compact_at_count = MIN_TIMERS_TO_COMPACT
        self._handle: asyncio.TimerHandle | None = None
        self._due_at = 0.0

    def set(self, at: float, task: asyncio.Task) -> DeadlineTimer:
        """Cancel the task at time `at` of the event loop unless the returned timer is cancelled before."""
        self._count += 1
        if len(self._heap) > self._compact_at_count:
            self._drop_cancelled()
        timer = DeadlineTimer(task)
        heappush(self._heap, (at, self._count, timer))
        if self._handle is None or at < self._due_at - self.RESOLUTION_SECONDS:
            self._arm(at)
        return timer

    def _drop_cancelled(self) -> None:
        """Free the cancelled timers before they are due."""
        self._heap = [each for each in self._heap if each[2].task is not None]
        heapify(self._heap)
        self._compact_at_count = max(MIN_TIMERS_TO_COMPACT, 2 * len(self._heap))

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
