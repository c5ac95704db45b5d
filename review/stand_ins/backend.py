"""A backend: answers requests and probes as the protocol page has it, behind a link with a delay."""

import asyncio
import json
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from review.stand_ins.testbed import HOST, Testbed

QUEUE_PER_CORE = 27  # requests that wait for a core at most; a backend turns away what comes beyond


@dataclass(slots=True)
class Request:
    """One request as the backend got it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def call_id(self) -> str:
        """Return the id that the client chose, or "" for a probe."""
        return self.headers.get("x-call-id", "")


@dataclass
class Backend:
    """The common part of all connections of one backend."""

    name: str
    bed: Testbed
    work_seconds: Callable[[Request], float]
    probe_seconds: Callable[[], float] = lambda: 0.0
    link_seconds: float = 0.0  # each way
    connection_class: type["Connection"] | None = None
    cores: int = 3
    in_flight: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)  # requests that wait for a core
    runs: list[tuple[float, str]] = field(default_factory=list)  # time and id of each request that has run
    probes: int = 0
    address: tuple[str, int] = (HOST, 0)

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        made = self.connection_class or Connection
        self._server = await loop.create_server(lambda: made(self), HOST, 0)
        self.address = self._server.sockets[0].getsockname()

    def load_report(self) -> str:
        """Return the load report."""
        util = min(1.0, (self.in_flight - len(self.queue)) / self.cores)
        return json.dumps({"inflight": self.in_flight, "queue": len(self.queue), "util": round(util, 2)})

    def has_room(self) -> bool:
        """Return whether one more request may come."""
        return len(self.queue) < QUEUE_PER_CORE * self.cores

    def take_on(self, run: Callable[[], None]) -> None:
        """Run a request at once if a core is free, else when one is."""
        self.in_flight += 1
        if self.in_flight > self.cores:
            self.queue.append(run)
        else:
            run()

    def has_run(self, call_id: str) -> None:
        """Record a request that has run, and begin the next."""
        self.in_flight -= 1
        self.runs.append((time.monotonic(), call_id))
        self.bed.note(f"{self.name} ran {call_id}")
        if self.queue:
            self.queue.popleft()()


class Connection(asyncio.Protocol):
    """One connection, which carries one request at a time."""

    def __init__(self, backend: Backend):
        self.backend = backend
        self.loop = asyncio.get_running_loop()
        self._buffer = b""
        self._request: Request | None = None
        self._length = 0
        self._arriving: deque[bytes] = deque()  # on the link, in order
        self._leaving: deque[bytes] = deque()
        self.first_byte_at = 0.0  # of the request that came last
        self.waiting = 0  # requests read and not answered

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Take in bytes once they have crossed the link."""
        if self.backend.link_seconds:
            self._arriving.append(data)
            self.loop.call_later(self.backend.link_seconds, lambda: self._feed(self._arriving.popleft()))
        else:
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        if self.has_nothing_waiting():
            self.first_byte_at = time.monotonic()
        self._buffer += data
        while True:
            if self._request is None:
                head, found, rest = self._buffer.partition(b"\r\n\r\n")
                if not found:
                    return
                self._buffer = rest
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ")
                pairs = (line.partition(":") for line in lines)
                self._request = Request(method, target, {name.lower(): value.strip() for name, _, value in pairs})
                self._length = int(self._request.headers.get("content-length", 0))
            if len(self._buffer) < self._length:
                return
            request, self._request = self._request, None
            request.body, self._buffer = self._buffer[: self._length], self._buffer[self._length :]
            self.waiting += 1
            self.begin(request)

    def begin(self, request: Request) -> None:
        """Begin a request whose last byte has come."""
        backend = self.backend
        if not request.call_id:
            backend.probes += 1
            self.loop.call_later(backend.probe_seconds(), self._answer_probe, request)
            return
        if not backend.has_room():
            self.answer(request, b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
            return
        backend.take_on(lambda: self.run(request))

    def run(self, request: Request) -> None:
        """Run a request."""
        self.loop.call_later(self.backend.work_seconds(request), self._complete, request)

    def _complete(self, request: Request) -> None:
        self.backend.has_run(request.call_id)
        self.complete(request)

    def complete(self, request: Request) -> None:
        """Answer a request that has run."""
        self.answer(request, response(self.body_for(request), self.backend.load_report()))

    def body_for(self, request: Request) -> bytes:
        """Return the body of the answer, which no other request gets."""
        return f"answer to {request.call_id} by {self.backend.name}\n".encode()

    def _answer_probe(self, request: Request) -> None:
        if request.target == "/status/load":
            self.answer(request, response(self.backend.load_report().encode()))
        elif request.target == "/health":
            self.answer(request, response(b""))
        else:
            self.answer(request, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")

    def answer(self, request: Request, data: bytes) -> None:
        """Send a whole answer."""
        self.waiting -= 1
        self.send(data)

    def send(self, data: bytes) -> None:
        """Send bytes, which arrive once they have crossed the link."""
        if self.backend.link_seconds:
            self._leaving.append(data)
            self.loop.call_later(self.backend.link_seconds, lambda: self._write(self._leaving.popleft()))
        else:
            self._write(data)

    def has_nothing_waiting(self) -> bool:
        """Return whether no request, whole or begun, waits on this connection."""
        return not self.waiting and self._request is None and not self._buffer

    def _write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


def response(body: bytes, load_report: str = "") -> bytes:
    """Return an answer 200."""
    report = f"X-Load-Report: {load_report}\r\n" if load_report else ""
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{report}\r\n".encode() + body
