"""Stand-in backends that model cores, a request queue, a warm-up, and faults.

They use asyncio protocols, so that they run on the simulated event loop of a rehearsal as well as on a real one.
"""

import asyncio
from collections.abc import Mapping
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from sloeferry.stand_ins.backend_connection import BackendConnection
from sloeferry.stand_ins.congestion import CongestionModel
from sloeferry.stand_ins.deduplication import DeduplicationStore
from sloeferry.stand_ins.http_messages import Message
from sloeferry.stand_ins.request_handler import LinkFault, RequestHandler
from sloeferry.stand_ins.run_observer import RunObserver
from sloeferry.stand_ins.small_buffers import limit_buffers
from sloeferry.stand_ins.warm_up import WarmUpModel
from sloeferry.stand_ins.work_queue import Job, WorkQueue

if TYPE_CHECKING:
    from sloeferry.rehearsal.scenario_tables import Backends, Obligations

CAPACITY_UPDATE_INTERVAL_SECONDS = 0.1  # for warm-up and congestion
STALL_TOLERANCE_SECONDS = 1e-9
LISTEN_BACKLOG = 1024


class StalledRequest(NamedTuple):
    """A request received while the backend was stalled; `received_at` is the time of its last byte, in seconds."""

    connection: BackendConnection
    message: Message
    received_at: float


class StandInBackend:
    """One backend: its listener, its capacity and the faults injected into it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: "Backends",
        backend_id: str,
        address: tuple[str, int],
        zone: str,
        observer: RunObserver,
        deduplication_stores: Mapping[str, DeduplicationStore],
        obligations: "Obligations | None",
        rng: Random,
    ):
        """Create a stopped backend; `deduplication_stores` are keyed by the deduplication group that a request class names."""
        self.loop = loop
        self.settings = settings
        self.backend_id = backend_id
        self.address = address
        self.zone = zone
        self.observer = observer
        self.connections: dict[BackendConnection, None] = {}  # an ordered set
        self.is_up = False
        self.is_draining = False
        self.served_count = 0
        # Faults, set by `change`.
        self.is_cut_off = False  # from the network: it ignores what it receives
        self.neighbour_cpu_ratio = 0.0  # of its machine's CPU time, used by another program
        self.slowdown = 1.0
        self.error_odds = 0.0  # probability that a request is answered with an error
        self.truncation_odds = 0.0  # probability that a response is truncated
        self.report_override = ""  # "idle": it always reports no load; "stuck": it repeats its last report
        self.link_faults: dict[str, LinkFault] = {}  # by proxy
        self.work = WorkQueue(loop, settings.cores, self)
        self.warm_up = WarmUpModel(settings, obligations)
        self._requests = RequestHandler(self, deduplication_stores, rng)
        self._congestion = CongestionModel(settings.congestion, settings.cores)
        self._server: asyncio.AbstractServer | None = None
        self._capacity_timer: asyncio.TimerHandle | None = None
        self._stalled_until = 0.0
        self._stalled_requests: list[StalledRequest] = []

    # Start and stop

    async def start(self, is_warm: bool = False) -> None:
        """Start the backend and listen; with `is_warm` it has its full capacity at once."""
        self.is_up = True
        self.is_draining = False
        self.warm_up.start(self.loop.time(), is_warm)
        self.work.start()
        await self._listen()
        if not self._capacity_timer:
            self._capacity_timer = self.loop.call_later(CAPACITY_UPDATE_INTERVAL_SECONDS, self._update_capacity)

    async def _listen(self) -> None:
        self._server = await self.loop.create_server(lambda: BackendConnection(self), *self.address, backlog=LISTEN_BACKLOG)
        if self.settings.buffer_bytes:
            for sock in self._server.sockets:
                limit_buffers(sock, self.settings.buffer_bytes)

    def _stop_listening(self) -> None:
        if self._server:
            self._server.close()
            self._server = None

    def crash(self) -> None:
        """Stop the backend at once: reset all connections and drop all requests."""
        self.is_up = False
        self._stop_listening()
        for connection in list(self.connections):
            connection.abort()
        self.connections.clear()
        self.work.clear()
        self._stalled_requests.clear()
        self.warm_up.clear()
        self._congestion.reset()

    # Faults

    def refuse_connections(self, is_refusing: bool) -> None:
        """Refuse new connections, or accept them again."""
        if is_refusing:
            self._stop_listening()
        else:
            self.loop.create_task(self._resume_listening())

    async def _resume_listening(self) -> None:
        if self.is_up and self._server is None:
            await self._listen()

    def stall(self, seconds: float) -> None:
        """Stall the process for a time: it handles no requests and does no work, but still receives connections and data."""
        self.work.record_progress()
        self._stalled_until = max(self._stalled_until, self.loop.time() + seconds)
        self.work.schedule()
        self.loop.call_later(seconds, self._stall_ended)

    def _is_stalled(self) -> bool:
        return self.loop.time() < self._stalled_until - STALL_TOLERANCE_SECONDS

    def _stall_ended(self) -> None:
        if self._is_stalled() or not self.is_up:
            return
        self.work.record_progress()
        stalled_requests = self._stalled_requests
        self._stalled_requests = []
        for request in stalled_requests:
            self._requests.handle(*request)
        self.work.schedule()

    def change(self, **values: object) -> None:
        """Set fault attributes by name."""
        self.work.record_progress()
        for name, value in values.items():
            setattr(self, name, value)
        self.work.schedule()

    # Capacity

    def in_flight(self) -> int:
        """Return the number of requests that run or wait."""
        return len(self.work)

    def work_rate(self) -> float:
        """Return the work (ms) that one core does in a millisecond."""
        if self._is_stalled():
            return 0.0
        capacity_ratio = self.warm_up.capacity_ratio(self.loop.time())
        rate = self.settings.speed * capacity_ratio * (1 - self.neighbour_cpu_ratio)
        return rate / self.slowdown / self._congestion.slowdown()

    def _update_capacity(self) -> None:
        """Apply the progress of the warm-up, and start or end congestion."""
        self._capacity_timer = (
            self.loop.call_later(CAPACITY_UPDATE_INTERVAL_SECONDS, self._update_capacity) if self.is_up else None
        )
        now = self.loop.time()
        if self.warm_up.capacity_ratio(now) < 1.0 and self.work.running:
            self.work.record_progress()
            self.work.schedule()
        if not self._congestion.should_toggle(now, len(self.work.waiting), self.in_flight()):
            return
        if not self._congestion.is_active:
            self.observer.congestion_began(self.backend_id)
        self.work.record_progress()
        self._congestion.toggle(now)
        self.work.schedule()

    # Requests

    def request_received(self, connection: BackendConnection, message: Message, began_at: float) -> None:
        """Process a complete request whose first byte was received at `began_at`, in seconds."""
        self._requests.receive(connection, message, began_at)

    def request_arrived(self, connection: BackendConnection, message: Message) -> None:
        """Handle a request after the delay of its link, if any; keep it for later while the backend is stalled."""
        now = self.loop.time()
        if not self.is_up:
            return
        if self._is_stalled():
            self._stalled_requests.append(StalledRequest(connection, message, now))
        else:
            self._requests.handle(connection, message, now)

    def refresh_report(self) -> None:
        """Update the load report if the last one has expired."""
        self._requests.load_report()

    def run_or_reject(self, job: Job) -> bool:
        """Return whether a waiting request may run; reject it if it has expired and expired requests are dropped."""
        if not self.settings.drops_expired:
            return True
        if job.connection.is_gone or self.observer.is_expired(job.request_id, self.loop.time()):
            self._requests.reject(job.connection)
            return False
        return True

    def job_began(self, job: Job) -> None:
        """Log that a request begins to run."""
        self.observer.request_ran(self.backend_id, job.request_id, self.loop.time())

    def job_done(self, job: Job) -> None:
        """Answer a request that is done, and the repeats that have waited for it."""
        self._requests.job_done(job)

    def work_done(self, work_ms: float) -> None:
        """Log an amount of work done."""
        self.observer.work_done(work_ms)
