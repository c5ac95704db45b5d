"""Real proxies on loopback, their discovery reachable and each poll failing."""

from tests import test_rig


def test_no_rule_is_broken_while_polls_fail():
    """Incident 1: watches end, polls are refused, reset, cut short or not answered, and backends begin to drain meanwhile.  No
    rule is broken."""
    code, text = test_rig.Processes.play(["refusals"])
    assert code == 0, text
    assert "rules kept" in text
