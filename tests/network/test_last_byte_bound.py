"""When the last byte of a body may have been written, in virtual time: a client, its kernel, and a backend's pace."""

from dataclasses import dataclass
from math import inf

import pytest

from sloeferry.network.last_byte_bound import MAX_CLIENT_BUFFER_BYTES, LastByteBound

STEP_MS = 1.0
WINDOW_BYTES = 16384  # of the proxy's kernel
HALT_MS = 400


@dataclass
class Upload:
    """A body on its way, by how much of it each party has; bytes in a step of 1 ms."""

    body_bytes: int
    client_bytes: float  # that the client writes
    backend_bytes: float  # that the backend takes
    client_buffer_bytes: int = MAX_CLIENT_BUFFER_BYTES
    read_ahead_bytes: int = 1
    has_length: bool = True
    burst_steps: int = 1  # the client writes once in so many steps
    halts_at_step: float = inf
    written: float = 0.0
    arrived: float = 0.0
    read: float = 0.0
    taken: float = 0.0

    def play(self, is_halted: bool) -> tuple[float, float, float]:
        """Play until the backend has all; return when it has, when the last byte was written, and the longest time in which the
        bound stood still before the last byte was read; ms."""
        bound = LastByteBound(0.0, self.body_bytes if self.has_length else None)
        step, written_at, longest_stand = 0, 0.0, 0.0
        is_reading = False  # a read has found nothing and waits
        last_arrival = 0.0
        while self.taken < self.body_bytes:
            step += 1
            now = step * STEP_MS
            may_take = 0.0 if is_halted and self.halts_at_step <= step < self.halts_at_step + HALT_MS else self.backend_bytes
            may_take -= self._take(may_take)
            if self.written < self.body_bytes and step % self.burst_steps == 0:
                room = self.arrived + self.client_buffer_bytes
                self.written = min(self.body_bytes, room, self.written + self.client_bytes * self.burst_steps)
                written_at = now
            if min(self.written, self.read + WINDOW_BYTES) > self.arrived:
                last_arrival = now
            self.arrived = min(self.written, self.read + WINDOW_BYTES)
            if is_reading and self.arrived == self.read:
                bound.read_waits(now)
            elif is_reading:
                self.read, is_reading = self.arrived, False
                may_take -= self._take(may_take)
            while not is_reading and self.read - self.taken < self.read_ahead_bytes and self.read < self.body_bytes:
                if min(self.written, self.read + WINDOW_BYTES) > self.arrived:
                    last_arrival = now
                self.arrived = min(self.written, self.read + WINDOW_BYTES)
                bound.read_begins(now, int(self.read), int(self.arrived - self.read), now - last_arrival)
                is_reading = self.arrived == self.read
                self.read = self.arrived
                may_take -= self._take(may_take)
            bound.bytes_arrived(now, int(self.arrived))
            if self.read < self.body_bytes:
                longest_stand = max(longest_stand, now - bound.earliest_ms)
            assert bound.earliest_ms <= written_at or self.written < self.body_bytes
        return step * STEP_MS, written_at, longest_stand

    def _take(self, most_bytes: float) -> float:
        """Let the backend take what has been read, and return how much that was."""
        taken = min(self.read - self.taken, most_bytes)
        self.taken += taken
        return taken


@pytest.mark.parametrize(
    ("upload", "longest_stand_ms"),
    [
        (Upload(512_000, 64, 1000), 100),
        (Upload(512_000, 64, 1000, burst_steps=100), 100),
        (Upload(400_000, 50, 1000, burst_steps=2000), 200),
        (Upload(512_000, 64, 90, read_ahead_bytes=65_536), 400),
        (Upload(600_000, 64, 1000, halts_at_step=200), 500),
        (Upload(3_000_000, 2000, 20_000), 100),
        (Upload(3_000_000, 4096, 20_000, burst_steps=16), 100),
        (Upload(3_000_000, 1024, 20_000, burst_steps=16), 100),
        (Upload(30_000_000, 1_000_000, 20_000), 300),
        (Upload(30_000_000, 1_000_000, 20_000, has_length=False), 300),
    ],
    ids=[
        "slow client",
        "in parts",
        "bursts",
        "both slow",
        "halt",
        "2 MB/s",
        "4 MB/s in parts",
        "1 MB/s in parts",
        "fast",
        "fast, chunks",
    ],
)
def test_time_of_a_client_that_still_writes_moves_on(upload: Upload, longest_stand_ms: float):
    """Where the client is shown to be writing, the bound follows it, so that its request goes on."""
    _, _, longest_stand = upload.play(is_halted=True)
    assert longest_stand <= longest_stand_ms


@pytest.mark.parametrize("has_length", [True, False], ids=["length", "chunks"])
@pytest.mark.parametrize(("body_bytes", "client_bytes"), [(820_000, 1_000_000), (954_000, 800), (4_000_000, 1_000_000)])
@pytest.mark.parametrize("read_ahead_bytes", [1, 65_536])
def test_time_of_a_body_that_may_wait_with_the_client_does_not_move(
    body_bytes: int, client_bytes: float, read_ahead_bytes: int, has_length: bool
):
    """Guards against the assumption that a client writes until its last byte is read."""
    upload = Upload(body_bytes, client_bytes, 77, read_ahead_bytes=read_ahead_bytes, has_length=has_length)
    _, written_at, longest_stand = upload.play(is_halted=False)
    assert longest_stand >= body_bytes / 77 - written_at - 2 * read_ahead_bytes / 77 - 1000


def test_late_event_loop_proves_nothing():
    """A read that found nothing at first, and was looked at late, does not show that the client's kernel was empty."""
    bound = LastByteBound(0.0, 820_000)
    bound.read_begins(1.0, 70_000, 0)  # its bytes come at once, and are seen half a second later
    bound.read_begins(500.0, 86_384, 16_384)
    bound.read_begins(500.1, 102_768, 0)
    bound.read_waits(505.0)
    assert bound.earliest_ms == 0.0


def test_late_reads_of_a_small_window_prove_nothing():
    """Reads that find nothing at first, because the next bytes are in transit, and come late: the client's kernel has bytes all
    the time, and the window of the proxy's is filled at once."""
    bound = LastByteBound(0.0, 820_000)
    received, now = 70_000, 1.0
    for _ in range(50):
        bound.read_begins(now, received, 0, 0.0 if received == 70_000 else 4.8)
        received += 4096
        now += 5.0
    assert bound.earliest_ms == 0.0
