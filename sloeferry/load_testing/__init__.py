"""The load tool: open-loop callers, stand-in backends and daemons on loopback, and what they measure.

The daemon imports nothing of this package.
"""
