"""Who stands round real proxies in every tool: nodes, discovery, callers, HTTP framing, the platform's settings, and
daemons started and ended.  Written from the platform's protocol; loopback only.  The daemon imports none of it."""
