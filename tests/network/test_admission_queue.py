"""The admission queue: connections whose request waits unread during load shedding."""

import asyncio
import contextlib
import socket
import types
from collections.abc import Iterator
from unittest import mock

from sloeferry.network.admission_queue import AdmissionQueue
from sloeferry.network.buffers import BufferPool
from tests.support.golden import GoldenFiles
from tests.support.proxy_harness import run_coroutine

NEVER_MS = 1e9


class FakeController:
    """An overload controller whose answers are set by the test."""

    def __init__(self) -> None:
        self.is_open = False
        self.slots = 0
        self.queue_timeout_ms = 0.0
        self.max_queue_wait_ms = NEVER_MS
        self.has_budget = True

    def is_shedding(self) -> bool:
        """Return whether load is shed."""
        return not self.is_open

    def available_slots(self) -> int:
        """Return how many requests may be admitted."""
        return self.slots

    def take_rejection_token(self, now: float) -> bool:
        """Return whether the rejection budget allows another rejection."""
        return self.has_budget

    def record_queue_length(self, count: int) -> None:
        """Ignore the queue length."""


class FakeConnection:
    """A client connection that records in `calls` what the queue does with it."""

    def __init__(self, name: str, calls: list[str]):
        self.name = name
        self.is_in_queue_epoll = False
        self.waiting_since = 0.0
        self.is_new = True
        self.reader = types.SimpleNamespace(retry_after_if_rejected_ms=5.0, reject_unparsed=self._reject_unparsed)
        self.own_end, self.client_end = socket.socketpair()
        self.own_end.setblocking(False)
        self._calls = calls
        self.sock = types.SimpleNamespace(fileno=self.own_end.fileno, recv_into=self._receive, send=self._send)
        self.stream = types.SimpleNamespace(feed=lambda buffer, byte_count: calls.append(f"{name} is parsed"))

    def _receive(self, buffer: bytearray) -> int:
        self._calls.append("read")
        return self.own_end.recv_into(buffer)

    def _send(self, data: bytes) -> int:
        self._calls.append("write")
        return self.own_end.send(data)

    def _reject_unparsed(self, buffer: bytearray, byte_count: int, has_waited: bool) -> bool:
        """Return whether the bytes are a plain request that can be rejected unparsed."""
        return has_waited and bytes(buffer[:byte_count]).startswith(b"plain")

    def close(self) -> None:
        """Close both ends."""
        self.own_end.close()
        self.client_end.close()


class QueueScenario:
    """A queue with six connections, a to f; records one line for each poll of the queue."""

    def __init__(self, lines: list[str]):
        self._lines = lines
        self._calls: list[str] = []
        self.controller = FakeController()
        self.queue = AdmissionQueue(asyncio.get_running_loop(), self.controller, BufferPool())
        self.connections = [FakeConnection(name, self._calls) for name in "abcdef"]
        self._admitted = {connection.name: self.queue.park(connection) for connection in self.connections}
        self.queue._timer.cancel()

    def poll(self, event: str) -> None:
        """Let the queue poll its connections and record the result."""
        self.queue._poll()
        if self.queue._timer:
            self.queue._timer.cancel()
        admitted = "".join(sorted(name for name, future in self._admitted.items() if future.done()))
        self._lines.append(f"{event}: gone on {admitted or '-'}; {', '.join(self._calls) or 'no call'}")
        self._calls.clear()

    def close(self) -> None:
        """Close all sockets."""
        for connection in self.connections:
            connection.close()
        self.queue._epoll.close()


@contextlib.contextmanager
def plain_retry_after() -> Iterator[None]:
    """Write the delay of a rejection into its Retry-After header without conversion."""

    def retry_after_headers(delay_ms: float) -> list[tuple[bytes, bytes]]:
        return [(b"Retry-After", b"%d" % delay_ms)]

    with mock.patch("sloeferry.network.client_replies.retry_after_headers", retry_after_headers):
        yield


def test_newest_request_is_admitted_first(golden: GoldenFiles):
    """Connections with a request are admitted as long as there is room, the newest first. Requests that have waited too long
    are rejected with one read and one write each; a request that is not plain is admitted and parsed."""
    lines: list[str] = []

    async def scenario() -> None:
        queue_scenario = QueueScenario(lines)
        controller = queue_scenario.controller
        by_name = {connection.name: connection for connection in queue_scenario.connections}
        controller.queue_timeout_ms = NEVER_MS
        for connection in queue_scenario.connections[:3]:
            connection.client_end.send(b"plain")
            queue_scenario.poll(f"{connection.name} asks, no room")
        controller.slots = 1
        queue_scenario.poll("room for one")
        controller.slots = 0
        controller.queue_timeout_ms = -1.0
        queue_scenario.poll("the others have waited for too long")
        lines.append(f"b has {by_name['b'].client_end.recv(99)!r}")
        by_name["d"].client_end.send(b"odd")
        queue_scenario.poll("d asks for something odd")
        queue_scenario.queue.remove(by_name["e"])
        by_name["b"].client_end.send(b"plain")
        queue_scenario.poll("e has gone, b asks again")
        controller.has_budget = False
        by_name["a"].client_end.send(b"plain")
        queue_scenario.poll("a asks again, nothing left to turn it away with")
        controller.max_queue_wait_ms = -1.0
        queue_scenario.poll("its time is nearly over")
        controller.is_open = True
        queue_scenario.poll("the door is open")
        queue_scenario.close()

    with plain_retry_after():
        run_coroutine(scenario())
    golden.check(lines, "admission_queue")
