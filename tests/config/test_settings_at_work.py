"""Settings at the ends of what is allowed, in a proxy that serves."""

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
def test_settings_at_their_ends(check_scenario: ScenarioChecker, name: str, settings: dict[str, Any], weight: float):
    """A drain without grace, a step longer than the time between requests that is supposed at first, weights of nought.  The
    proxy starts, and serves."""

    class NamedHarness(ProxyHarness):
        """Names its case in each line."""

        def record(self, text: str) -> None:
            """One line."""
            super().record(f"{name}: {text}")

    with mock.patch.dict(REQUEST_CLASS_DEFAULTS, gain=weight):
        harness = NamedHarness({"b": response()}, deadline_ms=500, settings=settings)
        check_scenario(lambda harness: harness.request("once"), f"crossing_{name}", harness)


class ThaiHarness(InstrumentedHarness):
    """Its request classes have names that Latin-1 lacks."""

    REQUEST_CLASSES = [("จอด", "retryable"), ("ผูก", "fragile"), ("gehört", "retryable")]


def test_names_beyond_latin_1(check_scenario: ScenarioChecker):
    """Names that Latin-1 lacks are each their own: by one sign for all such letters two classes were one."""

    async def scenario(harness: ThaiHarness) -> None:
        for name in ("จอด", "ผูก", "?" * 3, "gehört"):
            request_id = "c" + name.encode().hex()
            request = harness.request_head(request_id, class_name="CLASS").replace(b"CLASS", name.encode(), 1)
            harness.record(f"{name} in UTF-8: {await harness.send(request, is_recorded=False)}")
        request = harness.request_head("c9", class_name="CLASS").replace(b"CLASS", "gehört".encode("latin-1"), 1)
        harness.record(f"gehört in Latin-1: {await harness.send(request, is_recorded=False)}")

    check_scenario(scenario, "crossing_names", ThaiHarness({"b": response()}))
