"""Sockets for a proxy under test whose system calls fail with errors that their manual pages list.

They are installed by environment.replace.  In each period, connect and accept fail with random errors for FAILING_SECONDS;
reads and writes are short at all times.
"""

import errno
import random
import socket
import time

PERIOD_SECONDS = 3.0
FAILING_SECONDS = 0.5  # at the start of each period
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNREFUSED)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EMFILE, errno.ENOBUFS, errno.EPROTO)
MIN_TRANSFER_BYTES = 7  # smallest short read or write


def is_failing() -> bool:
    """Return True while calls fail; the periods are the same in all processes of a machine."""
    return time.monotonic() % PERIOD_SECONDS < FAILING_SECONDS


def _raise_error(errors: tuple[int, ...]) -> None:
    error_number = random.choice(errors)
    raise OSError(error_number, errno.errorcode[error_number])


class FlakySocket(socket.socket):
    """A TCP socket whose connects and accepts fail periodically, and whose reads and writes are short."""

    def connect(self, address: tuple[str, int]) -> None:
        """Connect as socket.connect does, or raise one of CONNECT_ERRORS."""
        if is_failing():
            _raise_error(CONNECT_ERRORS)
        super().connect(address)

    def accept(self) -> tuple[socket.socket, tuple[str, int]]:
        """Accept as socket.accept does, or raise one of ACCEPT_ERRORS."""
        if is_failing():
            _raise_error(ACCEPT_ERRORS)
        fd, address = self._accept()
        return FlakySocket(self.family, self.type, self.proto, fileno=fd), address

    def recv_into(self, buffer: bytearray | memoryview, nbytes: int = 0, flags: int = 0) -> int:
        """Receive as socket.recv_into does, into a buffer shortened to a random length."""
        if flags or len(buffer) <= MIN_TRANSFER_BYTES:
            return super().recv_into(buffer, nbytes, flags)
        return super().recv_into(memoryview(buffer)[: random.randint(MIN_TRANSFER_BYTES, len(buffer))], 0, flags)

    def send(self, data: bytes | memoryview, flags: int = 0) -> int:
        """Send as socket.send does, data shortened to a random length."""
        if len(data) <= MIN_TRANSFER_BYTES:
            return super().send(data, flags)
        return super().send(memoryview(data)[: random.randint(MIN_TRANSFER_BYTES, len(data))], flags)


def tcp_socket() -> FlakySocket:
    """Return a new non-blocking TCP socket, as environment.tcp_socket does."""
    sock = FlakySocket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock
