"""What this process is to its clients and its operators, from one place.  Free of I/O.

`/ready`, the operators' calls, SIGTERM and a takeover ask here, so that no two of them disagree.  Four facts make the state:
whether the first poll of discovery has ended, with a list or without one (READY does not mean that there is a list); whether
operators drain this process; whether SIGTERM came; how many other processes serve on the same listening socket.  Times in
float ms, monotonic.

| state | discovery settled | drained by operators | SIGTERM | beside others that serve |
| --- | --- | --- | --- | --- |
| STARTING | no | no | no | |
| READY | yes | no | no | |
| DRAINING, then DRAINED without connections | | yes | no | |
| STOPPING | | | yes | no |
| REPLACED | | | yes | yes |

STARTING goes to READY and never back; a drain begins and ends as operators say; SIGTERM ends all else.
"""

import enum
from collections.abc import Callable

# After a drain began: until then new connections may come, and clients go on using what they have; each response tells them
# to close it, which loses nothing.  From then on idle connections are closed, each of which may cross a request.
CLOSE_IDLE_AFTER_MS = 1200.0


class LifecycleState(enum.StrEnum):
    """The state, as operators are told."""

    STARTING = "starting"
    READY = "serving"
    DRAINING = "quiescing"
    DRAINED = "quiet"
    STOPPING = "leaving"
    REPLACED = "replaced"


class Lifecycle:
    """The facts, and what follows from them."""

    def __init__(self):
        self.is_discovery_settled = False
        self.is_stopping = False  # SIGTERM came
        self._draining_since: float | None = None
        self.other_ready_processes = 0  # of this proxy, on the same listening socket
        self.change_callbacks: list[Callable[[], None]] = []  # called at once when any of the first three facts changes

    # Events

    def discovery_settled(self) -> None:
        """The first poll has ended: an endpoint list is at hand, or none is to be had."""
        if not self.is_discovery_settled:
            self.is_discovery_settled = True
            self._changed()

    def stop(self) -> None:
        """SIGTERM."""
        if not self.is_stopping:
            self.is_stopping = True
            self._changed()

    def drain(self, now: float) -> bool:
        """Operators drain this process; the first call counts.  Whether it is drained now: always."""
        if self._draining_since is None:
            self._draining_since = now
            self._changed()
        return True

    def resume(self) -> bool:
        """Operators end the drain.  Whether it is ended: not after SIGTERM, which cannot be taken back."""
        if self.is_stopping:
            return False
        if self._draining_since is not None:
            self._draining_since = None
            self._changed()
        return True

    def _changed(self) -> None:
        for listener in self.change_callbacks:
            listener()

    # What follows

    def state(self, connections: int) -> LifecycleState:
        """The state; `connections`: how many clients' connections are held."""
        if self.is_stopping:
            return LifecycleState.REPLACED if self.other_ready_processes else LifecycleState.STOPPING
        if self._draining_since is not None:
            return LifecycleState.DRAINING if connections else LifecycleState.DRAINED
        return LifecycleState.READY if self.is_discovery_settled else LifecycleState.STARTING

    def is_ready(self) -> bool:
        """Whether this process is ready to serve: what operators are told."""
        return self.is_discovery_settled and not self.closes_connections()

    def reports_ready(self) -> bool:
        """What the platform is told.

        It sees one proxy where there are two processes: as long as another serves, one that leaves says yes, and closes the
        connection that asked.
        """
        return self.is_ready() or self.closes_connections() and self.other_ready_processes > 0

    def closes_connections(self) -> bool:
        """Whether each response closes its connection, and idle ones are closed in time."""
        return self.is_stopping or self._draining_since is not None

    def accepts_connections(self) -> bool:
        """Whether new connections are taken in: another process on the same socket has them where there is one."""
        return self.is_ready() or not self.other_ready_processes

    def may_close_idle(self, now: float) -> bool:
        """Whether a connection that waits for a request may be closed by now, for a drain."""
        return self._draining_since is not None and now >= self._draining_since + CLOSE_IDLE_AFTER_MS
