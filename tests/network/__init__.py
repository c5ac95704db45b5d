"""Tests of `sloeferry.network`."""
