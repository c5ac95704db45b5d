"""What all tests share: the plugins that the suite loads, golden files, and proxies between played peers."""

import pytest
from loguru import logger

from tests.support.golden import GoldenFiles
from tests.support.proxy_harness import ProxyHarness, Scenario, ScenarioChecker, run_scenario

pytest_plugins = ["pytester", "tests.known_red"]


@pytest.fixture(autouse=True)
def disable_logging() -> None:
    """A proxy in this process logs nothing, unless the test adds a handler."""
    logger.remove()


@pytest.fixture
def golden(request: pytest.FixtureRequest) -> GoldenFiles:
    """The golden files beside the test's module."""
    return GoldenFiles(request.path.parent / "golden")


@pytest.fixture
def check_scenario(golden: GoldenFiles) -> ScenarioChecker:
    """Plays a scenario with each harness in turn, and compares what all peers saw with one golden file."""

    def run_and_compare(scenario: Scenario, name: str, *harnesses: ProxyHarness) -> None:
        lines: list[str] = []
        for harness in harnesses:
            harness.lines = lines
            run_scenario(scenario, harness)
        golden.check(lines, name)

    return run_and_compare
