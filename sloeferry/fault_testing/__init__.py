"""Fault testing: real proxy processes, stand-in backends and clients in a few worker processes, and faults between them."""
