"""The helper that compares recorded lines with golden files."""

from pathlib import Path

import pytest

from tests.support.golden import SHARED_GOLDEN_FOLDER, GoldenFiles


def test_same_lines(tmp_path: Path):
    """The same lines pass."""
    (tmp_path / "name").write_text("one\ntwo\n")
    GoldenFiles(tmp_path).check(["one", "two"], "name")


@pytest.mark.parametrize("lines", [["one"], ["one", "two", "three"], ["two", "one"], ["one", "Two"], []], ids=str)
def test_other_lines(tmp_path: Path, lines: list[str]):
    """A line that is missing, too many, elsewhere or another: the difference is told."""
    (tmp_path / "name").write_text("one\ntwo\n")
    with pytest.raises(AssertionError, match="golden file"):
        GoldenFiles(tmp_path).check(lines, "name")


def test_no_golden_file(tmp_path: Path):
    """A name without a golden file is no pass."""
    with pytest.raises(FileNotFoundError):
        GoldenFiles(tmp_path).check([], "name")


def test_from_any_working_directory(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, request: pytest.FixtureRequest):
    """The folders do not hang on the directory in which the tests are run."""
    monkeypatch.chdir(tmp_path)
    golden = request.getfixturevalue("golden")
    assert SHARED_GOLDEN_FOLDER.is_absolute() and SHARED_GOLDEN_FOLDER.name == "kept"
    assert golden.folder == Path(__file__).resolve().parent / "golden"
