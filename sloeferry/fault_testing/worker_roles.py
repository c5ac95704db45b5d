"""The roles of worker processes: backends, clients or links; a command of the driver calls the method of its name."""

import asyncio
import sys
from random import Random
from typing import Any

import msgspec

from sloeferry.fault_testing.event_recorder import EventRecorder
from sloeferry.fault_testing.link_relay import Link, LinkCondition
from sloeferry.fault_testing.plan import Plan
from sloeferry.fault_testing.worker_protocol import ReportKind, WorkerConfig, WorkerReport, WorkerRole
from sloeferry.stand_ins.backends import StandInBackend
from sloeferry.stand_ins.clients import StandInClients
from sloeferry.stand_ins.connection_balancer import ConnectionBalancer, ProxyListener
from sloeferry.stand_ins.deduplication import DeduplicationStores

DRAIN_CHECK_SECONDS = 0.02
OPEN_REQUESTS_REPORT_SECONDS = 0.1


def send_report(kind: ReportKind, value: Any = None) -> None:
    """Write a report to the driver."""
    sys.stdout.buffer.write(msgspec.json.encode(WorkerReport(kind, value)) + b"\n")
    sys.stdout.buffer.flush()


class Worker:
    """The base class of all roles."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: WorkerConfig, plan: Plan, recorder: EventRecorder):
        self.stop_requested = asyncio.Event()
        self._loop = loop
        self._config = config
        self._plan = plan
        self._recorder = recorder

    async def end(self) -> None:
        """Stop the worker; its record is closed before the process exits."""
        self.stop_requested.set()


class BackendsWorker(Worker):
    """A worker that runs some of the backends, by their numbers."""

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        self._backends: dict[int, StandInBackend] = {}
        self._deduplication_stores = DeduplicationStores()

    async def create(self, number: int, backend_id: str, address: list, zone: str, group: int) -> None:
        """Create a backend of that group of the plan, which does not listen yet."""
        self._backends[number] = StandInBackend(
            self._loop,
            self._plan.backends[group],
            backend_id,
            tuple(address),
            zone,
            self._recorder,
            self._deduplication_stores.for_zone(zone),
            self._plan.obligations,
            Random(f"{self._config.seed}/node-{number}"),
        )

    async def start(self, number: int, is_warm: bool) -> None:
        """Start a backend, and report when it listens."""
        await self._backends[number].start(is_warm)
        send_report(ReportKind.BACKEND_STARTED, number)

    async def crash(self, number: int) -> None:
        """Crash a backend; its open requests are lost."""
        self._backends[number].crash()

    async def refuse_connections(self, number: int, is_refusing: bool) -> None:
        """Close a backend's listener, or open it again."""
        self._backends[number].refuse_connections(is_refusing)

    async def stall(self, number: int, seconds: float) -> None:
        """Suspend a backend for that time."""
        self._backends[number].stall(seconds)

    async def change(self, number: int, values: dict[str, Any]) -> None:
        """Set attributes of a backend."""
        self._backends[number].change(**values)

    async def refresh_report(self, number: int) -> None:
        """Update a backend's load report if it is out of date."""
        self._backends[number].refresh_report()

    async def drain(self, number: int) -> None:
        """Report when a backend has no requests left."""
        backend = self._backends[number]
        if backend.is_up and backend.in_flight():
            self._loop.call_later(DRAIN_CHECK_SECONDS, lambda: self._loop.create_task(self.drain(number)))
        else:
            send_report(ReportKind.BACKEND_IDLE, number)


class ClientsWorker(Worker):
    """A worker that runs a share of the clients of each zone."""

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        listeners = [ProxyListener(name, tuple(address), zone) for name, address, zone in self._config.places]
        self._balancer = ConnectionBalancer(self._loop, self._plan.balancer, listeners)
        self._clients = [self._create_clients(index, zone) for index, zone in enumerate(self._plan.network.zones)]

    def _create_clients(self, index: int, zone: str) -> StandInClients:
        zone_count = len(self._plan.network.zones)
        config = self._config
        own_requests = [
            planned
            for planned in self._recorder.planned_requests
            if planned.client % zone_count == index and planned.client // zone_count % config.client_workers == config.number
        ]
        rng = Random(f"{config.seed}/callers-{zone}-{config.number}")
        return StandInClients(self._loop, self._plan, zone, own_requests, self._balancer, self._recorder, rng)

    async def begin(self, now: float) -> None:
        """Begin the run at that loop time, which is the same clock in all processes of a machine."""
        self._recorder.began_at = now
        for clients in self._clients:
            clients.schedule_requests(now)
        self._loop.call_at(now + self._plan.seconds, self._report_open_requests)

    def _report_open_requests(self) -> None:
        send_report(ReportKind.OPEN_REQUESTS, sum(clients.open_request_count for clients in self._clients))
        self._loop.call_later(OPEN_REQUESTS_REPORT_SECONDS, self._report_open_requests)

    async def set_alive(self, proxy: str, is_alive: bool) -> None:
        """Set whether new connections may be assigned to that proxy."""
        self._balancer.alive[proxy] = is_alive


class RelayWorker(Worker):
    """A worker that relays all links that are targets of faults."""

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        self._links: dict[str, Link] = {}

    async def add_link(self, name: str, listen: list, target: list, records_requests: bool) -> None:
        """Open a link."""
        link = Link(self._loop, name, tuple(listen), tuple(target), self._recorder, records_requests)
        self._links[name] = link
        await link.open()

    async def confirm_links(self) -> None:
        """Report that all commands before this one are done."""
        send_report(ReportKind.LINKS_OPEN)

    async def set_condition(self, names: list[str], kind: str, keys: dict[str, Any]) -> None:
        """Apply a condition, given by its kind and keys in plans, to all those links."""
        condition = LinkCondition.from_plan(kind, keys)
        await asyncio.gather(*(self._links[name].set_condition(condition) for name in names))


WORKER_CLASSES: dict[WorkerRole, type[Worker]] = {
    WorkerRole.BACKENDS: BackendsWorker,
    WorkerRole.CLIENTS: ClientsWorker,
    WorkerRole.RELAY: RelayWorker,
}
