"""How long the list of backends may be used once nobody confirms it any more (rule 3)."""
import unittest

from tests.test_rig import Processes


class FailingCalls(unittest.TestCase):
    """Real proxies on loopback, their discovery reachable and each call for the list failing."""

    def test_calls_that_fail_at_once(self):
        """Incident-1: watches end, calls are refused, reset, cut short or not answered, and backends begin to drain."""
        code, text = Processes.play(["refusals"])
        self.assertEqual(code, 0, text)
        self.assertIn("rules kept", text)


if __name__ == "__main__":
    unittest.main()
