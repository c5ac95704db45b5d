"""Tests of `sloeferry.config`."""
