"""The admin server, asked by operators over HTTP."""

import asyncio
import socket
from collections.abc import Awaitable
from unittest import mock

from sloeferry.network.admin_server import AdminServer
from tests.support.fake_backends import response
from tests.support.proxy_harness import ProxyHarness, ScenarioChecker

REQUEST_LINES = (
    "GET /admin/health",
    "POST /admin/health",
    "GET /admin/nothing",
    "GET /admin/guard",
    "POST /admin/resume",
    "GET http://x/admin/health",
    "GET /admin/health?x=1",
    "BREW /admin/health",
)


def test_response_is_sent_without_delay(check_scenario: ScenarioChecker):
    """A response follows a 100 Continue while bytes of the caller are unread.

    The kernel must not delay the small write (Nagle's algorithm), or it would be lost with the close.
    """

    async def scenario(harness: ProxyHarness) -> None:
        serve = AdminServer._serve
        sent_at_once: list[bool] = []

        def serve_and_record(server: AdminServer, sock: socket.socket) -> Awaitable[None]:
            sent_at_once.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) > 0)
            return serve(server, sock)

        with mock.patch.object(AdminServer, "_serve", serve_and_record):
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.admin_port)
            writer.write(b"POST /admin/resume HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
            harness.record(f"caller gets: {await reader.readline()}")
            writer.write(b"xGET")
            harness.record(f"caller gets: {(await reader.read()).splitlines()[1]}, sent at once: {sent_at_once}")
            writer.close()

    check_scenario(scenario, "admin_response_not_delayed", ProxyHarness({"b": response()}, has_admin=True))


def test_requests_beside_idle_connections(check_scenario: ScenarioChecker):
    """Each request gets one response, and connections that send nothing or half a request do not block others."""

    async def scenario(harness: ProxyHarness) -> None:
        for request_line in REQUEST_LINES:
            await harness.ask_admin(request_line + " HTTP/1.1\r\nHost: x\r\n\r\n")
        await harness.ask_admin("POST /admin/resume HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}")
        await harness.ask_admin("nonsense\r\n\r\n")
        idle = [await asyncio.open_connection("127.0.0.1", harness.admin_port) for _ in range(60)]
        for _, writer in idle[::2]:
            writer.write(b"GET /admin/hea")
        await harness.ask_admin("GET /admin/health HTTP/1.1\r\n\r\n")
        harness.record(f"beside {len(idle)} that say nothing or half a call")
        for _, writer in idle:
            writer.close()

    check_scenario(scenario, "admin_requests", ProxyHarness({"b": response()}, has_admin=True))
