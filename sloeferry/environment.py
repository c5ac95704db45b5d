"""Provides the operating system's functions that a proxy uses: clocks, sockets and epoll.

This module is the only place to replace them, before a proxy is built: rehearsals run a whole fleet in one process on a simulated
clock and network (`sloeferry/rehearsal/`), and tests inject failing system calls.
"""

import enum
import fcntl
import resource
import select
import socket
import struct
import termios
import time
from typing import Any

monotonic = time.monotonic  # seconds
unix_time = time.time  # seconds
epoll = select.epoll
_C_INT = struct.Struct("i")
_TCP_INFO = struct.Struct("=B51xI")  # of struct tcp_info (linux/tcp.h): tcpi_state and tcpi_last_data_recv


def monotonic_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return monotonic() * 1000


class PeerState(enum.Enum):
    """What the kernel tells of the peer of a connection."""

    IDLE = "open, with nothing unread"
    UNREAD = "open, with unread bytes"
    SENDING_ENDED = "has ended its sending, or closed"
    GONE = "reset, or closed at both ends"

    @property
    def has_ended(self) -> bool:
        """Whether the peer sends nothing more; one that only ends its sending cannot be told from one that has closed."""
        return self in (PeerState.SENDING_ENDED, PeerState.GONE)


def peer_state(sock: socket.socket) -> PeerState:
    """Return the state of the peer of a connection.

    A read check can't detect the end of a stream behind unread bytes; POLLRDHUP of Linux's poll(2) does.
    """
    if sock.fileno() < 0:
        return PeerState.GONE
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLRDHUP)
    events = poll.poll(0)
    if not events:
        return PeerState.IDLE
    if events[0][1] & (select.POLLHUP | select.POLLERR | select.POLLNVAL):
        return PeerState.GONE
    return PeerState.SENDING_ENDED if events[0][1] & select.POLLRDHUP else PeerState.UNREAD


def ms_since_arrival(sock: socket.socket) -> float | None:
    """Return how long ago the last bytes arrived on a connection, read or not; before any, how long ago it was established.

    The kernel tells to some ms; None if it does not.
    """
    try:
        state, ms_since_data = _TCP_INFO.unpack(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size))
    except (OSError, struct.error):
        return None
    return float(ms_since_data) if state else None


def unacknowledged_bytes(sock: socket.socket) -> int | None:
    """Return how many written bytes the peer's kernel has not acknowledged; None if the system does not tell."""
    try:
        return int(_C_INT.unpack(fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_C_INT.size)))[0])
    except OSError:
        return None


def receive_buffer_bytes(sock: socket.socket) -> int:
    """Return the size of a connection's receive buffer; 0 if the system does not tell."""
    try:
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    except OSError:
        return 0


def unread_bytes(sock: socket.socket) -> int | None:
    """Return how many bytes have arrived on a connection and were not read; None if the system does not tell."""
    try:
        return int(_C_INT.unpack(fcntl.ioctl(sock, termios.FIONREAD, bytes(_C_INT.size)))[0])
    except OSError:
        return None


def send_now(sock: socket.socket, data: bytes) -> int:
    """Send as much as the kernel takes at once, and return how much that was; raises OSError if the connection has failed."""
    try:
        return sock.send(data)
    except (BlockingIOError, InterruptedError):
        return 0


def resident_bytes() -> int | None:
    """Return the resident memory of this process; None if the system does not tell."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return None


def tcp_socket() -> socket.socket:
    """Return a new non-blocking TCP socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        return sock
    except BaseException:
        sock.close()
        raise


def inherited_socket(fd: int) -> socket.socket:
    """Return the listening socket that the platform holds and passed to this process as `fd`."""
    sock = socket.socket(fileno=fd)
    sock.setblocking(False)
    return sock


REPLACEABLE = {
    "monotonic",
    "unix_time",
    "epoll",
    "tcp_socket",
    "inherited_socket",
    "peer_state",
    "receive_buffer_bytes",
    "send_now",
    "ms_since_arrival",
    "unacknowledged_bytes",
    "unread_bytes",
}


def replace(**functions: Any) -> dict[str, Any]:
    """Replace functions of this module for rehearsals and tests, and return the previous ones."""
    if unknown := set(functions) - REPLACEABLE:
        raise ValueError(f"not replaceable: {sorted(unknown)}")
    previous = {name: globals()[name] for name in functions}
    globals().update(functions)
    return previous
