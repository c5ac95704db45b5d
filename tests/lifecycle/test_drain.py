"""Drain and resume by admin calls."""

from unittest import mock

from tests.support.fake_backends import response
from tests.support.proxy_harness import READY_REQUEST, ProxyHarness, ScenarioChecker


def test_drain_and_resume(check_scenario: ScenarioChecker):
    """A draining proxy is not ready, still serves requests and closes all connections; after resume it keeps connections open."""

    async def scenario(harness: ProxyHarness) -> None:
        idle, used = await harness.connect(), await harness.connect()
        for connection in (idle, used):
            await harness.request("safe", connection=connection)
        with mock.patch("sloeferry.lifecycle.state.CLOSE_IDLE_AFTER_MS", 0.0):
            await harness.ask_admin("POST /admin/quiesce HTTP/1.1\r\n\r\n")
            await harness.send(READY_REQUEST)
            harness.record(f"the idle ones end: {await idle[0].read() == b''}, {await used[0].read() == b''}")
        late = await harness.connect()
        await harness.request("safe", connection=late)
        harness.record(f"its connection ends: {await late[0].read() == b''}")
        await harness.ask_admin("GET /admin/health HTTP/1.1\r\n\r\n")
        await harness.ask_admin("POST /admin/resume HTTP/1.1\r\n\r\n")
        await harness.send(READY_REQUEST)
        kept = await harness.connect()
        for _ in range(2):
            await harness.request("safe", connection=kept)

    check_scenario(scenario, "drain_and_resume", ProxyHarness({"b": response()}, has_admin=True))
