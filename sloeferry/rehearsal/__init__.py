"""Rehearsals run a fleet of proxies in one process, in virtual time and on a simulated network.

The proxy imports nothing from this package.
"""
