"""Testbed on loopback: real proxies that share a listening socket, backends that answer at once, and discovery."""

import asyncio
import contextlib
import json
import pathlib
import socket
import subprocess
from time import monotonic
from typing import NamedTuple

from sloeferry.load_testing.deployment import LOOPBACK
from sloeferry.load_testing.plan import CurvePiece, LoadPlan, LoadPlanError
from sloeferry.load_testing.proxy_config import endpoint_document, proxy_settings, write_proxy_config
from sloeferry.stand_ins import processes

LOAD_REPORT = b'{"inflight":1,"queue":0,"util":0.1}'
LONG_RESPONSE_BYTES = 32 << 20
SMALL_RESPONSE_BYTES = 64
CHUNK_BYTES = 65536
BACKEND_COUNT = 12
MAX_SOCKETS, MEMORY_MB = 1024, 192  # per proxy
LISTEN_BACKLOG = 1024
START_TIMEOUT_SECONDS = 10.0
START_POLL_INTERVAL_SECONDS = 0.02
WATCH_KEEP_ALIVE_SECONDS = 1.0  # interval between empty lines of a watch
# Defines the proxies' request classes and tenants; its load is not run.
SETTINGS_PLAN = LoadPlan((CurvePiece(1.0, 1.0),))


class RunningProxy(NamedTuple):
    """Process of a ready proxy, and its admin port."""

    process: subprocess.Popen[bytes]
    admin_port: int


class LoopbackTestbed:
    """Backends, discovery and the proxies' listening socket; each proxy is started on request."""

    def __init__(self, folder: str):
        self._folder = folder
        self._socket = socket.create_server((LOOPBACK, 0), backlog=LISTEN_BACKLOG)
        self._servers: list[asyncio.Server] = []
        self._processes: list[subprocess.Popen[bytes]] = []
        self.port = self._socket.getsockname()[1]

    async def __aenter__(self) -> "LoopbackTestbed":
        backends = [(LOOPBACK, await self._listen(self._serve_backend)) for _ in range(BACKEND_COUNT)]
        self._endpoints = json.dumps(endpoint_document(backends)).encode()
        self._discovery_port = await self._listen(self._serve_watch)
        return self

    async def __aexit__(self, *_) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for server in self._servers:
            server.close()
        self._socket.close()

    async def _listen(self, handler) -> int:
        self._servers.append(await asyncio.start_server(handler, LOOPBACK, 0))
        return self._servers[-1].sockets[0].getsockname()[1]

    async def _serve_backend(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET /status"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LOAD_REPORT), LOAD_REPORT))
                    continue
                size = LONG_RESPONSE_BYTES if b"/long" in head[:40] else SMALL_RESPONSE_BYTES
                writer.write(b"HTTP/1.1 200 OK\r\nX-Load-Report: %b\r\nContent-Length: %d\r\n\r\n" % (LOAD_REPORT, size))
                for offset in range(0, size, CHUNK_BYTES):
                    writer.write(b"x" * min(CHUNK_BYTES, size - offset))
                    await writer.drain()
        writer.close()

    async def _serve_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        line = self._endpoints + b"\n"
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while not writer.is_closing():
                await asyncio.sleep(WATCH_KEEP_ALIVE_SECONDS)
                writer.write(b"1\r\n\n\r\n")

    async def start_proxy(self) -> RunningProxy:
        """Start a proxy on the listening socket and return it; raises LoadPlanError if it does not become ready."""
        with socket.create_server((LOOPBACK, 0)) as temporary_socket:
            admin_port = temporary_socket.getsockname()[1]
        ordinal = len(self._processes) + 1
        config = pathlib.Path(self._folder, f"config{ordinal}.json")
        write_proxy_config(
            config,
            "n0",
            (LOOPBACK, self.port),
            (LOOPBACK, self._discovery_port),
            proxy_settings(SETTINGS_PLAN, 0, 1),
            seed=ordinal,
            socket_limit=MAX_SOCKETS,
            memory_mb=MEMORY_MB,
            admin=(LOOPBACK, admin_port),
        )
        descriptor = self._socket.fileno()
        process = processes.start(config, fds=[descriptor], TMPDIR=self._folder, BALANCER_LISTEN_FD=str(descriptor))
        self._processes.append(process)
        await self._wait_until_healthy(admin_port)
        return RunningProxy(process, admin_port)

    async def _wait_until_healthy(self, admin_port: int) -> None:
        give_up_at = monotonic() + START_TIMEOUT_SECONDS
        while monotonic() < give_up_at:
            if await self.is_healthy(admin_port):
                return
            await asyncio.sleep(START_POLL_INTERVAL_SECONDS)
        raise LoadPlanError(f"testbed: a proxy was not ready within {START_TIMEOUT_SECONDS:.0f} s")

    async def is_healthy(self, admin_port: int) -> bool:
        """Return whether the proxy's admin address reports it as healthy."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, admin_port)
            writer.write(b"GET /admin/health HTTP/1.1\r\n\r\n")
            response = await reader.read()
            writer.close()
        except OSError:
            return False
        return b" 200 " in response
