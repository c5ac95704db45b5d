"""A client disconnects while its request waits, and nothing more is sent for it.

The periodic check for disconnected clients (every 10 ms) is disabled, so that the tests show the check right before the first
byte of an attempt. docs/race-conditions.md lists the two racing events of each test.
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
    """Run a test between two requests of other clients and record that it leaves nothing behind."""

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
    """Close a connection with a reset."""
    sockets.reset_on_close(sock)
    sock.close()


async def record_leave_before_first_byte(
    harness: InstrumentedHarness, behind: bytes | None, end: Callable[[socket.socket], Any] | None
) -> None:
    """Send one request and hold its attempt right before the first byte; the client sends `behind` and then calls `end`."""
    with harness.before_first_byte() as gate:
        client = await harness.send_raw(harness.request_head() + (behind or b""))
        await gate.reached.wait()
        connection = await client.disconnect(end) if end else client.connection()
        harness.record(f"-- behind it {behind!r}, then {'it leaves' if end else 'it stays'}")
        gate.opened.set()
        await wait_until(lambda: not harness.dispatcher.requests)
    client.close()
    await wait_until(lambda: connection not in harness.clients.connections)


def test_leaves_before_first_byte(play_leaving: ScenarioChecker):
    """An attempt is held right before its first byte, as after a stall. Its client closes the connection (also after sending one
    more byte or a partial request), resets it, shuts down its sending side, or stays."""

    async def scenario(harness: InstrumentedHarness) -> None:
        for behind, end in (
            (b"", socket.socket.close),
            (b"x", socket.socket.close),
            (harness.request_head("c9")[:30], socket.socket.close),
            (harness.request_head("c9"), reset),
            (b"", lambda sock: sock.shutdown(socket.SHUT_WR)),
            (None, None),
        ):
            await record_leave_before_first_byte(harness, behind, end)

    play_leaving(scenario, "client_leaves_before_first_byte")


def test_leaves_while_connecting(play_leaving: ScenarioChecker):
    """The client leaves while the connection to the backend is being established."""

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

    play_leaving(scenario, "client_leaves_while_connecting")


def test_leaves_while_shedding(play_leaving: ScenarioChecker):
    """The client leaves during load shedding, before its request is read: request and end of stream are read together."""

    async def scenario(harness: InstrumentedHarness) -> None:
        harness.dispatcher.overload.concurrency_limit = 0.0
        client = await harness.send_raw(harness.request_head() + b"x")
        await wait_until(lambda: harness.clients.admission_queue.waiting)
        connection = await client.disconnect()
        harness.dispatcher.overload.concurrency_limit = inf
        await wait_until(lambda: connection not in harness.clients.connections)

    play_leaving(scenario, "client_leaves_while_shedding")


def test_leaves_in_listen_backlog(play_leaving: ScenarioChecker):
    """The client leaves while it waits in the listen backlog, because no descriptor is free or another process was accepting."""

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
            other = await harness.connect()  # accepted after the one that has left
            await wait_until(lambda count=count: clients.connections and len(clients.connections) <= count + 1)
            await harness.request("safe", X_Call_Id="c1", connection=other)

    play_leaving(scenario, "client_leaves_in_listen_backlog")


def test_leaves_with_pipelined_request(play_leaving: ScenarioChecker):
    """The client sends two requests at once and leaves. After the first is abandoned, the second is not started."""
    release = asyncio.Event()

    async def scenario(harness: InstrumentedHarness) -> None:
        client = await harness.send_raw(harness.request_head("c1") + harness.request_head("c2"))
        await wait_until(lambda: harness.backends.requests_received == 2)
        connection = await client.disconnect()
        release.set()
        await wait_until(lambda: connection not in harness.clients.connections)

    play_leaving(
        scenario,
        "client_leaves_with_pipelined_request",
        InstrumentedHarness({"b": lambda number: release if number == 2 else response()}),
    )


def test_leaves_with_partial_body(play_leaving: ScenarioChecker):
    """The client leaves in the middle of a body whose streaming has not started. Not one byte is sent to the backend."""

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

    play_leaving(scenario, "client_leaves_with_partial_body")


class UnnamedBackendsHarness(InstrumentedHarness):
    """A harness that omits the names of backends: which one is chosen first depends on the measured latency."""

    def record(self, text: str) -> None:
        """Record one line without backend and connection numbers."""
        super().record(re.sub(r"backend \d, connection \d", "a backend", text))


def test_no_retry_after_client_left(play_leaving: ScenarioChecker):
    """The attempt ends without a usable response after the client has left. There is no retry."""
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

    play_leaving(scenario, "client_leaves_no_retry", UnnamedBackendsHarness({"b": script, "c": script}))


def test_request_id_is_refused_after_client_left(play_leaving: ScenarioChecker):
    """An id that comes again is refused while its first client is there, when it has left unnoticed, and when its attempt has
    ended: the request would run twice."""
    release = asyncio.Event()

    async def scenario(harness: InstrumentedHarness) -> None:
        client = await harness.send_raw(harness.request_head() + b"x")
        await wait_until(lambda: harness.backends.requests_received == 2)
        await harness.request("safe", X_Call_Id="c0")
        await client.disconnect()
        await harness.request("safe", X_Call_Id="c0")
        release.set()
        await wait_until(lambda: not harness.dispatcher.requests)
        await harness.request("safe", X_Call_Id="c0")

    harness = InstrumentedHarness({"b": lambda number: release if number == 2 else response()})
    harness.keeps_request_ids = True
    play_leaving(scenario, "client_leaves_request_id_repeated", harness)
