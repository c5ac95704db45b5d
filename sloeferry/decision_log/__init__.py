"""Records the versions of program, settings and endpoint list that a proxy acts on, and the number of actions under each.

Only the recorder does I/O.  A proxy imports this package only if the operators' file enables it.
"""
