"""The real proxy on loopback, between a client, backends and a discovery that a test plays."""

import asyncio
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

DEFAULT_DUPLICATE_RESPONSE_SECONDS = connection_pool.DUPLICATE_RESPONSE_SECONDS  # as it is outside the tests
SCENARIO_TIMEOUT_SECONDS = 60  # the longest that a scenario may take
MAX_BODY_CHARACTERS = 40  # characters of a body that are recorded
READY_REQUEST = "GET /ready HTTP/1.1\r\n\r\n"

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Scenario = Callable[[Any], Awaitable[None]]


class ScenarioChecker(Protocol):
    """Plays a scenario with each harness in turn, and compares what all peers saw with one golden file."""

    def __call__(self, scenario: Scenario, name: str, *harnesses: "ProxyHarness") -> None:
        """`name` is the golden file's."""


def run_coroutine(coroutine: Any) -> Any:
    """Runs it on a loop of its own, for SCENARIO_TIMEOUT_SECONDS at most; what it returns."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(asyncio.wait_for(coroutine, SCENARIO_TIMEOUT_SECONDS))


def run_scenario(scenario: Scenario, harness: "ProxyHarness") -> None:
    """A scenario with one proxy, from its start to its end."""

    async def run() -> None:
        async with harness:
            await scenario(harness)

    run_coroutine(run())


class ProxyHarness:
    """One proxy and its peers.  What the peers see is recorded in `lines`, in the order in which it happens.

    `cached_endpoints`: the list that the proxy starts with; its discovery is down then.  `deadline_ms` of the requests;
    `poll_within_ms`: the list's age at which the proxy must ask.  `settings` are added to those below, `limits` to their
    limits; `environment` to this process's own.
    """

    REQUEST_CLASSES = [("safe", "retryable"), ("keyed", "dedup"), ("once", "fragile")]  # name, idempotency
    DUPLICATE_WAIT_SECONDS = 0.0  # which connection a backend is asked on must not hang on how long the last took
    has_pending_reload = False  # a SIGHUP came before the proxy could act on it

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

    def record(self, text: str) -> None:
        """One line."""
        self.lines.append(text)

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
        environment = {**os.environ, **self.environment} if self.environment else os.environ
        process = serve(self._instance_config(), environment, has_pending_reload=lambda: self.has_pending_reload)
        self.proxy_task = asyncio.get_running_loop().create_task(process)
        await self._until_ready()
        return self

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
        await asyncio.sleep(0.01)  # for the peers to see their connections end

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
            if self.proxy_task.done():  # it will never be ready: its own exception says why
                self.proxy_task.result()
                raise AssertionError("the proxy ended before it was ready")
            await asyncio.sleep(0.01)

    async def listen(self, serve_connection: Callable[..., Awaitable[None]]) -> int:
        """A server on a port that is free, until the harness ends; the port."""
        server = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    @staticmethod
    async def free_port() -> int:
        """A port where nobody listens."""
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        return port

    async def ask_admin(self, text: str) -> str:
        """Sends that to the admin address: what comes back until its end; recorded in a line."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
        writer.write(text.encode())
        received = (await reader.read()).decode()
        writer.close()
        first_line = text.splitlines()[0] if text else ""
        found = re.search(r'"(?:state|error)": ?"[^"]*"', received)
        self.record(f"operators: {first_line}: {' '.join(received.split()[1:2])} {found and found[0]}")
        return received

    # The client

    async def connect(self) -> Connection:
        """A connection to the proxy."""
        connection = await asyncio.open_connection("127.0.0.1", self.port)
        self.client_connections.append(connection)
        return connection

    async def send(self, text: str | bytes, connection: Connection | None = None, is_recorded: bool = True) -> str:
        """Sends that, on a connection of its own unless one is given: what comes back, in a line."""
        try:
            reader, writer = connection or await self.connect()
            writer.write(text if isinstance(text, bytes) else text.encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            body = (await reader.readexactly(content_length(head))).decode()
            headers = re.findall(r"(?i)connection: close|retry-after.*\d", head)
            result = " ".join([head.split()[1], body[:MAX_BODY_CHARACTERS], *headers])
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
        """A well-formed request, with some headers changed (None: left out); what comes back, in a line."""
        self.record(f"client asks: {class_name} {body[:MAX_BODY_CHARACTERS]}")
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
