"""Harness that runs a real proxy on loopback between fake clients, backends and discovery."""

import asyncio
import itertools
import json
import os
import re
import tempfile
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, Protocol, Self

import uvloop

from sloeferry.config.instance import InstanceConfig, read_instance_config
from sloeferry.lifecycle.proxy_process import serve
from sloeferry.network import connection_pool
from tests.support.fake_backends import FakeBackends, Script, content_length
from tests.support.fake_discovery import FakeDiscovery

DEFAULT_DUPLICATE_RESPONSE_SECONDS = connection_pool.DUPLICATE_RESPONSE_SECONDS  # value outside the tests
SCENARIO_TIMEOUT_SECONDS = 60  # a scenario that takes longer fails
MAX_RECORDED_BODY_CHARACTERS = 40  # longer bodies are cut in records
REQUEST_ID = re.compile(rb"X-Call-Id: (c\d+)\r")
READY_REQUEST = "GET /ready HTTP/1.1\r\n\r\n"

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Scenario = Callable[[Any], Awaitable[None]]


class ScenarioChecker(Protocol):
    """Runs a scenario with each harness in turn, and compares the peers' records with one golden file."""

    def __call__(self, scenario: Scenario, name: str, *harnesses: "ProxyHarness") -> None:
        """Run the scenario; `name` is the name of the golden file."""


def run_coroutine(coroutine: Any) -> Any:
    """Run a coroutine on its own event loop, for at most SCENARIO_TIMEOUT_SECONDS, and return its result."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(asyncio.wait_for(coroutine, SCENARIO_TIMEOUT_SECONDS))


def run_scenario(scenario: Scenario, harness: "ProxyHarness") -> None:
    """Start a proxy, run a scenario with it and end it."""

    async def run() -> None:
        async with harness:
            await scenario(harness)

    run_coroutine(run())


class ProxyHarness:
    """One proxy and its peers.  Events at the peers are recorded in `lines` in the order in which they occur.

    `cached_endpoints`: list that the proxy starts with, in which case discovery is down.  `deadline_ms`: deadline of the
    requests.  `poll_within_ms`: age of the list at which the proxy must poll again.  `settings`, `limits` and `environment`
    are added to the default settings, to their limits, and to the environment of this process.
    """

    REQUEST_CLASSES = [("safe", "retryable"), ("keyed", "dedup"), ("once", "fragile")]  # name, idempotency
    DUPLICATE_WAIT_SECONDS = 0.0  # the choice of a connection must not depend on the duration of the last request
    has_pending_reload = False  # a SIGHUP arrived before the proxy handled signals
    # Whether an id is sent as the test has it, so that it may come twice.  Otherwise an id such as c1 gets a number, which
    # backends do not record: an id is new with every request.
    keeps_request_ids = False

    def __init__(
        self,
        backends: FakeBackends | Mapping[str, Script],
        cached_endpoints: Iterable[str] = (),
        descriptors: int = 256,
        deadline_ms: int = 3000,
        poll_within_ms: int = 4000,
        settings: Mapping[str, Any] | None = None,
        has_admin: bool = False,
        environment: Mapping[str, str] | None = None,
        **limits: Any,
    ):
        self.lines: list[str] = []
        self.backends = backends if isinstance(backends, FakeBackends) else FakeBackends(backends)
        self.discovery = FakeDiscovery(self.backends)
        self.deadline_ms = deadline_ms
        self.environment = dict(environment or {})
        self.client_connections: list[Connection] = []
        self.config: dict[str, Any] = {}
        self.port = self.admin_port = 0
        self._cached_endpoints = list(cached_endpoints)
        self._descriptors = descriptors
        self._poll_within_ms = poll_within_ms
        self._settings = settings or {}
        self._has_admin = has_admin
        self._limits = limits
        self._servers: list[asyncio.Server] = []
        self._id_numbers = itertools.count(1)

    def record(self, text: str) -> None:
        """Record a line."""
        self.lines.append(text)

    def with_new_ids(self, data: bytes) -> bytes:
        """Return the data with a number behind each request id, unless the ids are kept."""
        if self.keeps_request_ids:
            return data
        return REQUEST_ID.sub(lambda match: b"X-Call-Id: %b.%d\r" % (match[1], next(self._id_numbers)), data)

    async def __aenter__(self) -> Self:
        await self.backends.start(self.listen, self.record)
        discovery_port = await self.listen(self.discovery.serve)
        self.port = await self.free_port()
        connection_pool.DUPLICATE_RESPONSE_SECONDS = self.DUPLICATE_WAIT_SECONDS
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "7",
            "limits": {"sockets": self._descriptors},
            "settings": self._settings_document(),
        }
        if self._has_admin:
            self.admin_port = await self.free_port()
            self.config["ops"] = f"127.0.0.1:{self.admin_port}"
        if self._cached_endpoints:
            self.discovery.is_down = True
            members = self.discovery.endpoint_entries(*self._cached_endpoints)
            self.config["known"] = {"revision": 0, "complete": True, "members": members}
        self.proxy_task = asyncio.get_running_loop().create_task(self._run_proxy())
        await self._until_ready()
        return self

    async def _run_proxy(self) -> None:
        """Run the proxy in this process until cancelled."""
        environment = {**os.environ, **self.environment} if self.environment else os.environ
        await serve(self._instance_config(), environment, has_pending_reload=lambda: self.has_pending_reload)

    async def __aexit__(self, *_: object) -> None:
        self.proxy_task.cancel()
        await asyncio.wait([self.proxy_task])
        connection_pool.DUPLICATE_RESPONSE_SECONDS = DEFAULT_DUPLICATE_RESPONSE_SECONDS
        for server in self._servers:
            server.close()
        for writer in self.backends.writers:
            writer.close()
        for _, writer in self.client_connections:
            writer.close()
        self.discovery.close()
        await asyncio.sleep(0.01)  # for the peers to notice the closed connections

    def _settings_document(self) -> dict[str, Any]:
        times = {"expiry": self.deadline_ms * 1000, "sla_time": self.deadline_ms * 900, "dedup_window": 30000000}
        return {
            "schemes": [{"name": name, "idempotency": idempotency, **times} for name, idempotency in self.REQUEST_CLASSES],
            "tenants": [{"name": "acme"}],
            "discovery": "subscribe",
            "zones": ["a"],
            "kinds": ["m"],
            "load_info": {"via": "answers", "fields": ["inflight"]},
            "obligations": {"must_ask_in": self._poll_within_ms * 1000},
            "instances": 1,
            "ordinal": 0,
            "zone": 0,
            "limits": {"most_postings": 3, "dial_timeout": 250000, "conn_idle": 10000000, **self._limits},
            **self._settings,
        }

    def _instance_config(self) -> InstanceConfig:
        with tempfile.NamedTemporaryFile("w") as file:
            json.dump(self.config, file)
            file.flush()
            return read_instance_config({"BALANCER_CONFIG": file.name})

    async def _until_ready(self) -> None:
        while "200" not in await self.send(READY_REQUEST, is_recorded=False):
            if self.proxy_task.done():  # it will not become ready: raise its own exception
                self.proxy_task.result()
                raise AssertionError("the proxy ended before it was ready")
            await asyncio.sleep(0.01)

    async def listen(self, serve_connection: Callable[..., Awaitable[None]]) -> int:
        """Start a server on a free port for the lifetime of the harness and return the port."""
        server = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    @staticmethod
    async def free_port() -> int:
        """Return a port without a listener."""
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        return port

    async def ask_admin(self, text: str) -> str:
        """Send a request to the admin address, record the response in a line, and return it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
        writer.write(text.encode())
        received = (await reader.read()).decode()
        writer.close()
        first_line = text.splitlines()[0] if text else ""
        match = re.search(r'"(?:state|error)": ?"[^"]*"', received)
        self.record(f"operators: {first_line}: {' '.join(received.split()[1:2])} {match and match[0]}")
        return received

    # Client

    async def connect(self) -> Connection:
        """Open a connection to the proxy."""
        connection = await asyncio.open_connection("127.0.0.1", self.port)
        self.client_connections.append(connection)
        return connection

    async def send(self, text: str | bytes, connection: Connection | None = None, is_recorded: bool = True) -> str:
        """Send data and return the response in a line; opens a new connection unless one is given."""
        try:
            reader, writer = connection or await self.connect()
            writer.write(self.with_new_ids(text if isinstance(text, bytes) else text.encode()))
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            body = (await reader.readexactly(content_length(head))).decode()
            headers = re.findall(r"(?i)connection: close|retry-after.*\d", head)
            result = " ".join([head.split()[1], body[:MAX_RECORDED_BODY_CHARACTERS], *headers])
        except asyncio.IncompleteReadError:
            result = "closed without a word"
        except OSError:
            result = "reset"
        if not connection and result != "reset":
            writer.close()
        if is_recorded:
            self.record(f"client gets: {result}")
        return result

    async def request(
        self, class_name: str = "safe", body: str = "", connection: Connection | None = None, **headers: Any
    ) -> str:
        """Send a well-formed request and return the response in a line.

        `headers` replace the default headers; None leaves one out.
        """
        self.record(f"client asks: {class_name} {body[:MAX_RECORDED_BODY_CHARACTERS]}")
        values: dict[str, Any] = {
            "Host": "backend.local",
            "X-Call-Id": "c1",
            "X-Call-Class": class_name,
            "X-Caller": "acme",
            "X-Budget-Ms": str(self.deadline_ms),
            "Idempotency-Key": None if class_name == "safe" else "k1",
            "Content-Length": len(body) if body else None,
        }
        values.update({name.replace("_", "-"): value for name, value in headers.items()})
        lines = [
            f"{'GET' if class_name == 'safe' else 'POST'} /api?q=1 HTTP/1.1",
            *(f"{name}: {value}" for name, value in values.items() if value is not None),
        ]
        return await self.send("\r\n".join(lines) + "\r\n\r\n" + body, connection)
