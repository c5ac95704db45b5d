"""Reads an instance's configuration: settings, addresses, limits and the operators' feature switches."""
