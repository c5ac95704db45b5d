"""Schedules the events of a run in virtual time, in one queue.

Nothing here reads a clock, an id or a hash, so that a run depends on its scenario and its seed alone.
"""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from sloeferry.rehearsal.simulated_process import SimulatedProcess

START_SECONDS = 1000.0  # initial value of the monotonic clock
# Random generators whose purpose has one of these prefixes depend on `environment_seed`; those of requests and faults don't.
# A purpose is part of the seed: renaming one changes the result of every run.
RESEEDED_PURPOSES = ("network", "proxy", "roster")


@dataclass(slots=True)
class ScheduledCall:
    """A scheduled call; `callback` is None once it is cancelled."""

    callback: Callable[..., object] | None
    arguments: tuple[Any, ...]
    at: float


class Scheduler:
    """Owns the virtual clock and the event queue; times in seconds.  `current` is the process that is running."""

    def __init__(self, seed: int | str, unix_start: float = 0.0, environment_seed: int = 0):
        """Create the clock; `environment_seed` changes only the random numbers of the network, discovery and the proxies."""
        self.now = START_SECONDS
        self.current: SimulatedProcess | None = None
        self.processes: list[SimulatedProcess] = []
        self.process_errors: list[str] = []
        self.event_count = 0
        self._seed = seed
        self._environment_seed = environment_seed
        self._unix_offset = unix_start - START_SECONDS
        self._heap: list[tuple[float, int, ScheduledCall]] = []
        self._scheduled_count = 0

    def rng(self, purpose: str) -> Random:
        """Return a random generator for one purpose, independent of the generators of other purposes."""
        if self._environment_seed and purpose.startswith(RESEEDED_PURPOSES):
            return Random(f"{self._seed}.{self._environment_seed}/{purpose}")
        return Random(f"{self._seed}/{purpose}")

    def call_at(self, when: float, callback: Callable[..., object], *arguments: Any) -> ScheduledCall:
        """Schedule a call for the time `when`, at the earliest now; `cancel` takes the result."""
        self._scheduled_count += 1
        event = ScheduledCall(callback, arguments, max(when, self.now))
        heappush(self._heap, (event.at, self._scheduled_count, event))
        return event

    def call_later(self, seconds: float, callback: Callable[..., object], *arguments: Any) -> ScheduledCall:
        """Schedule a call after a number of seconds."""
        return self.call_at(self.now + seconds, callback, *arguments)

    @staticmethod
    def cancel(event: ScheduledCall) -> None:
        """Cancel a scheduled call."""
        event.callback = None

    def run(self, until: float) -> None:
        """Run all events up to the time `until` and advance the clock to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            when, _, event = heappop(heap)
            if event.callback is not None:
                self.now = when
                self.event_count += 1
                event.callback(*event.arguments)
        self.now = max(self.now, until)

    def monotonic(self) -> float:
        """Return the monotonic clock of the running process, or of the scheduler if none is running."""
        return self.current.time() if self.current else self.now

    def unix_time(self) -> float:
        """Return the wall clock of the running process, or of the scheduler if none is running."""
        return self._unix_offset + self.monotonic()

    def close(self) -> None:
        """End all processes: an unfinished coroutine would otherwise run its cleanup when it is garbage-collected."""
        self._heap.clear()
        for process in self.processes:
            process.discard()
