"""Real proxy processes on loopback while discovery is reachable and every poll fails."""

from tests import test_rig


def test_no_rule_is_broken_while_polls_fail():
    """Watches end; polls are refused, reset, cut short or not answered; backends begin to drain meanwhile (incident 1).

    No safety rule is broken.
    """
    code, text = test_rig.Processes.run_plan(["refusals"])
    assert code == 0, text
    assert "rules kept" in text
