"""Sockets with small kernel buffers, for a proxy under test: a body does not fit into them, so that slow peers show at once."""

import socket
from collections.abc import Callable


def with_small_buffers(make_socket: Callable[[], socket.socket], buffer_bytes: int) -> Callable[[], socket.socket]:
    """Return a function that makes sockets with send and receive buffers of that size (the kernel doubles it).

    The connections that a listening socket accepts inherit them.
    """

    def make_small_socket() -> socket.socket:
        sock = make_socket()
        limit_buffers(sock, buffer_bytes)
        return sock

    return make_small_socket


def limit_buffers(sock: socket.socket, buffer_bytes: int) -> None:
    """Set the sizes of a socket's send and receive buffers."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
