"""A proxy whose parts a test can reach, and gates that hold it at a chosen await: orders are forced, never timed."""

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

POLL_SECONDS = 0.001  # between two looks at a condition
NEVER_SECONDS = 3600.0  # of what is not to come in a test


def has_peer_closed(sock: socket.socket) -> bool:
    """Whether the kernel knows that the other side has ended its sending."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


async def wait_until(condition: Callable[[], Any]) -> None:
    """Returns once the condition holds."""
    while not condition():
        await asyncio.sleep(POLL_SECONDS)


class Gate:
    """Holds whoever comes to it until it is opened; `held` says that somebody has come."""

    def __init__(self) -> None:
        self.reached = asyncio.Event()
        self.opened = asyncio.Event()

    async def wait_until_open(self) -> None:
        """Comes to the gate; returns once it is open."""
        self.reached.set()
        await self.opened.wait()


class RawClient:
    """A client on a plain socket, and the proxy's side of its connection."""

    def __init__(self, harness: "InstrumentedHarness", sock: socket.socket):
        self._harness = harness
        self._address = sock.getsockname()
        self.sock = sock

    def connection(self) -> ClientConnection | None:
        """The proxy's side, once it is admitted and until it is closed."""
        connections = self._harness.clients.connections
        return next((each for each in connections if each.sock.getpeername() == self._address), None)

    async def wait_for_connection(self, condition: Callable[[ClientConnection], Any]) -> ClientConnection:
        """The proxy's side once it is there and the condition holds of it."""
        while (connection := self.connection()) is None or not condition(connection):
            await asyncio.sleep(POLL_SECONDS)
        return connection

    async def send(self, data: bytes) -> None:
        """Sends that."""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def record_received(self, byte_count: int) -> None:
        """Records the first so many bytes of what comes next."""
        received = await asyncio.get_running_loop().sock_recv(self.sock, 999)
        self._harness.record(f"client gets: {received[:byte_count]!r}")

    async def disconnect(self, end: Callable[[socket.socket], Any] = socket.socket.close) -> ClientConnection:
        """Ends its connection, and the kernel knows; the proxy's side, which has not looked yet."""
        connection = self.connection()
        assert connection is not None
        end(self.sock)
        await wait_until(lambda: has_peer_closed(connection.sock))
        return connection

    def close(self) -> None:
        """Closes its socket."""
        self.sock.close()


class InstrumentedHarness(ProxyHarness):
    """A harness with the proxy's own parts: dispatcher, client server, connection pool, discovery client."""

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
        """The head of a request."""
        return (
            f"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: {request_id}\r\nX-Call-Class: {class_name}\r\nX-Caller: acme\r\n"
            f"X-Budget-Ms: {self.deadline_ms}\r\nContent-Length: {body_bytes}\r\n{headers}\r\n"
        ).encode()

    async def send_raw(self, data: bytes) -> RawClient:
        """A client that has sent this."""
        client = RawClient(self, socket.create_connection(("127.0.0.1", self.port)))
        client.sock.setblocking(False)
        await client.send(data)
        return client

    async def stop_proxy(self) -> None:
        """SIGTERM; returns once the proxy knows."""
        os.kill(os.getpid(), signal.SIGTERM)
        await wait_until(lambda: self.clients.lifecycle.is_stopping)

    @contextlib.contextmanager
    def before_first_byte(self) -> Iterator[Gate]:
        """A gate right before each first byte, where the proxy catches up with the list after a stall."""
        gate = Gate()

        def record_loop_iteration() -> asyncio.Future[Any] | None:
            gate.reached.set()
            return None if gate.opened.is_set() else asyncio.ensure_future(gate.opened.wait())

        with mock.patch.object(self.dispatcher, "record_loop_iteration", record_loop_iteration):
            yield gate

    def residual_state(self) -> str:
        """What may be left behind of a request, in the words of the golden files."""
        in_flight = {each.endpoint_id: each.own_in_flight for each in self.dispatcher.policy.table.by_id.values()}
        return (
            f"errands {len(self.dispatcher.requests)}, txns {len(self.dispatcher.policy.requests.by_id)}, open ids "
            f"{len(self.clients.open_requests)}, out {in_flight}"
        )


class QuietBackendsHarness(InstrumentedHarness):
    """Its backends record nothing: in which order they are asked is left to time."""

    def record(self, text: str) -> None:
        """One line, unless it is a backend's."""
        if not text.startswith("  "):
            super().record(text)
