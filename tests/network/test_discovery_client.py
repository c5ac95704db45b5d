"""The discovery client: polls, watches, and serving with the cached list while discovery is down."""

import asyncio
import types
from unittest import mock

from sloeferry.config.instance import InstanceConfig
from sloeferry.config.settings_reader import build_settings
from sloeferry.lifecycle.state import Lifecycle
from sloeferry.network.buffers import BufferPool
from sloeferry.network.connection_pool import ConnectionPool
from sloeferry.network.descriptor_budget import DescriptorBudget
from sloeferry.network.discovery_client import DiscoveryClient
from sloeferry.network.discovery_watch import DiscoveryWatch
from sloeferry.network.memory_budget import MemoryBudget
from tests.support.fake_backends import response
from tests.support.fake_discovery import STREAM_HEAD
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import ProxyHarness, ScenarioChecker

ARRIVAL_SECONDS = 0.1  # within which a written list arrives


def test_changes_apply_and_unreadable_documents_are_ignored(check_scenario: ScenarioChecker):
    """Changes of the list take effect; unreadable documents and entries are ignored."""

    async def scenario(harness: ProxyHarness) -> None:
        discovery = harness.discovery
        await harness.request("safe")
        discovery.push("{ nonsense")
        discovery.push('{"revision":"x","members":3}')
        for members in (
            '3,{"id":[]},{"id":"b","phase":"odd"},{"id":"z"}',
            '{"id":"b","host_port":"name:1","phase":"active"}',
        ):
            discovery.push('{"revision":3,"complete":false,"members":[' + members + "]}")
        await asyncio.sleep(ARRIVAL_SECONDS)
        await harness.request("safe")
        discovery.publish_endpoints(("b", "leaving"), is_complete=False)
        await asyncio.sleep(ARRIVAL_SECONDS)
        await harness.request("safe")
        discovery.publish_endpoints("b", is_complete=False)
        await asyncio.sleep(ARRIVAL_SECONDS)
        await harness.request("safe")

    check_scenario(scenario, "discovery_list_changes", ProxyHarness({"b": response()}))


def test_cached_list_serves_while_discovery_is_down(check_scenario: ScenarioChecker):
    """Discovery is down while a proxy starts.  The proxy is ready with the cached list and serves without a poll.

    Otherwise forty proxies that restart at once would all poll at the same moment.
    """

    async def scenario(harness: ProxyHarness) -> None:
        harness.record(f"calls for the list before the first client: {len(harness.discovery.polls)}")
        await harness.request("safe")

    harness = ProxyHarness({"b": response()}, cached_endpoints=["b"], poll_within_ms=400_000)
    check_scenario(scenario, "discovery_down_at_start", harness)


def test_poll_after_any_end_of_a_watch(check_scenario: ScenarioChecker):
    """After any end of a watch, and after a silent one, the next poll continues from the last revision."""

    async def scenario(harness: InstrumentedHarness) -> None:
        discovery = harness.discovery
        await wait_until(lambda: len(discovery.polls) >= 6)
        harness.lines.extend(discovery.polls[:6])
        await wait_until(lambda: discovery.watches)
        discovery.publish_endpoints("b")
        await wait_until(lambda: "b" in harness.dispatcher.policy.table.by_id)
        await harness.request("safe")

    harness = InstrumentedHarness({"b": response()}, poll_within_ms=400)
    harness.discovery.scripted_responses = [
        response("", 503),
        STREAM_HEAD,
        b"",
        b"\x00nonsense\r\n\r\n",
        STREAM_HEAD + b'30\r\n{"revision":7,"complete":false,"members":[]}   \n\r\n',
    ]
    with mock.patch("sloeferry.network.discovery_watch.MAX_SILENCE_SECONDS", 0.1):
        check_scenario(scenario, "discovery_watch_ends", harness)


def test_dials_until_discovery_is_back(check_scenario: ScenarioChecker):
    """Discovery is unreachable.  One poll dials until it is reachable, and the cached list is used meanwhile."""

    async def scenario(harness: ProxyHarness) -> None:
        loop, port = asyncio.get_running_loop(), await harness.free_port()
        settings = build_settings({"schemes.count": 1, "limits.dial_timeout": 20.0})
        config = InstanceConfig("n0", ("", 0), ("127.0.0.1", port), 7, 64, 1 << 27, {}, settings)
        budget, lifecycle = DescriptorBudget(9), Lifecycle()
        dispatcher = types.SimpleNamespace(endpoint_events=None, host=None)
        pool = ConnectionPool(loop, settings, budget, BufferPool(), MemoryBudget(1 << 28))
        client = DiscoveryClient(loop, dispatcher, config, budget, BufferPool(), pool, lifecycle)
        client.known_endpoints = {"b": ()}
        connecting = loop.create_task(DiscoveryWatch(client, 1)._dial())
        await wait_until(lifecycle.reports_ready)
        harness.record(f"ready, connected: {connecting.done()}")
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", port)
        (await connecting).close()
        server.close()
        harness.record(f"connected, seats taken: {budget.in_use}")

    check_scenario(scenario, "discovery_reconnects", ProxyHarness({}, cached_endpoints=["unreachable"]))
