"""What is known of a client without reading from it: whether it is still there, and when it wrote what has been received.

The kernel tells the end of a client's sending once it has arrived.  Behind more bytes than the receive window holds it waits with
the client's own kernel, which nothing on this machine can look into.  So the earliest time is assumed that the facts allow: a
client was still there when nothing that it had sent was unread, and may have ended right after that.
"""

import socket

from sloeferry import environment
from sloeferry.environment import PeerState
from sloeferry.network.last_byte_bound import LastByteBound
from sloeferry.network.sockets import is_open_and_idle
from sloeferry.network.unread_time import UnreadTime

# How long a client may have ended unnoticed when an attempt begins for it; the platform allows 100 ms.
MAX_UNNOTICED_MS = 80.0
# A read that takes longer has waited, so that nothing was unread when it began.  One that fills its buffer may take a while
# without that: it opens the receive window, through which the kernel takes in more.
MIN_WAIT_MS = 0.05
MIN_WAIT_OF_FULL_READ_MS = 1.0
# Fewer bytes than any receive window holds, so that an end behind them has arrived with them.
MIN_WINDOW_BYTES = 1024


class ClientState:
    """The state of one client; times in ms, monotonic."""

    def __init__(self, sock: socket.socket):
        """Begin with a connection that has just been accepted."""
        self._sock = sock
        self.unread_time = UnreadTime(sock)
        self._present_at_ms = environment.monotonic_ms()  # the last time at which the client is known not to have ended
        self._bytes_since_wait = 0  # received since a read last had to wait

    # What the kernel tells now

    def observe(self) -> PeerState:
        """Return what the kernel tells of the client; while nothing is unread, this shows that it is there."""
        state = environment.peer_state(self._sock)
        if state is PeerState.IDLE and self.was_present_lately():
            self._present_at_ms = environment.monotonic_ms()
        return state

    def may_have_ended(self) -> bool:
        """Return whether no attempt may begin for the client any more, since it has ended or may have ended too long ago."""
        return self.observe().has_ended or not self.was_present_lately()

    def is_idle(self) -> bool:
        """Return whether the connection is open and nothing is unread, neither bytes nor the end."""
        return is_open_and_idle(self._sock)

    def unread_bytes(self) -> int:
        """Return how many bytes have arrived and were not read; 1 if there are some and the system does not tell."""
        return 0 if self.is_idle() else environment.unread_bytes(self._sock) or 1

    # When the client was there

    def was_present_lately(self, unread_ms: float = 0.0) -> bool:
        """Return whether an attempt may begin for the client, as far as its end has not arrived.

        `unread_ms`: how long its last bytes were unread before they were read.
        """
        return environment.monotonic_ms() - self._present_at_ms + unread_ms <= MAX_UNNOTICED_MS

    def confirm_presence(self) -> bool:
        """Return whether the client is still there; to be called once nothing was unread for longer than bytes are in transit."""
        state = environment.peer_state(self._sock)
        if state is PeerState.IDLE:
            self._present_at_ms, self._bytes_since_wait = environment.monotonic_ms(), 0
        return state is not PeerState.UNREAD

    def may_hold_end_back(self) -> bool:
        """Return whether the receive window may have been closed, so that an end that has not arrived may be in transit."""
        return self._bytes_since_wait >= MIN_WINDOW_BYTES

    # What was read

    def read_ended(self, began_at_ms: float, received_bytes: int, is_drained: bool) -> float:
        """Record a read, after which nothing was unread if `is_drained`; return when its bytes were written at the earliest."""
        now_ms = environment.monotonic_ms()
        has_waited = now_ms - began_at_ms > (MIN_WAIT_MS if is_drained else MIN_WAIT_OF_FULL_READ_MS)
        written_at_ms = now_ms if has_waited else self._present_at_ms
        self._bytes_since_wait = received_bytes + (0 if has_waited else self._bytes_since_wait)
        is_known = self.was_present_lately() or not self.may_hold_end_back()
        if has_waited or is_drained and is_known:
            self._present_at_ms = now_ms
        return written_at_ms

    def present_at_ms(self) -> float:
        """Return the time after which everything that is unread was written."""
        return self._present_at_ms

    def begin_body(self, length_bytes: int | None) -> LastByteBound:
        """Return the bound for the last byte of a long body, whose rest is read from now on."""
        return LastByteBound(environment.monotonic_ms(), length_bytes)

    def ms_since_arrival(self) -> float:
        """Return how long ago the last bytes arrived; 0.0 if the system does not tell."""
        return environment.ms_since_arrival(self._sock) or 0.0
