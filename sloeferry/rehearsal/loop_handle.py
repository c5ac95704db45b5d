"""The handles of callbacks that are scheduled on a simulated event loop."""

from collections.abc import Callable
from contextvars import Context
from typing import Any

Callback = Callable[..., object]


class Handle:
    """A scheduled callback, with the methods of asyncio.Handle and TimerHandle that asyncio itself calls."""

    __slots__ = ("callback", "arguments", "context", "due_at")

    def __init__(self, callback: Callback, arguments: tuple[Any, ...], context: Context | None, due_at: float | None = None):
        self.callback: Callback | None = callback
        self.arguments = arguments
        self.context = context
        self.due_at = due_at

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback = None

    def cancelled(self) -> bool:
        """Return whether the callback was cancelled."""
        return self.callback is None

    def when(self) -> float | None:
        """Return the time for which the callback is scheduled, None without one."""
        return self.due_at
