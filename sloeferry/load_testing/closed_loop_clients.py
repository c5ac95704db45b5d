"""Closed-loop clients: each keeps a connection and sends its next request once the one before has ended."""

import asyncio
import re
import statistics
from time import monotonic
from typing import NamedTuple

from sloeferry.load_testing.deployment import LOOPBACK

CONTENT_LENGTH = re.compile(rb"(?i)content-length: (\d+)")
SERVED = "200"
# How a request ended that got no response: on a kept connection, which may just have been closed, or on a new one.
LOST_ON_KEPT, LOST_ON_NEW = "crossed", "turned back"


class RequestEnd(NamedTuple):
    """How a request ended, and when; `result` is the status or why there is none."""

    at: float
    result: str
    took_ms: float


class ClientFigures(NamedTuple):
    """Of a span; the times are those of served requests, 0 where there are none."""

    counts: dict[str, int]  # by result
    median_ms: float
    p99_ms: float


def request_head(path: str, request_id: str) -> bytes:
    """A request without a body, of the class that is safe to retry."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {request_id}\r\nX-Call-Class: pull\r\nX-Caller: grid-ops\r\n"
        "X-Budget-Ms: 400\r\n\r\n"
    ).encode()


class ClosedLoopClients:
    """Clients of one proxy, and how each of their requests ended."""

    def __init__(self, port: int, clients: int, pause_seconds: float = 0.0):
        self._port = port
        self._clients = clients
        self._pause_seconds = pause_seconds
        self._is_over = False
        self._requests = 0
        self._ends: list[RequestEnd] = []

    async def __aenter__(self) -> "ClosedLoopClients":
        self._tasks = [asyncio.create_task(self._run_client()) for _ in range(self._clients)]
        return self

    async def __aexit__(self, *_) -> None:
        self._is_over = True
        await asyncio.gather(*self._tasks)

    async def _run_client(self) -> None:
        connection = None
        is_kept = False
        while not self._is_over:
            self._requests += 1
            request = request_head("/small", f"s{self._requests:x}")
            began_at = monotonic()
            try:
                if connection is None:
                    is_kept = False
                    connection = await asyncio.open_connection(LOOPBACK, self._port)
                result, may_keep = await _exchange(*connection, request)
                is_kept = True
                if not may_keep:
                    connection[1].close()
                    connection = None
            except (OSError, asyncio.IncompleteReadError):
                result = LOST_ON_KEPT if is_kept else LOST_ON_NEW
                connection = None
            ended_at = monotonic()
            self._ends.append(RequestEnd(ended_at, result, 1000 * (ended_at - began_at)))
            if self._pause_seconds:
                await asyncio.sleep(self._pause_seconds)

    def figures(self, since: float = 0.0, until: float = float("inf")) -> ClientFigures:
        """Of the requests that ended in a span of the monotonic clock."""
        ends = [end for end in self._ends if since <= end.at < until]
        results = [end.result for end in ends]
        counts = {result: results.count(result) for result in sorted(set(results))}
        served_ms = sorted(end.took_ms for end in ends if end.result == SERVED)
        if not served_ms:
            return ClientFigures(counts, 0.0, 0.0)
        return ClientFigures(counts, statistics.median(served_ms), served_ms[int(len(served_ms) * 0.99)])


async def _exchange(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes) -> tuple[str, bool]:
    """One request and its response: the status, and whether the connection may be kept."""
    writer.write(request)
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(int(CONTENT_LENGTH.search(head)[1]))
    return head.split()[1].decode(), b"connection: close" not in head.lower()
