"""Where clients' connections wait while requests are shed: nothing is read from them, but it is known which have a request.

One epoll of its own tells that, and since when, for all of them in a call; asyncio's sock_recv_into takes four epoll_ctl for
each request, a third of what rejecting one may cost.  Of those with a request the newest go on when there is room, for they
have most of their time left; the oldest are rejected, within the part of the time that rejecting may take.  A request that is
to be rejected and is there already is read here by a plain recv_into, the one exception from asyncio's calls: it happens while
requests are shed, and only where epoll has said that bytes wait.
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

POLL_INTERVAL_SECONDS = 0.003  # between two looks
MAX_EVENTS_PER_POLL = 512
ONE_SHOT_READ = select.EPOLLIN | select.EPOLLONESHOT


class AdmissionQueue:
    """Parked connections by descriptor; `waiting` holds those with a request, the newest last."""

    def __init__(self, loop: asyncio.AbstractEventLoop, overload: OverloadController, buffers: BufferPool):
        self._loop = loop
        self._overload = overload
        self._buffers = buffers
        self._epoll: select.epoll | None = None
        self._parked: dict[int, tuple[ClientConnection, asyncio.Future]] = {}
        self.waiting: deque[tuple[float, int]] = deque()  # (since, descriptor)
        self._timer: asyncio.TimerHandle | None = None

    def park(self, connection: "ClientConnection") -> asyncio.Future:
        """A future that is done once this connection may read."""
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
        """A connection ends: closing its socket takes it out of the epoll."""
        found = self._parked.get(connection.sock.fileno())
        if found and found[0] is connection:
            del self._parked[connection.sock.fileno()]
            found[1].cancel()

    def _poll(self) -> None:
        self._timer = None
        try:
            self.process_ready(environment.monotonic())
        finally:  # whatever fails, nobody waits here for ever
            if self._parked and self._timer is None:
                self._timer = self._loop.call_later(POLL_INTERVAL_SECONDS, self._poll)

    def process_ready(self, now: float) -> None:
        """Who has a request, who may go on, who is rejected; `now` in seconds."""
        for fd, _ in self._epoll.poll(0, MAX_EVENTS_PER_POLL):
            if fd in self._parked:
                self.waiting.append((now, fd))
        overload, waiting = self._overload, self.waiting
        if not overload.is_shedding():
            self._admit_all()
            return
        places = overload.available_slots()
        while waiting and places > 0:  # counted down here: those admitted are taken on only once they are read
            places -= self._admit(waiting.pop()[1])
        while waiting and waiting[0][0] < now - overload.queue_timeout_ms / 1000:
            # Rule 1: whatever rejecting may cost, nobody is left without an answer until its deadline.
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
        """Lets the connection read on; how many were admitted: 1, or 0 if it is gone."""
        _, admitted = self._parked.pop(fd, (None, None))
        if admitted and not admitted.done():
            admitted.set_result(None)
            return 1
        return 0

    def _reject(self, fd: int) -> None:
        """Rejects what waits there, or lets it go on where that cannot be done in two calls."""
        connection, _ = self._parked.get(fd, (None, None))
        if connection is None:
            return
        buffer = self._buffers.acquire()
        try:
            length = connection.sock.recv_into(buffer)
            if length and connection.reader.reject_unparsed(buffer, length, has_waited=True):
                reply = client_replies.rejection_reply(connection.reader.rejection_delay_ms)
                data = writer.response(reply.status, headers=reply.headers)
                if connection.sock.send(data) == len(data):
                    connection.waiting_since, connection.is_new = environment.monotonic(), False
                    self._epoll.modify(fd, ONE_SHOT_READ)
                    return
                length = 0  # it takes nothing more: it ends as one that has closed
            connection.stream.feed(buffer, length)
        except (BlockingIOError, InterruptedError):
            pass  # nothing there after all: it reads as ever
        except OSError:
            connection.stream.fault = StreamEnd.CLOSED
        finally:
            self._buffers.release(buffer)
        self._admit(fd)
