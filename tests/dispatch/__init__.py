"""Tests of `sloeferry.dispatch`."""
