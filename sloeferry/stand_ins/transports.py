"""Resets of connections by the stand-ins' peers."""

import asyncio
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 seconds


def reset(transport: asyncio.Transport | None) -> None:
    """Close a connection with a TCP reset instead of an orderly close, as the kernel does for a process that has died.

    A simulated transport has no socket, and resets whenever it is aborted.
    """
    if not transport or transport.is_closing():
        return
    if sock := transport.get_extra_info("socket"):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
