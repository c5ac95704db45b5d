"""Stand-ins for the environment of real proxies: backends, discovery, clients, and control of proxy processes.

All test tools share them.  They implement the platform's protocol independently of the proxy, which imports none of them, and
use loopback addresses only.
"""
