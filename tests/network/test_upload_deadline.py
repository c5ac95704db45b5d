"""Uploads that a backend reads slowly, or not to the end: their final answer comes in time, and slow clients are still served.

The proxy's socket buffers and the backend's are small, so that what the backend does not read waits with the client's kernel.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from math import inf
from unittest import mock

import pytest
from loguru import logger

from sloeferry import environment
from sloeferry.network import body_stream
from sloeferry.network.client_connection import ClientConnection
from sloeferry.stand_ins.pace import Pace
from sloeferry.stand_ins.small_buffers import limit_buffers, with_small_buffers
from sloeferry.stand_ins.upload_client import UploadClient, UploadRecord
from tests.support.fake_backends import FakeBackends, Script, response
from tests.support.instrumented_harness import NEVER_SECONDS, InstrumentedHarness, wait_until
from tests.support.proxy_harness import run_scenario

PROXY_BUFFER_BYTES = 16384
BACKEND_BUFFER_BYTES = 8192
READER_LIMIT_BYTES = 4096  # of a stream reader's own buffer, which takes twice as much
BODY_BYTES = 820_470
DEADLINE_MS = 400
READ_BYTES = 8192
READ_INTERVAL_SECONDS = 0.05  # of a slow backend, which takes five seconds for the body
HANG_SECONDS = 15.0  # a client that has no answer by then gets none
FRAMINGS = pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
ERRORS = (503, 504)


class UploadBackends(FakeBackends):
    """One backend that reads `quick_bytes` of an upload at once, and the rest slowly or not at all.

    `early_answer` is sent when it has read these.
    """

    def __init__(self, quick_bytes: float = inf, reads_on: bool = False, early_answer: bytes = b""):
        super().__init__({"b": response()})
        self._quick_bytes = quick_bytes
        self._reads_on = reads_on
        self._early_answer = early_answer
        self.read_bytes = 0

    async def serve(self, name: str, script: Script, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to the backend."""
        self.begin_connection(name, writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._read_body(reader, writer, b"chunked" in head.lower())
                writer.write(script)

    async def _read_body(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_chunked: bool) -> None:
        end = b"0\r\n\r\n"
        data = b""
        while len(data) < BODY_BYTES or is_chunked and not data.endswith(end):
            if len(data) >= self._quick_bytes:
                writer.write(self._early_answer)
                await self._wait()
            data += await reader.readexactly(1) + await reader.read(READ_BYTES - 1)
            self.read_bytes = len(data)

    async def _wait(self) -> None:
        if self._reads_on:
            await asyncio.sleep(READ_INTERVAL_SECONDS)
        else:
            await asyncio.Event().wait()


class UploadHarness(InstrumentedHarness):
    """Harness with small buffers at the proxy and the backend."""

    async def listen(self, serve_connection: Callable) -> int:
        """Start a server with small buffers."""
        server = await asyncio.start_server(serve_connection, "127.0.0.1", 0, limit=READER_LIMIT_BYTES)
        self._servers.append(server)
        limit_buffers(server.sockets[0], BACKEND_BUFFER_BYTES)
        return server.sockets[0].getsockname()[1]

    async def upload(self, is_chunked: bool = False, pace: Pace | None = None, part_bytes: int = 16384) -> UploadRecord:
        """Upload a body and return what the client saw; fails if it gets neither an answer nor an end."""
        head, _, _ = self.request_head("c0", "once").partition(b"Content-Length")
        client = UploadClient(self.with_new_ids(head), BODY_BYTES, is_chunked, pace or Pace(), part_bytes)
        return await asyncio.wait_for(client.run(("127.0.0.1", self.port)), HANG_SECONDS)


@pytest.fixture(autouse=True)
def _small_buffers() -> Iterator[None]:
    previous = environment.replace(tcp_socket=with_small_buffers(environment.tcp_socket, PROXY_BUFFER_BYTES))
    with mock.patch.object(body_stream, "MAX_UPLOAD_PAUSE_SECONDS", NEVER_SECONDS):  # the time of a request is what ends it
        yield
    environment.replace(**previous)


@FRAMINGS
def test_upload_that_is_read_slowly_is_answered_before_the_backend_has_half_of_it(is_chunked: bool):
    """Guards against an answer seconds late, because the request's time began when the proxy read the last byte."""
    backends = UploadBackends(quick_bytes=0, reads_on=True)

    async def scenario(harness: UploadHarness) -> None:
        assert (await harness.upload(is_chunked)).status in ERRORS
        assert backends.read_bytes < BODY_BYTES / 2

    run_scenario(scenario, UploadHarness(backends, deadline_ms=DEADLINE_MS))


@FRAMINGS
@pytest.mark.parametrize("quick_bytes", [9_804, 29_345, 70_000, 400_000, 700_000])
def test_upload_that_is_not_read_to_its_end_is_answered(quick_bytes: int, is_chunked: bool):
    """Guards against no answer, because a write to a backend that has stopped reading had no deadline."""

    async def scenario(harness: UploadHarness) -> None:
        assert (await harness.upload(is_chunked)).status in ERRORS

    run_scenario(scenario, UploadHarness(UploadBackends(quick_bytes), deadline_ms=DEADLINE_MS))


@FRAMINGS
def test_last_part_that_is_not_read_has_a_deadline(is_chunked: bool):
    """Guards against a request's time that begins when the last part of its body has been written."""
    backends = UploadBackends(quick_bytes=BODY_BYTES - 70_000)

    async def scenario(harness: UploadHarness) -> None:
        assert (await harness.upload(is_chunked)).status in ERRORS

    run_scenario(scenario, UploadHarness(backends, deadline_ms=DEADLINE_MS))


@FRAMINGS
@pytest.mark.parametrize("is_client_slow", [False, True], ids=["backend stops", "client writes on"])
def test_upload_is_answered_before_the_process_is_killed(is_client_slow: bool, is_chunked: bool):
    """Guards against an upload that SIGKILL finds unanswered, because it had not ended when SIGTERM came."""
    pace = Pace(bytes_per_second=64_000) if is_client_slow else Pace()

    async def scenario(harness: UploadHarness) -> None:
        upload = asyncio.create_task(harness.upload(is_chunked, pace, part_bytes=3200))
        while not harness.dispatcher.requests:
            await asyncio.sleep(0.01)
        await harness.stop_proxy()
        assert (await upload).status in ERRORS

    quick_bytes = inf if is_client_slow else 400_000
    run_scenario(scenario, UploadHarness(UploadBackends(quick_bytes), deadline_ms=1500))


def test_request_that_is_sent_slowly_is_answered_before_the_process_is_killed():
    """Guards against a small request that SIGKILL finds half read, its last byte perhaps on the way."""

    async def scenario(harness: UploadHarness) -> None:
        client = await harness.send_raw(harness.request_head(body_bytes=60_000))
        await client.wait_for_connection(lambda connection: connection.stream.has_begun)
        await harness.stop_proxy()
        received = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(client.sock, 999), HANG_SECONDS)
        assert received.startswith(b"HTTP/1.1 408 ")
        client.close()

    with mock.patch("sloeferry.network.connection_sweeper.READ_TIMEOUT_SECONDS", NEVER_SECONDS):
        run_scenario(scenario, UploadHarness(UploadBackends(), deadline_ms=300))


def test_request_that_is_sent_slowly_is_served_after_sigterm():
    """A request of which a part had come before SIGTERM is served if the rest comes in time."""

    async def scenario(harness: UploadHarness) -> None:
        client = await harness.send_raw(harness.request_head(body_bytes=9))
        await client.wait_for_connection(lambda connection: connection.stream.has_begun)
        await harness.stop_proxy()
        await client.send(b"123456789")
        received = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(client.sock, 999), HANG_SECONDS)
        assert received.startswith(b"HTTP/1.1 200 ")
        client.close()

    run_scenario(scenario, UploadHarness({"b": response()}, deadline_ms=3000))


@FRAMINGS
@pytest.mark.parametrize(
    ("pace", "part_bytes"),
    [
        (Pace(bytes_per_second=400_000), 40_000),
        (Pace(bytes_per_second=400_000), 2_000),
        (Pace(bytes_per_second=1_000_000), 1_000),
        (Pace(pause_after_bytes=400_000, pause_seconds=2.0), 16_384),
        (Pace(pause_after_bytes=20_000, pause_seconds=2.0), 4_096),
    ],
    ids=["steady", "small parts", "quick small parts", "pause", "early pause"],
)
def test_upload_that_its_client_writes_slowly_is_served(pace: Pace, part_bytes: int, is_chunked: bool):
    """The time of a request whose client is still writing has not begun, however long it takes."""

    async def scenario(harness: UploadHarness) -> None:
        assert (await harness.upload(is_chunked, pace, part_bytes)).status == 200

    run_scenario(scenario, UploadHarness(UploadBackends(), deadline_ms=1000))


@FRAMINGS
@pytest.mark.parametrize("quick_bytes", [0, 200_000], ids=["reads nothing", "stops"])
def test_answer_is_served_while_the_backend_does_not_read(quick_bytes: int, is_chunked: bool):
    """Guards against an answer that is not looked at, because a write of the upload waits."""
    backends = UploadBackends(quick_bytes, early_answer=response("early"))

    async def scenario(harness: UploadHarness) -> None:
        record = await harness.upload(is_chunked)
        assert (record.status, record.answer[-5:]) == (200, b"early")

    run_scenario(scenario, UploadHarness(backends, deadline_ms=3000))


class ClosingLoop:
    """An event loop in whose turn after a receive the connection is closed, before what was received is parsed."""

    def __init__(self, connection: ClientConnection):
        self._connection = connection
        self._loop = asyncio.get_running_loop()

    async def sock_recv_into(self, sock: socket.socket, buffer: bytearray) -> int:
        """Receive, and have the connection closed before the caller goes on."""
        length = await self._loop.sock_recv_into(sock, buffer)
        self._loop.call_soon(self._connection.close)
        await asyncio.sleep(0)
        return length


def test_connection_that_closes_while_its_upload_is_read_fails_no_task():
    """Guards against a read that goes on with a closed parser, its bytes having come in the turn of the close."""
    errors: list[str] = []

    async def scenario(harness: UploadHarness) -> None:
        handler = logger.add(errors.append, level="ERROR")
        client = await harness.send_raw(harness.request_head("c0", "once", body_bytes=BODY_BYTES) + bytes(100_000))
        connection = await client.wait_for_connection(lambda connection: connection.reader.receiving_body_since is not None)
        connection.stream._loop = ClosingLoop(connection)
        for _ in range(2):
            await client.send(bytes(9))
            await asyncio.sleep(0.01)
        await wait_until(lambda: connection.is_closed and not harness.dispatcher.requests)
        logger.remove(handler)
        client.close()

    run_scenario(scenario, UploadHarness(UploadBackends(), deadline_ms=3000))
    assert not errors
