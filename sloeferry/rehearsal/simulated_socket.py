"""A socket of the simulated network, which behaves as one that never blocks, as far as the proxy uses one."""

import asyncio
import enum
import errno
import os
import socket
from collections import deque
from typing import TYPE_CHECKING, Any

from sloeferry.rehearsal.socket_waiters import SocketWaiters

if TYPE_CHECKING:
    from sloeferry.rehearsal.network import SimulatedNetwork
    from sloeferry.rehearsal.simulated_process import SimulatedProcess

Address = tuple[str, int]

WINDOW_BYTES = 131072  # that may be under way or unread on a connection, each way
WOULD_BLOCK = BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))


class Segment(enum.Enum):
    """What is sent over a connection."""

    DATA = enum.auto()
    END = enum.auto()
    RESET = enum.auto()


def os_error(number: int) -> OSError:
    """The error that a system call fails with."""
    return OSError(number, os.strerror(number))


class SimulatedSocket:
    """One end of a connection, or a listener."""

    def __init__(self, network: "SimulatedNetwork", process: "SimulatedProcess"):
        self.network = network
        self.process = process
        self.descriptor = network.next_descriptor()
        self.peer: SimulatedSocket | None = None
        self.local_address: Address | None = None
        self.remote_address: Address | None = None
        self.inbox: deque[bytes] = deque()
        self.unread_bytes = 0  # sent from here, under way or not read yet
        self.last_arrival_at = 0.0  # of what was sent last, seconds
        self.is_established = False
        self.is_closed = False
        self.error_number = 0
        self.waiters = SocketWaiters(self)
        self._has_received_end = False
        self._has_sent_end = False
        self._backlog: deque[SimulatedSocket] | None = None  # of a listener
        self._max_backlog = 0
        self._connecting: asyncio.Future[None] | None = None
        network.sockets[self.descriptor] = self
        process.sockets[self.descriptor] = self

    # As a socket

    def fileno(self) -> int:
        """As socket.socket."""
        return -1 if self.is_closed else self.descriptor

    def setblocking(self, flag: bool) -> None:
        """As socket.socket, but that none here ever blocks."""
        if flag:
            raise ValueError("sockets here never block")

    def setsockopt(self, *arguments: Any) -> None:
        """As socket.socket; no option changes anything."""

    def bind(self, address: Address) -> None:
        """As socket.socket."""
        if address in self.network.listeners:
            raise os_error(errno.EADDRINUSE)
        if address[0] != self.process.host.ip:
            raise os_error(errno.EADDRNOTAVAIL)
        self.local_address = address

    def listen(self, max_backlog: int) -> None:
        """As socket.socket."""
        self._backlog = deque()
        self._max_backlog = max_backlog
        self.network.listeners[self.local_address] = self

    def accept(self) -> tuple["SimulatedSocket", Address]:
        """As socket.socket."""
        self.check_open()
        if not self._backlog:
            raise WOULD_BLOCK
        self.process.spend_cpu("accept")
        sock = self._backlog.popleft()
        sock.is_established = True
        return sock, sock.remote_address

    def recv(self, max_bytes: int, flags: int = 0) -> bytes:
        """As socket.socket; the one flag known is MSG_PEEK."""
        self.check_open()
        if not self.inbox:
            if self.error_number:
                raise os_error(self.error_number)
            if self._has_received_end:
                return b""
            raise WOULD_BLOCK
        piece = self.inbox[0]
        if flags & socket.MSG_PEEK:
            return piece[:max_bytes]
        if len(piece) <= max_bytes:
            self.inbox.popleft()
        else:
            self.inbox[0] = piece[max_bytes:]
            piece = piece[:max_bytes]
        self._bytes_read(len(piece))
        return piece

    def recv_into(self, buffer: bytearray | memoryview) -> int:
        """As socket.socket: as much as is there, a read ends at no piece's end."""
        size, count = len(buffer), 0
        while count < size:
            try:
                piece = self.recv(size - count)
            except OSError:
                if count:
                    break
                raise
            if not piece:
                break
            buffer[count : count + len(piece)] = piece
            count += len(piece)
        return count

    def send(self, data: bytes | memoryview) -> int:
        """As socket.socket."""
        self.check_open()
        if self.error_number:
            raise os_error(self.error_number)
        if not self.is_established:
            raise os_error(errno.ENOTCONN)
        if self._has_sent_end:
            raise os_error(errno.EPIPE)
        count = min(len(data), WINDOW_BYTES - self.unread_bytes)
        if count <= 0:
            raise WOULD_BLOCK
        self.unread_bytes += count
        self._send_in_pieces(bytes(data[:count]))
        return count

    def _send_in_pieces(self, data: bytes) -> None:
        network, rng = self.network, self.network.rng
        while network.split_probability and len(data) > 1 and rng.random() < network.split_probability:
            cut = rng.randrange(1, len(data))
            network.send(self, Segment.DATA, data[:cut], rng.random() * 2 * network.same_zone_seconds)
            data = data[cut:]
        network.send(self, Segment.DATA, data)

    def shutdown(self, how: int) -> None:
        """As socket.socket."""
        self.check_open()
        if not self.is_established or self.error_number:
            raise os_error(errno.ENOTCONN)
        if how != socket.SHUT_RD and not self._has_sent_end:
            self._has_sent_end = True
            self.network.send(self, Segment.END)

    def close(self) -> None:
        """As socket.socket: with bytes unread it ends as a reset, as TCP has it."""
        if self.is_closed:
            return
        if self._backlog is not None:
            self._stop_listening()
        elif self.peer is not None and not self.error_number:
            self._close_connection()
        self._forget()

    def _stop_listening(self) -> None:
        if self.network.listeners.get(self.local_address) is self:
            del self.network.listeners[self.local_address]
        for waiting in list(self._backlog):
            waiting.reset()

    def _close_connection(self) -> None:
        if not self.is_established:  # it was still coming up
            self.peer.connection_reset()
        elif self.inbox:
            self.network.send(self, Segment.RESET)
        elif not self._has_sent_end:
            self.network.send(self, Segment.END)

    def reset(self) -> None:
        """Ended from its own side, as one whose process was killed."""
        if self._backlog is None and self.peer is not None and not self.is_closed and not self.error_number:
            self.network.send(self, Segment.RESET)
            self._forget()
        else:
            self.close()

    def has_peer_ended(self) -> bool:
        """As environment.has_peer_ended."""
        return self.is_closed or self._has_received_end or bool(self.error_number)

    def check_open(self) -> None:
        """Raises OSError where it has been closed."""
        if self.is_closed:
            raise os_error(errno.EBADF)

    def _forget(self) -> None:
        self.is_closed = True
        self.inbox.clear()
        self.network.sockets.pop(self.descriptor, None)
        self.process.sockets.pop(self.descriptor, None)

    # Connecting

    async def connect(self, address: Address) -> None:
        """Waits until it is connected.  Raises OSError."""
        self._connecting = self.process.create_future()
        self.network.send_connect(self, address)
        await self._connecting

    def assign_port(self) -> int:
        """A port of its own at the near end of a connection."""
        self.local_address = self.process.host.ip, self.network.next_port()
        return self.local_address[1]

    def has_backlog(self) -> bool:
        """Whether a connection waits to be accepted."""
        return bool(self._backlog)

    def is_backlog_full(self) -> bool:
        """Whether a listener takes no more connections for now."""
        return len(self._backlog) >= self._max_backlog

    def add_to_backlog(self, sock: "SimulatedSocket") -> None:
        """A connection has come to a listener."""
        self._backlog.append(sock)
        self.waiters.notify_readable()

    def connection_refused(self) -> None:
        """Nobody listens there."""
        if not self.is_closed and self._connecting and not self._connecting.done():
            self.error_number = errno.ECONNREFUSED
            self._connecting.set_exception(os_error(errno.ECONNREFUSED))

    def connection_established(self) -> None:
        """The far end has taken the connection."""
        is_cut_off = self.peer.process.host.is_cut_off or self.process.host.is_cut_off
        if self.is_closed or self.error_number or is_cut_off:
            return
        self.is_established = True
        if self._connecting and not self._connecting.done():
            self._connecting.set_result(None)

    def connection_reset(self) -> None:
        """The other side has reset it."""
        if self.is_closed or self.error_number:
            return
        self.error_number = errno.ECONNRESET
        if self._connecting and not self._connecting.done():
            self._connecting.set_exception(os_error(errno.ECONNRESET))
        self.waiters.notify_writable()
        self.waiters.notify_readable()

    # Reading and writing

    def segment_received(self, segment: Segment, data: bytes) -> None:
        """Something has come over the network."""
        if segment is Segment.RESET:
            self.connection_reset()
            return
        if segment is Segment.DATA:
            self.inbox.append(data)
        else:
            self._has_received_end = True
        self.waiters.notify_readable()

    def _bytes_read(self, count: int) -> None:
        """The other side may send as much more."""
        if self.peer is None:
            return
        self.peer.unread_bytes -= count
        if self.peer.waiters.is_waiting_to_write():
            self.network.scheduler.call_later(self.network.same_zone_seconds, self.peer.waiters.notify_writable)

    def is_readable(self) -> bool:
        """Whether a read, or an accept, would not block."""
        return bool(self.inbox or self._has_received_end or self.error_number or self._backlog)
