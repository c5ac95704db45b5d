"""Connections whose request waits unread while load is shed."""

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

ENDLESS_MS = 1e9


class FakeController:
    """An overload controller whose answers the test sets."""

    def __init__(self) -> None:
        self.is_open = False
        self.places = 0
        self.queue_timeout_ms = 0.0
        self.max_queue_wait_ms = ENDLESS_MS
        self.has_budget = True

    def is_shedding(self) -> bool:
        """Whether load is shed."""
        return not self.is_open

    def available_slots(self) -> int:
        """How many may go on."""
        return self.places

    def take_rejection_token(self, now: float) -> bool:
        """Whether there is time left to reject one."""
        return self.has_budget

    def record_queue_length(self, count: int) -> None:
        """So many wait."""


class FakeConnection:
    """A client's connection; what the queue does with it is noted in `calls`."""

    def __init__(self, name: str, calls: list[str]):
        self.name = name
        self.is_in_queue_epoll = False
        self.waiting_since = 0.0
        self.is_new = True
        self.reader = types.SimpleNamespace(rejection_delay_ms=5.0, reject_unparsed=self._reject_unparsed)
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
        """Whether it is a plain request that can be rejected unparsed."""
        return has_waited and bytes(buffer[:byte_count]).startswith(b"plain")

    def close(self) -> None:
        """Closes both ends."""
        self.own_end.close()
        self.client_end.close()


class QueuePlay:
    """A queue with six connections a to f; one line for each look of the queue."""

    def __init__(self, lines: list[str]):
        self._lines = lines
        self._calls: list[str] = []
        self.controller = FakeController()
        self.queue = AdmissionQueue(asyncio.get_running_loop(), self.controller, BufferPool())
        self.connections = [FakeConnection(name, self._calls) for name in "abcdef"]
        self._admitted = {connection.name: self.queue.park(connection) for connection in self.connections}
        self.queue._timer.cancel()

    def look(self, event: str) -> None:
        """The queue looks at its connections."""
        self.queue._poll()
        if self.queue._timer:
            self.queue._timer.cancel()
        admitted = "".join(sorted(name for name, future in self._admitted.items() if future.done()))
        self._lines.append(f"{event}: gone on {admitted or '-'}; {', '.join(self._calls) or 'no call'}")
        self._calls.clear()

    def close(self) -> None:
        """Closes all sockets."""
        for connection in self.connections:
            connection.close()
        self.queue._epoll.close()


@contextlib.contextmanager
def delay_as_header() -> Iterator[None]:
    """A rejection names its delay as it is."""

    def retry_after_headers(delay_ms: float) -> list[tuple[bytes, bytes]]:
        return [(b"Retry-After", b"%d" % delay_ms)]

    with mock.patch("sloeferry.network.client_replies.retry_after_headers", retry_after_headers):
        yield


def test_newest_first(golden: GoldenFiles):
    """Connections with a request go on, the newest first, as far as there is room.  What has waited for too long is rejected,
    each with one read and one write; what is no plain request goes on and is read as ever."""
    lines: list[str] = []

    async def story() -> None:
        play = QueuePlay(lines)
        controller = play.controller
        by_name = {connection.name: connection for connection in play.connections}
        controller.queue_timeout_ms = ENDLESS_MS
        for connection in play.connections[:3]:
            connection.client_end.send(b"plain")
            play.look(f"{connection.name} asks, no room")
        controller.places = 1
        play.look("room for one")
        controller.places = 0
        controller.queue_timeout_ms = -1.0
        play.look("the others have waited for too long")
        lines.append(f"b has {by_name['b'].client_end.recv(99)!r}")
        by_name["d"].client_end.send(b"odd")
        play.look("d asks for something odd")
        play.queue.remove(by_name["e"])
        by_name["b"].client_end.send(b"plain")
        play.look("e has gone, b asks again")
        controller.has_budget = False
        by_name["a"].client_end.send(b"plain")
        play.look("a asks again, nothing left to turn it away with")
        controller.max_queue_wait_ms = -1.0
        play.look("its time is nearly over")
        controller.is_open = True
        play.look("the door is open")
        play.close()

    with delay_as_header():
        run_coroutine(story())
    golden.check(lines, "lobby")
