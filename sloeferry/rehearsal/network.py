"""Simulates a TCP network in virtual time: hosts in zones, latency, segmentation and resets.

Segments of a connection arrive in order.  A disconnected host neither sends nor receives; its connections stay open.
"""

import asyncio
from collections.abc import Callable

from sloeferry.rehearsal.simulated_process import SimulatedProcess
from sloeferry.rehearsal.simulated_socket import Address, Segment, SimulatedSocket
from sloeferry.rehearsal.simulated_transport import SimulatedServer, SimulatedTransport
from sloeferry.rehearsal.virtual_time import Scheduler

# Delay before the first retry of a connect that found a full backlog; it doubles for at most MAX_RETRY_DOUBLINGS retries.
CONNECT_RETRY_SECONDS = 1.0
MAX_RETRY_DOUBLINGS = 5
FIRST_DESCRIPTOR = 101
FIRST_EPHEMERAL_PORT, EPHEMERAL_PORT_COUNT = 32768, 28000


class SimulatedHost:
    """A host with one IP address in a zone (None for a client's); `is_cut_off` disconnects it from the network."""

    def __init__(self, network: "SimulatedNetwork", ip: str, zone: str | None):
        self.network = network
        self.ip = ip
        self.zone = zone
        self.is_cut_off = False
        network.hosts[ip] = self


class SimulatedNetwork:
    """Connects hosts, delivers segments and owns all sockets; latencies are one-way, in seconds."""

    def __init__(
        self,
        scheduler: Scheduler,
        same_zone_seconds: float = 0.0002,
        cross_zone_seconds: float = 0.001,
        client_extra_seconds: float = 0.0,
        jitter_ratio: float = 0.0,
        split_probability: float = 0.0,
    ):
        """Build an empty network.

        `client_extra_seconds` is added to the latency to and from clients' hosts; `split_probability` is the probability that
        sent bytes arrive in two segments.
        """
        self.scheduler = scheduler
        self.same_zone_seconds = same_zone_seconds
        self.split_probability = split_probability
        self.hosts: dict[str, SimulatedHost] = {}  # by address
        self.listeners: dict[Address, SimulatedSocket] = {}
        self.sockets: dict[int, SimulatedSocket] = {}  # by descriptor
        self.bytes_delivered = 0
        self.rng = scheduler.rng("network")
        self._cross_zone_seconds = cross_zone_seconds
        self._client_extra_seconds = client_extra_seconds
        self._jitter_ratio = jitter_ratio
        self._last_descriptor = FIRST_DESCRIPTOR - 1
        self._port_counter = FIRST_EPHEMERAL_PORT

    def latency(self, source: SimulatedHost, target: SimulatedHost) -> float:
        """Return the latency of one segment between two hosts, with random jitter."""
        if source.zone is None or target.zone is None:
            seconds = self._client_extra_seconds + self.same_zone_seconds
        elif source.zone == target.zone:
            seconds = self.same_zone_seconds
        else:
            seconds = self._cross_zone_seconds
        return seconds * (1 + self._jitter_ratio * self.rng.random()) if self._jitter_ratio else seconds

    def socket(self, process: SimulatedProcess | None = None) -> SimulatedSocket:
        """Return a new socket of a process, by default the one that is running."""
        return SimulatedSocket(self, process or self.scheduler.current)

    def next_descriptor(self) -> int:
        """Return a descriptor for a new socket."""
        self._last_descriptor += 1
        return self._last_descriptor

    def next_port(self) -> int:
        """Return an ephemeral port for the connecting end of a connection."""
        self._port_counter += 1
        return FIRST_EPHEMERAL_PORT + self._port_counter % EPHEMERAL_PORT_COUNT

    # Connecting

    def send_connect(self, sock: SimulatedSocket, address: Address, retry_count: int = 0) -> None:
        """Send a connect; to a host that does not exist it never completes."""
        target = self.hosts.get(address[0])
        if target is None or sock.is_closed:
            return
        latency = self.latency(sock.process.host, target)
        arrives_at = sock.process.time() + latency
        self.scheduler.call_at(arrives_at, self._connect_arrived, sock, target, address, latency, retry_count)

    def _connect_arrived(
        self, sock: SimulatedSocket, target: SimulatedHost, address: Address, latency: float, retry_count: int
    ) -> None:
        source = sock.process.host
        if target.is_cut_off or source.is_cut_off or sock.is_closed:
            return
        listener = self.listeners.get(address)
        if listener is None:
            self.scheduler.call_later(latency, sock.connection_refused)
        elif listener.is_backlog_full():
            delay_seconds = CONNECT_RETRY_SECONDS * 2 ** min(retry_count, MAX_RETRY_DOUBLINGS)
            self.scheduler.call_later(delay_seconds, self.send_connect, sock, address, retry_count + 1)
        else:
            sock.remote_address = address
            listener.add_to_backlog(self._accepting_end(listener, sock, address))
            self.scheduler.call_later(latency, sock.connection_established)

    def _accepting_end(self, listener: SimulatedSocket, sock: SimulatedSocket, address: Address) -> SimulatedSocket:
        """Return the accepting end of a new connection."""
        accepting_end = SimulatedSocket(self, listener.process)
        accepting_end.peer = sock
        sock.peer = accepting_end
        accepting_end.local_address = address
        accepting_end.remote_address = sock.process.host.ip, sock.assign_port()
        return accepting_end

    # Sending

    def send(self, sock: SimulatedSocket, segment: Segment, data: bytes = b"", extra_seconds: float = 0.0) -> None:
        """Send a segment to the peer; it arrives after all segments sent before it."""
        source, peer = sock.process.host, sock.peer
        if source.is_cut_off or peer is None:
            return
        arrives_at = max(sock.process.time() + self.latency(source, peer.process.host) + extra_seconds, sock.last_arrival_at)
        sock.last_arrival_at = arrives_at
        self.scheduler.call_at(arrives_at, self._segment_arrived, sock, peer, segment, data)

    def _segment_arrived(self, sock: SimulatedSocket, peer: SimulatedSocket, segment: Segment, data: bytes) -> None:
        source, target = sock.process.host, peer.process.host
        if target.is_cut_off or source.is_cut_off:
            return
        if peer.is_closed:
            if segment is Segment.DATA:  # the kernel of the peer's host resets the connection
                self.scheduler.call_later(self.latency(target, source), sock.connection_reset)
            return
        self.bytes_delivered += len(data)
        peer.segment_received(segment, data)

    # Servers and connections of asyncio protocols

    def create_server(
        self, process: SimulatedProcess, factory: Callable[[], asyncio.Protocol], address: Address, backlog: int
    ) -> SimulatedServer:
        """Listen on an address and create a protocol for each connection; see `AbstractEventLoop.create_server`."""
        sock = SimulatedSocket(self, process)
        sock.bind(address)
        sock.listen(backlog)
        server = SimulatedServer(process, sock, factory)
        sock.waiters.watch(server.accept)
        return server

    async def create_connection(
        self, process: SimulatedProcess, factory: Callable[[], asyncio.Protocol], address: Address
    ) -> tuple[SimulatedTransport, asyncio.Protocol]:
        """Connect to an address and create a protocol; see `AbstractEventLoop.create_connection`."""
        sock = SimulatedSocket(self, process)
        try:
            await sock.connect(address)
        except BaseException:
            sock.close()
            raise
        protocol = factory()
        return SimulatedTransport(process, sock, protocol), protocol
