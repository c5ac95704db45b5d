"""Limits of the platform's protocol that more than one part of the proxy keeps to."""

SOCKET_SLACK_MS = 50.0  # by which each limit is longer on sockets than in the simulator
