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
    """One seat a connection, to one kind of peer.  A full table sheds by what each has shown: first those idle
    longest who have had an answer, and may ask anew elsewhere; then those who have said nothing yet, whose first
    request may be on its way; then those half way through a message of whom nothing more has come for longest."""

    REST, SHY, STUCK = 0.05, 0.15, 0.4  # seconds until a connection counts as idle; as silent; as stuck half way

    def __init__(self, most):
        self.most = self.whole = most
        self.taken = 0
        self.idle, self.shy, self.begun = {}, {}, {}  # connection -> (since when, how to end it), oldest first

    def take(self):
        if self.taken >= self.most and not (
            self.shed(self.idle, self.REST) or self.shed(self.shy, self.SHY) or self.shed(self.begun, self.STUCK)
        ):
            return False
        self.taken += 1
        return True

    def shed(self, table, patience):
        """Ends the one that has waited there for longest, if it has for so long; whether one was ended."""
        for _ in range(len(table)):
            connection, (since, end) = next(iter(table.items()))
            # In a rush of newcomers the request of the one before may be on its way: ended, it would be lost.
            if machine.monotonic() - since < patience:
                return False
            del table[connection]
            if quiet(connection.sock):
                end()
                return True
            table[connection] = machine.monotonic(), end  # it is there, and only not read yet; so may be the end
        return False

    def divide(self, processes):
        """So many processes share the limit of descriptors: this one's part of the table."""
        self.most = self.whole // processes

    def give(self):
        self.taken -= 1

    def rest(self, connection, end, shy=False, begun=False):
        """It waits for what comes next: its first request, if it is `shy`, or the rest of one that has `begun`."""
        table = self.begun if begun else self.shy if shy else self.idle
        table[connection] = machine.monotonic(), end

    def wake(self, connection):
        self.idle.pop(connection, None)
        self.shy.pop(connection, None)
        self.begun.pop(connection, None)
