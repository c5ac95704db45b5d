"""Stand-ins for the platform, discovery, backends and clients of one proxy, on loopback and the real clock.

Each follows `real/PROTOCOL.md` and `real/DEPLOY.md` of the operators' pages.  A case replaces the behaviour that it disrupts.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
KEEP_ALIVE_SECONDS = 2.0  # of a watch, by the protocol page
READY_SECONDS = 30.0  # clients come when the proxy is ready, or after this time

Headers = dict[str, str]
Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class CouldNotRunError(Exception):
    """Raised when the case cannot be played."""


class Record:
    """What was sent, answered and run, in `record.txt` beside the case."""

    def __init__(self):
        self._path = FOLDER / "record.txt"
        self._path.write_text("")
        self._began = time.monotonic()

    def line(self, text: str) -> None:
        """Write a line with the seconds since the start of the run."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")


def free_port() -> int:
    """Return a port without a listener."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def request_class(name: str, idempotency: str, sla_ms: float = 320, expiry_ms: float = 800, **more: Any) -> dict[str, Any]:
    """Return one entry of `settings.schemes`."""
    return {
        "name": name,
        "idempotency": idempotency,
        "group": "all",
        "dedup_window": 30_000_000,
        "sla_time": int(sla_ms * 1000),
        "expiry": int(expiry_ms * 1000),
        "gain": 1.0,
        "overdue_gain": 0.0,
        "stream": False,
        **more,
    }


def settings(classes: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
    """Return settings like those of cascade-falls-pud; `more` replaces whole sections."""
    return {
        "schemes": classes,
        "tenants": [{"name": "grid-ops", "share": 0.55}, {"name": "billing", "share": 0.45}],
        "discovery": "subscribe",
        "zones": ["north-bend"],
        "kinds": ["small-a"],
        "zone": 0,
        "instances": 1,
        "ordinal": 0,
        "step": 1000,
        "load_info": {"via": "answers", "fields": ["inflight", "queue", "util"]},
        "limits": {
            "cancel": True,
            "conn_idle": 30_000_000,
            "dial_timeout": 200_000,
            "most_postings": 4,
            "probing": True,
            "retry_after": True,
            "second_copies": True,
        },
        "obligations": {
            "cold": 23_000_000,
            "cold_from": 0.12,
            "drain_grace": 250_000,
            "fall": 1_500_000,
            "fall_multiple": 3.0,
            "must_ask_in": 10_000_000,
        },
        **more,
    }


# HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the headers, by lower-case name; raise EOFError at the end of the stream."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    return first, {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a body with a length or in chunks; raise IncompleteReadError if it is cut off."""
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while size := int((await reader.readuntil(b"\r\n")), 16):
        parts.append((await reader.readexactly(size + 2))[:-2])
    await reader.readuntil(b"\r\n")
    return b"".join(parts)


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a complete response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request_head(request_id: str, class_name: str, budget_ms: int, key: str = "", length: int = 0, *more: str) -> bytes:
    """Return the head of a client's request: `POST` if its class has a key or a body, `GET` otherwise."""
    method = "POST" if key or length else "GET"
    lines = [
        f"{method} /api?q={request_id} HTTP/1.1",
        "Host: backend.local",
        f"X-Call-Id: {request_id}",
        f"X-Call-Class: {class_name}",
        "X-Caller: grid-ops",
        f"X-Budget-Ms: {budget_ms}",
        *([f"Idempotency-Key: {key}"] if key else []),
        *([f"Content-Length: {length}"] if method == "POST" else []),
        *more,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A server on a free loopback port."""

    def __init__(self):
        self.address = ""
        self._server: asyncio.Server | None = None
        self.streams: dict[asyncio.StreamWriter, None] = {}

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self._server:
            self._server.close()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self.streams):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.streams[writer] = None
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.serve(reader, writer)
        self.streams.pop(writer, None)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Backend(Server):
    """A backend that answers each request after `work_seconds` with a body made for that request."""

    def __init__(self, record: Record, name: str, work_seconds: float = 0.02):
        super().__init__()
        self.record = record
        self.name = name
        self.work_seconds = work_seconds
        self.inflight = 0
        self.ran: list[tuple[float, str]] = []  # (time, request id)

    def report(self) -> str:
        """Return the load report."""
        return json.dumps({"inflight": self.inflight, "queue": 0, "util": min(1.0, self.inflight / 8)})

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve requests and probes until the connection ends."""
        while True:
            first, headers = await read_head(reader)
            body = await read_body(reader, headers)
            path = first.split()[1]
            if path in ("/health", "/status/load"):
                writer.write(response(200, self.report().encode() if path == "/status/load" else b""))
                continue
            request_id = headers.get("x-call-id", "")
            if not request_id:
                writer.write(response(404))
                continue
            self.ran.append((time.monotonic(), request_id))
            self.inflight += 1
            try:
                await self.answer(request_id, headers, body, writer)
            finally:
                self.inflight -= 1
            await writer.drain()

    def body_for(self, request_id: str) -> bytes:
        """Return the body of the answer made for a request."""
        return f"made for {request_id}".encode()

    async def answer(self, request_id: str, headers: Headers, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Work, then answer."""
        await asyncio.sleep(self.work_seconds)
        self.record.line(f"{self.name} ran and answers {request_id}")
        writer.write(response(200, self.body_for(request_id), f"X-Load-Report: {self.report()}"))


class Discovery(Server):
    """Discovery: the list, watches with a line for each change, and an empty line every 2 s."""

    def __init__(self, record: Record):
        super().__init__()
        self.record = record
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self._watches: dict[asyncio.StreamWriter, None] = {}

    def add(self, name: str, address: str) -> None:
        """List a backend that started long ago, before any watch."""
        self.members[name] = {
            "id": name,
            "host_port": address,
            "locality": "north-bend",
            "flavor": "small-a",
            "cell": 0,
            "phase": "active",
            "size": 1.0,
            "up_since_ms": 0,
        }

    def document(self, names: list[str] | None = None) -> dict[str, Any]:
        """Return the whole list, or the changes of these backends."""
        entries = [self.members[name] for name in (self.members if names is None else names)]
        return {"revision": self.revision, "complete": names is None, "members": entries}

    def set_phase(self, name: str, phase: str) -> None:
        """Change a backend's phase and write it to all watches."""
        self.revision += 1
        self.members[name]["phase"] = phase
        self.record.line(f"discovery has it: {name} is {phase}, revision {self.revision}")
        for writer in list(self._watches):
            self.write_line(writer, json.dumps(self.document([name])))

    def write_line(self, writer: asyncio.StreamWriter, text: str) -> None:
        """Write one line as a chunk."""
        data = text.encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        first, _ = await read_head(reader)
        await self.call(first.split()[1], reader, writer)

    async def call(self, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a call with the whole list; keep a watch open."""
        if "stream=1" not in path:
            writer.write(response(200, json.dumps(self.document()).encode(), "Content-Type: application/json"))
            return
        self.record.line(f"discovery answers {path} with the whole list, revision {self.revision}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write_line(writer, json.dumps(self.document()))
        self._watches[writer] = None
        try:
            while not writer.is_closing() and not reader.at_eof():
                await asyncio.sleep(KEEP_ALIVE_SECONDS)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        finally:
            self._watches.pop(writer, None)


class Proxy:
    """One proxy process, started as the platform does."""

    def __init__(self, record: Record, discovery: Discovery, proxy_settings: dict[str, Any], **config: Any):
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="sloeferry-case-")
        self.port = free_port()
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {},
            "settings": proxy_settings,
            **config,
        }
        self.process: asyncio.subprocess.Process | None = None
        self._log = os.open(pathlib.Path(self._folder.name) / "log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    async def start(self) -> None:
        """Start the process by the `run` line of the deploy file and wait until it is ready."""
        folder = pathlib.Path(self._folder.name)
        (folder / "config.json").write_text(json.dumps(self.config))
        (folder / "tmp").mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "BALANCER_NAME": self.config["name"],
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_DISCOVERY": self.config["discovery"],
            "BALANCER_CONFIG": str(folder / "config.json"),
            "TMPDIR": str(folder / "tmp"),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )
        self.record.line(f"proxy started: pid {self.process.pid}, {self.config['listen']}")

    async def until_ready(self) -> None:
        """Wait until `GET /ready` answers 200."""
        ends = time.monotonic() + READY_SECONDS
        while time.monotonic() < ends:
            if self.process.returncode is not None:
                raise CouldNotRunError(f"the proxy ended before it was ready: {self.log_tail()}")
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await self.connect()
                writer.write(b"GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                if first.split()[1] == "200":
                    self.record.line("proxy is ready")
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRunError("the proxy was not ready within 30 s")

    async def connect(self, **options: Any) -> Stream:
        """Open a client's connection."""
        return await asyncio.open_connection("127.0.0.1", self.port, **options)

    def log_tail(self, lines: int = 12) -> str:
        """Return the last lines of the log."""
        text = (pathlib.Path(self._folder.name) / "log").read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def memory_mb(self) -> float:
        """Return the resident memory of the process, 0 once it has ended."""
        with contextlib.suppress(OSError), open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def stop(self) -> None:
        """End the process: SIGTERM, and SIGKILL 4 s later."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 4.0)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        for line in self.log_tail().splitlines():
            self.record.line(f"proxy's log: {line}")
        os.close(self._log)
        self._folder.cleanup()


class Client:
    """A client that keeps one connection and sends one request at a time on it."""

    def __init__(self, record: Record, proxy: Proxy):
        self.record = record
        self._proxy = proxy
        self._stream: Stream | None = None

    async def ask(self, request_id: str, class_name: str, budget_ms: int, key: str = "", body: bytes = b"") -> tuple[str, bytes]:
        """Send a request and return its status and body, or what else became of it: "none", "closed"."""
        self.record.line(f"client sends {request_id} {class_name}")
        data = request_head(request_id, class_name, budget_ms, key, len(body)) + body
        for is_last in (False, True):
            is_kept = self._stream is not None
            try:
                reader, writer = self._stream = self._stream or await self._proxy.connect()
                writer.write(data)
                async with asyncio.timeout(budget_ms / 1000 + 0.5):
                    first, headers = await read_head(reader)
                    answer = await read_body(reader, headers)
                if headers.get("connection", "").lower() == "close":
                    self.close()
                status = first.split()[1]
            except TimeoutError:
                self.close()
                status, answer = "none", b""
            except (OSError, EOFError):  # or no connection came up
                self.close()
                if is_kept and not is_last:  # closed between requests: the client sends it once more
                    continue
                status, answer = "closed", b""
            break
        self.record.line(f"client gets {status} for {request_id}: {answer[:60]!r}")
        return status, answer

    def close(self) -> None:
        """Close the connection."""
        if self._stream:
            self._stream[1].close()
            self._stream = None


def run_case(play: Callable[[Record, bool], Awaitable[int]], seconds: float = 115.0) -> int:
    """Play a case with or without its disruption and return the exit status."""
    record = Record()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"the disruption is {'on' if has_trouble else 'off'}")

    async def limited() -> int:
        try:
            async with asyncio.timeout(seconds):
                return await play(record, has_trouble)
        except (CouldNotRunError, OSError, TimeoutError) as error:
            record.line(f"could not run: {error!r}")
            return COULD_NOT_RUN

    status = asyncio.run(limited())
    record.line({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "no verdict"}[status])
    return status
