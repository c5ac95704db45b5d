"""Audits a fleet over its admin addresses: which proxy uses which version, which proxies are outdated, and why.

Only `bring_up` changes anything; all other modules are read-only.
"""
