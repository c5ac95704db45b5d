"""The roles of worker processes: backends, clients or links; a command of the driver calls the method of its name."""

import asyncio
import functools
import sys
from random import Random
from typing import Any

import msgspec

from sloeferry.fault_testing.event_recorder import EventRecorder
from sloeferry.fault_testing.link_relay import Link, LinkCondition
from sloeferry.fault_testing.plan import Plan
from sloeferry.fault_testing.recorded_events import Event
from sloeferry.fault_testing.uploading_client import UploadingClient
from sloeferry.fault_testing.worker_protocol import ReportKind, WorkerConfig, WorkerReport, WorkerRole
from sloeferry.stand_ins.backends import StandInBackend
from sloeferry.stand_ins.bad_clients import BadClient, BadClientKind, HeadMaker, OtherRequest, is_unsound_and_served
from sloeferry.stand_ins.client_requests import DEFAULT_TENANT
from sloeferry.stand_ins.clients import StandInClients
from sloeferry.stand_ins.connection_balancer import ConnectionBalancer, ProxyListener
from sloeferry.stand_ins.deduplication import DeduplicationStores
from sloeferry.stand_ins.wire_protocol import RequestKind

DRAIN_CHECK_SECONDS = 0.02
OPEN_REQUESTS_REPORT_SECONDS = 0.1
BAD_CLIENT_TIME_MS = 800
# How old another client's request is when its id is repeated: its proxy has read it.
MIN_REPEAT_SECONDS, MAX_REPEAT_SECONDS = 0.1, 2.0


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
        self._bad_clients: set[asyncio.Task[None]] = set()
        self._uploading: set[asyncio.Task[None]] = set()
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
        open_requests = sum(clients.open_request_count for clients in self._clients) + len(self._uploading)
        send_report(ReportKind.OPEN_REQUESTS, open_requests)
        self._loop.call_later(OPEN_REQUESTS_REPORT_SECONDS, self._report_open_requests)

    async def misuse(
        self, fault: int, proxies: list[str], addresses: list, kinds: list[str], client_count: int, seconds: float
    ) -> None:
        """Run clients that misuse those proxies for a time, in turn of each kind and at each proxy."""
        tenant = DEFAULT_TENANT.decode()
        read_class, keyed_class = (self._class_name(kind) for kind in (RequestKind.IDEMPOTENT, RequestKind.DEDUPLICATED))
        heads = HeadMaker(read_class, keyed_class, tenant, BAD_CLIENT_TIME_MS)
        for number in range(client_count):
            proxy = number % len(proxies)
            client = BadClient(
                BadClientKind(kinds[number // len(proxies) % len(kinds)]),
                tuple(addresses[proxy]),
                heads,
                f"{fault}-{number}",
                Random(f"{self._config.seed}/bad-clients-{fault}-{number}"),
                functools.partial(self._bad_client_answered, proxies[proxy]),
                self._request_to_repeat,
            )
            task = self._loop.create_task(client.run())
            self._bad_clients.add(task)
            task.add_done_callback(self._bad_clients.discard)
            self._loop.call_later(seconds, task.cancel)

    async def upload(self, fault: int, proxies: list[str], addresses: list, client_count: int, seconds: float) -> None:
        """Run clients that upload long bodies to those proxies for a time, in turn; an upload that has begun is ended."""
        ends_at = self._loop.time() + seconds
        for number in range(client_count):
            proxy = number % len(proxies)
            client = UploadingClient(
                proxies[proxy],
                tuple(addresses[proxy]),
                self._class_name(RequestKind.NON_IDEMPOTENT),
                DEFAULT_TENANT.decode(),
                min(each.deadline_ms for each in self._plan.request_classes),
                f"{fault}-{number}",
                Random(f"{self._config.seed}/uploads-{fault}-{number}"),
                self._recorder,
            )
            task = self._loop.create_task(client.run(ends_at))
            self._uploading.add(task)
            task.add_done_callback(self._uploading.discard)

    def _class_name(self, kind: RequestKind) -> str:
        """Return the name of a request class of that kind, or of any class."""
        classes = self._plan.request_classes
        return next((each.name for each in classes if each.kind == kind), classes[0].name)

    def _request_to_repeat(self) -> OtherRequest | None:
        """Return a request that was sent so long ago that its proxy has read it, and not long before."""
        now = self._loop.time()
        sent = [each for clients in self._clients for each in clients.sent_requests]
        return next((each for each in sent if MIN_REPEAT_SECONDS < now - each.sent_at < MAX_REPEAT_SECONDS), None)

    def _bad_client_answered(self, proxy: str, kind: BadClientKind, request_id: str, status: int) -> None:
        if is_unsound_and_served(kind, status):
            if kind is BadClientKind.REPEATED_ID:
                proxy = next(
                    each.proxy for clients in self._clients for each in clients.sent_requests if each.request_id == request_id
                )
            self._recorder.note(self._loop.time(), Event.UNSOUND_SERVED, proxy, kind.value, request_id)

    async def end(self) -> None:
        """Break off the uploads that are not over, while they can be recorded, and stop the worker."""
        for task in self._uploading:
            task.cancel()
        if self._uploading:
            await asyncio.wait(self._uploading)
        await super().end()

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
