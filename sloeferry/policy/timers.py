"""The timers of one policy, and how late its host fires them."""

from collections.abc import Callable
from typing import Any

from sloeferry.policy.interface import PolicyHost
from sloeferry.policy.requests import Request

LATENESS_SMOOTHING = 8  # timers over which lateness is averaged


class Timers:
    """What is to be called when."""

    def __init__(self, host: PolicyHost):
        self._host = host
        self._pending: dict[int, tuple[float, Callable[..., None], tuple]] = {}
        self._last_token = 0
        self.lateness_ms = 0.0  # moving average: by how much the host fires timers late
        self.max_stall_ms = 0.0  # what one stall counts for at most: one long stall is no lack of time

    def __len__(self) -> int:
        """How many are pending."""
        return len(self._pending)

    def schedule(self, at: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedules `callback(now, *arguments)`.  A first argument that is a Request makes the timer moot once it is answered."""
        self._last_token += 1
        self._pending[self._last_token] = (at, callback, arguments)
        self._host.schedule_wakeup(at, self._last_token)

    def fire(self, now: float, token: int) -> None:
        """The host's wake-up for that token."""
        at, callback, arguments = self._pending.pop(token, (now, None, ()))
        self.lateness_ms += (min(now - at, self.max_stall_ms) - self.lateness_ms) / LATENESS_SMOOTHING
        if callback:
            callback(now, *arguments)

    def is_obsolete(self, token: int) -> bool:
        """Whether a timer is for a request that has been answered: the host need not wake up for it."""
        pending = self._pending.get(token)
        if pending is None or not pending[2]:
            return False
        subject = pending[2][0]
        return subject.__class__ is Request and subject.is_answered

    def discard(self, token: int) -> None:
        """Forgets a timer that is moot."""
        del self._pending[token]
