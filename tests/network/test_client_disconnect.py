"""A client leaves while its request waits, and nothing is sent for it any more.

The look for clients that left, which comes every 10 ms, is put off for good: what is shown is what is known right before the
first byte.  docs/race-conditions.md names the two events of each test.
"""

import asyncio
import re
import socket
from collections.abc import Callable
from math import inf
from typing import Any
from unittest import mock

import pytest

from sloeferry.network import sockets
from sloeferry.network.backend_connection import BackendConnection
from tests.support.fake_backends import response
from tests.support.instrumented_harness import NEVER_SECONDS, Gate, InstrumentedHarness, wait_until
from tests.support.proxy_harness import Scenario, ScenarioChecker


@pytest.fixture
def play_leaving(check_scenario: ScenarioChecker) -> ScenarioChecker:
    """Plays a scenario between two requests of other clients; nothing of it is left behind."""

    def play(scenario: Scenario, name: str, *harnesses: InstrumentedHarness) -> None:
        async def surrounded(harness: InstrumentedHarness) -> None:
            await harness.request("safe", X_Call_Id="before")
            await scenario(harness)
            await harness.request("safe", X_Call_Id="after")
            await wait_until(lambda: not harness.dispatcher.requests)
            harness.record(harness.residual_state())

        with mock.patch("sloeferry.network.stall_accounting.LOOP_CHECK_INTERVAL_SECONDS", NEVER_SECONDS):
            check_scenario(surrounded, name, *(harnesses or [InstrumentedHarness({"b": response()})]))

    return play


def reset(sock: socket.socket) -> None:
    """Closes a connection with a reset."""
    sockets.reset_on_close(sock)
    sock.close()


async def leave_before_first_byte(
    harness: InstrumentedHarness, behind: bytes | None, end: Callable[[socket.socket], Any] | None
) -> None:
    """One request that is held right before its first byte, more bytes behind it, while its client ends its connection."""
    with harness.before_first_byte() as gate:
        client = await harness.send_raw(harness.request_head() + (behind or b""))
        await gate.reached.wait()
        connection = await client.disconnect(end) if end else client.connection()
        harness.record(f"-- behind it {behind!r}, then {'it leaves' if end else 'it stays'}")
        gate.opened.set()
        await wait_until(lambda: not harness.dispatcher.requests)
    client.close()
    await wait_until(lambda: connection not in harness.clients.connections)


def test_before_the_first_byte(play_leaving: ScenarioChecker):
    """An attempt is held right before its first byte, as after a stall.  Its client closes, closes behind a further byte or half
    a request, resets, only ends its sending, or stays."""

    async def scenario(harness: InstrumentedHarness) -> None:
        for behind, end in (
            (b"", socket.socket.close),
            (b"x", socket.socket.close),
            (harness.request_head("c9")[:30], socket.socket.close),
            (harness.request_head("c9"), reset),
            (b"", lambda sock: sock.shutdown(socket.SHUT_WR)),
            (None, None),
        ):
            await leave_before_first_byte(harness, behind, end)

    play_leaving(scenario, "crossing_first_byte")


def test_while_connecting(play_leaving: ScenarioChecker):
    """The client leaves while the connection to the backend comes up."""

    async def scenario(harness: InstrumentedHarness) -> None:
        gate = Gate()
        connect = sockets.connect

        async def connect_behind_gate(*arguments: Any) -> socket.socket | None:
            await gate.wait_until_open()
            return await connect(*arguments)

        for backend_connection in list(harness.pool.idle["b"]):
            backend_connection.close()
        with mock.patch("sloeferry.network.sockets.connect", connect_behind_gate):
            client = await harness.send_raw(harness.request_head() + b"x")
            await gate.reached.wait()
            await client.disconnect()
            gate.opened.set()
            await wait_until(lambda: not harness.dispatcher.requests)

    play_leaving(scenario, "crossing_dial")


def test_while_shedding(play_leaving: ScenarioChecker):
    """The client leaves unread, while load is shed.  With what it sent comes its end."""

    async def scenario(harness: InstrumentedHarness) -> None:
        harness.dispatcher.overload.concurrency_limit = 0.0
        client = await harness.send_raw(harness.request_head() + b"x")
        await wait_until(lambda: harness.clients.admission_queue.waiting)
        connection = await client.disconnect()
        harness.dispatcher.overload.concurrency_limit = inf
        await wait_until(lambda: connection not in harness.clients.connections)

    play_leaving(scenario, "crossing_door")


def test_behind_the_listener(play_leaving: ScenarioChecker):
    """The client leaves while it waits behind the listener: no descriptor is free, or another process admits clients and ends."""

    async def scenario(harness: InstrumentedHarness) -> None:
        clients = harness.clients
        for cause, is_full in (("no seat", True), ("another process's turn", False)):
            limit = clients.budget.limit
            if is_full:
                clients.budget.limit = 0
            else:
                clients.listener.pause()
            client = await harness.send_raw(harness.request_head() + b"x")
            client.close()
            harness.record(f"-- {cause}")
            count = len(clients.connections)
            clients.budget.limit = limit
            if not is_full:
                clients.listener.open()
            other = await harness.connect()  # admitted behind the one that has left
            await wait_until(lambda count=count: clients.connections and len(clients.connections) <= count + 1)
            await harness.request("safe", X_Call_Id="c1", connection=other)

    play_leaving(scenario, "crossing_listener")


def test_pipelined_request(play_leaving: ScenarioChecker):
    """Two requests come in one go, then the end.  The second is not begun once the first is given up."""
    release = asyncio.Event()

    async def scenario(harness: InstrumentedHarness) -> None:
        client = await harness.send_raw(harness.request_head("c1") + harness.request_head("c2"))
        await wait_until(lambda: harness.backends.requests_received == 2)
        connection = await client.disconnect()
        release.set()
        await wait_until(lambda: connection not in harness.clients.connections)

    play_leaving(scenario, "crossing_ahead", InstrumentedHarness({"b": lambda number: release if number == 2 else response()}))


def test_half_a_body(play_leaving: ScenarioChecker):
    """A streamed body is not begun yet, and its client leaves half way.  Not one byte goes out."""

    async def scenario(harness: InstrumentedHarness) -> None:
        finished: list[bool] = []

        def finish(connection: BackendConnection, keep_alive: bool) -> None:
            finished.append(keep_alive)
            connection.close()

        with harness.before_first_byte() as gate:
            client = await harness.send_raw(harness.request_head(body_bytes=200000) + b"x" * 100000)
            await gate.reached.wait()
            await client.disconnect()
            with mock.patch.object(BackendConnection, "finish", finish):
                gate.opened.set()
                await wait_until(lambda: not harness.dispatcher.requests)
            harness.record(f"a connection untouched: {finished}")

    play_leaving(scenario, "crossing_body")


class UnnamedBackendsHarness(InstrumentedHarness):
    """Which of two backends is asked first is left to how long the first response took: they go unnamed."""

    def record(self, text: str) -> None:
        """One line."""
        super().record(re.sub(r"backend \d, connection \d", "a backend", text))


def test_no_retry(play_leaving: ScenarioChecker):
    """The attempt ends without a response after the client has left.  There is no retry."""
    release = asyncio.Event()

    async def scenario(harness: InstrumentedHarness) -> None:
        harness.backends.late_response = response("no", 500)
        client = await harness.send_raw(harness.request_head() + b"x")
        await wait_until(lambda: harness.backends.requests_received == 2)
        await client.disconnect()
        release.set()
        await wait_until(lambda: not harness.dispatcher.requests)

    def script(number: int) -> bytes | asyncio.Event:
        return release if number == 2 else response()

    play_leaving(scenario, "crossing_further", UnnamedBackendsHarness({"b": script, "c": script}))


def test_same_id_again(play_leaving: ScenarioChecker):
    """A client leaves unnoticed and comes again under the id that it left.  One that is there still keeps its id."""
    release = asyncio.Event()

    async def scenario(harness: InstrumentedHarness) -> None:
        client = await harness.send_raw(harness.request_head() + b"x")
        await wait_until(lambda: harness.backends.requests_received == 2)
        await harness.request("safe", X_Call_Id="c0")
        await client.disconnect()
        await harness.request("safe", X_Call_Id="c0")
        release.set()

    play_leaving(scenario, "crossing_same_id", InstrumentedHarness({"b": lambda number: release if number == 2 else response()}))
