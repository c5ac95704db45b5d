"""Pushed endpoint lists: a change counts as notified once the platform's agent has it."""

import asyncio
from typing import Any
from unittest import mock

from tests.support.fake_backends import FakeBackends, response
from tests.support.fake_discovery import STREAM_HEAD, FakeDiscovery
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import Connection, ScenarioChecker

PUSHED = {"discovery": "automatic"}


class LateDiscovery(FakeDiscovery):
    """Sends a list in which b drains, but only after a response has shown that the proxy is not ready."""

    def __init__(self, backends: FakeBackends):
        super().__init__(backends)
        self.was_not_ready = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one poll once the proxy was seen not to be ready."""
        await reader.readuntil(b"\r\n\r\n")
        await self.was_not_ready.wait()
        writer.write(STREAM_HEAD)
        self.watches[:] = [writer]
        self.publish_endpoints(("b", "leaving"), "c")


class LateDiscoveryHarness(InstrumentedHarness):
    """A proxy with a cached list, whose discovery sends a change after the proxy was seen not to be ready."""

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.discovery = LateDiscovery(self.backends)

    async def send(self, text: str | bytes, connection: Connection | None = None, is_recorded: bool = True) -> str:
        """Send a request, and let discovery answer after a 503."""
        result = await super().send(text, connection, is_recorded)
        if "503" in result:
            self.discovery.was_not_ready.set()
        return result


def test_new_process_waits_for_pushed_list(check_scenario: ScenarioChecker):
    """A backend in the cached list has begun to drain while no process was running.

    Where changes are pushed, that change counts as notified for the new process: the proxy becomes ready, and sends requests,
    only once it has received the list.
    """
    backends = {"b": response("of b"), "c": response("of c")}
    harness = LateDiscoveryHarness(backends, cached_endpoints=["b", "c"], settings=PUSHED)
    check_scenario(lambda harness: harness.request("safe"), "push_new_process", harness)


def test_reconnect_within_drain_grace(check_scenario: ScenarioChecker):
    """A pushed change counts as notified even while no watch is open.

    A failed dial, the pause after the end of a watch and the pause after a dial together fit into the drain grace.
    """

    async def scenario(harness: InstrumentedHarness) -> None:
        sleep, loop = asyncio.sleep, harness.discovery_client.loop
        sleeps_seconds: list[float] = []
        timeouts_ms: list[float] = []  # of each dial

        async def record_sleep(seconds: float) -> None:
            sleeps_seconds.append(seconds)
            await sleep(0)

        async def fail_to_connect(loop: Any, address: Any, timeout_ms: float) -> None:
            timeouts_ms.append(timeout_ms)

        def call_later(seconds: float, *arguments: Any) -> None:
            sleeps_seconds.append(seconds)
            loop.call_later(seconds, *arguments)

        harness.discovery_client.loop = mock.Mock(wraps=loop)
        harness.discovery_client.loop.call_later = call_later
        with (
            mock.patch("sloeferry.network.discovery_watch.asyncio.sleep", record_sleep),
            mock.patch("sloeferry.network.sockets.connect", fail_to_connect),
        ):
            harness.discovery.watches[0].close()
            await wait_until(lambda: len(timeouts_ms) > 3)
        grace_ms = harness.dispatcher.policy.settings.obligations.drain_grace_ms
        is_within = timeouts_ms[0] + 2000 * max(sleeps_seconds) <= grace_ms
        harness.record(f"a dial and two pauses within the grace of a drain: {is_within}")

    settings = PUSHED | {"obligations": {"drain_grace": 250000}}
    check_scenario(scenario, "push_watch_reset", InstrumentedHarness({"b": response()}, settings=settings))


def test_polls_again_while_former_watch_is_open(check_scenario: ScenarioChecker):
    """After a move of discovery, the new watch fails while the former one is open.

    The new address is polled again, since changes that its agent has count as notified where changes are pushed.
    """

    async def scenario(harness: InstrumentedHarness) -> None:
        polls, client = harness.discovery.polls, harness.discovery_client
        harness.discovery.scripted_responses = [b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"]
        client.poll_complete_list()
        await wait_until(lambda: len(polls) == 3 and client.is_watching)
        await wait_until(lambda: len(client.open_sockets) == 1)  # the former one ends one loop iteration later
        harness.record(f"{len(polls)} calls, {len(client.open_sockets)} watches")

    # The former watch must not end because of silence.
    with mock.patch("sloeferry.network.discovery_watch.MAX_SILENCE_SECONDS", 60.0):
        check_scenario(scenario, "push_former_watch", InstrumentedHarness({"b": response()}, settings=PUSHED))
