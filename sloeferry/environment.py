"""What a proxy uses of the machine it runs on: clocks, sockets, an epoll.

This is the one seam for a rehearsal, which plays a whole fleet in one process on a clock and a network of its own
(`sloeferry/rehearsal/`), and for tests of failing system calls: they replace parts of it before anything is built.
"""

import select
import socket
import time
from typing import Any

monotonic = time.monotonic  # seconds
unix_time = time.time  # seconds
epoll = select.epoll


def monotonic_ms() -> float:
    """The monotonic clock in milliseconds."""
    return monotonic() * 1000


def has_peer_ended(sock: socket.socket) -> bool:
    """Whether the other side has ended its sending or the connection, whatever of what it sent lies unread.

    Behind unread bytes a look at what may be read shows no end; Linux tells it (poll(2), POLLRDHUP).
    """
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def tcp_socket() -> socket.socket:
    """A new TCP socket that never blocks."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        return sock
    except BaseException:
        sock.close()
        raise


def inherited_socket(fd: int) -> socket.socket:
    """A listening socket that the platform holds and this process was started with."""
    sock = socket.socket(fileno=fd)
    sock.setblocking(False)
    return sock


REPLACEABLE = {"monotonic", "unix_time", "epoll", "tcp_socket", "inherited_socket", "has_peer_ended"}


def replace(**parts: Any) -> dict[str, Any]:
    """For rehearsals and tests: puts these in the place of the machine's; returns what stood there before."""
    if unknown := set(parts) - REPLACEABLE:
        raise ValueError(f"no part of the machine: {sorted(unknown)}")
    before = {name: globals()[name] for name in parts}
    globals().update(parts)
    return before
