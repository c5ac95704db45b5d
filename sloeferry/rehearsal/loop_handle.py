"""What a simulated loop was asked to call."""

from collections.abc import Callable
from contextvars import Context
from typing import Any

Callback = Callable[..., object]


class Handle:
    """One call; asyncio's own code reads no more of it than this."""

    __slots__ = ("callback", "arguments", "context", "due_at")

    def __init__(self, callback: Callback, arguments: tuple[Any, ...], context: Context | None, due_at: float | None = None):
        self.callback: Callback | None = callback
        self.arguments = arguments
        self.context = context
        self.due_at = due_at

    def cancel(self) -> None:
        """As asyncio.Handle."""
        self.callback = None

    def cancelled(self) -> bool:
        """As asyncio.Handle."""
        return self.callback is None

    def when(self) -> float | None:
        """As asyncio.TimerHandle."""
        return self.due_at
