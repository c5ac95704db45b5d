"""Tests of `sloeferry.lifecycle`."""
