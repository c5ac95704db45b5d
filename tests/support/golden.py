"""Golden files: the lines that a test records, compared with a file that people read."""

import difflib
import unittest
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

SHARED_GOLDEN_FOLDER = Path(__file__).resolve().parents[1] / "kept"


class Recorder(Protocol):
    """What records lines."""

    lines: list[str]


class LineRecorder:
    """Lines that a test records itself."""

    def __init__(self) -> None:
        self.lines: list[str] = []


class GoldenFiles:
    """The golden files of one folder."""

    def __init__(self, folder: Path):
        self.folder = folder

    def check(self, lines: Sequence[str], name: str) -> None:
        """Raises AssertionError with the difference unless the lines are those of the golden file of that name."""
        expected = (self.folder / name).read_text().splitlines()
        difference = list(difflib.unified_diff(expected, list(lines), "golden file", "recorded now", lineterm=""))
        if difference:
            raise AssertionError("\n" + "\n".join(difference))


def compare(test: unittest.TestCase, recorder: Recorder, name: str) -> None:
    """The same for test classes, whose golden files stand in `tests/kept`; raises the test's own failure."""
    try:
        GoldenFiles(SHARED_GOLDEN_FOLDER).check(recorder.lines, name)
    except AssertionError as error:
        raise test.failureException(str(error)) from None
