"""Buffers of one size, used again; and seats: all connections together stay below the limit of sockets."""
from time import monotonic


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
    """One seat a connection, whoever is at its other end.  A full table sheds those idle longest."""
    REST = 0.2                           # seconds until a connection counts as idle

    def __init__(self, most):
        self.most, self.taken = most, 0
        self.idle = {}                   # connection -> (since when, how to end it), the oldest first

    def take(self, spare=0):
        """A seat, if `spare` others stay for whoever needs them more."""
        while self.taken >= self.most - spare and self.idle:
            connection, (since, end) = next(iter(self.idle.items()))
            # In a rush of newcomers the request of the one before may be on its way: ended, it would be lost.
            if monotonic() - since < self.REST:
                return False
            self.wake(connection)
            end()
        if self.taken >= self.most - spare:
            return False
        self.taken += 1
        return True

    def give(self):
        self.taken -= 1

    def rest(self, connection, end):
        self.idle[connection] = monotonic(), end

    def wake(self, connection):
        self.idle.pop(connection, None)
