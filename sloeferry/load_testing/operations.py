"""Measurements of operational events on loopback: admin calls, takeovers, long responses and idle connections.

Admin calls are made under load, takeovers follow one another, and long responses are read slowly.  One process runs
backends, discovery and clients; the proxies are real processes.  Every measurement ends by itself.  The figures hold for the
machine that they are taken on and for stand-ins that answer at once.
"""

import asyncio
import os
import statistics
import subprocess
import tempfile
from time import monotonic
from typing import Any, NamedTuple

from sloeferry.load_testing.closed_loop_clients import ClosedLoopClients, request_head
from sloeferry.load_testing.deployment import LOOPBACK
from sloeferry.load_testing.loopback_testbed import LoopbackTestbed, RunningProxy
from sloeferry.stand_ins.processes import memory_mb

BYTES_PER_MB = 1 << 20
WARM_UP_SECONDS = 1.0
SETTLE_SECONDS = 0.5  # for connections to be established or closed
# Admin calls: before every fifth call a silent connection is opened; every other one of them has sent a partial request.
ADMIN_CALLS = 1000
SILENT_CONNECTIONS = 200
CALLS_PER_SILENT_CONNECTION = 5
OVERLOADING_CLIENTS = 256
# Takeovers, and the clients that run meanwhile.
TAKEOVERS = 20
STEADY_CLIENTS = 40
CLIENT_PAUSE_SECONDS = 0.05
TAKEOVER_OBSERVATION_SECONDS = 1.0  # observed after each takeover
EXIT_POLL_INTERVAL_SECONDS = 0.02
# Long responses, and the clients that run meanwhile.
LONG_RESPONSES = 64
CONCURRENT_CLIENTS = 20
LONG_READ_SECONDS = 12.0
SLOW_READ_BYTES_PER_SECOND = 65536
READS_PER_SECOND = 4
# Idle connections.
IDLE_CONNECTIONS = 400
WARM_UP_CLIENTS = 4
PARTIAL_REQUEST_HEAD = b"GET /small HTTP/1.1\r\nHost: x\r\nX-Call-Id: "


async def measure_admin_calls(folder: str) -> dict[str, Any]:
    """Measure admin calls to an overloaded proxy whose admin address also has silent connections."""
    async with LoopbackTestbed(folder) as testbed:
        proxy = await testbed.start_proxy()
        async with ClosedLoopClients(testbed.port, OVERLOADING_CLIENTS):
            await asyncio.sleep(WARM_UP_SECONDS)
            silent_writers: list[asyncio.StreamWriter] = []
            durations_ms = []
            failed_calls = 0
            for call in range(ADMIN_CALLS):
                if call % CALLS_PER_SILENT_CONNECTION == 0 and len(silent_writers) < SILENT_CONNECTIONS:
                    _, writer = await asyncio.open_connection(LOOPBACK, proxy.admin_port)
                    silent_writers.append(writer)
                    if call % (2 * CALLS_PER_SILENT_CONNECTION) == 0:
                        writer.write(b"GET /admin/hea")
                began_at = monotonic()
                failed_calls += not await testbed.is_healthy(proxy.admin_port)
                durations_ms.append(1000 * (monotonic() - began_at))
            for writer in silent_writers:
                writer.close()
    return {
        "calls": ADMIN_CALLS,
        "wrong": failed_calls,
        "median_ms": statistics.median(durations_ms),
        "worst_ms": max(durations_ms),
    }


class _Takeover(NamedTuple):
    """Replacement of one process by the next."""

    proxy: RunningProxy  # the new process
    start_seconds: float
    exit_seconds: float
    began_at: float  # time of the SIGTERM to the old process


async def _take_over(testbed: LoopbackTestbed, old: RunningProxy) -> _Takeover:
    started_at = monotonic()
    new = await testbed.start_proxy()
    start_seconds = monotonic() - started_at
    old.process.terminate()
    began_at = monotonic()
    while old.process.poll() is None:
        await asyncio.sleep(EXIT_POLL_INTERVAL_SECONDS)
    return _Takeover(new, start_seconds, monotonic() - began_at, began_at)


async def measure_takeovers(folder: str) -> dict[str, Any]:
    """Measure repeated takeovers under steady load."""
    takeovers = []
    after = []
    async with LoopbackTestbed(folder) as testbed:
        proxy = await testbed.start_proxy()
        async with ClosedLoopClients(testbed.port, STEADY_CLIENTS, CLIENT_PAUSE_SECONDS) as clients:
            await asyncio.sleep(3.0)
            before = clients.figures(since=monotonic() - 2.0)
            for _ in range(TAKEOVERS):
                takeover = await _take_over(testbed, proxy)
                observed_until = takeover.began_at + TAKEOVER_OBSERVATION_SECONDS
                await asyncio.sleep(max(0.0, observed_until - monotonic()))
                after.append(clients.figures(takeover.began_at, observed_until))
                takeovers.append(takeover)
                proxy = takeover.proxy
            counts = clients.figures().counts
    return {
        "rounds": TAKEOVERS,
        "ready_s": max(takeover.start_seconds for takeover in takeovers),
        "left_s": max(takeover.exit_seconds for takeover in takeovers),
        "ends": counts,
        "p99_before_ms": before.p99_ms,
        "p99_first_second_ms": max(figures.p99_ms for figures in after),
        "median_before_ms": before.median_ms,
        "median_first_second_ms": max(figures.median_ms for figures in after),
    }


async def measure_long_responses(folder: str) -> dict[str, Any]:
    """Measure small requests while responses of 32 MiB are each read at 64 KiB per second."""
    async with LoopbackTestbed(folder) as testbed:
        proxy = await testbed.start_proxy()
        async with ClosedLoopClients(testbed.port, CONCURRENT_CLIENTS, CLIENT_PAUSE_SECONDS) as clients:
            await asyncio.sleep(2.0)
            before = clients.figures(since=monotonic() - 1.5)
            began_at = monotonic()
            received_bytes = await asyncio.gather(*(_read_slowly(testbed.port, number) for number in range(LONG_RESPONSES)))
            beside = clients.figures(since=began_at)
            peak_mb = memory_mb(proxy.process.pid, "VmHWM")
    return {
        "answers": LONG_RESPONSES,
        "least_bytes": min(received_bytes),
        "most_bytes": max(received_bytes),
        "peak_mb": peak_mb,
        "p99_before_ms": before.p99_ms,
        "p99_beside_ms": beside.p99_ms,
        "ends_beside": beside.counts,
    }


async def _read_slowly(port: int, number: int) -> int:
    """Read one long response slowly for LONG_READ_SECONDS and return the bytes received."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port, limit=SLOW_READ_BYTES_PER_SECOND)
    writer.write(request_head("/long", f"l{number:x}"))
    received_bytes = 0
    reads_until = monotonic() + LONG_READ_SECONDS
    while monotonic() < reads_until and (data := await reader.read(SLOW_READ_BYTES_PER_SECOND // READS_PER_SECOND)):
        received_bytes += len(data)
        await asyncio.sleep(1 / READS_PER_SECOND)
    writer.transport.abort()
    return received_bytes


async def measure_idle_connections(folder: str) -> dict[str, Any]:
    """Measure the proxy's resident bytes and descriptors per connection that is silent or has sent a partial head."""
    async with LoopbackTestbed(folder) as testbed:
        proxy = await testbed.start_proxy()
        async with ClosedLoopClients(testbed.port, WARM_UP_CLIENTS, 0.01):
            await asyncio.sleep(WARM_UP_SECONDS)
        return {
            "silent": await _connection_cost(proxy.process, testbed.port, b""),
            "half": await _connection_cost(proxy.process, testbed.port, PARTIAL_REQUEST_HEAD),
        }


async def _connection_cost(process: subprocess.Popen[bytes], port: int, text: bytes) -> dict[str, float]:
    memory_before_mb = memory_mb(process.pid)
    descriptors_before = _open_descriptors(process)
    writers = []
    for _ in range(IDLE_CONNECTIONS):
        _, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(text)
        writers.append(writer)
    await asyncio.sleep(SETTLE_SECONDS)
    cost = {
        "bytes": (memory_mb(process.pid) - memory_before_mb) * BYTES_PER_MB / IDLE_CONNECTIONS,
        "descriptors": (_open_descriptors(process) - descriptors_before) / IDLE_CONNECTIONS,
    }
    for writer in writers:
        writer.transport.abort()
    await asyncio.sleep(SETTLE_SECONDS)
    return cost


def _open_descriptors(process: subprocess.Popen[bytes]) -> int:
    return len(os.listdir(f"/proc/{process.pid}/fd"))


MEASUREMENTS = {
    "calls": measure_admin_calls,
    "handovers": measure_takeovers,
    "long-answers": measure_long_responses,
    "waiting": measure_idle_connections,
}


def measure(name: str) -> dict[str, Any]:
    """Run the measurement of that name and return its figures."""
    with tempfile.TemporaryDirectory(prefix="sloeferry-day-") as folder:
        return asyncio.run(MEASUREMENTS[name](folder))
