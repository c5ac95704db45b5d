"""Buffers of one size, used again; and seats: all connections together stay below the limit of sockets."""


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

    def __init__(self, most):
        self.most, self.taken, self.idle = most, 0, {}       # idle: connection -> how to close it, oldest first

    def take(self):
        if self.taken >= self.most and self.idle:
            next(iter(self.idle.values()))()
        if self.taken >= self.most:
            return False
        self.taken += 1
        return True

    def give(self):
        self.taken -= 1

    def rest(self, connection, close):
        self.idle[connection] = close

    def wake(self, connection):
        self.idle.pop(connection, None)
