"""Tests of `sloeferry.decision_log`."""
