"""Comparison of recorded lines with golden files."""

from pathlib import Path

import pytest

from tests.support.golden import SHARED_GOLDEN_FOLDER, GoldenFiles


def test_equal_lines_pass(tmp_path: Path):
    """Lines that equal the golden file pass."""
    (tmp_path / "name").write_text("one\ntwo\n")
    GoldenFiles(tmp_path).check(["one", "two"], "name")


@pytest.mark.parametrize("lines", [["one"], ["one", "two", "three"], ["two", "one"], ["one", "Two"], []], ids=str)
def test_different_lines_fail(tmp_path: Path, lines: list[str]):
    """A missing, additional, moved or changed line fails with the difference."""
    (tmp_path / "name").write_text("one\ntwo\n")
    with pytest.raises(AssertionError, match="golden file"):
        GoldenFiles(tmp_path).check(lines, "name")


def test_missing_golden_file_fails(tmp_path: Path):
    """A name without a golden file fails instead of passing."""
    with pytest.raises(FileNotFoundError):
        GoldenFiles(tmp_path).check([], "name")


def test_folders_do_not_depend_on_working_directory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, request: pytest.FixtureRequest
):
    """The golden folders are absolute and do not depend on the working directory."""
    monkeypatch.chdir(tmp_path)
    golden = request.getfixturevalue("golden")
    assert SHARED_GOLDEN_FOLDER.is_absolute() and SHARED_GOLDEN_FOLDER.name == "kept"
    assert golden.folder == Path(__file__).resolve().parent / "golden"
