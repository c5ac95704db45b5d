"""Closed connections, and what they held, are freed at once."""

import asyncio
import gc
from collections.abc import Awaitable, Callable

import pytest

from sloeferry.network.client_connection import ClientConnection
from sloeferry.network.http1.framing import MAX_BUFFERED_BODY_BYTES
from sloeferry.network.http1.stream import HttpStream
from sloeferry.policy.requests import Attempt, Request
from tests.support.fake_backends import response
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import run_scenario

CONNECTIONS = 5


async def be_served(harness: InstrumentedHarness) -> None:
    await harness.request("safe")


async def send_noise(harness: InstrumentedHarness) -> None:
    await harness.send("noise\r\n\r\n")


async def leave_silently(harness: InstrumentedHarness) -> None:
    client = await harness.send_raw(b"")
    await client.wait_for_connection(lambda connection: True)
    client.close()


async def leave_within_a_head(harness: InstrumentedHarness) -> None:
    client = await harness.send_raw(harness.request_head()[:30])
    await client.wait_for_connection(lambda connection: connection.stream.has_begun)
    client.close()


async def leave_before_the_answer(harness: InstrumentedHarness) -> None:
    client = await harness.send_raw(harness.request_head(class_name="once"))
    await wait_until(lambda: harness.dispatcher.requests)
    client.close()


async def leave_within_an_upload(harness: InstrumentedHarness) -> None:
    head = harness.request_head(class_name="once", body_bytes=9 * MAX_BUFFERED_BODY_BYTES)
    client = await harness.send_raw(head + bytes(2 * MAX_BUFFERED_BODY_BYTES))
    await wait_until(lambda: harness.dispatcher.requests)
    client.close()


@pytest.mark.parametrize(
    "use_connection",
    [be_served, send_noise, leave_silently, leave_within_a_head, leave_before_the_answer, leave_within_an_upload],
)
def test_closed_connections_are_freed_without_the_garbage_collector(
    use_connection: Callable[[InstrumentedHarness], Awaitable[None]],
):
    """Guards against a process that is killed for memory, because what closed connections held waits for the collector."""

    async def scenario(harness: InstrumentedHarness) -> None:
        await use_connection(harness)  # what is created once
        gc.collect()
        gc.disable()
        try:
            for _ in range(CONNECTIONS):
                await use_connection(harness)
            await wait_until(lambda: not harness.clients.connections and not harness.dispatcher.requests)
            harness.pool.close()
            harness.dispatcher.host.run_due_timers(harness.dispatcher.policy)
            await asyncio.sleep(0)  # callbacks of ended tasks
            garbage = gc.collect()
            held = [each for each in gc.get_objects() if isinstance(each, (ClientConnection, HttpStream, Request, Attempt))]
        finally:
            gc.enable()
        assert garbage == 0
        assert not [each for each in held if isinstance(each, ClientConnection)]

    run_scenario(scenario, InstrumentedHarness({"b": response()}, deadline_ms=300))
