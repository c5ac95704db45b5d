"""The connections to backends: where each backend listens, which connections rest, and new ones."""

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
from sloeferry.network.sockets import is_open_and_idle

# A second response to one request may come so much later (some ms, by the protocol).
DUPLICATE_RESPONSE_SECONDS = 0.006
IDLE_LIMIT_RATIO = 0.8  # of the time after which a backend closes a connection at rest
SWEEPS_PER_IDLE_LIMIT = 8
# What has begun goes on within so much of the shortest latency objective, or it is given up.
MAX_PAUSE_RATIO = 1 / 4
FIRST_REDIAL_MS, MAX_REDIAL_MS = 5.0, 80.0  # between two dials that this machine could not make


class ConnectionPool:
    """All connections to backends."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings, budget: DescriptorBudget, buffers: BufferPool):
        self.loop = loop
        self.budget = budget
        self.buffers = buffers
        self.addresses: dict[str, Address] = {}  # of each endpoint
        self.idle: dict[str, list[BackendConnection]] = {}  # by endpoint, the newest last
        self._update(settings)

    def update_config(self, config: InstanceConfig) -> None:
        """Takes over timeouts, from now on."""
        self._update(config.settings)

    def _update(self, settings: Settings) -> None:
        self.connect_timeout_ms = settings.limits.connect_timeout_ms
        self.max_idle_seconds = settings.limits.idle_connection_ms / 1000 * IDLE_LIMIT_RATIO
        shortest_objective_ms = min(each.latency_objective_ms for each in settings.request_classes)
        self.max_pause_seconds = shortest_objective_ms * MAX_PAUSE_RATIO / 1000

    def set_address(self, endpoint_id: str, address: Address | None) -> None:
        """Where an endpoint listens; None once it is gone."""
        if self.addresses.get(endpoint_id) == address:
            return
        for connection in list(self.idle.get(endpoint_id, ())):
            connection.close()
        self.idle.pop(endpoint_id, None)
        if address is None:
            del self.addresses[endpoint_id]
        else:
            self.addresses[endpoint_id] = address

    async def acquire(self, endpoint_id: str, needs_settled: bool, dial_deadline: float) -> BackendConnection | AttemptEnd:
        """A connection to write on; else why there is none.

        `needs_settled`: the caller cannot do with one that may still have a second response to come; `dial_deadline`: until
        when (ms) this machine's failing to dial is waited out.
        """
        return await self._kept(endpoint_id, needs_settled) or await self._dial(endpoint_id, dial_deadline)

    async def _kept(self, endpoint_id: str, needs_settled: bool) -> BackendConnection | None:
        """A kept connection found alive.

        The newest, which its backend will close last, of those that have rested: a second response, on its way still, would
        pass for the next request's own, and one that was rejected be sent again (rules 1 and 2).  Where none has rested, that
        time is waited for: another connection costs its backend more than a few ms.
        """
        while kept := self.idle.get(endpoint_id):
            now = environment.monotonic()
            rested = now - DUPLICATE_RESPONSE_SECONDS
            connection = next((each for each in reversed(kept) if each.idle_since <= rested), kept[0])
            if not connection.is_usable():
                connection.close()
                continue
            connection.mark_in_use()
            if needs_settled and (seconds_left := connection.idle_since + DUPLICATE_RESPONSE_SECONDS - now) > 0:
                try:
                    await asyncio.sleep(seconds_left)
                except asyncio.CancelledError:
                    connection.finish(keep_alive=True)
                    raise
                if not is_open_and_idle(connection.sock):
                    connection.close()
                    continue
            return connection
        return None

    async def _dial(self, endpoint_id: str, dial_deadline: float) -> BackendConnection | AttemptEnd:
        """A new connection; where this machine cannot dial just now, it is tried again until then at the most."""
        address = self.addresses.get(endpoint_id)
        # No place, no socket: this proxy's own want, no word against the backend.
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
        """A connected socket, or why there is none."""
        pause_ms = FIRST_REDIAL_MS
        while True:
            try:
                # A backend that does not come up in that time has not run the request: another one still may, in time.
                timeout_ms = min(self.connect_timeout_ms, self.max_pause_seconds * 1000)
                return await sockets.connect(self.loop, address, timeout_ms) or AttemptEnd.CONNECTION_LOST
            except OSError as error:
                warn("dial failed", "backend={} address={}:{} error={!r}", endpoint_id, *address, error)
                if environment.monotonic_ms() + pause_ms > dial_deadline:
                    return AttemptEnd.ABORTED_LOCALLY
                await asyncio.sleep(pause_ms / 1000)
                pause_ms = min(2 * pause_ms, MAX_REDIAL_MS)

    async def sweep(self) -> None:
        """Closes kept connections before their backend does, for as long as the program runs."""
        while True:
            await asyncio.sleep(self.max_idle_seconds / SWEEPS_PER_IDLE_LIMIT)
            for connections in list(self.idle.values()):
                for connection in list(connections):
                    if not connection.is_usable():
                        connection.close()

    def close(self) -> None:
        """The program ends."""
        for endpoint_id in list(self.idle):
            self.set_address(endpoint_id, None)
