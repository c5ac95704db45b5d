"""Stand-in backends: cores, a queue, a slow start, and all that goes wrong with them.  Figures are models.

They stand on asyncio's protocols, so that they run on a rehearsal's simulated loop and on a real one.
"""

import asyncio
from collections.abc import Mapping
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from sloeferry.stand_ins.backend_connection import BackendConnection
from sloeferry.stand_ins.congestion import CongestionModel
from sloeferry.stand_ins.deduplication import DeduplicationStore
from sloeferry.stand_ins.effect_log import EffectLog
from sloeferry.stand_ins.http_messages import Message
from sloeferry.stand_ins.request_handler import LinkFault, RequestHandler
from sloeferry.stand_ins.warm_up import WarmUp
from sloeferry.stand_ins.work_queue import Job, WorkQueue

if TYPE_CHECKING:
    from sloeferry.rehearsal.scenario_tables import Backends, Obligations

LOOK_SECONDS = 0.1  # between two looks at what changes by itself
STALL_TOLERANCE_SECONDS = 1e-9
LISTEN_BACKLOG = 1024


class DelayedRequest(NamedTuple):
    """A request that came while the backend stood still; the time is that of its last byte, in seconds."""

    connection: BackendConnection
    message: Message
    received_at: float


class StandInBackend:
    """One backend."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: "Backends",
        backend_id: str,
        address: tuple[str, int],
        zone: str,
        effect_log: EffectLog,
        deduplication_stores: Mapping[str, DeduplicationStore],
        obligations: "Obligations | None",
        rng: Random,
    ):
        """`deduplication_stores` by the group that a request class names."""
        self.loop = loop
        self.settings = settings
        self.backend_id = backend_id
        self.address = address
        self.zone = zone
        self.effect_log = effect_log
        self.connections: dict[BackendConnection, None] = {}  # a set in the order of their coming
        self.is_up = False
        self.is_draining = False
        self.served_count = 0
        # What may be wrong with it, set by `change`.
        self.is_cut_off = False  # from the network: it hears and says nothing
        self.neighbour_cpu_ratio = 0.0  # of its machine, that another program takes
        self.slowdown = 1.0
        self.error_odds = 0.0
        self.truncation_odds = 0.0
        self.report_override = ""  # "idle": it reports that it is; "stuck": it repeats its last report
        self.link_faults: dict[str, LinkFault] = {}  # by proxy
        self.work = WorkQueue(loop, settings.cores, self)
        self.warm_up = WarmUp(settings, obligations)
        self._requests = RequestHandler(self, deduplication_stores, rng)
        self._congestion = CongestionModel(settings.congestion, settings.cores)
        self._server: asyncio.AbstractServer | None = None
        self._look_timer: asyncio.TimerHandle | None = None
        self._stalled_until = 0.0
        self._delayed: list[DelayedRequest] = []

    # Start and end

    async def start(self, is_warm: bool = False) -> None:
        """Its process starts; a warm one has its whole capacity at once."""
        self.is_up = True
        self.is_draining = False
        self.warm_up.start(self.loop.time(), is_warm)
        self.work.start()
        await self._listen()
        if not self._look_timer:
            self._look_timer = self.loop.call_later(LOOK_SECONDS, self._look)

    async def _listen(self) -> None:
        self._server = await self.loop.create_server(lambda: BackendConnection(self), *self.address, backlog=LISTEN_BACKLOG)

    def _stop_listening(self) -> None:
        if self._server:
            self._server.close()
            self._server = None

    def crash(self) -> None:
        """At once: what is open is reset, what it worked on is gone."""
        self.is_up = False
        self._stop_listening()
        for connection in list(self.connections):
            connection.abort()
        self.connections.clear()
        self.work.clear()
        self._delayed.clear()
        self.warm_up.clear()
        self._congestion.clear()

    # Faults

    def refuse_connections(self, is_refusing: bool) -> None:
        """New connections are refused, or taken again."""
        if is_refusing:
            self._stop_listening()
        else:
            self.loop.create_task(self._listen_again())

    async def _listen_again(self) -> None:
        if self.is_up and self._server is None:
            await self._listen()

    def stall(self, seconds: float) -> None:
        """It stands still: nothing is read, nothing worked on; the machine still takes what comes."""
        self.work.settle()
        self._stalled_until = max(self._stalled_until, self.loop.time() + seconds)
        self.work.schedule()
        self.loop.call_later(seconds, self._stall_ended)

    def _is_stalled(self) -> bool:
        return self.loop.time() < self._stalled_until - STALL_TOLERANCE_SECONDS

    def _stall_ended(self) -> None:
        if self._is_stalled() or not self.is_up:
            return
        self.work.settle()
        delayed = self._delayed
        self._delayed = []
        for request in delayed:
            self._requests.handle(*request)
        self.work.schedule()

    def change(self, **values: object) -> None:
        """Sets what may be wrong with it, by attribute."""
        self.work.settle()
        for name, value in values.items():
            setattr(self, name, value)
        self.work.schedule()

    # Its capacity

    def in_flight(self) -> int:
        """Requests that run or wait."""
        return len(self.work)

    def work_rate(self) -> float:
        """The work (ms) that a core does in a millisecond."""
        if self._is_stalled():
            return 0.0
        capacity_ratio = self.warm_up.capacity_ratio(self.loop.time())
        undisturbed = self.settings.speed * capacity_ratio * (1 - self.neighbour_cpu_ratio)
        return undisturbed / self.slowdown / self._congestion.slowdown()

    def _look(self) -> None:
        """Warming up goes on, and long queues have their price."""
        self._look_timer = self.loop.call_later(LOOK_SECONDS, self._look) if self.is_up else None
        now = self.loop.time()
        if self.warm_up.capacity_ratio(now) < 1.0 and self.work.running:
            self.work.settle()
            self.work.schedule()
        if not self._congestion.is_due_to_change(now, len(self.work.waiting), self.in_flight()):
            return
        if not self._congestion.is_active:
            self.effect_log.congestion_began(self.backend_id)
        self.work.settle()
        self._congestion.change(now)
        self.work.schedule()

    # Requests

    def request_received(self, connection: BackendConnection, message: Message, began_at: float) -> None:
        """A complete request has come; `began_at` is when its first byte came, in seconds."""
        self._requests.received(connection, message, began_at)

    def request_arrived(self, connection: BackendConnection, message: Message) -> None:
        """It has come all the way, over a link that may have delayed it."""
        now = self.loop.time()
        if not self.is_up:
            return
        if self._is_stalled():
            self._delayed.append(DelayedRequest(connection, message, now))
        else:
            self._requests.handle(connection, message, now)

    def refresh_report(self) -> None:
        """Takes its load for its next report, if the last one is old."""
        self._requests.load_report()

    def is_still_wanted(self, job: Job) -> bool:
        """Whether a request that has waited is run; one whose deadline has passed may be rejected."""
        if not self.settings.drops_expired:
            return True
        if job.connection.is_gone or self.effect_log.is_expired(job.request_id, self.loop.time()):
            self._requests.reject(job.connection)
            return False
        return True

    def job_began(self, job: Job) -> None:
        """A request begins to run."""
        self.effect_log.request_ran(self.backend_id, job.request_id, self.loop.time())

    def job_done(self, job: Job) -> None:
        """A request is done: it is answered, and the repeats that have waited for it."""
        self._requests.job_done(job)

    def work_done(self, work_ms: float) -> None:
        """So much work has been settled."""
        self.effect_log.work_done(work_ms)
