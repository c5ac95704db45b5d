"""Protocol limits that several parts of the proxy share."""

SOCKET_SLACK_MS = 50.0  # added to each time limit on sockets, as opposed to the simulator
