"""What operators do to a proxy, measured on loopback.

Admin calls under load, processes replaced in a row, long answers read slowly, connections that only wait.  One process plays
backends, discovery and clients; the proxies are the real ones.  Every part ends by itself.  Figures are of this machine and
of stand-ins that answer at once.
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
SETTLE_SECONDS = 0.5  # until connections have come up, or are gone
# Admin calls: every fifth beside one more silent caller, every other of whom has sent half a request.
ADMIN_CALLS = 1000
SILENT_CALLERS = 200
CALLS_PER_SILENT_CALLER = 5
OVERLOADING_CLIENTS = 256
# Takeovers, and the clients beside.
TAKEOVERS = 20
STEADY_CLIENTS = 40
STEADY_PAUSE_SECONDS = 0.05
TAKEOVER_SECONDS = 1.0  # that is looked at after each
EXIT_POLL_SECONDS = 0.02
# Long answers, and the clients beside.
LONG_ANSWERS = 64
CLIENTS_BESIDE = 20
LONG_READ_SECONDS = 12.0
SLOW_READ_BYTES_PER_SECOND = 65536
READS_PER_SECOND = 4
# Connections that wait.
WAITING_CONNECTIONS = 400
CLIENTS_BEFORE_WAITING = 4
HALF_A_HEAD = b"GET /small HTTP/1.1\r\nHost: x\r\nX-Call-Id: "


async def measure_admin_calls(folder: str) -> dict[str, Any]:
    """Admin calls beside silent callers, at a proxy that has far more to do than it can."""
    async with LoopbackTestbed(folder) as testbed:
        proxy = await testbed.start_proxy()
        async with ClosedLoopClients(testbed.port, OVERLOADING_CLIENTS):
            await asyncio.sleep(WARM_UP_SECONDS)
            silent: list[asyncio.StreamWriter] = []
            took_ms = []
            wrong = 0
            for call in range(ADMIN_CALLS):
                if call % CALLS_PER_SILENT_CALLER == 0 and len(silent) < SILENT_CALLERS:
                    _, writer = await asyncio.open_connection(LOOPBACK, proxy.admin_port)
                    silent.append(writer)
                    if call % (2 * CALLS_PER_SILENT_CALLER) == 0:
                        writer.write(b"GET /admin/hea")
                began_at = monotonic()
                wrong += not await testbed.is_healthy(proxy.admin_port)
                took_ms.append(1000 * (monotonic() - began_at))
            for writer in silent:
                writer.close()
    return {"calls": ADMIN_CALLS, "wrong": wrong, "median_ms": statistics.median(took_ms), "worst_ms": max(took_ms)}


class _Takeover(NamedTuple):
    """One process replaced by the next."""

    proxy: RunningProxy  # the new one
    start_seconds: float
    exit_seconds: float
    began_at: float  # when the old one was told to end


async def _take_over(testbed: LoopbackTestbed, old: RunningProxy) -> _Takeover:
    started_at = monotonic()
    new = await testbed.start_proxy()
    start_seconds = monotonic() - started_at
    old.process.terminate()
    began_at = monotonic()
    while old.process.poll() is None:
        await asyncio.sleep(EXIT_POLL_SECONDS)
    return _Takeover(new, start_seconds, monotonic() - began_at, began_at)


async def measure_takeovers(folder: str) -> dict[str, Any]:
    """One process replaced by the next, again and again, under steady load."""
    takeovers = []
    after = []
    async with LoopbackTestbed(folder) as testbed:
        proxy = await testbed.start_proxy()
        async with ClosedLoopClients(testbed.port, STEADY_CLIENTS, STEADY_PAUSE_SECONDS) as clients:
            await asyncio.sleep(3.0)
            before = clients.figures(since=monotonic() - 2.0)
            for _ in range(TAKEOVERS):
                takeover = await _take_over(testbed, proxy)
                look_until = takeover.began_at + TAKEOVER_SECONDS
                await asyncio.sleep(max(0.0, look_until - monotonic()))
                after.append(clients.figures(takeover.began_at, look_until))
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


async def measure_long_answers(folder: str) -> dict[str, Any]:
    """Answers of 32 MB read at 64 kB a second each, beside small requests."""
    async with LoopbackTestbed(folder) as testbed:
        proxy = await testbed.start_proxy()
        async with ClosedLoopClients(testbed.port, CLIENTS_BESIDE, STEADY_PAUSE_SECONDS) as clients:
            await asyncio.sleep(2.0)
            before = clients.figures(since=monotonic() - 1.5)
            began_at = monotonic()
            received_bytes = await asyncio.gather(*(_read_slowly(testbed.port, number) for number in range(LONG_ANSWERS)))
            beside = clients.figures(since=began_at)
            peak_mb = memory_mb(proxy.process.pid, "VmHWM")
    return {
        "answers": LONG_ANSWERS,
        "least_bytes": min(received_bytes),
        "most_bytes": max(received_bytes),
        "peak_mb": peak_mb,
        "p99_before_ms": before.p99_ms,
        "p99_beside_ms": beside.p99_ms,
        "ends_beside": beside.counts,
    }


async def _read_slowly(port: int, number: int) -> int:
    """Bytes received of one long answer before it is given up."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port, limit=SLOW_READ_BYTES_PER_SECOND)
    writer.write(request_head("/long", f"l{number:x}"))
    received_bytes = 0
    give_up_at = monotonic() + LONG_READ_SECONDS
    while monotonic() < give_up_at and (data := await reader.read(SLOW_READ_BYTES_PER_SECOND // READS_PER_SECOND)):
        received_bytes += len(data)
        await asyncio.sleep(1 / READS_PER_SECOND)
    writer.transport.abort()
    return received_bytes


async def measure_waiting_connections(folder: str) -> dict[str, Any]:
    """What a connection costs that says nothing, or half a head: resident bytes of the proxy, and descriptors."""
    async with LoopbackTestbed(folder) as testbed:
        proxy = await testbed.start_proxy()
        async with ClosedLoopClients(testbed.port, CLIENTS_BEFORE_WAITING, 0.01):
            await asyncio.sleep(WARM_UP_SECONDS)
        return {
            "silent": await _connection_cost(proxy.process, testbed.port, b""),
            "half": await _connection_cost(proxy.process, testbed.port, HALF_A_HEAD),
        }


async def _connection_cost(process: subprocess.Popen[bytes], port: int, text: bytes) -> dict[str, float]:
    memory_before_mb = memory_mb(process.pid)
    descriptors_before = _open_descriptors(process)
    writers = []
    for _ in range(WAITING_CONNECTIONS):
        _, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(text)
        writers.append(writer)
    await asyncio.sleep(SETTLE_SECONDS)
    cost = {
        "bytes": (memory_mb(process.pid) - memory_before_mb) * BYTES_PER_MB / WAITING_CONNECTIONS,
        "descriptors": (_open_descriptors(process) - descriptors_before) / WAITING_CONNECTIONS,
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
    "long-answers": measure_long_answers,
    "waiting": measure_waiting_connections,
}


def measure(name: str) -> dict[str, Any]:
    """The figures of one measurement."""
    with tempfile.TemporaryDirectory(prefix="sloeferry-day-") as folder:
        return asyncio.run(MEASUREMENTS[name](folder))
