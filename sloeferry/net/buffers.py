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
        self.most, self.taken, self.idle = most, 0, {}       # idle: connection -> how to end it, oldest first

    def take(self, spare=0):
        """A seat, if `spare` others stay for whoever needs them more."""
        while self.taken >= self.most - spare and self.idle:
            connection = next(iter(self.idle))
            self.idle.pop(connection)()
        if self.taken >= self.most - spare:
            return False
        self.taken += 1
        return True

    def give(self):
        self.taken -= 1

    def rest(self, connection, end):
        self.idle[connection] = end

    def wake(self, connection):
        self.idle.pop(connection, None)
