"""System calls that fail as their pages say they may: sockets for a daemon of the rig, through the seam of machine.py.

In each period calls fail for a part of it, a different error each time; between, reads and writes are short.
"""

import errno
import random
import socket
import time

PERIOD, FAILING = 3.0, 0.5  # seconds
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNREFUSED)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EMFILE, errno.ENOBUFS, errno.EPROTO)
SHORTEST = 7  # bytes of a short read or write


def failing() -> bool:
    """Whether calls fail now; the same moment in all processes of a machine."""
    return time.monotonic() % PERIOD < FAILING


class FlakySocket(socket.socket):
    """A TCP socket whose calls fail for a while, or do a part of what they were asked."""

    def connect(self, address):
        if failing():
            number = random.choice(CONNECT_ERRORS)
            raise OSError(number, errno.errorcode[number])
        return super().connect(address)

    def accept(self):
        if failing():
            number = random.choice(ACCEPT_ERRORS)
            raise OSError(number, errno.errorcode[number])
        fd, address = self._accept()
        return FlakySocket(self.family, self.type, self.proto, fileno=fd), address

    def recv_into(self, buffer, nbytes=0, flags=0):
        if flags or len(buffer) <= SHORTEST:
            return super().recv_into(buffer, nbytes, flags)
        return super().recv_into(memoryview(buffer)[: random.randint(SHORTEST, len(buffer))], 0, flags)

    def send(self, data, flags=0):
        if len(data) <= SHORTEST:
            return super().send(data, flags)
        return super().send(memoryview(data)[: random.randint(SHORTEST, len(data))], flags)


def tcp() -> FlakySocket:
    """As machine.tcp: a new TCP socket that never blocks."""
    sock = FlakySocket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock
