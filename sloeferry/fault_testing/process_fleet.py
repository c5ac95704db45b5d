"""The processes of a run: the driver starts the proxies and workers, connects them, begins the run, and ends each by its id.

The driver also runs discovery, and is the only process that starts, stops and signals proxies.  It has the interface of a
rehearsal's fleet (rehearsal/proxy_fleet.py), so that scenario faults act on it unchanged.
"""

import asyncio
import pathlib
from typing import Any

from sloeferry.fault_testing.event_recorder import EventRecorder
from sloeferry.fault_testing.fault_actions import create_action
from sloeferry.fault_testing.fleet_audit import audit_running_fleet
from sloeferry.fault_testing.placement import (
    Address,
    RelayedLink,
    TargetSelection,
    backend_address,
    clients_link,
    discovery_link,
)
from sloeferry.fault_testing.plan import Plan
from sloeferry.fault_testing.process_host import ProcessHost
from sloeferry.fault_testing.recorded_events import Event
from sloeferry.fault_testing.run_options import RunOptions
from sloeferry.fault_testing.shared_balancer import SharedBalancer
from sloeferry.fault_testing.worker_processes import RemoteBackend, WorkerProcess
from sloeferry.fault_testing.worker_protocol import ReportKind, WorkerConfig, WorkerReport, WorkerRole
from sloeferry.rehearsal.faults import FaultInjector
from sloeferry.rehearsal.proxy_fleet import ProxyFleet, plan_backends, plan_listeners
from sloeferry.rehearsal.scenario_tables import Backends
from sloeferry.stand_ins.connection_balancer import ProxyListener
from sloeferry.stand_ins.discovery import StandInDiscovery
from sloeferry.stand_ins.platform import format_address
from sloeferry.stand_ins.wire_protocol import BackendState

SHUTDOWN_TIMEOUT_SECONDS = 5.0  # for the exit of killed proxies
POLL_SECONDS = 0.05
OPERATOR_SETTINGS = "[versions]\ntell = true\ncarry = true\n"


class ProcessFleet(ProxyFleet):
    """The proxies, workers and discovery of a run.

    Public attributes without a comment are those of a rehearsal's fleet, which scenario faults, proxies and stand-ins use.
    """

    def __init__(self, options: RunOptions, host: ProcessHost, port: int):
        plan = options.plan
        self.plan: Plan = plan
        self.scenario = plan
        self.environment = host
        self.loop = host.loop
        self.port = port
        self.process_errors: list[str] = []  # errors of the driver and the workers
        self.objective_ratios: dict[int, float] = {}  # proxy -> factor of the plan's latency objective
        self.observer = EventRecorder(plan, options.seed, pathlib.Path(host.folder, "driver.jsonl"), self.loop.time)
        self.listeners: list[ProxyListener] = plan_listeners(plan, port)
        targets = TargetSelection(plan, port, host.rng)
        self.fault_targets = targets.targets_by_fault
        self._links = targets.links
        self._links_open = asyncio.Event()
        addresses = self.discovery_addresses()
        self.discovery = StandInDiscovery(self.loop, plan.discovery, addresses, self.observer, host.rng("roster"))
        host.operator_file.write_text(OPERATOR_SETTINGS)
        self._options = options
        self._backend_workers = self._create_workers(WorkerRole.BACKENDS, plan.rig.nodes)
        self.client_workers = self._create_workers(WorkerRole.CLIENTS, plan.rig.callers)
        relays = self._create_workers(WorkerRole.RELAY, 1 if self._links else 0)
        self.relay = relays[0] if relays else None
        self._all_workers = [*self._backend_workers, *self.client_workers, *relays]
        self.balancer = SharedBalancer(self.loop, plan.balancer, self.listeners, self._broadcast_alive)
        self.backends: list[RemoteBackend] = []
        self._backends_by_number: dict[int, RemoteBackend] = {}  # including replaced ones
        self.proxies = [host.make_proxy(self, number) for number in range(plan.proxies.count)]

    def _create_workers(self, role: WorkerRole, count: int) -> list[WorkerProcess]:
        options = self._options
        listeners = [
            (listener.name, self._address_for_clients(number), listener.zone) for number, listener in enumerate(self.listeners)
        ]
        return [
            WorkerProcess(
                self.environment,
                WorkerConfig(
                    role=role,
                    number=number,
                    plan_text=options.plan_text,
                    proxy_count=options.proxy_count,
                    backend_count=options.backend_count,
                    seed=options.seed,
                    record_path=str(pathlib.Path(self.environment.folder, f"{role}-{number}.jsonl")),
                    client_workers=self.plan.rig.callers,
                    places=listeners,
                ),
                self._on_report,
            )
            for number in range(count)
        ]

    def _address_for_clients(self, proxy: int) -> Address:
        link = self._links.get(clients_link(proxy))
        return link.listen_address if link else self.listeners[proxy].address

    def record_paths(self) -> list[str]:
        """Return the paths of all processes' records, the driver's first."""
        return [str(self.observer.path), *(str(worker.record_path) for worker in self._all_workers)]

    # Reports of workers, and commands to them

    def _on_report(self, report: WorkerReport) -> None:
        if report.kind is ReportKind.FAILED:
            self.process_errors.append(report.value)
        elif report.kind is ReportKind.BACKEND_STARTED:
            self._backends_by_number[report.value].start_reported()
        elif report.kind is ReportKind.BACKEND_IDLE:
            self._backends_by_number[report.value].idle_reported()
        elif report.kind is ReportKind.LINKS_OPEN:
            self._links_open.set()

    def _broadcast_alive(self, proxy: str, is_alive: bool) -> None:
        for worker in self.client_workers:
            worker.command("set_alive", proxy, is_alive)

    def has_open_requests(self) -> bool:
        """Return True while any worker of clients reports open requests, or has not reported yet."""
        return any(worker.open_requests != 0 for worker in self.client_workers)

    # Interface of a rehearsal's fleet for scenario faults, proxies and stand-ins

    def make_backend(self, settings: Backends, zone: str) -> RemoteBackend:
        """Create a backend of that group of the plan, which does not listen yet."""
        number = len(self._backends_by_number)
        worker = self._backend_workers[number % len(self._backend_workers)]
        group = self.plan.backends.index(settings)
        backend = RemoteBackend(worker, number, backend_address(number, self.port), settings, group, zone)
        self._backends_by_number[number] = backend
        return backend

    def settings(self, index: int) -> dict[str, Any]:
        """Return the settings of the proxy with that number."""
        settings = super().settings(index)
        ratio = self.objective_ratios.get(index, 1.0)
        for request_class in settings["schemes"]:
            request_class["sla_time"] = min(request_class["expiry"], round(request_class["sla_time"] * ratio))
        return settings

    def instance_config(self, index: int, seed: int) -> dict[str, Any]:
        """Return the configuration of the proxy with that number."""
        config = super().instance_config(index, seed)
        link = self._links.get(discovery_link(index))
        if link:
            config["discovery"] = format_address(link.listen_address)
        return config

    # Stages of a run

    async def start_stand_ins(self) -> None:
        """Start worker processes, links, warm backends, and discovery."""
        await asyncio.gather(*(worker.start() for worker in self._all_workers))
        for group, zone in plan_backends(self.plan):
            self.backends.append(self.make_backend(group, zone))
        await self._open_links()
        await asyncio.gather(*(backend.start(is_warm=True) for backend in self.backends))
        for backend in self.backends:
            self.discovery.publish(backend, BackendState.READY, 0.0)
        await self.discovery.start()

    async def _open_links(self) -> None:
        if not self.relay:
            return
        for name, link in self._links.items():
            leads_to_backend = link.backend is not None
            self.relay.command("add_link", name, link.listen_address, self._target(link), leads_to_backend)
            if leads_to_backend:
                backend_id = self.backends[link.backend].backend_id
                self.discovery.set_link_address(f"p{link.proxy}", backend_id, format_address(link.listen_address))
        self.relay.command("confirm_links")
        await self._links_open.wait()

    def _target(self, link: RelayedLink) -> Address:
        if link.backend is not None:
            return self.backends[link.backend].address
        listener = self.listeners[link.proxy]
        return listener.address if link.between == "callers" else self.discovery.addresses[listener.name]

    def begin(self, now: float) -> None:
        """Start clients and schedule scenario faults, process faults and the audit, relative to that loop time."""
        self.observer.began_at = now
        self.observer.note(now, Event.RUN_BEGAN)
        for worker in self.client_workers:
            worker.command("begin", now)
        FaultInjector(self).schedule(now)
        for number, fault in enumerate(self.plan.process_faults):
            self.loop.call_at(now + fault.at_seconds, create_action(self, number, fault).inject)
        if self.plan.rig.audit_s:
            self.loop.call_at(now + self.plan.rig.audit_s, lambda: self.loop.create_task(self._audit()))

    async def _audit(self) -> None:
        self.observer.note(self.loop.time(), Event.AUDIT_BEGAN, self.discovery.backend_list.revision)
        result = await audit_running_fleet(self.listeners, self.discovery)
        self.observer.note(self.loop.time(), Event.AUDIT_ENDED, result)

    async def end(self) -> None:
        """End all processes, and close the records."""
        self.observer.note(self.loop.time(), Event.RUN_ENDED)
        for proxy in self.proxies:
            proxy.is_run_over = True
            proxy.send_signal()
        await asyncio.gather(*(worker.end() for worker in self._all_workers))
        self.discovery.stop()
        until = self.loop.time() + SHUTDOWN_TIMEOUT_SECONDS
        while any(proxy.process for proxy in self.proxies) and self.loop.time() < until:
            await asyncio.sleep(POLL_SECONDS)
        self.observer.close()
