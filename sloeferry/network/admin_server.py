"""The operators' own address: HTTP/1.1, one call to a connection, each answered at once whatever the load.

It has descriptors of its own, set aside from those of clients and backends, and holds no more callers than those.  Some call
and say nothing: the one that has said nothing for longest makes room for the next.
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

MAX_CALLERS = 12  # at a time, a descriptor each
BEGIN_SECONDS = 0.02  # a caller's own to begin, before others push it out
CALL_SECONDS = 5.0  # for a whole call
REOPENS_PER_BEGIN = 5
BACKLOG = 128
JSON_HEADERS = [(b"Content-Type", b"application/json")]
NOT_FOUND, METHOD_NOT_ALLOWED, CONFLICT, UNAVAILABLE = 404, 405, 409, 503

AdminReply = tuple[int, dict[str, Any]]  # status, JSON
AdminRoute = tuple[bytes, Callable[[bytes], AdminReply]]  # method, what answers a query


class AdminServer:
    """Answers operators."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        lifecycle: Lifecycle,
        buffers: BufferPool,
        client_figures: Callable[[], dict[str, Any]],
        guard_figures: Callable[[], dict[str, Any]] = dict,
    ):
        """`client_figures`: what is told beside the state; `guard_figures`: the send guard's counters."""
        self._loop = loop
        self._lifecycle = lifecycle
        self._buffers = buffers
        self._client_figures = client_figures
        self._guard_figures = guard_figures
        self._callers: dict[asyncio.Task, tuple[float, socket.socket]] = {}  # since when, in the order they came
        self._sock: socket.socket | None = None
        self._reopening: asyncio.TimerHandle | None = None
        self.routes: dict[bytes, AdminRoute] = {  # by path
            b"/admin/health": (b"GET", self._health),
            b"/admin/quiesce": (b"POST", self._drain),
            b"/admin/resume": (b"POST", self._resume),
            b"/admin/guard": (b"GET", self._guard),
        }

    # Calls

    def _health(self, query: bytes) -> AdminReply:
        return self._state(self._lifecycle.is_ready())

    def _drain(self, query: bytes) -> AdminReply:
        return self._state(self._lifecycle.drain(environment.monotonic_ms()))

    def _resume(self, query: bytes) -> AdminReply:
        return self._state(self._lifecycle.resume(), status_if_not=CONFLICT)

    def _guard(self, query: bytes) -> AdminReply:
        return 200, self._guard_figures()

    def _state(self, is_so: bool, status_if_not: int = UNAVAILABLE) -> AdminReply:
        figures = self._client_figures()
        return 200 if is_so else status_if_not, {"state": self._lifecycle.state(figures["connections"]), **figures}

    def _respond(self, message: Message) -> bytes:
        target, _, query = message.url.partition(b"?")
        path = target[target.find(b"/", 8) :] if target.startswith(b"http://") else target
        method, answer = self.routes.get(path, (None, None))
        if answer is None:
            return writer.response(NOT_FOUND, b'{"error":"no such call"}\n', JSON_HEADERS, keep_alive=False)
        if message.method != method:
            headers = [*JSON_HEADERS, (b"Allow", method)]
            return writer.response(METHOD_NOT_ALLOWED, b'{"error":"%b only"}\n' % method, headers, keep_alive=False)
        status, body = answer(query)
        return writer.response(status, json.dumps(body).encode() + b"\n", JSON_HEADERS, keep_alive=False)

    # Callers

    def bind(self, address: Address) -> OSError | None:
        """Takes the address; why not, if it cannot be had."""
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
        for _ in range(MAX_CALLERS):
            if len(self._callers) >= MAX_CALLERS and not self._make_room():
                # All of them have only just come: who is next waits outside for as long as they may take to begin.
                self._loop.remove_reader(self._sock)
                self._reopening = self._loop.call_later(BEGIN_SECONDS / REOPENS_PER_BEGIN, self._reopen)
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
            self._callers[task] = environment.monotonic(), sock
            task.add_done_callback(lambda task: self._callers.pop(task, None))

    def _reopen(self) -> None:
        self._reopening = None
        self._loop.add_reader(self._sock, self._accept)

    def _make_room(self) -> bool:
        """The caller that has been here for longest and has nothing there to be read goes."""
        now = environment.monotonic()
        for task, (since, sock) in self._callers.items():
            if now - since < BEGIN_SECONDS:
                return False
            if is_open_and_idle(sock):
                del self._callers[task]
                task.cancel()
                return True
        return False

    async def _serve(self, sock: socket.socket) -> None:
        stream = HttpStream(self._loop, sock, self._buffers, is_response=False, max_body_bytes=MAX_HEAD_BYTES)
        try:
            async with asyncio.timeout(CALL_SECONDS):
                response = await self._answer(stream, sock)
                if response is None:
                    return
                await self._loop.sock_sendall(sock, response)
                sock.shutdown(socket.SHUT_WR)
        except (OSError, TimeoutError):
            pass  # gone, or silent for too long
        except Exception as error:  # this call ends, nothing else
            warn("admin call failed", "error={!r}", error)
        finally:
            stream.close()
            sock.close()

    async def _answer(self, stream: HttpStream, sock: socket.socket) -> bytes | None:
        """The response to the one call of a connection; None if there is none to be given."""
        while not stream.completed and not stream.fault:
            await stream.receive()
            if stream.has_begun and stream.message.expects_continue and not stream.fault:
                stream.message.expects_continue = False
                await self._loop.sock_sendall(sock, writer.CONTINUE)
        if stream.completed:
            return self._respond(stream.completed.pop(0))
        status = client_replies.STATUS_BY_FAULT.get(stream.fault)
        return writer.response(status, keep_alive=False) if status else None

    def close(self) -> None:
        """The program ends."""
        if self._reopening:
            self._reopening.cancel()
        if self._sock and self._sock.fileno() >= 0:
            self._loop.remove_reader(self._sock)
            self._sock.close()
        for task in list(self._callers):
            task.cancel()
