"""Clients that pipeline requests share the event loop with those that send one at a time."""

import asyncio

from sloeferry.network.pipelining import MAX_TURNS_PER_ITERATION, PipelineTurns
from tests.support.fake_backends import response
from tests.support.proxy_harness import ProxyHarness, run_coroutine, run_scenario

CONNECTIONS = 100
TURNS = 5


def test_few_pipelining_connections_go_on_in_each_iteration():
    """Guards against clients that are answered late, because hundreds of others pipeline; each of these gets its turns, too."""

    async def scenario() -> tuple[list[int], list[int]]:
        loop = asyncio.get_running_loop()
        turns = PipelineTurns(loop)
        iteration = 0
        taken: list[tuple[int, int]] = []  # iteration, connection

        async def pipeline(connection: int) -> None:
            for _ in range(TURNS):
                await turns.wait()
                taken.append((iteration, connection))

        tasks = [loop.create_task(pipeline(number)) for number in range(CONNECTIONS)]
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0)
            iteration += 1
        by_iteration = [sum(at == each for at, _ in taken) for each in range(iteration + 1)]
        by_connection = [sum(number == each for _, number in taken) for each in range(CONNECTIONS)]
        return by_iteration, by_connection

    by_iteration, by_connection = run_coroutine(scenario())
    assert max(by_iteration) <= MAX_TURNS_PER_ITERATION
    assert by_connection == [TURNS] * CONNECTIONS


def test_closed_connection_leaves_its_turn_to_the_next():
    """A connection that is closed while it waits for its turn holds up none of the others."""

    async def scenario() -> None:
        turns = PipelineTurns(asyncio.get_running_loop())
        tasks = [asyncio.ensure_future(turns.wait()) for _ in range(3)]
        await asyncio.sleep(0)
        tasks[0].cancel()
        await asyncio.wait(tasks)
        assert [task.cancelled() for task in tasks] == [True, False, False]
        await turns.wait()

    run_coroutine(scenario())


def test_all_pipelined_requests_are_answered_in_order():
    """The allowed neighbour: hundreds of requests that come at once on one connection are all served, in their order."""

    async def scenario(harness: ProxyHarness) -> None:
        reader, writer = await harness.connect()
        head = (
            "GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: p{}\r\nX-Call-Class: safe\r\nX-Caller: acme\r\nX-Budget-Ms: 3000\r\n\r\n"
        )
        writer.write("".join(head.format(number) for number in range(300)).encode())
        for _ in range(300):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            assert await reader.readexactly(4) == b"done"
        writer.close()

    run_scenario(scenario, ProxyHarness({"b": response(), "c": response()}))
