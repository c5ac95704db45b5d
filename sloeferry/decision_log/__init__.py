"""What a proxy acts on (versions of its program, its settings and its list), and what was done under each.

Free of I/O but for the recorder; a proxy imports it only where the operators' file asks for it.
"""
