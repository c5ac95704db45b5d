"""A replacement of select.epoll for sockets of the simulated network."""

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sloeferry.rehearsal.network import SimulatedNetwork
    from sloeferry.rehearsal.simulated_socket import SimulatedSocket


class SimulatedEpoll:
    """Implements the part of select.epoll that the proxy uses: EPOLLIN with EPOLLONESHOT."""

    def __init__(self, network: "SimulatedNetwork"):
        self._network = network
        self._ready: dict[int, None] = {}  # descriptors, in the order in which they became ready

    def register(self, descriptor: int, flags: int) -> None:
        """Watch a socket and arm it for one event."""
        self._network.sockets[descriptor].waiters.epoll = self
        self.modify(descriptor, flags)

    def modify(self, descriptor: int, flags: int) -> None:
        """Arm a watched socket for another event."""
        sock = self._network.sockets[descriptor]
        sock.waiters.is_armed = True
        if sock.is_readable():
            self._ready[descriptor] = None

    def became_readable(self, sock: "SimulatedSocket") -> None:
        """Record that a watched socket became readable."""
        if sock.waiters.is_armed:
            self._ready[sock.descriptor] = None

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        """Return the ready sockets without waiting, at most `max_events`."""
        events = []
        for descriptor in list(self._ready)[:max_events]:
            del self._ready[descriptor]
            sock = self._network.sockets.get(descriptor)
            if sock is not None and sock.waiters.is_armed:
                sock.waiters.is_armed = False
                events.append((descriptor, select.EPOLLIN))
        return events
