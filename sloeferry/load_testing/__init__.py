"""The load tool: open-loop clients, stand-in backends and proxies on loopback, and what they measure.

The proxy imports nothing of this package.
"""
