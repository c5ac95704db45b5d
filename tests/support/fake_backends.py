"""Fake backends on loopback that respond as a test specifies and record their requests."""

import asyncio
import contextlib
import functools
import re
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

RECORDED_HEADERS = ("x-call-id", "idempotency")
VARYING_HEADER = "x-budget"
NUMBERED_ID = re.compile(r"(?i)^(x-call-id: \w+)\.\d+$")  # `ProxyHarness.with_new_ids`

# Response of a backend: its bytes; b"" closes the connection; None sends nothing; an event delays the response until it is
# set; or a function of the request's number, counted over all backends, that returns one of these.
Script = Any
Listen = Callable[[Callable[..., Awaitable[None]]], Awaitable[int]]


def response(body: str = "done", status: int = 200, *headers: str) -> bytes:
    """Return an HTTP response."""
    return "\r\n".join([f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", body]).encode()


def content_length(head: str) -> int:
    """Return the Content-Length of a head in bytes; 0 if it has none."""
    match = re.search(r"(?i)content-length: (\d+)", head)
    return int(match[1]) if match else 0


class FakeBackends:
    """Backends by name, each with its script; their requests are recorded in the order of arrival."""

    def __init__(self, scripts: Mapping[str, Script]):
        self.scripts = dict(scripts)
        self.ports: dict[str, int] = {}
        self.requests_received = 0
        self.records_all_headers = False
        self.late_response = response("late")  # response after an event of a script is set
        self.writers: list[asyncio.StreamWriter] = []
        self.record: Callable[[str], None] = lambda text: None
        self.connection_counts: dict[str, int] = {}
        self._labels: dict[str, str] = {}  # "backend 1" is the first to receive a connection

    async def start(self, listen: Listen, record: Callable[[str], None]) -> None:
        """Start a server for each backend that has none; another harness may have started it."""
        for name, script in self.scripts.items():
            if name not in self.ports:
                self.record = record
                self.ports[name] = await listen(functools.partial(self.serve, name, script))

    def begin_connection(self, name: str, writer: asyncio.StreamWriter) -> int:
        """Count a connection to a backend and return its number."""
        self.writers.append(writer)
        self.connection_counts[name] = self.connection_counts.get(name, 0) + 1
        return self.connection_counts[name]

    async def serve(self, name: str, script: Script, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to a backend."""
        number = self.begin_connection(name, writer)
        label = self._labels.setdefault(name, f"backend {len(self._labels) + 1}")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode(errors="replace")
                body = (await reader.readexactly(content_length(head))).decode()
                first_line, *headers = head.split("\r\n")
                self.record(f"  {label}, connection {number}: {first_line}  {body} {self._recorded_headers(headers)}")
                self.requests_received += 1
                reply = script(self.requests_received) if callable(script) else script
                if isinstance(reply, asyncio.Event):
                    await reply.wait()
                    reply = self.late_response
                if reply is None:
                    continue
                writer.write(reply)
                if not reply or b"Connection: close" in reply:
                    writer.close()
                    return

    def _recorded_headers(self, headers: Sequence[str]) -> list[str]:
        def is_recorded(header: str) -> bool:
            name = header.lower()
            is_shown = self.records_all_headers and header != "" and not name.startswith(VARYING_HEADER)
            return is_shown or name.startswith(RECORDED_HEADERS)

        return sorted(NUMBERED_ID.sub(r"\1", header) for header in headers if is_recorded(header))
