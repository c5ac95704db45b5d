"""An epoll of the simulated network."""

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sloeferry.rehearsal.network import SimulatedNetwork
    from sloeferry.rehearsal.simulated_socket import SimulatedSocket


class SimulatedEpoll:
    """As much of select.epoll as the proxy uses: one-shot, for reading."""

    def __init__(self, network: "SimulatedNetwork"):
        self._network = network
        self._ready: dict[int, None] = {}  # descriptors, in the order in which they became ready

    def register(self, descriptor: int, flags: int) -> None:
        """As select.epoll."""
        self._network.sockets[descriptor].waiters.epoll = self
        self.modify(descriptor, flags)

    def modify(self, descriptor: int, flags: int) -> None:
        """As select.epoll: arms it anew."""
        sock = self._network.sockets[descriptor]
        sock.waiters.is_armed = True
        if sock.is_readable():
            self._ready[descriptor] = None

    def became_readable(self, sock: "SimulatedSocket") -> None:
        """A socket may be read."""
        if sock.waiters.is_armed:
            self._ready[sock.descriptor] = None

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        """As select.epoll; never waits."""
        found = []
        for descriptor in list(self._ready)[:max_events]:
            del self._ready[descriptor]
            sock = self._network.sockets.get(descriptor)
            if sock is not None and sock.waiters.is_armed:
                sock.waiters.is_armed = False
                found.append((descriptor, select.EPOLLIN))
        return found
