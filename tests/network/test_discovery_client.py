"""The endpoint list: polls, watches and what keeps serving without them."""

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
from tests.support.fake_backends import response
from tests.support.fake_discovery import STREAM_HEAD
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import ProxyHarness, ScenarioChecker

ARRIVAL_SECONDS = 0.1  # for a list that was written to have arrived


def test_endpoint_list(check_scenario: ScenarioChecker):
    """Changes act; what cannot be read is ignored."""

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

    check_scenario(scenario, "sockets_list", ProxyHarness({"b": response()}))


def test_discovery_is_down(check_scenario: ScenarioChecker):
    """Discovery is down while a proxy starts.  It is ready on the cached list, which serves: forty that restart at once would all
    ask in the same moment."""

    async def scenario(harness: ProxyHarness) -> None:
        harness.record(f"calls for the list before the first client: {len(harness.discovery.polls)}")
        await harness.request("safe")

    harness = ProxyHarness({"b": response()}, cached_endpoints=["b"], poll_within_ms=400_000)
    check_scenario(scenario, "sockets_list_down", harness)


def test_watch_that_ends_in_any_way(check_scenario: ScenarioChecker):
    """Whatever ends a watch, or leaves it silent, the next poll asks from the last revision on."""

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
        check_scenario(scenario, "sockets_rough_discovery", harness)


def test_discovery_comes_back(check_scenario: ScenarioChecker):
    """Discovery is cut off.  It is connected to until it is there, not once a poll; the cached list serves meanwhile."""

    async def scenario(harness: ProxyHarness) -> None:
        loop, port = asyncio.get_running_loop(), await harness.free_port()
        settings = build_settings({"schemes.count": 1, "limits.dial_timeout": 20.0})
        config = InstanceConfig("n0", ("", 0), ("127.0.0.1", port), 7, 64, 1 << 27, {}, settings)
        budget, lifecycle = DescriptorBudget(9), Lifecycle()
        dispatcher = types.SimpleNamespace(endpoint_events=None, host=None)
        pool = ConnectionPool(loop, settings, budget, BufferPool())
        client = DiscoveryClient(loop, dispatcher, config, budget, BufferPool(), pool, lifecycle)
        client.known_endpoints = {"b": ()}
        connecting = loop.create_task(DiscoveryWatch(client, 1)._dial())
        await wait_until(lifecycle.reports_ready)
        harness.record(f"ready, connected: {connecting.done()}")
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", port)
        (await connecting).close()
        server.close()
        harness.record(f"connected, seats taken: {budget.in_use}")

    check_scenario(scenario, "sockets_discovery_back", ProxyHarness({}, cached_endpoints=["nobody"]))
