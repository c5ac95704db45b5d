"""One run of a plan with real processes: it starts, measures, ends and judges them."""

import asyncio
import contextlib
import os
import pathlib
import shutil
import tempfile
from collections.abc import Iterable
from typing import Any

import uvloop

from sloeferry.fault_testing.garbage_collection import tune_garbage_collection
from sloeferry.fault_testing.placement import reserve_ports
from sloeferry.fault_testing.planted_faults import plant
from sloeferry.fault_testing.process_fleet import ProcessFleet
from sloeferry.fault_testing.process_host import ProcessHost
from sloeferry.fault_testing.run_options import RunOptions
from sloeferry.fault_testing.verdict import RunResult, judge_run
from sloeferry.rehearsal.run_environment import READY_TIMEOUT_SECONDS
from sloeferry.stand_ins import processes
from sloeferry.stand_ins.rules import Rule

TMPFS_FOLDER = "/dev/shm"
POLL_SECONDS = 0.05
MEASURE_POLL_SECONDS = 0.25
START_DELAY_SECONDS = 0.2  # until all processes have received the start time
MAX_SHOWN_ERRORS = 3  # lines per proxy log
MAX_ERROR_CHARACTERS = 200  # of a shown line
EXPECTED_ERROR = "SIGHUP, all stays as it was"  # the effect of a reload fault with a corrupt file


class PlanRun:
    """One run of a plan; its figures go into the record unchanged, in seconds, MB and CPU seconds."""

    def __init__(self, fleet: ProcessFleet):
        self.figures: dict[str, Any] = {}
        self._fleet = fleet
        self._loop = fleet.loop
        self._over_limit: set[int] = set()  # ids of processes
        self._peak_mb = 0.0

    async def run(self) -> None:
        """Run the plan from the first process start to the end of the last request."""
        await self._fleet.start_stand_ins()
        await self._start_proxies()
        tune_garbage_collection()
        began_at = self._loop.time() + START_DELAY_SECONDS
        self._fleet.begin(began_at)
        self._fleet.observer.monitor_loop_lag(self._loop, "driver")
        await self._measure(began_at)
        self.figures["began"] = began_at

    async def _start_proxies(self) -> None:
        """Start all proxies, and return when all are ready or after READY_TIMEOUT_SECONDS."""
        fleet = self._fleet
        loop = self._loop
        started_at = loop.time()
        for proxy in fleet.proxies:
            proxy.start()
        while not all(fleet.balancer.alive.values()) and loop.time() < started_at + READY_TIMEOUT_SECONDS:
            await asyncio.sleep(POLL_SECONDS)
        self.figures["ready_s"] = round(loop.time() - started_at, 2)
        self.figures["ready"] = sum(fleet.balancer.alive.values())

    async def _measure(self, began_at: float) -> None:
        seconds = self._fleet.plan.seconds
        memory_mb: list[float] | None = None
        while self._is_running(began_at + seconds):
            await asyncio.sleep(MEASURE_POLL_SECONDS)
            self._check_memory_limits()
            if memory_mb is None and self._loop.time() > began_at + seconds / 2:
                memory_mb = [processes.memory_mb(pid) for pid in self._proxy_pids()]
        if memory_mb:
            self.figures["memory_mb"] = min_mean_max(memory_mb)
        cpu_seconds = [processes.cpu_seconds(pid) for pid in self._proxy_pids()]
        if cpu_seconds:
            self.figures["cpu_s"] = min_mean_max(cpu_seconds)

    def _check_memory_limits(self) -> None:
        """Record a violation for each process whose memory was over the limit, once."""
        fleet = self._fleet
        limit_mb = fleet.plan.proxies.memory_mb
        for proxy in fleet.proxies:
            pid = proxy.process.pid if proxy.process else None
            if pid is None or pid in self._over_limit:
                continue
            with contextlib.suppress(OSError, StopIteration):  # it has just ended
                peak_mb = processes.memory_mb(pid, "VmHWM")
                self._peak_mb = max(self._peak_mb, peak_mb)
                if peak_mb > limit_mb:
                    self._over_limit.add(pid)
                    text = f"{proxy.name} took {peak_mb:.1f} MB, its limit is {limit_mb:g} MB"
                    fleet.observer.rule_violated(Rule.MEMORY, self._loop.time(), text)
        self.figures["peak_memory_mb"] = round(self._peak_mb, 1)

    def _is_running(self, ends_at: float) -> bool:
        now = self._loop.time()
        return now < ends_at or self._fleet.has_open_requests() and now < ends_at + self._fleet.last_request_timeout_seconds()

    def _proxy_pids(self) -> Iterable[int]:
        return [proxy.process.pid for proxy in self._fleet.proxies if proxy.process]


def min_mean_max(values: list[float]) -> list[float]:
    """Return the minimum, the mean and the maximum."""
    return [round(min(values), 2), round(sum(values) / len(values), 2), round(max(values), 2)]


async def _run(options: RunOptions, folder: pathlib.Path, proxy_tree: str | None) -> RunResult:
    loop = asyncio.get_running_loop()
    host = ProcessHost(loop, options.seed, str(folder), proxy_tree)
    ports = reserve_ports()
    fleet = ProcessFleet(options, host, ports.first_port)
    run = PlanRun(fleet)
    try:
        await run.run()
    finally:
        await fleet.end()
        ports.lock.close()
    return RunResult(fleet.record_paths(), fleet.fault_targets, run.figures, fleet.process_errors)


def run_processes(options: RunOptions, folder: pathlib.Path, proxy_tree: str | None = None) -> RunResult:
    """Run a plan with real processes, and block until all of them have ended.

    `folder` takes records, logs and configurations.  `proxy_tree` is the source tree that proxies run, None: this one.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run(options, folder, proxy_tree))


def logged_errors(folder: pathlib.Path) -> list[str]:
    """Return the first few errors of each proxy's log; violations of its send guard are among them."""
    found = []
    for path in sorted(folder.glob("p*.log")):
        with open(path, errors="replace") as file:
            errors = [line.strip() for line in file if " ERROR " in line and EXPECTED_ERROR not in line]
        found += [f"{path.stem}: {error[:MAX_ERROR_CHARACTERS]}" for error in errors[:MAX_SHOWN_ERRORS]]
    return found


def run_and_judge(options: RunOptions, planted_fault: str | None, keep_logs: pathlib.Path | None) -> dict[str, Any]:
    """Run a plan in a temporary folder and return the run's record.

    `planted_fault` names a fault to plant in the proxies' code.  Records and logs are copied to `keep_logs`, even if the run
    fails.
    """
    # Truncating a file on disk can take most of a second, which would delay the driver.
    parent = TMPFS_FOLDER if os.path.isdir(TMPFS_FOLDER) else None
    with tempfile.TemporaryDirectory(prefix="rig-", dir=parent) as name:
        folder = pathlib.Path(name)
        proxy_tree = plant(planted_fault, name) if planted_fault else None
        try:
            result = run_processes(options, folder, proxy_tree)
            result.process_errors += logged_errors(folder)
            return judge_run(options.plan, options.seed, result)
        finally:
            if keep_logs:
                _copy_files(folder, keep_logs)


def _copy_files(folder: pathlib.Path, target_folder: pathlib.Path) -> None:
    target_folder.mkdir(parents=True, exist_ok=True)
    for path in folder.iterdir():
        if path.is_file():
            shutil.copy(path, target_folder / path.name)
