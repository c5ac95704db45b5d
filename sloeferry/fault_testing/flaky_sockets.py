"""System calls that fail as their manual pages say they may: sockets for a proxy under test, put in by environment.replace.

In each period calls fail for a part of it, a different error each time; between, reads and writes are short.
"""

import errno
import random
import socket
import time

PERIOD_SECONDS = 3.0
FAILING_SECONDS = 0.5  # of each period
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNREFUSED)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EMFILE, errno.ENOBUFS, errno.EPROTO)
MIN_TRANSFER_BYTES = 7  # of a short read or write


def is_failing() -> bool:
    """Whether calls fail now; the same moment in all processes of a machine."""
    return time.monotonic() % PERIOD_SECONDS < FAILING_SECONDS


def _raise_error(errors: tuple[int, ...]) -> None:
    number = random.choice(errors)
    raise OSError(number, errno.errorcode[number])


class FlakySocket(socket.socket):
    """A TCP socket whose calls fail for a while, or do a part of what they were asked."""

    def connect(self, address: tuple[str, int]) -> None:
        """As socket.connect, or one of CONNECT_ERRORS."""
        if is_failing():
            _raise_error(CONNECT_ERRORS)
        super().connect(address)

    def accept(self) -> tuple[socket.socket, tuple[str, int]]:
        """As socket.accept, or one of ACCEPT_ERRORS."""
        if is_failing():
            _raise_error(ACCEPT_ERRORS)
        fd, address = self._accept()
        return FlakySocket(self.family, self.type, self.proto, fileno=fd), address

    def recv_into(self, buffer: bytearray | memoryview, nbytes: int = 0, flags: int = 0) -> int:
        """As socket.recv_into, of a random part of the buffer."""
        if flags or len(buffer) <= MIN_TRANSFER_BYTES:
            return super().recv_into(buffer, nbytes, flags)
        return super().recv_into(memoryview(buffer)[: random.randint(MIN_TRANSFER_BYTES, len(buffer))], 0, flags)

    def send(self, data: bytes | memoryview, flags: int = 0) -> int:
        """As socket.send, of a random part of the data."""
        if len(data) <= MIN_TRANSFER_BYTES:
            return super().send(data, flags)
        return super().send(memoryview(data)[: random.randint(MIN_TRANSFER_BYTES, len(data))], flags)


def tcp_socket() -> FlakySocket:
    """As environment.tcp_socket: a new TCP socket that never blocks."""
    sock = FlakySocket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock
