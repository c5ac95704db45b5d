"""A client that uploads a body at a pace and notes when it wrote its first and last byte, and when its answer came."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass

from sloeferry.stand_ins.http_messages import HEAD_END, content_length
from sloeferry.stand_ins.pace import FULL_SPEED, Pace

READ_BYTES = 65536
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(slots=True)
class UploadRecord:
    """What a client saw of one upload; times in seconds of the event loop, None for what has not happened."""

    status: int | None = None  # of the final answer; None: the connection ended without one
    began_at: float | None = None
    written_at: float | None = None  # when the kernel had taken the last byte
    answered_at: float | None = None  # the first byte of the final answer
    answer: bytes = b""
    is_whole: bool = False  # the final answer, by its length


class UploadClient:
    """One upload on a connection of its own; `record` is filled as it goes on."""

    def __init__(self, head: bytes, body_bytes: int, is_chunked: bool = False, pace: Pace = FULL_SPEED, part_bytes: int = 16384):
        """Create a client; `head` is complete but for the framing and the empty line behind it."""
        self.record = UploadRecord()
        self._body_bytes = body_bytes
        self._is_chunked = is_chunked
        self._pace = pace
        self._part_bytes = part_bytes
        framing = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % body_bytes
        self._head = b"%b%b\r\n\r\n" % (head, framing)

    async def run(self, address: tuple[str, int]) -> UploadRecord:
        """Connect, upload until the answer comes, and return the record."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            answer = asyncio.ensure_future(self._connect_and_read(loop, sock, address))
            try:
                await answer
            finally:
                answer.cancel()
        return self.record

    async def _connect_and_read(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, address: tuple[str, int]) -> None:
        await loop.sock_connect(sock, address)
        writing = asyncio.ensure_future(self._write(loop, sock))
        try:
            with contextlib.suppress(OSError):
                await self._read_answer(loop, sock)
        finally:
            writing.cancel()
            await asyncio.wait([writing])

    async def _write(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            self.record.began_at = loop.time()
            await loop.sock_sendall(sock, self._head)
            for at in range(0, self._body_bytes, self._part_bytes):
                await self._wait_for_pace(loop, at)
                part_bytes = min(self._part_bytes, self._body_bytes - at)
                await loop.sock_sendall(sock, self._framed(bytes(part_bytes), at + part_bytes == self._body_bytes))
            self.record.written_at = loop.time()

    async def _wait_for_pace(self, loop: asyncio.AbstractEventLoop, byte_count: int) -> None:
        seconds = self._pace.seconds_until(byte_count)
        if seconds == float("inf"):
            await asyncio.Event().wait()
        wait_seconds = (self.record.began_at or 0.0) + seconds - loop.time()
        if wait_seconds > 0:
            await asyncio.sleep(wait_seconds)

    def _framed(self, data: bytes, is_last: bool) -> bytes:
        if not self._is_chunked:
            return data
        return b"%x\r\n%b\r\n%b" % (len(data), data, LAST_CHUNK if is_last else b"")

    async def _read_answer(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Read until the answer is whole, or the connection ends."""
        record = self.record
        while not record.is_whole and (data := await loop.sock_recv(sock, READ_BYTES)):
            if record.answered_at is None:
                record.answered_at = loop.time()
            record.answer += data
            head, end, body = record.answer.partition(HEAD_END)
            if end:
                record.status = int(head.split(b" ", 2)[1])
                record.is_whole = len(body) >= content_length(head)
