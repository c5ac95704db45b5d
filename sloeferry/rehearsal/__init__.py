"""Rehearsals run a fleet of proxies against stand-ins: in virtual time on a simulated network, or live with real processes.

The proxy imports nothing from this package.
"""
