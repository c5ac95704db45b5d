"""Tolerance of the time limits on sockets, shared by several parts of the proxy."""

# The proxy's time limits on sockets differ from the simulator's by this tolerance.
SOCKET_SLACK_MS = 50.0
