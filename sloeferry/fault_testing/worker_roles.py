"""What a worker process stands for: backends, clients or links.  A command of the driver calls the method of its name."""

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
OPEN_CALLS_REPORT_SECONDS = 0.1


def send_report(kind: ReportKind, value: Any = None) -> None:
    """Writes a report to the driver."""
    sys.stdout.buffer.write(msgspec.json.encode(WorkerReport(kind, value)) + b"\n")
    sys.stdout.buffer.flush()


class Worker:
    """What all roles have."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: WorkerConfig, plan: Plan, recorder: EventRecorder):
        self.stop_requested = asyncio.Event()
        self._loop = loop
        self._config = config
        self._plan = plan
        self._recorder = recorder

    async def end(self) -> None:
        """Ends the process; its record is complete then."""
        self.stop_requested.set()


class BackendsWorker(Worker):
    """Some of the backends, by their numbers."""

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        self._backends: dict[int, StandInBackend] = {}
        self._deduplication_stores = DeduplicationStores()

    async def create(self, number: int, backend_id: str, address: list, zone: str, group: int) -> None:
        """A backend of that group of the plan's; it does not listen yet."""
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
        """It listens."""
        await self._backends[number].start(is_warm)
        send_report(ReportKind.BACKEND_STARTED, number)

    async def crash(self, number: int) -> None:
        """At once, with all that it has."""
        self._backends[number].crash()

    async def refuse_connections(self, number: int, is_refusing: bool) -> None:
        """Its listener goes, or comes back."""
        self._backends[number].refuse_connections(is_refusing)

    async def stall(self, number: int, seconds: float) -> None:
        """It stands still."""
        self._backends[number].stall(seconds)

    async def change(self, number: int, values: dict[str, Any]) -> None:
        """Other values for what it is or does."""
        self._backends[number].change(**values)

    async def refresh_report(self, number: int) -> None:
        """Its load report is made now."""
        self._backends[number].refresh_report()

    async def drain(self, number: int) -> None:
        """Reports once it has nothing left to do."""
        backend = self._backends[number]
        if backend.is_up and backend.in_flight():
            self._loop.call_later(DRAIN_CHECK_SECONDS, lambda: self._loop.create_task(self.drain(number)))
        else:
            send_report(ReportKind.BACKEND_IDLE, number)


class ClientsWorker(Worker):
    """A part of all clients, of each zone."""

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        places = [ProxyListener(name, tuple(address), zone) for name, address, zone in self._config.places]
        self._balancer = ConnectionBalancer(self._loop, self._plan.balancer, places)
        self._clients = [self._create_clients(index, zone) for index, zone in enumerate(self._plan.network.zones)]

    def _create_clients(self, index: int, zone: str) -> StandInClients:
        zone_count = len(self._plan.network.zones)
        config = self._config
        calls = [
            call
            for call in self._recorder.planned_requests
            if call.client % zone_count == index and call.client // zone_count % config.client_workers == config.number
        ]
        rng = Random(f"{config.seed}/callers-{zone}-{config.number}")
        return StandInClients(self._loop, self._plan, zone, calls, self._balancer, self._recorder, rng)

    async def begin(self, now: float) -> None:
        """The run began, in loop time: one clock for all processes of a machine."""
        self._recorder.began_at = now
        for clients in self._clients:
            clients.schedule_requests(now)
        self._loop.call_at(now + self._plan.seconds, self._report_open_calls)

    def _report_open_calls(self) -> None:
        send_report(ReportKind.OPEN_CALLS, sum(clients.open_request_count for clients in self._clients))
        self._loop.call_later(OPEN_CALLS_REPORT_SECONDS, self._report_open_calls)

    async def set_alive(self, proxy: str, is_alive: bool) -> None:
        """Whether connections are dealt out to that proxy."""
        self._balancer.alive[proxy] = is_alive


class RelayWorker(Worker):
    """All links that faults strike."""

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        self._links: dict[str, Link] = {}

    async def add_link(self, name: str, listen: list, target: list, records_requests: bool) -> None:
        """Opens a link."""
        link = Link(self._loop, name, tuple(listen), tuple(target), self._recorder, records_requests)
        self._links[name] = link
        await link.open()

    async def confirm_links(self) -> None:
        """Reports that all commands before this one are done."""
        send_report(ReportKind.LINKS_OPEN)

    async def set_condition(self, names: list[str], kind: str, keys: dict[str, Any]) -> None:
        """From now on, for all those links, by the words of a plan."""
        condition = LinkCondition.from_plan(kind, keys)
        await asyncio.gather(*(self._links[name].set_condition(condition) for name in names))


WORKER_CLASSES: dict[WorkerRole, type[Worker]] = {
    WorkerRole.BACKENDS: BackendsWorker,
    WorkerRole.CLIENTS: ClientsWorker,
    WorkerRole.RELAY: RelayWorker,
}
