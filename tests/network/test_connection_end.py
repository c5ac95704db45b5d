"""Connections that end from the proxy's side as another event comes.  docs/race-conditions.md names the two of each test."""

import asyncio
import contextlib
import errno
import select
import socket
from typing import Any
from unittest import mock

from sloeferry.network.client_connection import ClientConnection
from sloeferry.network.request_runner import RequestRunner
from tests.support.fake_backends import response
from tests.support.instrumented_harness import Gate, InstrumentedHarness, wait_until
from tests.support.proxy_harness import ScenarioChecker

LONG_BODY_BYTES = 900_000


def test_ended_while_its_task_sends(check_scenario: ScenarioChecker):
    """A client gives no more of its body and is ended by the sweep, while its own task carries the attempt; another is ended with
    a command that nobody has begun.  Nothing of either is left behind."""

    async def scenario(harness: InstrumentedHarness) -> None:
        with mock.patch("sloeferry.network.connection_sweeper.READ_TIMEOUT_SECONDS", 0.1):
            client = await harness.send_raw(harness.request_head(body_bytes=200000) + b"x" * 100000)
            swept = await client.wait_for_connection(lambda connection: connection.reader.receiving_body_since)
            await wait_until(lambda: swept not in harness.clients.connections)
        await wait_until(lambda: not harness.dispatcher.requests)
        harness.record(f"in its body: {harness.residual_state()}")
        client.close()
        gate = Gate()
        with mock.patch.object(RequestRunner, "run", lambda *_: gate.wait_until_open()):
            client = await harness.send_raw(harness.request_head())
            await gate.reached.wait()  # taken, and its attempt commanded
            connection = client.connection()
            connection.close()
            await asyncio.wait([connection.task])
        harness.record(f"with an order: {harness.residual_state()}")
        client.close()

    check_scenario(scenario, "crossing_ended", InstrumentedHarness({"b": response()}))


def test_timed_out_while_it_writes(check_scenario: ScenarioChecker):
    """Half a request's time is over just as 100 Continue is written.  That is not broken off, and the rest of it counts."""

    async def scenario(harness: InstrumentedHarness) -> None:
        gate = Gate()
        send = ClientConnection.send

        async def send_behind_gate(connection: ClientConnection, data: bytes) -> None:
            if b"100" in data:
                await gate.wait_until_open()
            await send(connection, data)

        with mock.patch.object(ClientConnection, "send", send_behind_gate):
            client = await harness.send_raw(harness.request_head(headers="Expect: 100-continue\r\n", body_bytes=4))
            await gate.reached.wait()
            client.connection().reader.time_out()
            gate.opened.set()
            await client.record_received(999)
            with contextlib.suppress(OSError):
                await client.send(b"body")
            await client.record_received(15)
            client.close()

    check_scenario(scenario, "crossing_hurried", InstrumentedHarness({"b": response()}))


async def receive_slowly(client_socket: socket.socket) -> bytes:
    """What comes until the end, with a turn of the loop between two pieces."""
    loop = asyncio.get_running_loop()
    received = b""
    with contextlib.suppress(OSError):
        while data := await loop.sock_recv(client_socket, 4096):
            received += data
            await asyncio.sleep(0)
    return received


def test_response_over_unread_bytes(check_scenario: ScenarioChecker):
    """A client that wants its connection closed sent more behind its request, and reads slowly.  Closed over what is unread the
    connection would be reset, and the rest of the response lost."""

    async def scenario(harness: InstrumentedHarness) -> None:
        gate = Gate()
        send = ClientConnection.send

        async def send_behind_gate(connection: ClientConnection, data: bytes) -> None:
            await gate.wait_until_open()
            await send(connection, data)

        with mock.patch.object(ClientConnection, "send", send_behind_gate):
            client = await harness.send_raw(harness.request_head(headers="Connection: close\r\n"))
            await gate.reached.wait()
            connection = client.connection()
            await client.send(b"more")
            gate.opened.set()
            await wait_until(lambda: connection.is_closed or harness.clients.lingering_close_count)
        received = await receive_slowly(client.sock)
        client.close()
        harness.record(f"client gets all: {received.endswith(b'x' * LONG_BODY_BYTES)}")

    check_scenario(scenario, "crossing_unread", InstrumentedHarness({"b": response("x" * LONG_BODY_BYTES)}))


def test_half_a_request_is_rejected(check_scenario: ScenarioChecker):
    """Half a request, and its descriptor is needed, or the rest of its body stays out.  It is told so, since its last byte may be
    on its way.  What has its response under way is not told another."""

    async def scenario(harness: InstrumentedHarness) -> None:
        budget = harness.clients.budget
        await wait_until(lambda: not harness.clients.connections)
        budget.limit = 1
        with mock.patch("sloeferry.network.descriptor_budget.DescriptorBudget.MIN_PARTIAL_SECONDS", 0.0):
            client = await harness.send_raw(harness.request_head("c1", body_bytes=4) + b"bo")
            await client.wait_for_connection(lambda connection: connection in budget.partial)
            await harness.request("safe", X_Call_Id="c2")
            await client.record_received(28)
            client.close()
        budget.limit = 9
        with mock.patch("sloeferry.network.connection_sweeper.READ_TIMEOUT_SECONDS", 0.1):
            client = await harness.send_raw(harness.request_head("c3", body_bytes=200000) + b"x" * 100000)
            await client.record_received(28)
        client.close()

    check_scenario(scenario, "crossing_turned_out", InstrumentedHarness({"b": response()}))


def test_broken_as_it_is_accepted(check_scenario: ScenarioChecker):
    """A socket breaks as it is accepted.  Its descriptor is free again, and the next one is admitted."""

    async def scenario(harness: InstrumentedHarness) -> None:
        await wait_until(lambda: not harness.clients.connections)
        set_option = socket.socket.setsockopt
        broken: list[socket.socket] = []

        def setsockopt(sock: socket.socket, *arguments: Any) -> None:
            if not broken and sock.getsockname()[1] == harness.port:
                broken.append(sock)
                raise OSError(errno.EINVAL, "Invalid argument")
            set_option(sock, *arguments)

        with mock.patch.object(socket.socket, "setsockopt", setsockopt):
            sock = socket.create_connection(("127.0.0.1", harness.port))
            await wait_until(lambda: broken)
            await harness.request("safe")
        sock.close()
        _, writer = harness.client_connections[-1]
        writer.close()
        await wait_until(lambda: not harness.clients.connections)
        harness.record(f"seats taken: {harness.clients.budget.in_use}")

    check_scenario(scenario, "crossing_let_in", InstrumentedHarness({"b": response()}))


def test_timed_out_as_its_last_byte_comes(check_scenario: ScenarioChecker):
    """Half a request's time is over, and its last byte is there.  There is a final answer, and nothing was forwarded."""

    async def scenario(harness: InstrumentedHarness) -> None:
        client = await harness.send_raw(harness.request_head(body_bytes=4) + b"bod")
        connection = await client.wait_for_connection(
            lambda connection: connection.stream.message.body_bytes == 3 and connection.reader.is_reading
        )
        client.sock.send(b"y")
        select.select([connection.sock], [], [])  # it is there, and not read: not one turn of the loop in between
        connection.reader.time_out()
        await client.record_received(28)
        client.close()

    check_scenario(scenario, "crossing_last_byte", InstrumentedHarness({"b": response()}))
