"""The rig: real proxies, each a process of its own, nodes and callers in a few more, and faults between them."""
