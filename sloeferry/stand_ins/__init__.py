"""Stand-ins for everything round real proxies, shared by all tools: backends, discovery, clients, and proxy processes.

Written from the platform's protocol; loopback only.  The proxy imports none of it.
"""
