"""A serving proxy with extreme but valid settings."""

from typing import Any
from unittest import mock

import pytest

from sloeferry.config.settings_reader import REQUEST_CLASS_DEFAULTS
from tests.support.fake_backends import response
from tests.support.instrumented_harness import InstrumentedHarness
from tests.support.proxy_harness import ProxyHarness, ScenarioChecker


@pytest.mark.parametrize(
    ("name", "settings", "weight"),
    [
        ("grace", {"obligations": {"must_ask_in": 4000000, "drain_grace": 0}}, 1.0),
        ("step", {"step": 20000}, 1.0),
        ("gain", {}, 0.0),
    ],
    ids=["no drain grace", "long step", "no weight"],
)
def test_proxy_serves_with_extreme_settings(check_scenario: ScenarioChecker, name: str, settings: dict[str, Any], weight: float):
    """The proxy starts and serves with a drain grace of 0, with a step longer than the initially assumed time between requests,
    and with priority weights of 0."""

    class NamedHarness(ProxyHarness):
        """A harness that prefixes each recorded line with the name of the setting."""

        def record(self, text: str) -> None:
            """Record one line."""
            super().record(f"{name}: {text}")

    with mock.patch.dict(REQUEST_CLASS_DEFAULTS, gain=weight):
        harness = NamedHarness({"b": response()}, deadline_ms=500, settings=settings)
        check_scenario(lambda harness: harness.request("once"), f"extreme_{name}", harness)


class NonLatin1Harness(InstrumentedHarness):
    """A harness whose request classes have names outside Latin-1."""

    REQUEST_CLASSES = [("จอด", "retryable"), ("ผูก", "fragile"), ("gehört", "retryable")]


def test_class_names_outside_latin_1(check_scenario: ScenarioChecker):
    """Class names outside Latin-1 stay distinct; replacing their letters by one character would merge two classes."""

    async def scenario(harness: NonLatin1Harness) -> None:
        for name in ("จอด", "ผูก", "?" * 3, "gehört"):
            request_id = "c" + name.encode().hex()
            request = harness.request_head(request_id, class_name="CLASS").replace(b"CLASS", name.encode(), 1)
            harness.record(f"{name} in UTF-8: {await harness.send(request, is_recorded=False)}")
        request = harness.request_head("c9", class_name="CLASS").replace(b"CLASS", "gehört".encode("latin-1"), 1)
        harness.record(f"gehört in Latin-1: {await harness.send(request, is_recorded=False)}")

    check_scenario(scenario, "non_latin1_class_names", NonLatin1Harness({"b": response()}))
