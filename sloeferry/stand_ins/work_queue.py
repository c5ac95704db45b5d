"""The work of a stand-in backend: what runs on its cores, what waits, and when the next of it is done.

All that runs progresses at one rate.  Work in progress is settled at each change of the rate, or of what runs.
"""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sloeferry.stand_ins.backend_connection import BackendConnection
    from sloeferry.stand_ins.deduplication import KeyEntry

DONE_MS = 1e-6  # work left at which a request counts as done


@dataclass(slots=True, eq=False)
class Job:
    """One request in work; `key_entry` is that of its idempotency key, if it has one."""

    request_id: bytes
    work_left_ms: float
    connection: "BackendConnection"
    key_entry: "KeyEntry | None" = None


class WorkQueueHost(Protocol):
    """The backend whose work it is."""

    def work_rate(self) -> float:
        """The work (ms) done in a millisecond on one core."""

    def is_still_wanted(self, job: Job) -> bool:
        """Asked before a request that has waited runs; where it is not, the host has answered it."""

    def job_began(self, job: Job) -> None:
        """A request begins to run."""

    def job_done(self, job: Job) -> None:
        """A request is done."""

    def work_done(self, work_ms: float) -> None:
        """So much work has been settled."""


class WorkQueue:
    """Runs as many requests at once as there are cores; the others wait in the order in which they came."""

    def __init__(self, loop: asyncio.AbstractEventLoop, cores: int, host: WorkQueueHost):
        self.running: list[Job] = []
        self.waiting: deque[Job] = deque()
        self._loop = loop
        self._cores = cores
        self._host = host
        self._settled_at = 0.0
        self._rate = 0.0  # since work was last settled
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """How many requests it has, running or waiting."""
        return len(self.running) + len(self.waiting)

    def start(self) -> None:
        """The backend starts: nothing before this moment counts."""
        self._settled_at = self._loop.time()

    def add(self, job: Job) -> None:
        """One more request; it runs at once if a core is free."""
        self.settle()
        if len(self.running) < self._cores:
            self._begin(job)
        else:
            self.waiting.append(job)
        self.schedule()

    def settle(self) -> None:
        """Counts what has been done since the last time."""
        now = self._loop.time()
        done_ms = (now - self._settled_at) * 1000 * self._rate if self.running else 0.0
        for job in self.running:
            job.work_left_ms -= done_ms
            self._host.work_done(done_ms)
        self._settled_at = now

    def schedule(self) -> None:
        """The rate, or what runs, may have changed: plans when the next request is done."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        self._rate = self._host.work_rate()
        if self.running and self._rate > 0:
            work_left_ms = max(0.0, min(job.work_left_ms for job in self.running))
            self._timer = self._loop.call_later(work_left_ms / 1000 / self._rate, self._next_is_done)

    def clear(self) -> None:
        """The backend has died: all of it is gone."""
        self.running.clear()
        self.waiting.clear()
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _next_is_done(self) -> None:
        self._timer = None
        self.settle()
        for job in [job for job in self.running if job.work_left_ms <= DONE_MS]:
            self.running.remove(job)
            self._host.job_done(job)
        while self.waiting and len(self.running) < self._cores:
            job = self.waiting.popleft()
            if self._host.is_still_wanted(job):
                self._begin(job)
        self.schedule()

    def _begin(self, job: Job) -> None:
        self._host.job_began(job)
        self.running.append(job)
