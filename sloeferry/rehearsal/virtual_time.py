"""Virtual time: one queue of events for a whole play.

Nothing here reads a clock, an id or a hash, so that a play depends on its scenario and its seed alone.
"""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from sloeferry.rehearsal.simulated_process import SimulatedProcess

START_SECONDS = 1000.0  # what monotonic clocks show at the start
# Random generators whose purpose begins so get another seed where `environment_seed` is set; requests and faults stay the same.
# A purpose is part of the seed: another word for one changes every play.
RESEEDED_PURPOSES = ("network", "proxy", "roster")


@dataclass(slots=True)
class ScheduledCall:
    """A call that is to happen; `callback` is None once it is cancelled."""

    callback: Callable[..., object] | None
    arguments: tuple[Any, ...]
    at: float


class Scheduler:
    """The clock and what is to happen; times in seconds.  `current` is the process that runs now."""

    def __init__(self, seed: int | str, unix_start: float = 0.0, environment_seed: int = 0):
        """Another `environment_seed`: the same requests and faults, other random numbers of network and proxies."""
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
        """A source of chance for one purpose: what another draws changes nothing in it."""
        if self._environment_seed and purpose.startswith(RESEEDED_PURPOSES):
            return Random(f"{self._seed}.{self._environment_seed}/{purpose}")
        return Random(f"{self._seed}/{purpose}")

    def call_at(self, when: float, callback: Callable[..., object], *arguments: Any) -> ScheduledCall:
        """Has it called then; the event, for `cancel`."""
        self._scheduled_count += 1
        event = ScheduledCall(callback, arguments, max(when, self.now))
        heappush(self._heap, (event.at, self._scheduled_count, event))
        return event

    def call_later(self, seconds: float, callback: Callable[..., object], *arguments: Any) -> ScheduledCall:
        """Has it called after so many seconds."""
        return self.call_at(self.now + seconds, callback, *arguments)

    @staticmethod
    def cancel(event: ScheduledCall) -> None:
        """It will not be called."""
        event.callback = None

    def run(self, until: float) -> None:
        """Lets time pass."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            when, _, event = heappop(heap)
            if event.callback is not None:
                self.now = when
                self.event_count += 1
                event.callback(*event.arguments)
        self.now = max(self.now, until)

    def monotonic(self) -> float:
        """The monotonic clock of whoever runs."""
        return self.current.time() if self.current else self.now

    def unix_time(self) -> float:
        """The wall clock of whoever runs."""
        return self._unix_offset + self.monotonic()

    def close(self) -> None:
        """Ends all processes: what is left half done must not wake up when it is collected."""
        self._heap.clear()
        for process in self.processes:
            process.discard()
