"""Proxy harness with access to the proxy's parts, and gates that pause it at a chosen await.

Gates force the order of events, so that no test depends on timing.
"""

import asyncio
import contextlib
import os
import select
import signal
import socket
from collections.abc import Callable, Iterator
from typing import Any, Self
from unittest import mock

from sloeferry.lifecycle.proxy_process import ProxyProcess
from sloeferry.network.client_connection import ClientConnection
from tests.support.proxy_harness import ProxyHarness

POLL_INTERVAL_SECONDS = 0.001  # interval between checks of a condition
NEVER_SECONDS = 3600.0  # interval that does not end within a test


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the kernel has received the peer's end of stream."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


async def wait_until(condition: Callable[[], Any]) -> None:
    """Wait until the condition holds."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


class Gate:
    """Blocks tasks until it is opened; `reached` is set once a task waits at it."""

    def __init__(self) -> None:
        self.reached = asyncio.Event()
        self.opened = asyncio.Event()

    async def wait_until_open(self) -> None:
        """Set `reached` and wait until the gate is opened."""
        self.reached.set()
        await self.opened.wait()


class RawClient:
    """Client on a plain socket, with access to the proxy's side of its connection."""

    def __init__(self, harness: "InstrumentedHarness", sock: socket.socket):
        self._harness = harness
        self._address = sock.getsockname()
        self.sock = sock

    def connection(self) -> ClientConnection | None:
        """Return the proxy's side of the connection; None before it is accepted and after it is closed."""
        connections = self._harness.clients.connections
        return next((each for each in connections if each.sock.getpeername() == self._address), None)

    async def wait_for_connection(self, condition: Callable[[ClientConnection], Any]) -> ClientConnection:
        """Wait until the proxy's side exists and the condition holds for it, and return it."""
        while (connection := self.connection()) is None or not condition(connection):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return connection

    async def send(self, data: bytes) -> None:
        """Send the data."""
        await asyncio.get_running_loop().sock_sendall(self.sock, self._harness.with_new_ids(data))

    async def record_received(self, byte_count: int) -> None:
        """Record the first `byte_count` bytes of the next data received."""
        received = await asyncio.get_running_loop().sock_recv(self.sock, 999)
        self._harness.record(f"client gets: {received[:byte_count]!r}")

    async def disconnect(self, end: Callable[[socket.socket], Any] = socket.socket.close) -> ClientConnection:
        """Close the connection and wait until the kernel knows.

        Return the proxy's side, whose task has not noticed yet.
        """
        connection = self.connection()
        assert connection is not None
        end(self.sock)
        await wait_until(lambda: has_peer_closed(connection.sock))
        return connection

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


class InstrumentedHarness(ProxyHarness):
    """Harness with access to the proxy's dispatcher, client server, connection pool and discovery client."""

    async def __aenter__(self) -> Self:
        def build(*arguments: Any) -> ProxyProcess:
            process = ProxyProcess(*arguments)
            self.dispatcher = process.dispatcher
            self.clients = process.clients
            self.pool = process.pool
            self.discovery_client = process.discovery
            return process

        with mock.patch("sloeferry.lifecycle.proxy_process.ProxyProcess", build):
            return await super().__aenter__()

    def request_head(self, request_id: str = "c0", class_name: str = "safe", headers: str = "", body_bytes: int = 0) -> bytes:
        """Return the head of a request."""
        return (
            f"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: {request_id}\r\nX-Call-Class: {class_name}\r\nX-Caller: acme\r\n"
            f"X-Budget-Ms: {self.deadline_ms}\r\nContent-Length: {body_bytes}\r\n{headers}\r\n"
        ).encode()

    async def send_raw(self, data: bytes) -> RawClient:
        """Connect a client, send the data and return the client."""
        client = RawClient(self, socket.create_connection(("127.0.0.1", self.port)))
        client.sock.setblocking(False)
        await client.send(data)
        return client

    async def stop_proxy(self) -> None:
        """Send SIGTERM and wait until the proxy is stopping."""
        os.kill(os.getpid(), signal.SIGTERM)
        await wait_until(lambda: self.clients.lifecycle.is_stopping)

    @contextlib.contextmanager
    def before_first_byte(self) -> Iterator[Gate]:
        """Return a context manager for a gate before each attempt's first byte.

        At this point the proxy catches up with the endpoint list after a stall of its event loop.
        """
        gate = Gate()

        def record_loop_iteration() -> asyncio.Future[Any] | None:
            gate.reached.set()
            return None if gate.opened.is_set() else asyncio.ensure_future(gate.opened.wait())

        with mock.patch.object(self.dispatcher, "record_loop_iteration", record_loop_iteration):
            yield gate

    def residual_state(self) -> str:
        """Return the counts of open requests and attempts, in the words of the golden files."""
        in_flight = {each.endpoint_id: each.own_in_flight for each in self.dispatcher.policy.table.by_id.values()}
        return (
            f"errands {len(self.dispatcher.requests)}, txns {len(self.dispatcher.policy.requests.by_id)}, open ids "
            f"{len(self.clients.open_requests)}, out {in_flight}"
        )


class QuietBackendsHarness(InstrumentedHarness):
    """Harness whose backends record nothing, because the order of their requests depends on timing."""

    def record(self, text: str) -> None:
        """Record a line unless it comes from a backend."""
        if not text.startswith("  "):
            super().record(text)
