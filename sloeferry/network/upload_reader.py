"""Reads the rest of a long request body, ahead of the backend to which it is forwarded.

What has been read shows when the client wrote it, which bytes that wait with the kernels do not: a proxy that reads only what its
backend takes could not tell a client that still writes from one that has long written everything.
"""

import asyncio
from collections.abc import Awaitable, Callable

from sloeferry import environment
from sloeferry.network.buffers import BUFFER_BYTES
from sloeferry.network.client_state import ClientState
from sloeferry.network.http1.message import Message
from sloeferry.network.http1.stream import HttpStream
from sloeferry.network.memory_budget import MemoryBudget

PART_BYTES = BUFFER_BYTES  # of a body, per write
# What a client that writes 64 kB a second, the slowest that the platform names, writes in a second.
MAX_READ_AHEAD_BYTES = 65536
READ_AHEAD_AFTER = 1 / 2  # of the request's time left
ANSWER_BEFORE_DUE_MS = 25.0  # as the policy gives other requests up, two ticks before their deadline


class UploadReader:
    """The reading side of one streamed request body; times in ms, monotonic."""

    def __init__(
        self,
        stream: HttpStream,
        client_state: ClientState,
        memory: MemoryBudget,
        receive: Callable[[], Awaitable[None]],
        message: Message,
        time_left_ms: float,
    ):
        """Begin after the buffered part; the client waits for `time_left_ms` from the last byte on.

        `receive` receives once from `stream`.
        """
        self._stream = stream
        self._client_state = client_state
        self._memory = memory
        self._receive = receive
        self._is_receiving = False
        self._message = message
        self._time_left_ms = time_left_ms
        self._last_byte = client_state.begin_body(message.content_length)
        self._has_read = asyncio.Event()
        self._has_room = asyncio.Event()
        self._may_read_ahead = False  # memory is reserved for it
        self._has_ended = False  # nothing more is read
        self._last_check_ms = 0.0

    async def read(self) -> None:
        """Read to the end of the body, or until the client's connection fails."""
        message, stream = self._message, self._stream
        try:
            while not message.is_complete and not stream.fault:
                if message.held_bytes >= self._limit_bytes():
                    self._has_room.clear()
                    await self._has_room.wait()
                    continue
                await self._read_once()
                self._has_read.set()
        finally:
            self._has_ended = True
            self._has_read.set()

    async def _read_once(self) -> None:
        unread_bytes = self._client_state.unread_bytes()
        ms_since_arrival = 0.0 if unread_bytes else self._client_state.ms_since_arrival()
        self._last_byte.read_begins(environment.monotonic_ms(), self._message.body_bytes, unread_bytes, ms_since_arrival)
        self._is_receiving = True
        try:
            await self._receive()
        finally:
            self._is_receiving = False

    async def next_part(self) -> bytes:
        """Return a part of the body; b"" once nothing more is read."""
        message = self._message
        while not message.held_bytes and not self._has_ended:
            self._has_read.clear()
            await self._has_read.wait()
        part = message.take_body(PART_BYTES)
        self._has_room.set()
        return part

    def due_ms(self) -> float:
        """Return when the final answer is due, as far as is known."""
        return self._last_byte.earliest_ms + self._time_left_ms

    def is_overdue(self, now_ms: float, answer_by_ms: float) -> bool:
        """Return whether the final answer is about to be due, at `answer_by_ms` at the latest; to be called every few ms."""
        if not self._message.is_complete:
            self._check_client(now_ms)
        return now_ms >= min(self.due_ms(), answer_by_ms) - ANSWER_BEFORE_DUE_MS

    def _check_client(self, now_ms: float) -> None:
        if self._is_receiving:
            self._last_byte.read_waits(self._last_check_ms)  # what had arrived by then has been read by now
        self._last_check_ms = now_ms
        if now_ms >= self._read_ahead_at_ms():
            self._last_byte.bytes_arrived(now_ms, self._message.body_bytes + self._client_state.unread_bytes())
            self._has_room.set()  # the limit may be higher now

    def _read_ahead_at_ms(self) -> float:
        return self._last_byte.earliest_ms + READ_AHEAD_AFTER * self._time_left_ms

    def _limit_bytes(self) -> int:
        """Return how much may be held before more is read.

        A body is read further ahead once its backend has kept it waiting for a part of the request's time, if there is memory.
        """
        if not self._may_read_ahead and environment.monotonic_ms() >= self._read_ahead_at_ms():
            self._may_read_ahead = self._reserve_read_ahead()
        return MAX_READ_AHEAD_BYTES if self._may_read_ahead else 1

    def _reserve_read_ahead(self) -> bool:
        reservation = self._memory.reserve_now_for_request(MAX_READ_AHEAD_BYTES + BUFFER_BYTES)
        if reservation is None or self._message.reservation is None:
            return False
        self._message.reservation.merge(reservation)
        return True
