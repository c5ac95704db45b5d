"""Deadline timers."""

import types
from collections.abc import Callable

from sloeferry.network.deadline_timers import DeadlineTimers


class FakeLoop:
    """An event loop with only a clock and timers."""

    def __init__(self) -> None:
        self.now = 0.0
        self.timers: list[tuple[float, Callable[[], None]]] = []

    def time(self) -> float:
        """Return the time in seconds."""
        return self.now

    def call_at(self, at: float, function: Callable[[], None]) -> types.SimpleNamespace:
        """Set a timer; return a handle that cancels it."""
        timer = (at, function)
        self.timers.append(timer)
        return types.SimpleNamespace(cancel=lambda: timer in self.timers and self.timers.remove(timer))


def test_one_loop_timer_for_all_deadlines():
    """One loop timer serves all deadlines. Cancelled ones never expire; the others expire in the order of their times."""
    loop = FakeLoop()
    deadlines = DeadlineTimers(loop)
    cancelled: list[float] = []

    def task(name: float) -> types.SimpleNamespace:
        return types.SimpleNamespace(cancel=lambda: cancelled.append(name))

    handles = [deadlines.set(at, task(at)) for at in (0.5, 0.1, 0.3, 0.2, 0.9)]
    handles[2].cancel()
    handles[4].cancel()
    while loop.timers:
        assert len(loop.timers) == 1
        loop.now, function = loop.timers.pop()
        function()
    assert cancelled == [0.1, 0.2, 0.5]
    assert [handle.has_expired for handle in handles] == [True, True, False, True, False]
