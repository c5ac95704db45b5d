"""Reload of the configuration on SIGHUP while the proxy serves."""

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

Reload = Callable[[Any], Awaitable[None]]  # takes the file's text, or a document to write as JSON

RELOAD_SECONDS = 0.05  # time for the proxy to read the file


@pytest.fixture
def config_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Return the file that a proxy in this process reads on SIGHUP."""
    file = tmp_path / "config.json"
    monkeypatch.setenv("BALANCER_CONFIG", str(file))
    return file


@pytest.fixture
def reload(config_file: Path) -> Reload:
    """Return a function that writes a text or document to the file and has the proxy read it."""

    async def reload(content: Any) -> None:
        config_file.write_text(content if isinstance(content, str) else json.dumps(content))
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(RELOAD_SECONDS)

    return reload


def test_reload_changes_discovery_address(check_scenario: ScenarioChecker, reload: Reload, monkeypatch: pytest.MonkeyPatch):
    """An unusable file changes nothing.  The previous discovery server is used until a watch of the new one is open, whose list
    is complete; the file takes precedence over the environment."""

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
        previous_watches = discovery.watches
        discovery.watches = []
        harness.backends.scripts = {"d": None}  # the only backend that the new discovery server lists
        new_port = await harness.listen(discovery.serve)
        for _ in range(3):
            await reload(dict(harness.config, discovery=f"127.0.0.1:{new_port}"))
        await wait_until(lambda: discovery.watches)
        await asyncio.sleep(RELOAD_SECONDS)
        await harness.request("safe")
        harness.lines.extend(discovery.polls)
        harness.backends.writers.extend(previous_watches)

    check_scenario(scenario, "reload_discovery_address", ProxyHarness({"b": response(), "c": response(), "d": response()}))


def test_reload_between_head_and_last_byte(check_scenario: ScenarioChecker, config_file: Path):
    """SIGHUP between a request's head and its last byte makes its class a deduplicated one, or removes it.  The request has no
    idempotency key, and is rejected without an attempt."""

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

    check_scenario(scenario, "reload_before_last_byte", InstrumentedHarness({"b": response()}))


def test_reload_adds_and_removes_request_classes(check_scenario: ScenarioChecker, reload: Reload):
    """SIGHUP adds a request class and removes another: an open request of the latter is answered, a new one is rejected."""
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

    check_scenario(scenario, "reload_request_classes", ProxyHarness({"b": lambda number: release if number == 1 else response()}))
