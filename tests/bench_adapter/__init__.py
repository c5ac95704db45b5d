"""Tests of `sloeferry.bench_adapter`."""
