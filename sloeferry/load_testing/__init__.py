"""Load generator on loopback: open-loop clients, stand-in backends, proxies and their measurements.

The proxy imports nothing from this package.
"""
