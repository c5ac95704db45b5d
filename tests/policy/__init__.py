"""Tests of `sloeferry.policy`, free of I/O."""
