"""The timers of one policy, and how late its host fires them."""

from collections.abc import Callable
from typing import Any

from sloeferry.policy.interface import PolicyHost
from sloeferry.policy.requests import Request

LATENESS_SMOOTHING = 8  # timers over which lateness is averaged


class Timers:
    """Calls callbacks at scheduled times, by way of the host's wake-ups."""

    def __init__(self, host: PolicyHost):
        self._host = host
        self._pending: dict[int, tuple[float, Callable[..., None], tuple]] = {}
        self._last_token = 0
        self.lateness_ms = 0.0  # moving average of how late the host fires timers
        self.max_stall_ms = 0.0  # cap of one sample: a single long stall does not mean that the host lacks time

    def __len__(self) -> int:
        """Return the number of pending timers."""
        return len(self._pending)

    def schedule(self, at: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule `callback(now, *arguments)`; if the first argument is a Request, its answer makes the timer obsolete."""
        self._last_token += 1
        self._pending[self._last_token] = (at, callback, arguments)
        self._host.schedule_wakeup(at, self._last_token)

    def fire(self, now: float, token: int) -> None:
        """Run the callback scheduled under a token, at the host's wake-up."""
        at, callback, arguments = self._pending.pop(token, (now, None, ()))
        self.lateness_ms += (min(now - at, self.max_stall_ms) - self.lateness_ms) / LATENESS_SMOOTHING
        if callback:
            callback(now, *arguments)

    def is_obsolete(self, token: int) -> bool:
        """Return whether the timer's request has been answered, so that the host need not wake up for it."""
        pending = self._pending.get(token)
        if pending is None or not pending[2]:
            return False
        subject = pending[2][0]
        return subject.__class__ is Request and subject.is_answered

    def discard(self, token: int) -> None:
        """Remove an obsolete timer."""
        del self._pending[token]
