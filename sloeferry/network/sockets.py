"""Socket operations that asyncio does not provide."""

import asyncio
import contextlib
import errno
import socket
import struct

from sloeferry import environment
from sloeferry.config.instance import Address

# Errors of connect(2) that come from this machine, not from the peer.  They are often transient.
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
    """Return whether a socket is open with nothing to read: neither bytes nor the end of the stream."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether bytes have arrived that were not read."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def prepare_accepted(sock: socket.socket) -> bool:
    """Make an accepted socket non-blocking and disable Nagle's algorithm; close it and return False if it is broken.

    Small writes that the kernel delays would be lost if the socket is closed while unread bytes remain.
    """
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return True
    except OSError:
        sock.close()
        return False


def reset_on_close(sock: socket.socket) -> None:
    """Make close() discard unsent bytes and reset the connection.

    Otherwise the kernel keeps sending them after the close, even seconds later, followed by the end of the stream.
    """
    with contextlib.suppress(OSError):  # the connection has already ended
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def connect(loop: asyncio.AbstractEventLoop, address: Address, timeout_ms: float) -> socket.socket | None:
    """Return a connected socket, or None if the connection was refused or not established within the timeout.

    Raises OSError for the errors of this machine (`LOCAL_CONNECT_ERRORS`), such as a lack of descriptors or of a network.
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
    except BaseException:  # including a cancellation
        sock.close()
        raise
