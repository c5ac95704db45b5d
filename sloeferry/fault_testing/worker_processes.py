"""The driver's handles of worker processes, and of the backends in them."""

import asyncio
import pathlib
import sys
from asyncio.subprocess import PIPE
from collections.abc import Callable
from typing import Any

import msgspec

from sloeferry.fault_testing.placement import Address
from sloeferry.fault_testing.process_host import SOURCE_TREE, ProcessHost
from sloeferry.fault_testing.worker_protocol import ReportKind, WorkerConfig, WorkerReport, WorkerRole
from sloeferry.rehearsal.proxy_fleet import make_backend_id
from sloeferry.rehearsal.run_environment import READY_TIMEOUT_SECONDS
from sloeferry.rehearsal.scenario_tables import Backends

SHUTDOWN_TIMEOUT_SECONDS = 10.0  # after which a worker that has not ended is killed


class WorkerProcess:
    """A worker process of stand-ins; `on_report` is called with each report that is not handled here."""

    def __init__(self, host: ProcessHost, config: WorkerConfig, on_report: Callable[[WorkerReport], None]):
        self.config = config
        self.record_path = pathlib.Path(config.record_path)
        self.open_requests: int | None = None  # None: not reported yet
        self._host = host
        self._on_report = on_report
        self._process: asyncio.subprocess.Process | None = None
        self._ready = asyncio.Event()

    @property
    def role(self) -> WorkerRole:
        """Return the role of the worker."""
        return self.config.role

    async def start(self) -> None:
        """Start the process, and return when it accepts commands; raises TimeoutError."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sloeferry.fault_testing.worker",
            cwd=SOURCE_TREE,
            stdin=PIPE,
            stdout=PIPE,
            start_new_session=True,
        )
        self._host.process_started(self._process, self._host.measuring_cores)
        self._host.loop.create_task(self._read_reports())
        self._write(self.config)
        await asyncio.wait_for(self._ready.wait(), READY_TIMEOUT_SECONDS)

    def command(self, name: str, *arguments: Any) -> None:
        """Make the worker call the method with that name."""
        self._write([name, *arguments])

    def _write(self, message: Any) -> None:
        self._process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def _read_reports(self) -> None:
        async for line in self._process.stdout:
            report = msgspec.json.decode(line, type=WorkerReport)
            if report.kind is ReportKind.READY:
                self._ready.set()
            elif report.kind is ReportKind.OPEN_REQUESTS:
                self.open_requests = report.value
            elif report.kind is ReportKind.FAILED:
                self._on_report(WorkerReport(report.kind, f"{self.role}: {report.value}"))
            else:
                self._on_report(report)

    async def end(self) -> None:
        """End the process, and kill it after SHUTDOWN_TIMEOUT_SECONDS; its record is complete unless it is killed."""
        if self._process is None or self._process.returncode is not None:
            return
        self.command("end")
        try:
            await asyncio.wait_for(self._process.wait(), SHUTDOWN_TIMEOUT_SECONDS)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


class RemoteBackend:
    """A handle of a backend in a worker process, where scenario faults are applied.

    It has the interface of a rehearsal's backend that scenario faults and discovery use.
    """

    def __init__(self, worker: WorkerProcess, number: int, address: Address, settings: Backends, group: int, zone: str):
        self.backend_id = make_backend_id(number)
        self.address = address
        self.settings = settings
        self.zone = zone
        self.is_up = False
        self.is_draining = False
        self._worker = worker
        self._number = number
        self._is_idle = False
        self._is_drain_asked = False
        self._started: asyncio.Future[None] | None = None
        worker.command("create", number, self.backend_id, address, zone, group)

    def _command(self, name: str, *arguments: Any) -> None:
        self._worker.command(name, self._number, *arguments)

    async def start(self, is_warm: bool = False) -> None:
        """Start the backend, and return when it listens."""
        self.is_up = True
        self.is_draining = False
        self._is_idle = False
        self._is_drain_asked = False
        self._started = asyncio.get_running_loop().create_future()
        self._command("start", is_warm)
        await self._started

    def start_reported(self) -> None:
        """Handle the report that the backend listens."""
        self._started.set_result(None)

    def crash(self) -> None:
        """Crash the backend; its open requests are lost."""
        self.is_up = False
        self._command("crash")

    def in_flight(self) -> bool:
        """Return True while the draining backend has requests, where a stand-in backend returns their number.

        The first call makes the worker report when the backend is idle.
        """
        if not self._is_drain_asked:
            self._is_drain_asked = True
            self._command("drain")
        return not self._is_idle

    def idle_reported(self) -> None:
        """Handle the report that the draining backend is idle."""
        self._is_idle = True

    def change(self, **values: Any) -> None:
        """Set attributes of the backend."""
        self._command("change", values)

    def refuse_connections(self, is_refusing: bool) -> None:
        """Close the backend's listener, or open it again."""
        self._command("refuse_connections", is_refusing)

    def stall(self, seconds: float) -> None:
        """Suspend the backend for that time."""
        self._command("stall", seconds)

    def refresh_report(self) -> None:
        """Update the backend's load report if it is out of date."""
        self._command("refresh_report")

    def _set_cut_off(self, is_cut_off: bool) -> None:
        self.change(is_cut_off=is_cut_off)

    is_cut_off = property(None, _set_cut_off)
