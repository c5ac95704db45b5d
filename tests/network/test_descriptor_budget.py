"""The descriptor budget for clients: which connections are kept when descriptors are short."""

import asyncio
from unittest import mock

from tests.support.fake_backends import response
from tests.support.proxy_harness import READY_REQUEST, ProxyHarness, ScenarioChecker

POLL_INTERVAL_SECONDS = 0.05


def test_excess_idle_connections_are_closed(check_scenario: ScenarioChecker):
    """Idle connections of clients that have sent one request are closed beyond a quarter of the descriptors, oldest first."""

    async def scenario(harness: ProxyHarness) -> None:
        with mock.patch("sloeferry.network.connection_sweeper.SHORT_IDLE_TIMEOUT_SECONDS", 60.0):
            first = await harness.connect()
            await harness.send(READY_REQUEST, first)
            others = [await harness.connect() for _ in range(11)]
            for connection in others:
                await harness.send(READY_REQUEST, connection, is_recorded=False)
            harness.record(f"the first one ends: {await first[0].read() == b''}")

    check_scenario(scenario, "excess_idle_connections", ProxyHarness({"b": response()}, descriptors=64))


def test_slow_first_request_keeps_its_connection(check_scenario: ScenarioChecker):
    """A connection whose first request is slow is kept in preference to many idle ones that have had a response."""

    async def scenario(harness: ProxyHarness) -> None:
        slow = await harness.connect()
        for _ in range(14):
            await harness.send(READY_REQUEST, await harness.connect(), is_recorded=False)
        while not any(reader.at_eof() for reader, _ in harness.client_connections[1:]):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        for _ in range(6):  # all descriptors are taken by then
            await harness.request("safe")
        await harness.request("safe", connection=slow)

    check_scenario(scenario, "slow_first_request", ProxyHarness({"b": response()}, descriptors=64))


def test_silent_connections_do_not_block_clients(check_scenario: ScenarioChecker):
    """200 silent connections do not cause backend connections to be closed, and requests of other clients are served."""

    async def scenario(harness: ProxyHarness) -> None:
        await harness.request("safe")
        silent = [await harness.connect() for _ in range(200)]
        await harness.request("safe")
        harness.record(f"{len(silent)} connections that say nothing")

    check_scenario(scenario, "silent_connections", ProxyHarness({"b": response()}, descriptors=64))


def test_full_budget_closes_idle_connections(check_scenario: ScenarioChecker):
    """When all descriptors are in use, idle connections are closed for clients with requests."""

    async def scenario(harness: ProxyHarness) -> None:
        idle = [await harness.connect() for _ in range(30)]
        while not any(reader.at_eof() for reader, _ in idle):
            await harness.connect()  # until the first ones have been idle long enough to be closed
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        for _ in range(3):
            await harness.request("safe")
        harness.record(f"some idle ones were ended: {any(reader.at_eof() for reader, _ in idle)}")

    check_scenario(scenario, "full_descriptor_budget", ProxyHarness({"b": response()}, descriptors=64))
