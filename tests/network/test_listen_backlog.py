"""Connections that wait in the listen backlog while all descriptors are in use."""

import asyncio

import pytest

from sloeferry import environment
from sloeferry.network.descriptor_budget import DescriptorBudget
from sloeferry.network.listener import MAX_ACCEPTS_PER_EVENT, MAX_BACKLOG_WAIT_MS
from tests.support.fake_backends import response
from tests.support.instrumented_harness import InstrumentedHarness, RawClient, wait_until
from tests.support.proxy_harness import run_scenario

DEADLINE_MS = 400
# Longer than the deadline, and than the time after which an unfinished request may be closed for a new connection.
BACKLOG_SECONDS = max(DEADLINE_MS / 1000, DescriptorBudget.MIN_PARTIAL_SECONDS) + 0.1
HALF_REQUEST = b"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: "


async def hold_in_backlog(harness: InstrumentedHarness, *requests: bytes) -> list[RawClient]:
    """Send each request on a new connection that the proxy does not accept yet."""
    listener = harness.clients.listener
    await wait_until(lambda: not harness.clients.connections)
    listener.pause()
    listener.backlogged_since_ms = environment.monotonic_ms()
    return [await harness.send_raw(request) for request in requests]


async def receive_status(client: RawClient) -> str:
    """Return the status of the next response; an empty text at the end of the stream."""
    data = await asyncio.get_running_loop().sock_recv(client.sock, 9999)
    return data.decode().split()[1] if data else ""


def request(harness: InstrumentedHarness, body_bytes: int) -> bytes:
    """Return a request that is safe to send."""
    return harness.request_head(body_bytes=body_bytes) + b"m" * body_bytes


@pytest.mark.parametrize("body_bytes", [0, 40_000], ids=["one piece", "pieces"])
@pytest.mark.parametrize(("seconds", "status", "sent_count"), [(BACKLOG_SECONDS, "503", 0), (0.0, "200", 1)])
def test_request_past_its_deadline_in_the_backlog_is_rejected(body_bytes: int, seconds: float, status: str, sent_count: int):
    """Guards against a response that comes long after the deadline, because a request's time in the backlog counted for at most
    half of its time, and for nothing if it was read in pieces. One that has waited for a shorter time is served."""

    async def scenario(harness: InstrumentedHarness) -> None:
        (client,) = await hold_in_backlog(harness, request(harness, body_bytes))
        await asyncio.sleep(seconds)
        harness.clients.listener.open()
        assert await receive_status(client) == status
        assert harness.backends.requests_received == sent_count
        client.close()

    run_scenario(scenario, InstrumentedHarness({"b": response()}, deadline_ms=DEADLINE_MS if seconds else 3000))


def test_process_that_takes_a_socket_over_counts_the_time_before():
    """Guards against requests that count as new because this process did not see them wait: it has just begun to listen."""

    async def scenario(harness: InstrumentedHarness) -> None:
        requests = [request(harness, 0).replace(b"c0", b"c%d" % number) for number in range(2 * MAX_ACCEPTS_PER_EVENT)]
        clients = await hold_in_backlog(harness, *requests)
        harness.clients.listener.backlogged_since_ms = None  # as in a new process
        await asyncio.sleep(BACKLOG_SECONDS)
        harness.clients.listener.open()
        assert {await receive_status(client) for client in clients} == {"503"}
        assert harness.backends.requests_received == 0
        for client in clients:
            client.close()

    run_scenario(scenario, InstrumentedHarness({"b": response()}, deadline_ms=DEADLINE_MS))


async def accept_partial(harness: InstrumentedHarness, clients: list[RawClient]) -> None:
    """Have the connections accepted and read, and all descriptors in use."""
    budget = harness.clients.budget
    harness.clients.listener.open()
    await wait_until(lambda: len(budget.partial) == len(clients))
    budget.limit = budget.in_use


def test_half_request_counts_as_still_since_its_last_byte():
    """Guards against requests that wait behind a crowd, because half a request counted as still only from its reading on. One
    that goes on is kept and served, whatever the order in which they came."""

    async def scenario(harness: InstrumentedHarness) -> None:
        slow_request = request(harness, 0)
        slow, *still = clients = await hold_in_backlog(harness, slow_request[:30], HALF_REQUEST, HALF_REQUEST)
        await asyncio.sleep(BACKLOG_SECONDS)
        await slow.send(slow_request[30:60])
        await accept_partial(harness, clients)
        budget = harness.clients.budget
        assert [budget.acquire() for _ in clients] == [True, True, False]
        assert [await receive_status(client) for client in still] == ["408", "408"]
        await slow.send(slow_request[60:])
        assert await receive_status(slow) == "200"
        for client in clients:
            client.close()

    run_scenario(scenario, InstrumentedHarness({"b": response()}))


@pytest.mark.parametrize(("waited_ms", "statuses"), [(2 * MAX_BACKLOG_WAIT_MS, ["408", "200"]), (0.0, ["200"])])
def test_backlog_that_waits_too_long_takes_the_place_of_any_unfinished_request(waited_ms: float, statuses: list[str]):
    """Guards against requests that are never answered behind a crowd that drips bytes: none of its requests is ever still.

    Before the limit of the wait, an unfinished request keeps its place and is served.
    """

    async def scenario(harness: InstrumentedHarness) -> None:
        dripping_request = request(harness, 0)
        dripping, *_ = clients = await hold_in_backlog(harness, dripping_request[:30])
        await accept_partial(harness, clients)
        listener = harness.clients.listener
        listener.pause()
        waiting = await harness.send_raw(request(harness, 0).replace(b"c0", b"c1"))
        listener.backlogged_since_ms = environment.monotonic_ms() - waited_ms
        listener.accept(limit=1)
        assert (dripping.connection() is None) == bool(waited_ms)  # at once, before any of its bytes is late
        if waited_ms:
            assert [await receive_status(dripping), await receive_status(waiting)] == statuses
        else:
            await dripping.send(dripping_request[30:])
            assert [await receive_status(dripping)] == statuses
        for client in (dripping, waiting):
            client.close()

    run_scenario(scenario, InstrumentedHarness({"b": response()}))
