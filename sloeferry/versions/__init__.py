"""What a proxy acts on: versions of its program, its settings and its list, and a ledger of what was done under each.
Free of I/O; the daemon imports it only where the operators' file asks for it."""
