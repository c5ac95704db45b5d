"""A proxy process stays below its memory limit, and serves small requests, beside hundreds of bad clients."""

import asyncio
import contextlib
import itertools
import re
from collections.abc import Sequence
from random import Random
from unittest import mock

import pytest

from sloeferry.network import memory_budget
from sloeferry.network.http1.framing import MAX_BUFFERED_BODY_BYTES
from sloeferry.network.memory_budget import SMALL_MESSAGE_BYTES
from sloeferry.stand_ins.bad_clients import BadClient, BadClientKind, HeadMaker, is_unsound_and_served
from tests.support.fake_backends import FakeBackends, Script, response
from tests.support.instrumented_harness import NEVER_SECONDS, InstrumentedHarness, wait_until
from tests.support.process_harness import ProcessHarness
from tests.support.proxy_harness import run_scenario

LEAST_MEMORY_MB = 32  # that the operators' pages name
DESCRIPTORS = 1024
BAD_CLIENTS = 330
DEADLINE_MS = 800
WORK_SECONDS = 0.02
LONG_RESPONSE_BYTES = 8_000_000
HANG_SECONDS = 15.0  # a client that has no answer by then gets none
CROWD_SECONDS = 2.5  # until memory has reached its peak
USUAL_CLIENTS = 4
RESPONSE_BYTES = 5000
LARGE_RESIDENT_BYTES = 184 << 20  # of the 192 MB that the harness's proxy has, so that few uploads use the rest up
SERVED_REQUESTS = 5  # of each usual client, beside the crowd
# A backend's load estimate counts uploads that have not ended, so that small requests are rejected beside them.
UPLOADS = (BadClientKind.STOPPED_BODY, BadClientKind.LARGE_BODY)


class LongResponseBackends(FakeBackends):
    """Backends that answer slow readers at length and others shortly, after some work."""

    async def serve(self, name: str, script: Script, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to a backend."""
        self.begin_connection(name, writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                await self._skip_body(int((re.findall(r"content-length: (\d+)", head) or ["0"])[0]), reader)
                if BadClientKind.SLOW_READER in head:
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % LONG_RESPONSE_BYTES)
                    for _ in range(0, LONG_RESPONSE_BYTES, 64_000):
                        writer.write(bytes(64_000))
                        await writer.drain()
                else:
                    await asyncio.sleep(WORK_SECONDS)
                    writer.write(response())

    @staticmethod
    async def _skip_body(length: int, reader: asyncio.StreamReader) -> None:
        while length:
            data = await reader.read(min(length, 65536))
            if not data:
                raise asyncio.IncompleteReadError(data, length)
            length -= len(data)


async def be_served(harness: ProcessHarness, name: str, request_count: int) -> None:
    """Send small requests on kept connections until that many were served."""
    connection, served = None, 0
    for number in itertools.count():
        with contextlib.suppress(TimeoutError, OSError):
            connection = connection or await harness.connect()
            answer = await asyncio.wait_for(
                harness.request("safe", connection=connection, X_Call_Id=f"{name}-{number}"), DEADLINE_MS / 1000 + 0.5
            )
            served += answer.startswith("200")
            if answer.startswith("200") and "close" not in answer:
                await asyncio.sleep(0.02)
                if served == request_count:
                    return
                continue
        connection = None
        await asyncio.sleep(0.02)


async def run_crowd(harness: ProcessHarness, kinds: Sequence[BadClientKind], answers: list[tuple[BadClientKind, int]]) -> None:
    """Run bad clients of these kinds until small requests were served beside them."""
    heads = HeadMaker("safe", "keyed", "acme", DEADLINE_MS)

    def note(kind: BadClientKind, request_id: str, status: int) -> None:
        answers.append((kind, status))

    clients = [
        BadClient(kind, ("127.0.0.1", harness.port), heads, f"{kind}-{number}", Random(number), note)
        for number, kind in zip(range(BAD_CLIENTS), itertools.cycle(kinds), strict=False)
    ]
    tasks = [asyncio.ensure_future(client.run()) for client in clients]
    try:
        await asyncio.sleep(CROWD_SECONDS)
        if not set(kinds) & set(UPLOADS):
            await asyncio.gather(*(be_served(harness, f"u{number}", SERVED_REQUESTS) for number in range(USUAL_CLIENTS)))
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
    await be_served(harness, "after", 1)


HEAVY_KINDS = (
    BadClientKind.SHORT_FIELDS,
    BadClientKind.LARGE_BODY,
    BadClientKind.STOPPED_BODY,
    BadClientKind.SLOW_BODY,
    BadClientKind.SLOW_READER,
    BadClientKind.PIPELINE,
    BadClientKind.SILENT,
)
KINDS = {kind.value: [kind] for kind in HEAVY_KINDS} | {
    "light": [kind for kind in BadClientKind if kind not in HEAVY_KINDS],
    "all": list(BadClientKind),
}


@pytest.mark.parametrize("kinds", KINDS.values(), ids=KINDS)
def test_memory_stays_below_the_limit_beside_bad_clients(kinds: list[BadClientKind]):
    """Guards against a process that is killed for memory beside hundreds of clients that misuse it."""
    answers: list[tuple[BadClientKind, int]] = []

    async def scenario(harness: ProcessHarness) -> None:
        await run_crowd(harness, kinds, answers)

    backends = LongResponseBackends(dict.fromkeys("abcd"))
    harness = ProcessHarness(backends, descriptors=DESCRIPTORS, deadline_ms=DEADLINE_MS, memory_mb=LEAST_MEMORY_MB)
    run_scenario(scenario, harness)
    assert harness.exit_code is None
    assert 0 < harness.peak_memory_mb <= LEAST_MEMORY_MB
    assert not [kind for kind, status in answers if is_unsound_and_served(kind, status)]


def test_complete_request_is_answered_though_there_is_no_memory_for_the_next():
    """Guards against a request that is read and gets no answer, because a large one begins right behind it."""

    async def scenario(harness: InstrumentedHarness) -> None:
        taken = harness.clients.memory.reserve_for_response(harness.clients.memory.limit)
        large = harness.request_head("c2", "once", body_bytes=MAX_BUFFERED_BODY_BYTES)
        client = await harness.send_raw(harness.request_head("c1") + large + bytes(SMALL_MESSAGE_BYTES))
        received = b""
        while received.count(b"HTTP/1.1 ") < 2:
            received += await asyncio.get_running_loop().sock_recv(client.sock, 9999)
        client.close()
        assert received.startswith(b"HTTP/1.1 200 ") and b"HTTP/1.1 503 " in received
        assert taken is not None

    run_scenario(scenario, InstrumentedHarness({"b": response()}))


def test_large_request_is_served_once_there_is_memory():
    """The allowed neighbour: a body that has to wait for memory is read and served when another request has given it back."""

    async def scenario(harness: InstrumentedHarness) -> None:
        memory = harness.clients.memory
        taken = memory.reserve_for_response(memory.limit)
        request = asyncio.ensure_future(harness.request("once", "b" * (MAX_BUFFERED_BODY_BYTES // 2)))
        await wait_until(lambda: memory.gauges()["waiting"])
        assert taken is not None
        del taken
        assert await request == "200 done"
        await wait_until(lambda: not harness.clients.connections)
        assert memory.reserved == 0

    run_scenario(scenario, InstrumentedHarness({"b": response()}))


def test_large_request_does_not_wait_for_memory_past_its_time():
    """Guards against an answer after its time: what is not read of a request, for want of memory, may have been written."""

    async def scenario(harness: InstrumentedHarness) -> None:
        memory = harness.clients.memory
        taken = memory.reserve_for_response(memory.limit)
        assert taken is not None
        request = asyncio.ensure_future(harness.request("once", "b" * (MAX_BUFFERED_BODY_BYTES // 2)))
        assert (await asyncio.wait_for(request, HANG_SECONDS)).startswith("503 ")

    with mock.patch.object(memory_budget, "MAX_WAIT_SECONDS", NEVER_SECONDS):
        run_scenario(scenario, InstrumentedHarness({"b": response()}, deadline_ms=300))


def test_response_is_served_while_large_requests_wait_for_memory():
    """Guards against requests that fail after they have run, because uploads hold or wait for all memory."""

    async def scenario(harness: InstrumentedHarness) -> None:
        memory = harness.clients.memory
        uploads = []
        while not memory.gauges()["waiting"]:
            head = harness.request_head(f"c{len(uploads)}", "once", body_bytes=MAX_BUFFERED_BODY_BYTES)
            uploads.append(await harness.send_raw(head))
            await asyncio.sleep(0.001)
        reader, writer = await harness.connect()
        writer.write(harness.with_new_ids(harness.request_head("c1", "safe")))
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        assert len(await reader.readexactly(RESPONSE_BYTES)) == RESPONSE_BYTES
        assert memory.gauges()["waiting"]
        for client in uploads:
            client.close()
        writer.close()

    harness = InstrumentedHarness({"b": response("r" * RESPONSE_BYTES)})
    with mock.patch("sloeferry.lifecycle.proxy_process.RESIDENT_AT_REST_BYTES", LARGE_RESIDENT_BYTES):
        run_scenario(scenario, harness)


def test_wait_for_memory_counts_against_the_time_of_a_request_that_has_arrived():
    """Guards against an answer long after its time: a whole request waits for memory, and its time ran from its reading."""

    async def scenario(harness: InstrumentedHarness) -> None:
        memory = harness.clients.memory
        taken = memory.reserve_for_response(memory.limit)
        request = asyncio.ensure_future(harness.request("once", "b" * (MAX_BUFFERED_BODY_BYTES // 2)))
        await wait_until(lambda: memory.gauges()["waiting"])
        await asyncio.sleep(0.4)  # longer than its time
        assert taken is not None
        del taken
        assert (await request).startswith(("503", "504"))
        assert harness.backends.requests_received == 0

    run_scenario(scenario, InstrumentedHarness({"b": response()}, deadline_ms=300))
