"""Notifies the tasks, callbacks and epoll that wait until a simulated socket is readable or writable."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from sloeferry.rehearsal.simulated_epoll import SimulatedEpoll
    from sloeferry.rehearsal.simulated_socket import SimulatedSocket


class SocketWaiters:
    """The waiters of one socket."""

    def __init__(self, sock: "SimulatedSocket"):
        self.epoll: SimulatedEpoll | None = None
        self.is_armed = False  # reports the next event to `epoll`
        self._sock = sock
        self._readable_future: asyncio.Future[None] | None = None
        self._writable_waiter: asyncio.Future[None] | Callable[[], object] | None = None
        self._read_callback: Callable[[], object] | None = None
        self._is_notifying = False  # `_run_readers` is scheduled

    def notify_readable(self) -> None:
        """Report that the socket is readable: to its epoll now, to its process in its next iteration."""
        if self.epoll is not None:
            self.epoll.became_readable(self._sock)  # part of the kernel, which needs no CPU time of the process
        if not self._is_notifying and (self._readable_future is not None or self._read_callback):
            self._is_notifying = True
            self._sock.process.call_on_input(self._run_readers)

    def _run_readers(self) -> None:
        self._is_notifying = False
        if self._readable_future is not None:
            readable = self._readable_future
            self._readable_future = None
            if not readable.done():
                readable.set_result(None)
        if self._read_callback and not self._sock.is_closed:
            self._read_callback()
            # Level-triggered: connections left in the backlog are reported again.
            if self._sock.has_backlog() and self._read_callback:
                self.notify_readable()

    def watch(self, callback: Callable[..., object] | None, *arguments: Any) -> None:
        """Call `callback` whenever the socket is readable; None stops this."""
        self._read_callback = (lambda: callback(*arguments)) if callback else None
        if callback and self._sock.is_readable():
            self.notify_readable()

    def until_readable(self) -> asyncio.Future[None]:
        """Return a future that is done once the socket is readable."""
        self._sock.check_open()
        self._readable_future = self._sock.process.create_future()
        if self._sock.is_readable():  # data arrived between the caller's read and this call
            self.notify_readable()
        return self._readable_future

    def until_writable(self) -> asyncio.Future[None]:
        """Return a future that is done once the socket is writable."""
        self._sock.check_open()
        self._writable_waiter = self._sock.process.create_future()
        return self._writable_waiter

    def call_when_writable(self, callback: Callable[[], object]) -> None:
        """Call `callback` once when the socket becomes writable."""
        self._writable_waiter = callback

    def is_waiting_to_write(self) -> bool:
        """Return whether a task or callback waits until the socket is writable."""
        return self._writable_waiter is not None

    def notify_writable(self) -> None:
        """Notify the task or callback that waits until the socket is writable."""
        writable = self._writable_waiter
        self._writable_waiter = None
        if isinstance(writable, asyncio.Future):
            if not writable.done():
                writable.set_result(None)
        elif writable is not None:
            self._sock.process.call_soon(writable)
