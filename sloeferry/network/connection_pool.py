"""The connection pool: endpoint addresses, idle connections to backends, and dialing."""

import asyncio
import socket

from sloeferry import environment
from sloeferry.config.instance import Address, InstanceConfig
from sloeferry.config.settings import Settings
from sloeferry.dispatch.attempt_end import AttemptEnd
from sloeferry.network import sockets
from sloeferry.network.backend_connection import BackendConnection
from sloeferry.network.buffers import BufferPool
from sloeferry.network.descriptor_budget import DescriptorBudget
from sloeferry.network.limited_log import warn
from sloeferry.network.memory_budget import MemoryBudget
from sloeferry.network.sockets import has_unread_bytes, is_open_and_idle

# A backend may send a duplicate response, to a request or a health check, up to this long after the first (the protocol says
# some ms).
DUPLICATE_RESPONSE_SECONDS = 0.006
# The same for some time after surplus bytes were seen: where duplicates occur, a busy link or host may delay some of them.
DELAYED_DUPLICATE_MULTIPLE, DUPLICATES_EXPECTED_SECONDS = 2, 60.0
IDLE_LIMIT_RATIO = 0.8  # of the time after which a backend closes an idle connection
SWEEPS_PER_IDLE_LIMIT = 8
# A dial or a response that makes no progress for this ratio of the shortest latency objective is given up.
MAX_PAUSE_RATIO = 1 / 4
FIRST_REDIAL_MS, MAX_REDIAL_MS = 5.0, 80.0  # backoff between dials that fail with a local error


class ConnectionPool:
    """Holds the idle connections to all endpoints and dials new ones."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        budget: DescriptorBudget,
        buffers: BufferPool,
        memory: MemoryBudget,
    ):
        self.loop = loop
        self.budget = budget
        self.buffers = buffers
        self.memory = memory
        self.addresses: dict[str, Address] = {}  # by endpoint id
        self.idle: dict[str, list[BackendConnection]] = {}  # by endpoint id, the most recently used last
        self._duplicates_expected_until = 0.0  # seconds, monotonic
        self._update(settings)

    def update_config(self, config: InstanceConfig) -> None:
        """Apply the timeouts of a new configuration."""
        self._update(config.settings)

    def _update(self, settings: Settings) -> None:
        self.connect_timeout_ms = settings.limits.connect_timeout_ms
        self.max_idle_seconds = settings.limits.idle_connection_ms / 1000 * IDLE_LIMIT_RATIO
        shortest_objective_ms = min(each.latency_objective_ms for each in settings.request_classes)
        self.max_pause_seconds = shortest_objective_ms * MAX_PAUSE_RATIO / 1000

    def set_address(self, endpoint_id: str, address: Address | None) -> None:
        """Set an endpoint's address, or remove it (None), and close the idle connections to the old one."""
        if self.addresses.get(endpoint_id) == address:
            return
        for connection in list(self.idle.get(endpoint_id, ())):
            connection.close()
        self.idle.pop(endpoint_id, None)
        if address is None:
            del self.addresses[endpoint_id]
        else:
            self.addresses[endpoint_id] = address

    async def acquire(self, endpoint_id: str, dial_deadline: float) -> BackendConnection | AttemptEnd:
        """Return a connection that is ready for a request or health check, or the reason why there is none.

        No duplicate response is still due on it.  `dial_deadline` (ms): until then, dials that fail with a local error are
        retried.
        """
        return await self._take_idle(endpoint_id) or await self._dial(endpoint_id, dial_deadline)

    async def _take_idle(self, endpoint_id: str) -> BackendConnection | None:
        """Take an idle connection that is still usable; return None if there is none.

        Among the connections on which no duplicate response can be due the most recently used is taken, which its backend will
        close last.  If all were used more recently, the oldest is waited for: a new connection costs its backend more than a few
        ms.
        """
        while idle_connections := self.idle.get(endpoint_id):
            idle_before = environment.monotonic() - self._duplicate_seconds()
            connection = next(
                (each for each in reversed(idle_connections) if each.idle_since <= idle_before), idle_connections[0]
            )
            if connection.is_usable():
                connection.mark_in_use()
                if await self._wait_for_duplicates(connection):
                    return connection
            self._close_unusable(connection)
        return None

    def _close_unusable(self, connection: BackendConnection) -> None:
        """Close a connection that was idle; bytes on it belong to no response."""
        if has_unread_bytes(connection.sock):
            self.note_surplus_bytes()
        connection.close()

    def note_surplus_bytes(self) -> None:
        """Record that a backend sent bytes that belong to no response, such as a duplicate response."""
        self._duplicates_expected_until = environment.monotonic() + DUPLICATES_EXPECTED_SECONDS

    def _duplicate_seconds(self) -> float:
        """Return for how long after a response a duplicate of it may be due."""
        are_expected = environment.monotonic() < self._duplicates_expected_until
        return DUPLICATE_RESPONSE_SECONDS * (DELAYED_DUPLICATE_MULTIPLE if are_expected else 1)

    async def _wait_for_duplicates(self, connection: BackendConnection) -> bool:
        """Wait until no duplicate response can be due, and return whether the connection is still open with nothing to read.

        The next exchange would take a late duplicate response for its own, and leave its own for the exchange after it, whether
        it is a request or a health check: a client would get what was made for another (rule 1), and a duplicate rejection
        could cause a request that runs to be sent again (rule 2).
        """
        has_waited = False
        try:
            # The event loop rounds a timer to whole ms and counts it from the start of the iteration, so that it may be early.
            while (seconds_left := connection.idle_since + self._duplicate_seconds() - environment.monotonic()) > 0:
                has_waited = True
                await asyncio.sleep(seconds_left)
        except asyncio.CancelledError:
            connection.finish(keep_alive=True)
            raise
        return not has_waited or is_open_and_idle(connection.sock)

    async def _dial(self, endpoint_id: str, dial_deadline: float) -> BackendConnection | AttemptEnd:
        """Open a new connection, or return the reason why there is none; local errors are retried until `dial_deadline`."""
        address = self.addresses.get(endpoint_id)
        # A missing address or descriptor is a local condition and does not count against the backend.
        if address is None or not self.budget.acquire():
            return AttemptEnd.ABORTED_LOCALLY
        sock: socket.socket | AttemptEnd = AttemptEnd.ABORTED_LOCALLY
        try:
            sock = await self._dial_with_retries(endpoint_id, address, dial_deadline)
        finally:
            if isinstance(sock, AttemptEnd):
                self.budget.release()
        return sock if isinstance(sock, AttemptEnd) else BackendConnection(self, endpoint_id, address, sock)

    async def _dial_with_retries(self, endpoint_id: str, address: Address, dial_deadline: float) -> socket.socket | AttemptEnd:
        """Return a connected socket, or the reason why there is none."""
        pause_ms = FIRST_REDIAL_MS
        while True:
            try:
                # A backend that does not accept within this time has not run the request, which leaves time for another.
                timeout_ms = min(self.connect_timeout_ms, self.max_pause_seconds * 1000)
                return await sockets.connect(self.loop, address, timeout_ms) or AttemptEnd.CONNECTION_LOST
            except OSError as error:
                warn("dial failed", "backend={} address={}:{} error={!r}", endpoint_id, *address, error)
                if environment.monotonic_ms() + pause_ms > dial_deadline:
                    return AttemptEnd.ABORTED_LOCALLY
                await asyncio.sleep(pause_ms / 1000)
                pause_ms = min(2 * pause_ms, MAX_REDIAL_MS)

    async def sweep(self) -> None:
        """Close idle connections before their backends do, until cancelled."""
        while True:
            await asyncio.sleep(self.max_idle_seconds / SWEEPS_PER_IDLE_LIMIT)
            for connections in list(self.idle.values()):
                for connection in list(connections):
                    if not connection.is_usable():
                        self._close_unusable(connection)

    def close(self) -> None:
        """Close all idle connections and forget all addresses."""
        for endpoint_id in list(self.idle):
            self.set_address(endpoint_id, None)
