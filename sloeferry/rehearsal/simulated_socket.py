"""A non-blocking TCP socket of the simulated network, with the methods that the proxy uses."""

import asyncio
import enum
import errno
import os
import socket
from collections import deque
from typing import TYPE_CHECKING, Any

from sloeferry.environment import PeerState
from sloeferry.rehearsal.socket_waiters import SocketWaiters

if TYPE_CHECKING:
    from sloeferry.rehearsal.network import SimulatedNetwork
    from sloeferry.rehearsal.simulated_process import SimulatedProcess

Address = tuple[str, int]

WINDOW_BYTES = 131072  # limit of unread bytes per connection and direction, in flight or received
WOULD_BLOCK = BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))


class Segment(enum.Enum):
    """The kind of a segment sent over a connection."""

    DATA = enum.auto()
    END = enum.auto()
    RESET = enum.auto()


def os_error(number: int) -> OSError:
    """Return the OSError that a system call raises for an error number."""
    return OSError(number, os.strerror(number))


class SimulatedSocket:
    """One end of a connection, or a listening socket."""

    def __init__(self, network: "SimulatedNetwork", process: "SimulatedProcess"):
        self.network = network
        self.process = process
        self.descriptor = network.next_descriptor()
        self.peer: SimulatedSocket | None = None
        self.local_address: Address | None = None
        self.remote_address: Address | None = None
        self.inbox: deque[bytes] = deque()
        self.bytes_unread_by_peer = 0  # sent from this end and not read by the peer
        self.last_arrival_at = 0.0  # arrival time of the last segment sent, seconds
        self.is_established = False
        self.is_closed = False
        self.error_number = 0
        self.waiters = SocketWaiters(self)
        self._received_at = network.scheduler.monotonic()  # of the last bytes; before any, of the connection
        self._has_received_end = False
        self._has_sent_end = False
        self._backlog: deque[SimulatedSocket] | None = None  # of a listening socket
        self._max_backlog = 0
        self._connecting: asyncio.Future[None] | None = None
        network.sockets[self.descriptor] = self
        process.sockets[self.descriptor] = self

    # Methods of socket.socket

    def fileno(self) -> int:
        """Return the descriptor, or -1 after `close`."""
        return -1 if self.is_closed else self.descriptor

    def setblocking(self, flag: bool) -> None:
        """Accept only False: simulated sockets never block."""
        if flag:
            raise ValueError("setblocking(True): simulated sockets support only non-blocking mode")

    def setsockopt(self, *arguments: Any) -> None:
        """Ignore the option."""

    def bind(self, address: Address) -> None:
        """Set the local address, which has to be one of the process's host."""
        if address in self.network.listeners:
            raise os_error(errno.EADDRINUSE)
        if address[0] != self.process.host.ip:
            raise os_error(errno.EADDRNOTAVAIL)
        self.local_address = address

    def listen(self, max_backlog: int) -> None:
        """Listen on the local address."""
        self._backlog = deque()
        self._max_backlog = max_backlog
        self.network.listeners[self.local_address] = self

    def accept(self) -> tuple["SimulatedSocket", Address]:
        """Return the next connection of the backlog and its remote address; raise BlockingIOError if there is none."""
        self.check_open()
        if not self._backlog:
            raise WOULD_BLOCK
        self.process.spend_cpu("accept")
        sock = self._backlog.popleft()
        sock.is_established = True
        return sock, sock.remote_address

    def recv(self, max_bytes: int, flags: int = 0) -> bytes:
        """Return received bytes, at most one segment; the only supported flag is MSG_PEEK."""
        self.check_open()
        if not self.inbox:
            if self.error_number:
                raise os_error(self.error_number)
            if self._has_received_end:
                return b""
            raise WOULD_BLOCK
        segment_data = self.inbox[0]
        if flags & socket.MSG_PEEK:
            return segment_data[:max_bytes]
        if len(segment_data) <= max_bytes:
            self.inbox.popleft()
        else:
            self.inbox[0] = segment_data[max_bytes:]
            segment_data = segment_data[:max_bytes]
        self._bytes_read(len(segment_data))
        return segment_data

    def recv_into(self, buffer: bytearray | memoryview) -> int:
        """Fill the buffer with received bytes, across the bounds of segments, and return their number."""
        size, count = len(buffer), 0
        while count < size:
            try:
                segment_data = self.recv(size - count)
            except OSError:
                if count:
                    break
                raise
            if not segment_data:
                break
            buffer[count : count + len(segment_data)] = segment_data
            count += len(segment_data)
        return count

    def send(self, data: bytes | memoryview) -> int:
        """Send as much as the window allows and return the number of bytes; raise BlockingIOError if it is full."""
        self.check_open()
        if self.error_number:
            raise os_error(self.error_number)
        if not self.is_established:
            raise os_error(errno.ENOTCONN)
        if self._has_sent_end:
            raise os_error(errno.EPIPE)
        count = min(len(data), WINDOW_BYTES - self.bytes_unread_by_peer)
        if count <= 0:
            raise WOULD_BLOCK
        self.bytes_unread_by_peer += count
        self._send_in_segments(bytes(data[:count]))
        return count

    def send_now(self, data: bytes) -> int:
        """Send as much as the window allows, at the cost of a write; see `environment.send_now`."""
        self.process.spend_cpu("write")
        try:
            return self.send(data)
        except BlockingIOError:
            return 0

    def _send_in_segments(self, data: bytes) -> None:
        network, rng = self.network, self.network.rng
        while network.split_probability and len(data) > 1 and rng.random() < network.split_probability:
            split_at = rng.randrange(1, len(data))
            network.send(self, Segment.DATA, data[:split_at], rng.random() * 2 * network.same_zone_seconds)
            data = data[split_at:]
        network.send(self, Segment.DATA, data)

    def shutdown(self, how: int) -> None:
        """Shut down the sending side unless `how` is SHUT_RD."""
        self.check_open()
        if not self.is_established or self.error_number:
            raise os_error(errno.ENOTCONN)
        if how != socket.SHUT_RD and not self._has_sent_end:
            self._has_sent_end = True
            self.network.send(self, Segment.END)

    def close(self) -> None:
        """Close the socket; unread bytes turn the close into a reset, as in TCP."""
        if self.is_closed:
            return
        if self._backlog is not None:
            self._stop_listening()
        elif self.peer is not None and not self.error_number:
            self._close_connection()
        self._unregister()

    def _stop_listening(self) -> None:
        if self.network.listeners.get(self.local_address) is self:
            del self.network.listeners[self.local_address]
        for waiting in list(self._backlog):
            waiting.reset()

    def _close_connection(self) -> None:
        if not self.is_established:  # it was still being established
            self.peer.connection_reset()
        elif self.inbox:
            self.network.send(self, Segment.RESET)
        elif not self._has_sent_end:
            self.network.send(self, Segment.END)

    def reset(self) -> None:
        """Close the socket with a reset, as the kernel does when a process is killed."""
        if self._backlog is None and self.peer is not None and not self.is_closed and not self.error_number:
            self.network.send(self, Segment.RESET)
            self._unregister()
        else:
            self.close()

    def peer_state(self) -> PeerState:
        """Return the state of the peer; see `environment.peer_state`."""
        if self.is_closed or self.error_number:
            return PeerState.GONE
        if self._has_received_end:
            return PeerState.SENDING_ENDED
        return PeerState.UNREAD if self.inbox else PeerState.IDLE

    def ms_since_arrival(self) -> float:
        """Return how long ago the last bytes arrived; see `environment.ms_since_arrival`."""
        return (self.network.scheduler.monotonic() - self._received_at) * 1000

    def unacknowledged_bytes(self) -> int:
        """Return how many sent bytes the peer has not read; see `environment.unacknowledged_bytes`."""
        return self.bytes_unread_by_peer

    def receive_buffer_bytes(self) -> int:
        """Return the size of the receive buffer; see `environment.receive_buffer_bytes`."""
        return WINDOW_BYTES

    def unread_bytes(self) -> int:
        """Return how many received bytes are unread; see `environment.unread_bytes`."""
        return sum(len(data) for data in self.inbox)

    def check_open(self) -> None:
        """Raise OSError if the socket has been closed."""
        if self.is_closed:
            raise os_error(errno.EBADF)

    def _unregister(self) -> None:
        self.is_closed = True
        self.inbox.clear()
        self.network.sockets.pop(self.descriptor, None)
        self.process.sockets.pop(self.descriptor, None)

    # Connecting

    async def connect(self, address: Address) -> None:
        """Connect to an address and wait until the connection is established; raise OSError if that fails."""
        self._connecting = self.process.create_future()
        self.network.send_connect(self, address)
        await self._connecting

    def assign_port(self) -> int:
        """Assign an ephemeral port to the connecting end and return it."""
        self.local_address = self.process.host.ip, self.network.next_port()
        return self.local_address[1]

    def has_backlog(self) -> bool:
        """Return whether a connection waits to be accepted."""
        return bool(self._backlog)

    def is_backlog_full(self) -> bool:
        """Return whether the backlog of this listening socket is full."""
        return len(self._backlog) >= self._max_backlog

    def add_to_backlog(self, sock: "SimulatedSocket") -> None:
        """Add an incoming connection to the backlog of this listening socket."""
        self._backlog.append(sock)
        self.waiters.notify_readable()

    def connection_refused(self) -> None:
        """Fail the pending connect: no socket listens on the address."""
        if not self.is_closed and self._connecting and not self._connecting.done():
            self.error_number = errno.ECONNREFUSED
            self._connecting.set_exception(os_error(errno.ECONNREFUSED))

    def connection_established(self) -> None:
        """Complete the pending connect: the connection is in the listening socket's backlog."""
        is_cut_off = self.peer.process.host.is_cut_off or self.process.host.is_cut_off
        if self.is_closed or self.error_number or is_cut_off:
            return
        self.is_established = True
        if self._connecting and not self._connecting.done():
            self._connecting.set_result(None)

    def connection_reset(self) -> None:
        """Handle a reset by the peer: fail the pending connect and wake up all waiters."""
        if self.is_closed or self.error_number:
            return
        self.error_number = errno.ECONNRESET
        if self._connecting and not self._connecting.done():
            self._connecting.set_exception(os_error(errno.ECONNRESET))
        self.waiters.notify_writable()
        self.waiters.notify_readable()

    # Reading and writing

    def segment_received(self, segment: Segment, data: bytes) -> None:
        """Handle a segment that arrived from the peer."""
        if segment is Segment.RESET:
            self.connection_reset()
            return
        if segment is Segment.DATA:
            self.inbox.append(data)
            self._received_at = self.network.scheduler.monotonic()
        else:
            self._has_received_end = True
        self.waiters.notify_readable()

    def _bytes_read(self, count: int) -> None:
        """Open the peer's send window by the number of bytes read."""
        if self.peer is None:
            return
        self.peer.bytes_unread_by_peer -= count
        if self.peer.waiters.is_waiting_to_write():
            self.network.scheduler.call_later(self.network.same_zone_seconds, self.peer.waiters.notify_writable)

    def is_readable(self) -> bool:
        """Return whether a read, or an accept, would not block."""
        return bool(self.inbox or self._has_received_end or self.error_number or self._backlog)
