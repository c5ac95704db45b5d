"""Golden files: compares the lines that a test records with a stored, human-readable file."""

import difflib
import unittest
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

SHARED_GOLDEN_FOLDER = Path(__file__).resolve().parents[1] / "kept"


class Recorder(Protocol):
    """Object that records lines."""

    lines: list[str]


class LineRecorder:
    """Recorder whose lines the test appends itself."""

    def __init__(self) -> None:
        self.lines: list[str] = []


class GoldenFiles:
    """Golden files of one folder."""

    def __init__(self, folder: Path):
        self.folder = folder

    def check(self, lines: Sequence[str], name: str) -> None:
        """Raise AssertionError with the difference unless the lines equal the golden file of that name."""
        expected = (self.folder / name).read_text().splitlines()
        difference = list(difflib.unified_diff(expected, list(lines), "golden file", "recorded now", lineterm=""))
        if difference:
            raise AssertionError("\n" + "\n".join(difference))


def compare(test: unittest.TestCase, recorder: Recorder, name: str) -> None:
    """Compare the lines of a unittest test with its golden file in `tests/kept`; raise the test's failure exception."""
    try:
        GoldenFiles(SHARED_GOLDEN_FOLDER).check(recorder.lines, name)
    except AssertionError as error:
        raise test.failureException(str(error)) from None
