"""The list of known failures: what it passes over, and what it refuses."""

import unittest

from tests.__main__ import ListError, all_tests, read_known_red, without_known_red


class KnownRedList(unittest.TestCase):
    def test_entries(self):
        """Comments and empty lines are passed over; a cause may hold commas."""
        entries = read_known_red("# why\n\ntests.a.B.test_c, first, then second, issue 9\n")
        self.assertEqual(
            [(one.test, one.cause, one.issue) for one in entries], [("tests.a.B.test_c", "first, then second", "issue 9")]
        )

    def test_refused(self):
        """Half a line, an empty part, one entry too many."""
        for text in ("tests.a.B.test_c, issue 9", "tests.a.B.test_c, , issue 9", "a, b, c\n" * 4):
            with self.subTest(text), self.assertRaises(ListError):
                read_known_red(text)

    def test_passed_over(self):
        """Just the listed test is passed over; an entry without its test is refused."""
        tests = all_tests(unittest.TestSuite([unittest.TestLoader().loadTestsFromTestCase(KnownRedList)]))
        listed = f"{KnownRedList.__module__}.{KnownRedList.__qualname__}.test_refused"
        left = without_known_red(tests, read_known_red(f"{listed}, cause, issue 9"))
        self.assertEqual({test.id() for test in tests} - {test.id() for test in left}, {listed})
        with self.assertRaises(ListError):
            without_known_red(tests, read_known_red("tests.nowhere.No.test_no, cause, issue 9"))
