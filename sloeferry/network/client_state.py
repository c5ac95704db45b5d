"""What is known of a client without reading from it: whether it is still there, and when it wrote what has been received.

The kernel tells the end of a client's sending once it has arrived.  Behind more bytes than the receive window holds it waits with
the client's own kernel, which nothing on this machine can look into.  So the earliest time is assumed that the facts allow: a
client was still there when nothing that it had sent was unread, and may have ended right after that.
"""

import socket

from sloeferry import environment
from sloeferry.environment import PeerState
from sloeferry.network.last_byte_bound import MAX_TRANSIT_MS, MIN_TRANSIT_BYTES, LastByteBound
from sloeferry.network.sockets import is_open_and_idle
from sloeferry.network.unread_time import UnreadTime

# How long a client may have ended unnoticed when an attempt begins for it; the platform allows 100 ms.
MAX_UNNOTICED_MS = 70.0
MAX_UNNOTICED_AT_INTAKE_MS = 50.0  # so that the attempt of a request that is taken on may begin a little later
# A read that takes longer has waited, so that nothing was unread when it began.  One that fills its buffer may take a while
# without that: it opens the receive window, through which the kernel takes in more.
MIN_WAIT_MS = 0.05
MIN_WAIT_OF_FULL_READ_MS = MAX_TRANSIT_MS
# Fewer bytes than any receive window holds, and the part of a receive buffer that its window holds at least.
MIN_WINDOW_BYTES = 1024
MIN_WINDOW_RATIO = 1 / 16


class ClientState:
    """The state of one client; times in ms, monotonic.

    Three facts show that a client had not ended at some time: nothing had arrived for longer than bytes are in transit; or each
    read had to wait, and brought less than a client with unsent bytes delivers meanwhile; or all it had sent was read, and was so
    little that the receive window was never closed.
    """

    def __init__(self, sock: socket.socket):
        """Begin with a connection that has just been accepted."""
        self._sock = sock
        self.unread_time = UnreadTime(sock)
        self._present_at_ms = environment.monotonic_ms()  # the last time at which the client is known not to have ended
        self._empty_since_ms: float | None = None  # nothing has been unread since then; None: not known
        self._unproved_bytes = 0  # received since nothing had arrived for longer than bytes are in transit
        # Since when each read has had to wait, and what these have brought; None: the last one had not.
        self._waiting_since_ms: float | None = None
        self._waited_bytes = 0

    # What the kernel tells now

    def observe(self) -> PeerState:
        """Return what the kernel tells of the client; while nothing is unread, this shows that it is there."""
        state = environment.peer_state(self._sock)
        if state is PeerState.IDLE:
            self._note_empty(environment.monotonic_ms())
        else:
            self._empty_since_ms = None
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

    def ms_since_arrival(self) -> float:
        """Return how long ago the last bytes arrived; 0.0 if the system does not tell."""
        return environment.ms_since_arrival(self._sock) or 0.0

    # When the client was there

    def present_at_ms(self) -> float:
        """Return the time after which everything that is unread was written, and before which the client had not ended."""
        return self._present_at_ms

    def was_present_lately(self, max_unnoticed_ms: float = MAX_UNNOTICED_MS) -> bool:
        """Return whether an attempt may begin for the client, as far as its end has not arrived."""
        return environment.monotonic_ms() - self._present_at_ms <= max_unnoticed_ms

    def may_hold_end_back(self) -> bool:
        """Return whether the receive window may have been closed, so that an end that has not arrived may be in transit."""
        if self._unproved_bytes < MIN_WINDOW_BYTES:
            return False
        return self._unproved_bytes >= MIN_WINDOW_RATIO * environment.receive_buffer_bytes(self._sock)

    def note_silence(self, since_ms: float) -> None:
        """Record that nothing has arrived since then on a connection that nobody has read from, whose client may have ended."""
        self._present_at_ms = min(self._present_at_ms, since_ms)

    def _note_empty(self, now_ms: float) -> None:
        """Record that nothing is unread."""
        if self._empty_since_ms is None:
            self._empty_since_ms = now_ms
        if now_ms - self._empty_since_ms >= MAX_TRANSIT_MS:
            self._present_at_ms, self._unproved_bytes = max(self._present_at_ms, now_ms - MAX_TRANSIT_MS), 0
        if not self.may_hold_end_back():
            self._present_at_ms = now_ms

    # What was read

    def read_ended(self, began_at_ms: float, received_bytes: int, is_drained: bool) -> float:
        """Record a read, after which nothing was unread if `is_drained`; return when its bytes were written at the earliest."""
        now_ms = environment.monotonic_ms()
        has_waited = now_ms - began_at_ms > (MIN_WAIT_MS if is_drained else MIN_WAIT_OF_FULL_READ_MS)
        if has_waited:
            self._note_empty(began_at_ms)
            self._note_empty(now_ms)
        self._note_pace(now_ms, received_bytes, has_waited)
        seen_at_ms = self._present_at_ms
        self.received_ahead(received_bytes, is_drained)
        return now_ms if has_waited and not self.may_hold_end_back() else seen_at_ms

    def _note_pace(self, now_ms: float, received_bytes: int, has_waited: bool) -> None:
        """Record a read of a client that may write steadily, which reads that had to wait show."""
        since_ms = self._waiting_since_ms
        self._waited_bytes += received_bytes
        if since_ms is not None and has_waited and self._waited_bytes < MIN_TRANSIT_BYTES:
            if now_ms - since_ms < MAX_TRANSIT_MS:
                return
            self._present_at_ms, self._unproved_bytes = max(self._present_at_ms, since_ms), self._waited_bytes
        self._waiting_since_ms, self._waited_bytes = now_ms if has_waited else None, 0

    def received_ahead(self, received_bytes: int, is_drained: bool) -> None:
        """Record that bytes were received without waiting for them."""
        self._unproved_bytes += received_bytes
        self._empty_since_ms = None
        if is_drained:
            self._note_empty(environment.monotonic_ms())

    def begin_body(self, length_bytes: int | None) -> LastByteBound:
        """Return the bound for the last byte of a long body, whose rest is read from now on."""
        return LastByteBound(environment.monotonic_ms(), length_bytes)
