"""Buffers of one size, used again; and seats: all connections together stay below the limit of sockets."""
from sloeferry import machine
from sloeferry.net.http1 import quiet


class Buffers:
    SIZE, KEPT = 16384, 256

    def __init__(self):
        self.free = []

    def take(self):
        return self.free.pop() if self.free else bytearray(self.SIZE)

    def give(self, buffer):
        if len(self.free) < self.KEPT:
            self.free.append(buffer)


class Seats:
    """One seat a connection, to one kind of peer.  A full table sheds those idle longest."""
    REST = 0.05                          # seconds until a connection counts as idle

    def __init__(self, most):
        self.most, self.taken = most, 0
        self.idle = {}                   # connection -> (since when, how to end it), the oldest first

    def take(self):
        while self.taken >= self.most and self.idle:
            connection, (since, end) = next(iter(self.idle.items()))
            # In a rush of newcomers the request of the one before may be on its way: ended, it would be lost.
            if machine.monotonic() - since < self.REST:
                return False
            self.wake(connection)
            if quiet(connection.sock):
                end()
            else:                        # it is there, and only not read yet; so may be the end
                self.rest(connection, end)
        if self.taken >= self.most:
            return False
        self.taken += 1
        return True

    def give(self):
        self.taken -= 1

    def rest(self, connection, end):
        self.idle[connection] = machine.monotonic(), end

    def wake(self, connection):
        self.idle.pop(connection, None)
