"""Where clients' connections wait while the door is shut (overload.Door): nothing is read from them, but it is
known which have a request there and since when.

One epoll of its own tells that for all of them in a call; asyncio's sock_recv_into takes four epoll_ctl for each
request, a third of what turning one away may cost.  Of those with a request the newest go on when there is room,
for they have most of their time left; the oldest are turned away, within the part of the time that turning away
may take.  A request that is to be turned away and is there already is read here by a plain recv_into, the one
exception from asyncio's calls: it happens while the door is shut, and only where epoll has said that bytes wait.
"""

import select
from collections import deque

from sloeferry import machine
from sloeferry.net import http1

EVERY = 0.003  # seconds between two looks
LATEST = 512  # events taken in a look


class Lobby:
    """Parked guests by descriptor; `waiting` holds those with a request, the newest last."""

    def __init__(self, loop, facade, buffers):
        self.loop, self.facade, self.buffers = loop, facade, buffers
        self.epoll, self.parked, self.waiting, self.timer = None, {}, deque(), None

    def park(self, guest):
        """A future that is done once this guest may read."""
        if self.epoll is None:
            self.epoll = machine.epoll()
        fd, gate = guest.sock.fileno(), self.loop.create_future()
        if guest.enrolled:
            self.epoll.modify(fd, select.EPOLLIN | select.EPOLLONESHOT)
        else:
            self.epoll.register(fd, select.EPOLLIN | select.EPOLLONESHOT)
            guest.enrolled = True
        self.parked[fd] = guest, gate
        if self.timer is None:
            self.timer = self.loop.call_later(EVERY, self.look)
        return gate

    def leave(self, guest):
        """This guest ends: closing its socket takes it out of the epoll."""
        found = self.parked.get(guest.sock.fileno())
        if found and found[0] is guest:
            del self.parked[guest.sock.fileno()]
            found[1].cancel()

    def look(self):
        """Who has a request, who may go on, who is turned away."""
        self.timer = None
        try:
            self.deal(machine.monotonic(), self.facade.door)
        finally:  # whatever fails, nobody waits here for ever
            if self.parked and self.timer is None:
                self.timer = self.loop.call_later(EVERY, self.look)

    def deal(self, now, door):
        for fd, _ in self.epoll.poll(0, LATEST):
            if fd in self.parked:
                self.waiting.append((now, fd))
        if not door.shut():
            return self.open()
        waiting, longest, room = self.waiting, door.patience / 1000, door.room()
        while waiting and room > 0:  # counted down here: those let in are taken on only once they are read
            room -= self.go(waiting.pop()[1])
        while waiting and waiting[0][0] < now - longest:
            # Rule 1: whatever turning away may cost, nobody is left without an answer until expiry.
            if not door.may_dismiss(now * 1000) and waiting[0][0] > now - door.longest / 1000:
                break
            self.dismiss(waiting.popleft()[1])
        door.queued(len(waiting))

    def open(self):
        """Nobody need wait any more."""
        self.waiting.clear()
        for fd in list(self.parked):
            self.go(fd)

    def go(self, fd):
        guest, gate = self.parked.pop(fd, (None, None))
        if gate and not gate.done():
            gate.set_result(None)
            return 1
        return 0

    def dismiss(self, fd):
        """Turns away what waits there, or lets it go on where that can't be done in two calls."""
        guest, gate = self.parked.get(fd, (None, None))
        if guest is None:
            return
        buffer = self.buffers.take()
        try:
            n = guest.sock.recv_into(buffer)
            if n and guest.glance(buffer, n, last=True):
                answer = http1.answer(503, headers=guest.clients.pause_of(guest.barred))
                if guest.sock.send(answer) == len(answer):
                    guest.since, guest.fresh = machine.monotonic(), False
                    self.epoll.modify(fd, select.EPOLLIN | select.EPOLLONESHOT)
                    return
                n = 0  # it takes nothing more: it ends as one that has closed
            guest.wire.feed(buffer, n)
        except (BlockingIOError, InterruptedError):
            pass  # nothing there after all: it reads as ever
        except OSError:
            guest.wire.fault = http1.CLOSED
        finally:
            self.buffers.give(buffer)
        self.go(fd)
