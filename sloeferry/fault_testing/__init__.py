"""Fault testing with real proxy processes, stand-in backends and clients in worker processes, and injected faults."""
