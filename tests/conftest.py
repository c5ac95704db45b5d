"""Fixtures and plugins of all tests: logging, golden files, and scenarios with a real proxy and fake peers."""

import pytest
from loguru import logger

from tests.support.golden import GoldenFiles
from tests.support.proxy_harness import ProxyHarness, Scenario, ScenarioChecker, run_scenario

pytest_plugins = ["pytester", "tests.known_red"]


@pytest.fixture(autouse=True)
def disable_logging() -> None:
    """Remove the log handlers, so that a proxy in this process logs nothing unless the test adds one."""
    logger.remove()


@pytest.fixture
def golden(request: pytest.FixtureRequest) -> GoldenFiles:
    """Return the golden files in the folder of the test's module."""
    return GoldenFiles(request.path.parent / "golden")


@pytest.fixture
def check_scenario(golden: GoldenFiles) -> ScenarioChecker:
    """Return a function that runs a scenario with each harness and compares the records with one golden file."""

    def run_and_compare(scenario: Scenario, name: str, *harnesses: ProxyHarness) -> None:
        lines: list[str] = []
        for harness in harnesses:
            harness.lines = lines
            run_scenario(scenario, harness)
        golden.check(lines, name)

    return run_and_compare
