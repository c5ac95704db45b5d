"""What is known of a client, from what the kernel tells and from reads, on a clock of the test's own."""

from collections.abc import Iterator
from types import SimpleNamespace

import pytest

from sloeferry import environment
from sloeferry.environment import PeerState
from sloeferry.network.client_state import MAX_UNNOTICED_MS, MIN_WAIT_OF_FULL_READ_MS, MIN_WINDOW_BYTES, ClientState
from sloeferry.network.last_byte_bound import MAX_TRANSIT_MS
from sloeferry.network.read_ahead import ReadAhead

RECEIVE_BUFFER_BYTES = 32768
FULL_READ_BYTES = 4 * MIN_WINDOW_BYTES  # more than the least window of such a buffer
LONG_MS = MAX_UNNOTICED_MS + 20


class Kernel:
    """A clock, and what the kernel tells of the client."""

    def __init__(self) -> None:
        self.now_ms = 1000.0
        self.peer = PeerState.IDLE

    def wait(self, wait_ms: float) -> None:
        """Let time pass."""
        self.now_ms += wait_ms


@pytest.fixture
def kernel() -> Iterator[Kernel]:
    """Replace the clock and the kernel's word."""
    kernel = Kernel()
    previous = environment.replace(
        monotonic=lambda: kernel.now_ms / 1000,
        peer_state=lambda sock: kernel.peer,
        receive_buffer_bytes=lambda sock: RECEIVE_BUFFER_BYTES,
    )
    yield kernel
    environment.replace(**previous)


def new_client() -> ClientState:
    """Return the state of a client that has just connected."""
    return ClientState(SimpleNamespace())  # type: ignore[arg-type]


@pytest.mark.parametrize("peer", [PeerState.SENDING_ENDED, PeerState.GONE])
def test_client_whose_end_has_arrived_has_ended(kernel: Kernel, peer: PeerState):
    """A half-close is taken for leaving: it cannot be told from a close."""
    client, kernel.peer = new_client(), peer
    assert client.may_have_ended()
    assert client.observe().has_ended


def test_client_with_nothing_unread_is_there(kernel: Kernel):
    """A slow request does not make its client suspect, as long as it is looked at."""
    client = new_client()
    for _ in range(20):
        kernel.wait(MAX_UNNOTICED_MS / 2)
        assert not client.may_have_ended()


def test_client_with_unread_bytes_may_have_ended_after_a_time(kernel: Kernel):
    """Its end may wait with its own kernel, behind what it has sent."""
    client, kernel.peer = new_client(), PeerState.UNREAD
    kernel.wait(MAX_UNNOTICED_MS)
    assert not client.may_have_ended()
    kernel.wait(1.0)
    assert client.may_have_ended()


def test_read_that_empties_the_queue_late_does_not_show_at_once_that_the_client_is_there(kernel: Kernel):
    """The window may have been closed until then, so that the end is still in transit; later its absence tells."""
    client = new_client()
    kernel.wait(LONG_MS)
    client.read_ended(kernel.now_ms, FULL_READ_BYTES, is_drained=True)
    assert client.may_have_ended()
    assert client.may_hold_end_back()
    kernel.wait(MAX_TRANSIT_MS)
    assert not client.may_have_ended()


def test_late_read_of_a_small_request_shows_that_the_client_is_there(kernel: Kernel):
    """So few bytes cannot have closed the window: an end behind them would have arrived with them."""
    client = new_client()
    kernel.wait(LONG_MS)
    client.read_ended(kernel.now_ms, MIN_WINDOW_BYTES - 1, is_drained=True)
    assert not client.may_have_ended()


@pytest.mark.parametrize("is_drained", [False, True])
def test_read_that_had_to_wait_shows_that_the_client_is_there(kernel: Kernel, is_drained: bool):
    """Nothing was unread when it began."""
    client, began_at_ms = new_client(), kernel.now_ms
    kernel.wait(LONG_MS)
    written_at_ms = client.read_ended(began_at_ms, FULL_READ_BYTES, is_drained)
    assert client.present_at_ms() == kernel.now_ms
    assert written_at_ms == (kernel.now_ms if FULL_READ_BYTES < MIN_WINDOW_BYTES else client.present_at_ms())


def test_full_reads_in_a_row_do_not_show_that_the_client_is_there(kernel: Kernel):
    """More is unread after each of them, behind which the client may have ended; they may take a moment."""
    client, connected_at_ms = new_client(), kernel.now_ms
    for _ in range(int(LONG_MS / MIN_WAIT_OF_FULL_READ_MS) + 1):
        began_at_ms = kernel.now_ms
        kernel.wait(MIN_WAIT_OF_FULL_READ_MS)
        assert client.read_ended(began_at_ms, FULL_READ_BYTES, is_drained=False) == connected_at_ms
    assert client.may_have_ended()


def test_requests_read_without_a_wait_were_written_after_the_client_was_last_seen(kernel: Kernel):
    """The earliest time is assumed: the time left of such a request runs from then."""
    client = new_client()
    kernel.wait(30.0)
    client.observe()
    seen_at_ms = kernel.now_ms
    kernel.wait(20.0)
    assert client.read_ended(kernel.now_ms, MIN_WINDOW_BYTES, is_drained=False) == seen_at_ms


def test_drained_reads_of_a_flood_do_not_show_that_the_client_is_there(kernel: Kernel):
    """Each empties the queue, and more is in transit, because the window was closed until then."""
    client = new_client()
    for _ in range(int(LONG_MS / 2)):
        client.read_ended(kernel.now_ms, FULL_READ_BYTES, is_drained=True)
        kernel.wait(2.0)
    kernel.peer = PeerState.UNREAD
    assert client.may_have_ended()


def test_small_requests_in_close_succession_show_that_the_client_is_there(kernel: Kernel):
    """The twin: all that was sent is read, and the window was never closed."""
    client = new_client()
    for _ in range(int(LONG_MS / 2)):
        began_at_ms = kernel.now_ms
        kernel.wait(2.0)
        assert client.read_ended(began_at_ms, MIN_WINDOW_BYTES // 100, is_drained=True) == kernel.now_ms
    assert not client.may_have_ended()


def test_bytes_read_ahead_are_taken_in_order_with_their_times():
    """Each part keeps the time of its own read, however it is cut."""
    read_ahead = ReadAhead()
    read_ahead.append(b"abcde", 1.0)
    read_ahead.append(b"fg", 2.0)
    assert [read_ahead.take(3) for _ in range(3)] == [(b"abc", 1.0), (b"de", 1.0), (b"fg", 2.0)]
    assert read_ahead.held_bytes == 0


@pytest.mark.parametrize(("read_bytes", "is_steady"), [(4000, True), (16384, False)], ids=["steady", "as quick as can be"])
def test_client_that_writes_steadily_is_there(kernel: Kernel, read_bytes: int, is_steady: bool):
    """One with unsent bytes would deliver more in the time in which bytes are in transit."""
    client = new_client()
    for _ in range(int(LONG_MS)):
        began_at_ms = kernel.now_ms
        kernel.wait(1.0)
        client.read_ended(began_at_ms, read_bytes, is_drained=True)
    kernel.peer = PeerState.UNREAD
    assert client.may_have_ended() != is_steady
