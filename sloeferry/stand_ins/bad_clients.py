"""Clients that misuse a proxy: they send what is no sound request, never finish one, read slowly, or take part in a crowd.

A bad client repeats itself at full speed until it is stopped.  It is owed an error or a close; an answer that serves an unsound
request is reported.
"""

import asyncio
import contextlib
import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from sloeferry.stand_ins.wire_protocol import STATUS_OK

PAUSE_SECONDS = 0.05  # between two connections of one client
ANSWER_TIMEOUT_SECONDS = 8.0  # above the 6 s in which a client with 60 MB to send is owed an error
PART_SECONDS = 0.05  # between two parts of a request that is sent slowly, or of a response that is read slowly
PART_BYTES = 3000
LARGE_BODY_BYTES = 60_000_000
STREAMED_BODY_BYTES = 8_000_000
BUFFERED_BODY_BYTES = 60_000
HALF_BODY_BYTES = 2_000_000
WRITE_BYTES = 65536
PIPELINED_REQUESTS = 300
SHORT_FIELDS = b"".join(b"a%d:x\r\n" % number for number in range(2000))
FIELDS_BELOW_LIMIT_BYTES = 15_500  # of the 16 KiB that a head may have
LONG_VALUE = b"a" * 1000


class BadClientKind(enum.StrEnum):
    """What a bad client does; the values are those of plans."""

    NOISE = "noise"
    ENDLESS_HEAD = "endless-head"
    SHORT_FIELDS = "short-fields"  # a head of very many, which is not finished
    NEGATIVE_LENGTH = "negative-length"
    HUGE_LENGTH = "huge-length"
    TWO_FRAMINGS = "two-framings"  # a length and chunks, with a second request in the body
    LARGE_BODY = "large-body"
    UNKNOWN_CLASS = "unknown-class"
    BAD_DEADLINE = "bad-deadline"
    NO_ID = "no-id"
    REPEATED_ID = "repeated-id"  # that of another client's request
    HALF_REQUEST = "half-request"  # and a close
    SILENT = "silent"
    STOPPED_BODY = "stopped-body"
    SLOW_BODY = "slow-body"  # sound
    SLOW_READER = "slow-reader"  # sound
    PIPELINE = "pipeline"  # sound: hundreds of requests at once


# Begins the ids of all requests that bad clients make up; backends serve those that reach them, as some are sound.
ID_PREFIX = "bad-"
SOUND_KINDS = frozenset({BadClientKind.SLOW_BODY, BadClientKind.SLOW_READER, BadClientKind.PIPELINE})


class HeadMaker:
    """Makes the heads of requests; a fault replaces or adds one header line."""

    def __init__(self, read_class: str, keyed_class: str, tenant: str, time_left_ms: int):
        self._read_class = read_class
        self._keyed_class = keyed_class
        self._tenant = tenant
        self._time_left_ms = time_left_ms

    def read(self, request_id: str, **replaced: str | None) -> bytes:
        """Return the head of a request without a body, up to its last header line."""
        return self._head("GET", request_id, {"X-Call-Class": self._read_class, **replaced})

    def upload(self, request_id: str, length: str, **replaced: str | None) -> bytes:
        """Return the head of a request with a body, up to its last header line."""
        headers = {"X-Call-Class": self._keyed_class, "Idempotency-Key": f"{request_id:0>32}", "Content-Length": length}
        return self._head("POST", request_id, {**headers, **replaced})

    def _head(self, method: str, request_id: str, headers: dict[str, str | None]) -> bytes:
        values = {
            "Host": "backend.local",
            "X-Call-Id": request_id,
            "X-Caller": self._tenant,
            "X-Budget-Ms": str(self._time_left_ms),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = [f"{name}: {value}\r\n" for name, value in values.items() if value is not None]
        return f"{method} /api HTTP/1.1\r\n{''.join(lines)}".encode()


@dataclass(frozen=True, slots=True)
class OtherRequest:
    """Another client's request, as it was sent; `sent_at` in seconds of the event loop."""

    request_id: str
    data: bytes
    proxy: str
    address: tuple[str, int]
    sent_at: float


class BadClient:
    """One client of one kind, with a connection at a time."""

    def __init__(
        self,
        kind: BadClientKind,
        address: tuple[str, int],
        heads: HeadMaker,
        name: str,
        rng: Random,
        on_answer: Callable[[BadClientKind, str, int], None],
        find_other_request: Callable[[], OtherRequest | None] = lambda: None,
    ):
        """Create a client; `on_answer` gets the request id and the status of each answer.

        `find_other_request` returns a request of another client whose id is repeated.
        """
        self._kind = kind
        self._address = address
        self._heads = heads
        self._name = name
        self._rng = rng
        self._on_answer = on_answer
        self._find_other_request = find_other_request
        self._count = 0
        self._other: OtherRequest | None = None

    async def run(self) -> None:
        """Open one connection after the other until cancelled."""
        while True:
            self._count += 1
            request_id = f"{ID_PREFIX}{self._name}-{self._count}"
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                    await self._use_connection(request_id)
            await asyncio.sleep(PAUSE_SECONDS)

    async def _use_connection(self, request_id: str) -> None:
        if self._kind is BadClientKind.REPEATED_ID:
            self._other = self._find_other_request()
            if self._other is None:
                return
        address = self._other.address if self._other else self._address
        reader, writer = await asyncio.open_connection(*address, limit=WRITE_BYTES)
        try:
            play = _PLAYS.get(self._kind)
            if play:
                await play(self, request_id, reader, writer)
            else:
                await self._send_and_wait(request_id, self._unsound_bytes(request_id), reader, writer)
        finally:
            writer.transport.abort()

    def _unsound_bytes(self, request_id: str) -> bytes:
        heads, kind = self._heads, self._kind
        if kind is BadClientKind.NOISE:
            return self._rng.randbytes(200)
        if kind is BadClientKind.ENDLESS_HEAD:
            return heads.read(request_id) + b"".join(b"x-%02d: %b\r\n" % (number, LONG_VALUE) for number in range(40))
        if kind is BadClientKind.SHORT_FIELDS:
            return heads.read(request_id) + SHORT_FIELDS[:FIELDS_BELOW_LIMIT_BYTES]
        if kind is BadClientKind.NEGATIVE_LENGTH:
            return heads.upload(request_id, "-5") + b"\r\nhello"
        if kind is BadClientKind.HUGE_LENGTH:
            return heads.upload(request_id, "9" * 30) + b"\r\nhello"
        if kind is BadClientKind.TWO_FRAMINGS:
            hidden = heads.read(f"{request_id}-hidden") + b"\r\n"
            return heads.upload(request_id, "5", Transfer_Encoding="chunked") + b"\r\n0\r\n\r\n" + hidden
        if kind is BadClientKind.UNKNOWN_CLASS:
            return heads.read(request_id, X_Call_Class="unheard-of") + b"\r\n"
        if kind is BadClientKind.BAD_DEADLINE:
            return heads.read(request_id, X_Budget_Ms="soon") + b"\r\n"
        return heads.read(request_id, X_Call_Id=None) + b"\r\n"

    async def _send_and_wait(
        self, request_id: str, data: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(data)
        await self._read_answer(request_id, reader)

    async def _read_answer(self, request_id: str, reader: asyncio.StreamReader) -> int:
        """Read the head of an answer, report its status, and return the length of its body."""
        head = await reader.readuntil(b"\r\n\r\n")
        self._on_answer(self._kind, request_id, int(head.split(b" ", 2)[1]))
        _, _, rest = head.lower().partition(b"content-length: ")
        return int(rest.partition(b"\r\n")[0] or 0)

    async def _send_body(self, request_id: str, size: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a body at full speed until there is an answer."""
        answer = asyncio.ensure_future(self._read_answer(request_id, reader))
        try:
            for _ in range(0, size, WRITE_BYTES):
                if answer.done():
                    break
                writer.write(bytes(WRITE_BYTES))
                await writer.drain()
            await answer
        finally:
            answer.cancel()
            await asyncio.wait([answer])
            if not answer.cancelled():
                answer.exception()  # retrieved: its connection may have ended

    async def _play_large_body(self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._heads.upload(request_id, str(LARGE_BODY_BYTES)) + b"\r\n")
        await self._send_body(request_id, LARGE_BODY_BYTES, reader, writer)

    async def _play_stopped_body(self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._heads.upload(request_id, str(STREAMED_BODY_BYTES)) + b"\r\n")
        await self._send_body(request_id, HALF_BODY_BYTES, reader, writer)

    async def _play_slow_body(self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._heads.upload(request_id, str(BUFFERED_BODY_BYTES)) + b"\r\n")
        for _ in range(0, BUFFERED_BODY_BYTES, PART_BYTES):
            writer.write(bytes(PART_BYTES))
            await writer.drain()
            await asyncio.sleep(PART_SECONDS)
        await self._read_answer(request_id, reader)

    async def _play_slow_reader(self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._heads.read(request_id) + b"\r\n")
        left = await self._read_answer(request_id, reader)
        while left > 0 and (data := await reader.read(PART_BYTES)):
            left -= len(data)
            await asyncio.sleep(PART_SECONDS)

    async def _play_pipeline(self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ids = [f"{request_id}-{number}" for number in range(PIPELINED_REQUESTS)]
        writer.write(b"".join(self._heads.read(each) + b"\r\n" for each in ids))
        for each in ids:
            await reader.readexactly(await self._read_answer(each, reader))

    async def _play_repeated_id(self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._other:
            await self._send_and_wait(self._other.request_id, self._other.data, reader, writer)

    async def _play_half_request(self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = self._heads.upload(request_id, "100") + b"\r\n"
        writer.write(head[: self._rng.randrange(len(head))])
        await writer.drain()

    async def _play_silent(self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()


_Play = Callable[[BadClient, str, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
_PLAYS: dict[BadClientKind, _Play] = {
    BadClientKind.LARGE_BODY: BadClient._play_large_body,
    BadClientKind.STOPPED_BODY: BadClient._play_stopped_body,
    BadClientKind.SLOW_BODY: BadClient._play_slow_body,
    BadClientKind.SLOW_READER: BadClient._play_slow_reader,
    BadClientKind.PIPELINE: BadClient._play_pipeline,
    BadClientKind.REPEATED_ID: BadClient._play_repeated_id,
    BadClientKind.HALF_REQUEST: BadClient._play_half_request,
    BadClientKind.SILENT: BadClient._play_silent,
}


def is_unsound_and_served(kind: BadClientKind, status: int) -> bool:
    """Return whether an answer served a request that is not sound."""
    return status == STATUS_OK and kind not in SOUND_KINDS
