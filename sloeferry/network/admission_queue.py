"""Queues client connections during load shedding: they are not read, but it is known which have a pending request.

A separate epoll instance reports all readable connections in one call. asyncio's sock_recv_into would need four epoll_ctl calls
for each request, a third of what rejecting one may cost. The queue is last in, first out: the newest requests are admitted when
there is room, because they have the most time left; the oldest are rejected, within the share of time that rejecting may take.

A request to be rejected is read here with a plain recv_into. It is the only read that bypasses asyncio, and it happens only
during load shedding and after epoll has reported the socket as readable.
"""

import asyncio
import select
from collections import deque
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.network import client_replies
from sloeferry.network.buffers import BufferPool
from sloeferry.network.http1 import writer
from sloeferry.network.http1.framing import StreamEnd
from sloeferry.policy.overload_control import OverloadController

if TYPE_CHECKING:
    from sloeferry.network.client_connection import ClientConnection

POLL_INTERVAL_SECONDS = 0.003
MAX_EVENTS_PER_POLL = 512
ONE_SHOT_READ = select.EPOLLIN | select.EPOLLONESHOT


class AdmissionQueue:
    """Parked connections by descriptor; `waiting` lists those with a pending request, newest last."""

    def __init__(self, loop: asyncio.AbstractEventLoop, overload: OverloadController, buffers: BufferPool):
        self._loop = loop
        self._overload = overload
        self._buffers = buffers
        self._epoll: select.epoll | None = None
        self._parked: dict[int, tuple[ClientConnection, asyncio.Future]] = {}
        self.waiting: deque[tuple[float, int]] = deque()  # (time of arrival in seconds, descriptor)
        self._timer: asyncio.TimerHandle | None = None

    def park(self, connection: "ClientConnection") -> asyncio.Future:
        """Return a future that is done once this connection may be read."""
        if self._epoll is None:
            self._epoll = environment.epoll()
        fd, admitted = connection.sock.fileno(), self._loop.create_future()
        if connection.is_in_queue_epoll:
            self._epoll.modify(fd, ONE_SHOT_READ)
        else:
            self._epoll.register(fd, ONE_SHOT_READ)
            connection.is_in_queue_epoll = True
        self._parked[fd] = connection, admitted
        if self._timer is None:
            self._timer = self._loop.call_later(POLL_INTERVAL_SECONDS, self._poll)
        return admitted

    def remove(self, connection: "ClientConnection") -> None:
        """Remove a connection that is closing; closing its socket removes it from the epoll set."""
        parked = self._parked.get(connection.sock.fileno())
        if parked and parked[0] is connection:
            del self._parked[connection.sock.fileno()]
            parked[1].cancel()

    def _poll(self) -> None:
        self._timer = None
        try:
            self.process_ready(environment.monotonic())
        finally:  # even after an error, parked connections must not wait forever
            if self._parked and self._timer is None:
                self._timer = self._loop.call_later(POLL_INTERVAL_SECONDS, self._poll)

    def process_ready(self, now: float) -> None:
        """Find connections with a request, admit or reject them; `now` is in seconds."""
        for fd, _ in self._epoll.poll(0, MAX_EVENTS_PER_POLL):
            if fd in self._parked:
                self.waiting.append((now, fd))
        overload, waiting = self._overload, self.waiting
        if not overload.is_shedding():
            self._admit_all()
            return
        slots = overload.available_slots()
        while waiting and slots > 0:  # counted here: an admitted request counts as open only once it is read
            slots -= self._admit(waiting.pop()[1])
        while waiting and waiting[0][0] < now - overload.queue_timeout_ms / 1000:
            # Safety rule 1: no client is left unanswered until its deadline, even if the rejection budget is used up.
            has_waited_longest = waiting[0][0] <= now - overload.max_queue_wait_ms / 1000
            if not overload.take_rejection_token(now * 1000) and not has_waited_longest:
                break
            self._reject(waiting.popleft()[1])
        overload.record_queue_length(len(waiting))

    def _admit_all(self) -> None:
        self.waiting.clear()
        for fd in list(self._parked):
            self._admit(fd)

    def _admit(self, fd: int) -> int:
        """Let the connection be read; return the number admitted: 1, or 0 if it has closed."""
        _, admitted = self._parked.pop(fd, (None, None))
        if admitted and not admitted.done():
            admitted.set_result(None)
            return 1
        return 0

    def _reject(self, fd: int) -> None:
        """Reject the pending request with one read and one write; admit the connection where that is not possible."""
        connection, _ = self._parked.get(fd, (None, None))
        if connection is None:
            return
        buffer = self._buffers.acquire()
        try:
            length = connection.sock.recv_into(buffer)
            if length and connection.reader.reject_unparsed(buffer, length, has_waited=True):
                reply = client_replies.rejection_reply(connection.reader.retry_after_if_rejected_ms)
                data = writer.response(reply.status, headers=reply.headers)
                if connection.sock.send(data) == len(data):
                    connection.waiting_since, connection.is_new = environment.monotonic(), False
                    self._epoll.modify(fd, ONE_SHOT_READ)
                    return
                length = 0  # the send buffer is full: treat the connection as closed by its client
            connection.stream.written_at_ms = None
            connection.stream.feed(buffer, length)
        except (BlockingIOError, InterruptedError):
            pass  # no bytes to read after all: the connection is read in the usual way
        except OSError:
            connection.stream.fault = StreamEnd.CLOSED
        finally:
            self._buffers.release(buffer)
        self._admit(fd)
