"""Holds the lifecycle state of a process, as the single source for `/ready`, admin calls, SIGTERM and takeover, without I/O.

The state derives from four inputs: whether the first poll of discovery has ended, with or without a list (READY does not imply
that there is a list); whether operators drain this process; whether SIGTERM was received; and the number of other processes
that serve on the same listening socket.  Times are float milliseconds of the monotonic clock.

| state | first poll ended | drained by operators | SIGTERM | beside others that serve |
| --- | --- | --- | --- | --- |
| STARTING | no | no | no | |
| READY | yes | no | no | |
| DRAINING, then DRAINED without connections | | yes | no | |
| STOPPING | | | yes | no |
| REPLACED | | | yes | yes |

STARTING changes to READY and never back.  Operators begin and end a drain.  SIGTERM overrides all other states for good.
"""

import enum
from collections.abc import Callable

# Time from the start of a drain until idle connections are closed.  Before that, clients may open new connections and use open
# ones, and each response asks them to close the connection, which loses no request.  Closing an idle connection may race with a
# request on it.
CLOSE_IDLE_AFTER_MS = 1200.0


class LifecycleState(enum.StrEnum):
    """The state as reported to operators."""

    STARTING = "starting"
    READY = "serving"
    DRAINING = "quiescing"
    DRAINED = "quiet"
    STOPPING = "leaving"
    REPLACED = "replaced"


class Lifecycle:
    """Holds the inputs of the state and derives the state and its consequences."""

    def __init__(self):
        self.has_first_poll_ended = False
        self.is_stopping = False  # SIGTERM was received
        self._draining_since: float | None = None
        self.other_ready_processes = 0  # of this proxy, on the same listening socket
        self.change_callbacks: list[Callable[[], None]] = []  # called at once when any of the first three inputs changes

    # Events

    def first_poll_ended(self) -> None:
        """Record the end of the first poll, with an endpoint list or without one."""
        if not self.has_first_poll_ended:
            self.has_first_poll_ended = True
            self._changed()

    def stop(self) -> None:
        """Record SIGTERM."""
        if not self.is_stopping:
            self.is_stopping = True
            self._changed()

    def drain(self, now: float) -> bool:
        """Begin a drain, unless one is in progress; return True."""
        if self._draining_since is None:
            self._draining_since = now
            self._changed()
        return True

    def resume(self) -> bool:
        """End the drain; return False after SIGTERM, which cannot be undone."""
        if self.is_stopping:
            return False
        if self._draining_since is not None:
            self._draining_since = None
            self._changed()
        return True

    def _changed(self) -> None:
        for callback in self.change_callbacks:
            callback()

    # Derived state

    def state(self, connections: int) -> LifecycleState:
        """Return the state, given the number of open client connections."""
        if self.is_stopping:
            return LifecycleState.REPLACED if self.other_ready_processes else LifecycleState.STOPPING
        if self._draining_since is not None:
            return LifecycleState.DRAINING if connections else LifecycleState.DRAINED
        return LifecycleState.READY if self.has_first_poll_ended else LifecycleState.STARTING

    def is_ready(self) -> bool:
        """Return whether this process is ready to serve, as reported to operators."""
        return self.has_first_poll_ended and not self.closes_connections()

    def reports_ready(self) -> bool:
        """Return the readiness reported to the platform.

        The platform sees several processes as one proxy: a stopping or draining process reports ready while another one serves,
        and closes the connection of the ready check.
        """
        return self.is_ready() or self.closes_connections() and self.other_ready_processes > 0

    def closes_connections(self) -> bool:
        """Return whether each response closes its connection, and idle connections are eventually closed."""
        return self.is_stopping or self._draining_since is not None

    def accepts_connections(self) -> bool:
        """Return whether to accept new connections; a process that isn't ready leaves them to others that serve on the socket."""
        return self.is_ready() or not self.other_ready_processes

    def may_close_idle(self, now: float) -> bool:
        """Return whether a drain has lasted long enough to close idle connections."""
        return self._draining_since is not None and now >= self._draining_since + CLOSE_IDLE_AFTER_MS
