"""What all tests share: the plugins that the suite loads, golden files, and proxies between played peers."""

import pytest
from loguru import logger

from tests.support.golden import GoldenFiles
from tests.support.proxy_harness import PlayStory, ProxyHarness, Story, run_story

pytest_plugins = ["pytester", "tests.known_red"]


@pytest.fixture(autouse=True)
def no_log() -> None:
    """A proxy in this process logs nothing, unless the test adds a handler."""
    logger.remove()


@pytest.fixture
def golden(request: pytest.FixtureRequest) -> GoldenFiles:
    """The golden files beside the test's module."""
    return GoldenFiles(request.path.parent / "golden")


@pytest.fixture
def play_story(golden: GoldenFiles) -> PlayStory:
    """Plays a story with each harness in turn, and compares what all peers saw with one golden file."""

    def play(story: Story, name: str, *harnesses: ProxyHarness) -> None:
        lines: list[str] = []
        for harness in harnesses:
            harness.lines = lines
            run_story(story, harness)
        golden.check(lines, name)

    return play
