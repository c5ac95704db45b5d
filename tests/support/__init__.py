"""Test support shared by several packages: golden files, a recording policy host, and a proxy with fake peers."""
