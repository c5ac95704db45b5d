"""Manages the lifecycle of a proxy process: startup, state, reload, drain, takeover and shutdown."""
