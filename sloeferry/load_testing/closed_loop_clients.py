"""Runs closed-loop clients: each keeps a connection and sends its next request when the previous one has ended."""

import asyncio
import re
import statistics
from time import monotonic
from typing import NamedTuple

from sloeferry.load_testing.deployment import LOOPBACK

CONTENT_LENGTH = re.compile(rb"(?i)content-length: (\d+)")
SERVED = "200"
# Results of a request without a response: on a reused connection, which the proxy may have closed in the meantime, or on a
# new one.
LOST_ON_REUSED_CONNECTION, LOST_ON_NEW_CONNECTION = "crossed", "turned back"


class RequestEnd(NamedTuple):
    """The result and end time of a request; `result` is the status, or the reason why there is none."""

    ended_at: float
    result: str
    duration_ms: float


class ClientFigures(NamedTuple):
    """The figures of an interval; latencies cover served requests and are 0 if there are none."""

    counts: dict[str, int]  # by result
    median_ms: float
    p99_ms: float


def request_head(path: str, request_id: str) -> bytes:
    """Return a request without a body, of the idempotent request class."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {request_id}\r\nX-Call-Class: pull\r\nX-Caller: grid-ops\r\n"
        "X-Budget-Ms: 400\r\n\r\n"
    ).encode()


class ClosedLoopClients:
    """The clients of one proxy, with the result of each request."""

    def __init__(self, port: int, client_count: int, pause_seconds: float = 0.0):
        self._port = port
        self._client_count = client_count
        self._pause_seconds = pause_seconds
        self._is_over = False
        self._request_count = 0
        self._ends: list[RequestEnd] = []

    async def __aenter__(self) -> "ClosedLoopClients":
        self._tasks = [asyncio.create_task(self._run_client()) for _ in range(self._client_count)]
        return self

    async def __aexit__(self, *_) -> None:
        self._is_over = True
        await asyncio.gather(*self._tasks)

    async def _run_client(self) -> None:
        connection = None
        is_reused = False
        while not self._is_over:
            self._request_count += 1
            request = request_head("/small", f"s{self._request_count:x}")
            began_at = monotonic()
            try:
                if connection is None:
                    is_reused = False
                    connection = await asyncio.open_connection(LOOPBACK, self._port)
                result, may_reuse = await _exchange(*connection, request)
                is_reused = True
                if not may_reuse:
                    connection[1].close()
                    connection = None
            except (OSError, asyncio.IncompleteReadError):
                result = LOST_ON_REUSED_CONNECTION if is_reused else LOST_ON_NEW_CONNECTION
                connection = None
            ended_at = monotonic()
            self._ends.append(RequestEnd(ended_at, result, 1000 * (ended_at - began_at)))
            if self._pause_seconds:
                await asyncio.sleep(self._pause_seconds)

    def figures(self, since: float = 0.0, until: float = float("inf")) -> ClientFigures:
        """Return the figures of the requests that ended between two times of the monotonic clock."""
        ends = [end for end in self._ends if since <= end.ended_at < until]
        results = [end.result for end in ends]
        counts = {result: results.count(result) for result in sorted(set(results))}
        served_ms = sorted(end.duration_ms for end in ends if end.result == SERVED)
        if not served_ms:
            return ClientFigures(counts, 0.0, 0.0)
        return ClientFigures(counts, statistics.median(served_ms), served_ms[int(len(served_ms) * 0.99)])


async def _exchange(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes) -> tuple[str, bool]:
    """Send a request and read its response; return the status and whether the connection may be reused."""
    writer.write(request)
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(int(CONTENT_LENGTH.search(head)[1]))
    return head.split()[1].decode(), b"connection: close" not in head.lower()
