"""Connections that the proxy ends while another event occurs. docs/race-conditions.md lists the two events of each test."""

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


def test_closed_during_inline_attempt(check_scenario: ScenarioChecker):
    """One client stops in the middle of its body and is closed by the sweeper while its own task runs the attempt; another is
    closed while a command for its request is pending. Both leave nothing behind."""

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
            await gate.reached.wait()  # the request is accepted, and its attempt is commanded
            connection = client.connection()
            connection.close()
            await asyncio.wait([connection.task])
        harness.record(f"with an order: {harness.residual_state()}")
        client.close()

    check_scenario(scenario, "closed_during_inline_attempt", InstrumentedHarness({"b": response()}))


def test_timeout_during_write(check_scenario: ScenarioChecker):
    """A partial request times out while 100 Continue is being written. The write is completed, and the rest is still read."""

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

    check_scenario(scenario, "timeout_during_write", InstrumentedHarness({"b": response()}))


async def receive_slowly(client_socket: socket.socket) -> bytes:
    """Return all bytes until the end of the stream, reading one piece per loop iteration."""
    loop = asyncio.get_running_loop()
    received = b""
    with contextlib.suppress(OSError):
        while data := await loop.sock_recv(client_socket, 4096):
            received += data
            await asyncio.sleep(0)
    return received


def test_response_is_complete_despite_unread_bytes(check_scenario: ScenarioChecker):
    """A client asks for the connection to be closed, sends more bytes after its request and reads slowly. Closing the socket with
    unread bytes would reset the connection, and the rest of the response would be lost."""

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

    check_scenario(scenario, "response_despite_unread_bytes", InstrumentedHarness({"b": response("x" * LONG_BODY_BYTES)}))


def test_partial_request_gets_408(check_scenario: ScenarioChecker):
    """A partial request whose descriptor is needed, or whose body stalls, gets a 408, because its last byte may be in transit. A
    request whose response has started gets no second one."""

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

    check_scenario(scenario, "partial_request_gets_408", InstrumentedHarness({"b": response()}))


def test_socket_error_on_accept(check_scenario: ScenarioChecker):
    """A socket fails while it is being accepted. Its descriptor is released, and the next connection is accepted."""

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

    check_scenario(scenario, "socket_error_on_accept", InstrumentedHarness({"b": response()}))


def test_timeout_as_last_byte_arrives(check_scenario: ScenarioChecker):
    """A partial request times out when its last byte has arrived but is unread. It gets a final reply and is not forwarded."""

    async def scenario(harness: InstrumentedHarness) -> None:
        client = await harness.send_raw(harness.request_head(body_bytes=4) + b"bod")
        connection = await client.wait_for_connection(
            lambda connection: connection.stream.message.body_bytes == 3 and connection.reader.is_reading
        )
        client.sock.send(b"y")
        select.select([connection.sock], [], [])  # the byte has arrived, and the loop cannot read it before the timeout
        connection.reader.time_out()
        await client.record_received(28)
        client.close()

    check_scenario(scenario, "timeout_as_last_byte_arrives", InstrumentedHarness({"b": response()}))
