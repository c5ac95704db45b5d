"""Who waits until a simulated socket may be read, or takes more."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from sloeferry.rehearsal.simulated_epoll import SimulatedEpoll
    from sloeferry.rehearsal.simulated_socket import SimulatedSocket


class SocketWaiters:
    """Those of one socket."""

    def __init__(self, sock: "SimulatedSocket"):
        self.epoll: SimulatedEpoll | None = None
        self.is_armed = False  # with that epoll
        self._sock = sock
        self._readable: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | Callable[[], object] | None = None
        self._watcher: Callable[[], object] | None = None
        self._is_notifying = False  # its process has been told that it may be read

    def notify_readable(self) -> None:
        """Something may be read: whoever waits for that is told once its process comes to it."""
        if self.epoll is not None:
            self.epoll.became_readable(self._sock)  # the kernel's own, which needs no process
        if not self._is_notifying and (self._readable is not None or self._watcher):
            self._is_notifying = True
            self._sock.process.call_on_input(self._tell_reader)

    def _tell_reader(self) -> None:
        self._is_notifying = False
        if self._readable is not None:
            readable = self._readable
            self._readable = None
            if not readable.done():
                readable.set_result(None)
        if self._watcher and not self._sock.is_closed:
            self._watcher()
            # Watched as a level, not an edge: what was left is seen again.
            if self._sock.has_backlog() and self._watcher:
                self.notify_readable()

    def watch(self, callback: Callable[..., object] | None, *arguments: Any) -> None:
        """Has it called whenever something may be read; None ends that."""
        self._watcher = (lambda: callback(*arguments)) if callback else None
        if callback and self._sock.is_readable():
            self.notify_readable()

    def until_readable(self) -> asyncio.Future[None]:
        """A future that is done once something may be read."""
        self._sock.check_open()
        self._readable = self._sock.process.create_future()
        if self._sock.is_readable():  # it came between the look and this
            self.notify_readable()
        return self._readable

    def until_writable(self) -> asyncio.Future[None]:
        """A future that is done once it takes more."""
        self._sock.check_open()
        self._writable = self._sock.process.create_future()
        return self._writable

    def call_when_writable(self, callback: Callable[[], object]) -> None:
        """Has it called once it takes more."""
        self._writable = callback

    def is_waiting_to_write(self) -> bool:
        """Whether somebody waits until it takes more."""
        return self._writable is not None

    def notify_writable(self) -> None:
        """It takes more: whoever waits for that is told."""
        writable = self._writable
        self._writable = None
        if isinstance(writable, asyncio.Future):
            if not writable.done():
                writable.set_result(None)
        elif writable is not None:
            self._sock.process.call_soon(writable)
