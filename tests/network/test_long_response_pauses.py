"""Long responses whose backends pause: what a backend still gives is not cut off."""

import asyncio
import contextlib

import pytest

from sloeferry.network.body_stream import MAX_RESPONSE_PAUSE_SECONDS
from sloeferry.network.http1.framing import MAX_BUFFERED_BODY_BYTES
from tests.network.test_write_progress import SimulatedSeconds
from tests.support.fake_backends import FakeBackends, Script
from tests.support.instrumented_harness import InstrumentedHarness
from tests.support.proxy_harness import run_scenario

BODY_BYTES = 2 * MAX_BUFFERED_BODY_BYTES
LENGTH_HEAD = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
CHUNKED_HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
HALF_BYTES = BODY_BYTES // 2
LONG_PAUSE_SECONDS = 30.0


class PausingBackends(FakeBackends):
    """One backend that writes a response in two parts, the second when it is told to."""

    def __init__(self, first: bytes, second: bytes):
        super().__init__({"b": None})
        self._first = first
        self._second = second
        self.may_write_on = asyncio.Event()

    async def serve(self, name: str, script: Script, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to the backend."""
        self.begin_connection(name, writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self._first)
                await self.may_write_on.wait()
                writer.write(self._second)


def sweep(harness: InstrumentedHarness) -> None:
    """Have the sweeper look at all connections."""
    for connection in list(harness.clients.connections):
        harness.clients.sweeper._sweep_connection(connection, 60.0)


def test_pause_in_a_long_response_does_not_cut_it_off():
    """Guards against a response that is cut off because its backend has paused for longer than ten seconds."""
    seconds = SimulatedSeconds()
    backends = PausingBackends(LENGTH_HEAD + b"m" * HALF_BYTES, b"n" * HALF_BYTES)

    async def scenario(harness: InstrumentedHarness) -> None:
        reader, writer = await harness.connect()
        writer.write(harness.with_new_ids(harness.request_head("c0", "once")))
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(HALF_BYTES)
        seconds.added += LONG_PAUSE_SECONDS
        sweep(harness)
        backends.may_write_on.set()
        assert await reader.readexactly(HALF_BYTES) == b"n" * HALF_BYTES
        writer.close()

    with seconds.applied():
        run_scenario(scenario, InstrumentedHarness(backends))


def test_backend_that_is_silent_for_too_long_is_given_up():
    """A backend that has vanished in the middle of a response holds its client's connection for a limited time."""
    seconds = SimulatedSeconds()
    backends = PausingBackends(LENGTH_HEAD + b"m" * HALF_BYTES, b"")

    async def scenario(harness: InstrumentedHarness) -> None:
        reader, writer = await harness.connect()
        writer.write(harness.with_new_ids(harness.request_head("c0", "once")))
        await reader.readexactly(HALF_BYTES)
        seconds.added += MAX_RESPONSE_PAUSE_SECONDS + 1
        sweep(harness)
        with contextlib.suppress(ConnectionResetError):
            while await reader.read(65536):
                pass
        writer.close()

    with seconds.applied():
        run_scenario(scenario, InstrumentedHarness(backends))


def test_head_of_a_long_response_serves_its_request():
    """Guards against a request that fails with the head of its long response at hand, because no body came with it."""
    backends = PausingBackends(LENGTH_HEAD, b"n" * BODY_BYTES)

    async def scenario(harness: InstrumentedHarness) -> None:
        reader, writer = await harness.connect()
        writer.write(harness.with_new_ids(harness.request_head("c0", "once")))
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        backends.may_write_on.set()
        assert await reader.readexactly(BODY_BYTES) == b"n" * BODY_BYTES
        writer.close()

    run_scenario(scenario, InstrumentedHarness(backends, deadline_ms=400))


@pytest.mark.parametrize("head", [CHUNKED_HEAD, b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n"], ids=["unknown length", "short"])
def test_head_of_a_response_that_may_be_short_does_not_serve_its_request(head: bytes):
    """The last byte of a short response is due in time, so that a head without a body is not enough."""
    backends = PausingBackends(head, b"")

    async def scenario(harness: InstrumentedHarness) -> None:
        assert await harness.request("once", X_Call_Id="c1") in ("503 ", "504 ")

    run_scenario(scenario, InstrumentedHarness(backends, deadline_ms=400))
