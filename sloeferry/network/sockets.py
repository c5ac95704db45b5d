"""Calls on sockets that asyncio does not have."""

import asyncio
import contextlib
import errno
import socket
import struct

from sloeferry import environment
from sloeferry.config.instance import Address

# connect(2): what tells of this machine, not of the one called.  It may have passed in a moment.
LOCAL_CONNECT_ERRORS = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EACCES,
        errno.EPERM,
    }
)


def is_open_and_idle(sock: socket.socket) -> bool:
    """Whether a socket stands and there is nothing to be read from it: no bytes and no end."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def prepare_accepted(sock: socket.socket) -> bool:
    """Makes a socket just accepted one that never blocks and holds no small writes back.

    What is held back would be lost when it is closed over unread bytes.  False, and closed, if it is broken already.
    """
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return True
    except OSError:
        sock.close()
        return False


def reset_on_close(sock: socket.socket) -> None:
    """Has the machine throw away what of this side's bytes is not out yet once the socket is closed, and say so.

    Closed without that they go on whenever they can, be it seconds later, with the end behind them.
    """
    with contextlib.suppress(OSError):  # it has ended already
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def connect(loop: asyncio.AbstractEventLoop, address: Address, timeout_ms: float) -> socket.socket | None:
    """A connected socket, or None if it was refused or did not come up in time.

    Raises OSError if this machine has none to give, or cannot reach anybody now.
    """
    sock = environment.tcp_socket()
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(timeout_ms / 1000):
            await loop.sock_connect(sock, address)
        return sock
    except TimeoutError:
        sock.close()
        return None
    except OSError as error:
        sock.close()
        if error.errno in LOCAL_CONNECT_ERRORS:
            raise
        return None
    except BaseException:  # cancelled meanwhile
        sock.close()
        raise
