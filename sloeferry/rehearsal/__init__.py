"""Rehearsals: a whole fleet of proxies in one process, in virtual time and on a simulated network.

The proxy imports none of it.
"""
