"""Runs the test suite: python -m tests [NAME ...].

Without names every test is run except those listed in KNOWN-RED.txt at the root, which are printed instead.  With
names (as unittest takes them) exactly those are run, listed or not.  Exit status: 0 if all passed, 1 otherwise.
"""

import pathlib
import sys
import time
import unittest
from dataclasses import dataclass

ROOT = pathlib.Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3
SLOWEST_SHOWN = 5


class ListError(Exception):
    """KNOWN-RED.txt can't be used; the text names the line."""


@dataclass(frozen=True)
class KnownRed:
    """A test that is known to fail: its id, why, and the issue that holds the fault."""

    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """The entries of the list: `test, cause, issue` a line; empty lines and comments (#) are passed over."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(",")]
        if len(parts) < 3 or not all(parts):
            raise ListError(f"KNOWN-RED.txt:{number}: is not 'test, cause, issue'")
        entries.append(KnownRed(parts[0], ", ".join(parts[1:-1]), parts[-1]))
    if len(entries) > MOST_KNOWN_RED:
        raise ListError(f"KNOWN-RED.txt: {len(entries)} entries, {MOST_KNOWN_RED} at most")
    return entries


def all_tests(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """The single tests of a suite, in its order."""
    return [test for part in suite for test in (all_tests(part) if isinstance(part, unittest.TestSuite) else [part])]


def without_known_red(tests: list[unittest.TestCase], entries: list[KnownRed]) -> list[unittest.TestCase]:
    """The tests that are to be run; an entry that names no test is an error."""
    names = {test.id() for test in tests}
    for entry in entries:
        if entry.test not in names:
            raise ListError(f"KNOWN-RED.txt: there is no test {entry.test}")
    red = {entry.test for entry in entries}
    return [test for test in tests if test.id() not in red]


class TimedResult(unittest.TextTestResult):
    """A result that knows how long each test took, in seconds."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.seconds: dict[str, float] = {}
        self._began = 0.0

    def startTest(self, test):
        self._began = time.monotonic()
        super().startTest(test)

    def stopTest(self, test):
        self.seconds[test.id()] = time.monotonic() - self._began
        super().stopTest(test)


def main(names: list[str]) -> int:
    """Runs the suite; the process's exit status."""
    loader = unittest.TestLoader()
    if names:
        suite, entries = loader.loadTestsFromNames(names), []
    else:
        found = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
        try:
            entries = read_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []
            suite = unittest.TestSuite(without_known_red(all_tests(found), entries))
        except ListError as fault:
            print(fault, file=sys.stderr)
            return 1
    result = unittest.TextTestRunner(verbosity=2, resultclass=TimedResult).run(suite)
    slowest = sorted(result.seconds.items(), key=lambda item: -item[1])[:SLOWEST_SHOWN]
    print("Slowest: " + "; ".join(f"{name} {seconds:.1f} s" for name, seconds in slowest), file=sys.stderr)
    for entry in entries:
        print(f"KNOWN RED, not run: {entry.test} ({entry.issue}): {entry.cause}", file=sys.stderr)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
