"""SIGHUP: the configuration is read again while the proxy serves."""

import asyncio
import json
import os
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from tests.support.fake_backends import response
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import ProxyHarness, ScenarioChecker

Reload = Callable[[Any], Awaitable[None]]  # of a text or a document

RELOAD_SECONDS = 0.05  # for the proxy to have read the file


@pytest.fixture
def config_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """The file that SIGHUP has a proxy in this process read."""
    file = tmp_path / "config.json"
    monkeypatch.setenv("BALANCER_CONFIG", str(file))
    return file


@pytest.fixture
def reload(config_file: Path) -> Reload:
    """Has the proxy read that text, or that document."""

    async def reload(content: Any) -> None:
        config_file.write_text(content if isinstance(content, str) else json.dumps(content))
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(RELOAD_SECONDS)

    return reload


def test_discovery_moves(check_scenario: ScenarioChecker, reload: Reload, monkeypatch: pytest.MonkeyPatch):
    """SIGHUP, again and again.  A file that cannot be used changes nothing; the former discovery tells until the new one stands,
    whose list is complete; the file goes before the environment."""

    async def scenario(harness: ProxyHarness) -> None:
        discovery = harness.discovery
        monkeypatch.setenv("BALANCER_DISCOVERY", harness.config["discovery"])
        discovery.publish_endpoints("b")
        await reload("no JSON")
        await reload(dict(harness.config, discovery="nowhere"))
        await harness.request("safe")
        discovery.publish_endpoints(("b", "leaving"), "c")
        await reload(dict(harness.config, discovery="127.0.0.1:1"))
        await harness.request("safe")
        former_watches = discovery.watches
        discovery.watches = []
        harness.backends.scripts = {"d": None}  # all that the new discovery lists
        new_port = await harness.listen(discovery.serve)
        for _ in range(3):
            await reload(dict(harness.config, discovery=f"127.0.0.1:{new_port}"))
        await wait_until(lambda: discovery.watches)
        await asyncio.sleep(RELOAD_SECONDS)
        await harness.request("safe")
        harness.lines.extend(discovery.polls)
        harness.backends.writers.extend(former_watches)

    check_scenario(scenario, "sockets_reload", ProxyHarness({"b": response(), "c": response(), "d": response()}))


def test_reload_between_head_and_last_byte(check_scenario: ScenarioChecker, config_file: Path):
    """SIGHUP between a request's head and its last byte makes its class a deduplicated one, or drops it.  The request came
    without a key, and is rejected unsent."""

    async def scenario(harness: InstrumentedHarness) -> None:
        heads = [
            harness.request_head(body_bytes=4),
            harness.request_head("c1", "once", body_bytes=4),
            harness.request_head("c2", "keyed", "Idempotency-Key: k\r\n", body_bytes=4),
        ]
        clients = [await harness.send_raw(head + b"bo") for head in heads]

        for client in clients:
            await client.wait_for_connection(lambda connection: connection.stream.message.attributes)
        changed = json.loads(json.dumps(harness.config))
        deduplicated = changed["settings"]["schemes"][1]
        changed["settings"]["schemes"] = [dict(deduplicated, name=name) for name in ("safe", "keyed")]
        config_file.write_text(json.dumps(changed))
        os.kill(os.getpid(), signal.SIGHUP)
        await wait_until(lambda: len(harness.clients.intake._classes) == 2)
        for client in clients:
            await client.send(b"dy")
            await client.record_received(28)
            client.close()

    check_scenario(scenario, "crossing_renewed", InstrumentedHarness({"b": response()}))


def test_settings_change_while_serving(check_scenario: ScenarioChecker, reload: Reload):
    """SIGHUP adds a request class and drops another.  A request that is open under it is answered, one that comes is rejected."""
    release = asyncio.Event()

    async def scenario(harness: ProxyHarness) -> None:
        open_request = asyncio.get_running_loop().create_task(harness.request("once"))
        await wait_until(lambda: harness.backends.requests_received)
        changed = json.loads(json.dumps(harness.config))
        classes = changed["settings"]["schemes"]
        classes[2] = dict(classes[0], name="new")
        unusable = json.loads(json.dumps(changed))
        unusable["settings"]["limits"]["most_postings"] = 0
        await reload(unusable)
        await harness.request("new", Idempotency_Key=None)
        await reload(changed)
        await harness.request("new", X_Call_Id="c2")
        await harness.request("once", X_Call_Id="c3")
        release.set()
        await open_request

    check_scenario(scenario, "settings_while_serving", ProxyHarness({"b": lambda number: release if number == 1 else response()}))
