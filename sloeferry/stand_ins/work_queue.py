"""The work queue of a stand-in backend: requests that run on its cores, and requests that wait for a core.

All running requests progress at the same rate.  Their progress is recorded at each change of the rate or of the set of
running requests.
"""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sloeferry.stand_ins.backend_connection import BackendConnection
    from sloeferry.stand_ins.deduplication import KeyEntry

DONE_TOLERANCE_MS = 1e-6  # remaining work at which a request counts as done


@dataclass(slots=True, eq=False)
class Job:
    """One request that runs or waits; `key_entry` is the entry of its idempotency key, if it has one."""

    request_id: bytes
    work_left_ms: float
    connection: "BackendConnection"
    key_entry: "KeyEntry | None" = None


class WorkQueueHost(Protocol):
    """The backend that owns a work queue."""

    def work_rate(self) -> float:
        """Return the work (ms) that one core does in a millisecond."""

    def run_or_reject(self, job: Job) -> bool:
        """Return whether a waiting request may run; reject it if not."""

    def job_began(self, job: Job) -> None:
        """Handle that a request begins to run."""

    def job_done(self, job: Job) -> None:
        """Handle that a request is done."""

    def work_done(self, work_ms: float) -> None:
        """Handle that an amount of work has been done."""


class WorkQueue:
    """Runs one request per core; the others wait in order of arrival."""

    def __init__(self, loop: asyncio.AbstractEventLoop, cores: int, host: WorkQueueHost):
        self.running: list[Job] = []
        self.waiting: deque[Job] = deque()
        self._loop = loop
        self._cores = cores
        self._host = host
        self._recorded_at = 0.0
        self._rate = 0.0  # since progress was last recorded
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return the number of requests, running or waiting."""
        return len(self.running) + len(self.waiting)

    def start(self) -> None:
        """Begin to measure progress from now on."""
        self._recorded_at = self._loop.time()

    def add(self, job: Job) -> None:
        """Add a request; run it at once if a core is free."""
        self.record_progress()
        if len(self.running) < self._cores:
            self._run(job)
        else:
            self.waiting.append(job)
        self.schedule()

    def record_progress(self) -> None:
        """Record the progress of the running requests since the last call."""
        now = self._loop.time()
        done_ms = (now - self._recorded_at) * 1000 * self._rate if self.running else 0.0
        for job in self.running:
            job.work_left_ms -= done_ms
            self._host.work_done(done_ms)
        self._recorded_at = now

    def schedule(self) -> None:
        """Schedule the completion of the next request; to be called after each change of the rate or of the running requests."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        self._rate = self._host.work_rate()
        if self.running and self._rate > 0:
            work_left_ms = max(0.0, min(job.work_left_ms for job in self.running))
            self._timer = self._loop.call_later(work_left_ms / 1000 / self._rate, self._complete_requests)

    def clear(self) -> None:
        """Drop all requests."""
        self.running.clear()
        self.waiting.clear()
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _complete_requests(self) -> None:
        self._timer = None
        self.record_progress()
        for job in [job for job in self.running if job.work_left_ms <= DONE_TOLERANCE_MS]:
            self.running.remove(job)
            self._host.job_done(job)
        while self.waiting and len(self.running) < self._cores:
            job = self.waiting.popleft()
            if self._host.run_or_reject(job):
                self._run(job)
        self.schedule()

    def _run(self, job: Job) -> None:
        self._host.job_began(job)
        self.running.append(job)
