"""Endpoint lists that are pushed: what the agent gets counts as notified."""

import asyncio
from typing import Any
from unittest import mock

from tests.support.fake_backends import FakeBackends, response
from tests.support.fake_discovery import STREAM_HEAD, FakeDiscovery
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import Connection, ScenarioChecker

PUSHED = {"discovery": "automatic"}


class LateDiscovery(FakeDiscovery):
    """Tells that b drains, once the proxy was seen not to be ready."""

    def __init__(self, backends: FakeBackends):
        super().__init__(backends)
        self.was_not_ready = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One poll."""
        await reader.readuntil(b"\r\n\r\n")
        await self.was_not_ready.wait()
        writer.write(STREAM_HEAD)
        self.watches[:] = [writer]
        self.publish_endpoints(("b", "leaving"), "c")


class LateDiscoveryHarness(InstrumentedHarness):
    """A proxy with a cached list, whose discovery tells of a change once the proxy was seen not to be ready."""

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.discovery = LateDiscovery(self.backends)

    async def send(self, text: str | bytes, connection: Connection | None = None, is_recorded: bool = True) -> str:
        """As ever; a 503 is seen."""
        result = await super().send(text, connection, is_recorded)
        if "503" in result:
            self.discovery.was_not_ready.set()
        return result


def test_new_process(check_scenario: ScenarioChecker):
    """Where changes are pushed, what was told while no process was there binds the new one from its first moment: a cached list
    names a backend that drains since.  The proxy becomes ready, and sends, with the list in hand."""
    backends = {"b": response("of b"), "c": response("of c")}
    harness = LateDiscoveryHarness(backends, cached_endpoints=["b", "c"], settings=PUSHED)
    check_scenario(lambda harness: harness.request("safe"), "crossing_pushed", harness)


def test_watch_reset(check_scenario: ScenarioChecker):
    """What the agent gets counts as notified, watch or no watch.  A failed connection, the pause behind a watch's end and the one
    behind a connection are over within the drain grace."""

    async def scenario(harness: InstrumentedHarness) -> None:
        sleep, loop = asyncio.sleep, harness.discovery_client.loop
        sleeps_seconds: list[float] = []
        patience_ms: list[float] = []  # of each connection

        async def sleep_shortly(seconds: float) -> None:
            sleeps_seconds.append(seconds)
            await sleep(0)

        async def connect_in_vain(loop: Any, address: Any, patience: float) -> None:
            patience_ms.append(patience)

        def call_later(seconds: float, *arguments: Any) -> None:
            sleeps_seconds.append(seconds)
            loop.call_later(seconds, *arguments)

        harness.discovery_client.loop = mock.Mock(wraps=loop)
        harness.discovery_client.loop.call_later = call_later
        with (
            mock.patch("sloeferry.network.discovery_watch.asyncio.sleep", sleep_shortly),
            mock.patch("sloeferry.network.sockets.connect", connect_in_vain),
        ):
            harness.discovery.watches[0].close()
            await wait_until(lambda: len(patience_ms) > 3)
        grace_ms = harness.dispatcher.policy.settings.obligations.drain_grace_ms
        is_within = patience_ms[0] + 2000 * max(sleeps_seconds) <= grace_ms
        harness.record(f"a dial and two pauses within the grace of a drain: {is_within}")

    settings = PUSHED | {"obligations": {"drain_grace": 250000}}
    check_scenario(scenario, "crossing_pushed_reset", InstrumentedHarness({"b": response()}, settings=settings))


def test_former_watch(check_scenario: ScenarioChecker):
    """Where changes are pushed, after a move, the new watch fails and the former one stands.  The new place is polled again all
    the same; what the agent there has counts as notified."""

    async def scenario(harness: InstrumentedHarness) -> None:
        polls, client = harness.discovery.polls, harness.discovery_client
        harness.discovery.scripted_responses = [b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"]
        client.poll_complete_list()
        await wait_until(lambda: len(polls) == 3 and client.is_watching)
        await wait_until(lambda: len(client.open_sockets) == 1)  # the former one ends a turn of the loop later
        harness.record(f"{len(polls)} calls, {len(client.open_sockets)} watches")

    # The former one is not to end by itself.
    with mock.patch("sloeferry.network.discovery_watch.MAX_SILENCE_SECONDS", 60.0):
        check_scenario(scenario, "crossing_pushed_former", InstrumentedHarness({"b": response()}, settings=PUSHED))
