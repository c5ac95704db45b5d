"""The admin server for operators: HTTP/1.1, one request per connection, answered at once even under overload.

Its descriptors are reserved, separate from those of clients and backends, and limit its connections.  When all are in use, the
oldest connection that has sent nothing is closed to accept the next one, so that idle connections cannot block it.
"""

import asyncio
import json
import socket
from collections.abc import Callable
from typing import Any

from sloeferry import environment
from sloeferry.config.instance import Address
from sloeferry.lifecycle.state import Lifecycle
from sloeferry.network import client_replies
from sloeferry.network.buffers import BufferPool
from sloeferry.network.http1 import writer
from sloeferry.network.http1.framing import MAX_HEAD_BYTES
from sloeferry.network.http1.message import Message
from sloeferry.network.http1.stream import HttpStream
from sloeferry.network.limited_log import warn
from sloeferry.network.sockets import is_open_and_idle, prepare_accepted

MAX_CONNECTIONS = 12  # one reserved descriptor each
EVICTION_GRACE_SECONDS = 0.02  # a new connection has this long to send its request before it may be closed for another
REQUEST_TIMEOUT_SECONDS = 5.0  # for reading a request and sending its response
RESUMES_PER_GRACE = 5  # attempts to accept again within one grace
BACKLOG = 128
JSON_HEADERS = [(b"Content-Type", b"application/json")]
NOT_FOUND, METHOD_NOT_ALLOWED, CONFLICT, UNAVAILABLE = 404, 405, 409, 503

AdminReply = tuple[int, dict[str, Any]]  # status, JSON body
AdminRoute = tuple[bytes, Callable[[bytes], AdminReply]]  # method, handler of the query string


class AdminServer:
    """Serves the admin requests of operators."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        lifecycle: Lifecycle,
        buffers: BufferPool,
        connection_counts: Callable[[], dict[str, Any]],
        guard_counters: Callable[[], dict[str, Any]] = dict,
    ):
        """Create the server.

        `connection_counts`: returns the fields reported beside the state; `guard_counters`: returns the send guard's counters.
        """
        self._loop = loop
        self._lifecycle = lifecycle
        self._buffers = buffers
        self._connection_counts = connection_counts
        self._guard_counters = guard_counters
        # The time of acceptance (seconds) and the socket by task, in the order of acceptance.
        self._connections: dict[asyncio.Task, tuple[float, socket.socket]] = {}
        self._sock: socket.socket | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
        self.routes: dict[bytes, AdminRoute] = {  # by path
            b"/admin/health": (b"GET", self._health),
            b"/admin/quiesce": (b"POST", self._drain),
            b"/admin/resume": (b"POST", self._resume),
            b"/admin/guard": (b"GET", self._guard),
        }

    # Requests

    def _health(self, query: bytes) -> AdminReply:
        return self._state(self._lifecycle.is_ready())

    def _drain(self, query: bytes) -> AdminReply:
        return self._state(self._lifecycle.drain(environment.monotonic_ms()))

    def _resume(self, query: bytes) -> AdminReply:
        return self._state(self._lifecycle.resume(), status_if_not_ok=CONFLICT)

    def _guard(self, query: bytes) -> AdminReply:
        return 200, self._guard_counters()

    def _state(self, is_ok: bool, status_if_not_ok: int = UNAVAILABLE) -> AdminReply:
        counts = self._connection_counts()
        return 200 if is_ok else status_if_not_ok, {"state": self._lifecycle.state(counts["connections"]), **counts}

    def _handle_request(self, message: Message) -> bytes:
        target, _, query = message.url.partition(b"?")
        path = target[target.find(b"/", 8) :] if target.startswith(b"http://") else target
        method, handler = self.routes.get(path, (None, None))
        if handler is None:
            return writer.response(NOT_FOUND, b'{"error":"no such call"}\n', JSON_HEADERS, keep_alive=False)
        if message.method != method:
            headers = [*JSON_HEADERS, (b"Allow", method)]
            return writer.response(METHOD_NOT_ALLOWED, b'{"error":"%b only"}\n' % method, headers, keep_alive=False)
        status, body = handler(query)
        return writer.response(status, json.dumps(body).encode() + b"\n", JSON_HEADERS, keep_alive=False)

    # Connections

    def bind(self, address: Address) -> OSError | None:
        """Listen on the address; return the error if that fails."""
        self._sock = environment.tcp_socket()
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(BACKLOG)
            self._loop.add_reader(self._sock, self._accept)
        except OSError as error:
            self._sock.close()
            return error
        return None

    def _accept(self) -> None:
        for _ in range(MAX_CONNECTIONS):
            if len(self._connections) >= MAX_CONNECTIONS and not self._evict_idle():
                # No connection may be closed yet: the next ones stay in the listen backlog until the grace of one has ended.
                self._loop.remove_reader(self._sock)
                self._resume_timer = self._loop.call_later(EVICTION_GRACE_SECONDS / RESUMES_PER_GRACE, self._resume_accepting)
                return
            try:
                sock, _ = self._sock.accept()
            except OSError as error:
                if not isinstance(error, (BlockingIOError, ConnectionAbortedError)):
                    warn("admin accept failed", "error={!r}", error)
                return
            if not prepare_accepted(sock):
                continue
            task = self._loop.create_task(self._serve(sock))
            self._connections[task] = environment.monotonic(), sock
            task.add_done_callback(lambda task: self._connections.pop(task, None))

    def _resume_accepting(self) -> None:
        self._resume_timer = None
        self._loop.add_reader(self._sock, self._accept)

    def _evict_idle(self) -> bool:
        """Close the oldest connection without unread input; return False if all are too new or have input."""
        now = environment.monotonic()
        for task, (accepted_at, sock) in self._connections.items():
            if now - accepted_at < EVICTION_GRACE_SECONDS:
                return False
            if is_open_and_idle(sock):
                del self._connections[task]
                task.cancel()
                return True
        return False

    async def _serve(self, sock: socket.socket) -> None:
        stream = HttpStream(self._loop, sock, self._buffers, is_response=False, max_body_bytes=MAX_HEAD_BYTES)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                response = await self._read_and_handle(stream, sock)
                if response is None:
                    return
                await self._loop.sock_sendall(sock, response)
                sock.shutdown(socket.SHUT_WR)
        except (OSError, TimeoutError):
            pass  # the connection was closed, or timed out
        except Exception as error:  # an unexpected error must end only this request
            warn("admin call failed", "error={!r}", error)
        finally:
            stream.close()
            sock.close()

    async def _read_and_handle(self, stream: HttpStream, sock: socket.socket) -> bytes | None:
        """Read the connection's one request and return the response; return None if the client has closed it."""
        while not stream.completed and not stream.fault:
            await stream.receive()
            if stream.has_begun and stream.message.expects_continue and not stream.fault:
                stream.message.expects_continue = False
                await self._loop.sock_sendall(sock, writer.CONTINUE)
        if stream.completed:
            return self._handle_request(stream.completed.pop(0))
        status = client_replies.STATUS_BY_FAULT.get(stream.fault)
        return writer.response(status, keep_alive=False) if status else None

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._resume_timer:
            self._resume_timer.cancel()
        if self._sock and self._sock.fileno() >= 0:
            self._loop.remove_reader(self._sock)
            self._sock.close()
        for task in list(self._connections):
            task.cancel()
