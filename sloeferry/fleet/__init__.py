"""The whole fleet seen at its admin addresses: which proxy acts on which version, which ones lag and why.

Only `bring_up` changes anything; the rest asks.
"""
