"""What the daemon has of the machine it runs on: two clocks, sockets, an epoll.

This is the one seam for a rehearsal, which plays a whole bank in one process on a clock and a network of its own
(`sloeferry/rehearsal/`): it puts its own in their place before anything is built.  Nothing else ever does.
"""

import select
import socket
import time

monotonic, unix = time.monotonic, time.time  # in seconds
epoll = select.epoll


def ended(sock):
    """Whether the other side has ended its sending or the connection, whatever of what it sent lies unread: behind
    unread bytes a look at what may be read shows no end.  Linux tells it (poll(2), POLLRDHUP)."""
    if sock.fileno() < 0:
        return True
    look = select.poll()
    look.register(sock, select.POLLRDHUP)
    return bool(look.poll(0))


def tcp():
    """A new TCP socket that never blocks."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        return sock
    except BaseException:
        sock.close()
        raise


def inherited(fd):
    """A listening socket that the platform holds and this process was started with."""
    sock = socket.socket(fileno=fd)
    sock.setblocking(False)
    return sock


def stand_in(**ours):
    """For a rehearsal alone: its own in the place of these; what stood there before."""
    if unknown := set(ours) - {"monotonic", "unix", "epoll", "tcp", "inherited", "ended"}:
        raise ValueError(f"no part of the machine: {sorted(unknown)}")
    before = {name: globals()[name] for name in ours}
    globals().update(ours)
    return before
