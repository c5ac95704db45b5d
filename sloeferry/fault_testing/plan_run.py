"""The course of one run with real processes: started, played, measured, ended, judged."""

import asyncio
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
from sloeferry.rehearsal.play_environment import READY_TIMEOUT_SECONDS
from sloeferry.stand_ins import processes

TMPFS_FOLDER = "/dev/shm"
POLL_SECONDS = 0.05
MEASURE_POLL_SECONDS = 0.25
START_DELAY_SECONDS = 0.2  # all processes have been told by then
MAX_SHOWN_ERRORS = 3  # lines of a proxy's log
MAX_ERROR_CHARACTERS = 200  # characters of such a line
EXPECTED_ERROR = "SIGHUP, all stays as it was"  # the one that a plan asks for: a file that can't be used


class PlanRun:
    """One run.  Figures go into the record as they are: seconds, MB and CPU seconds."""

    def __init__(self, fleet: ProcessFleet):
        self.figures: dict[str, Any] = {}
        self._fleet = fleet
        self._loop = fleet.loop

    async def run(self) -> None:
        """From the first process to the end of the last call."""
        await self._fleet.open()
        await self._start_proxies()
        tune_garbage_collection()
        began_at = self._loop.time() + START_DELAY_SECONDS
        self._fleet.begin(began_at)
        self._fleet.judge.monitor_loop_lag(self._loop, "driver")
        await self._measure(began_at)
        self.figures["began"] = began_at

    async def _start_proxies(self) -> None:
        """Returns once all are ready, or patience ends."""
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
            if memory_mb is None and self._loop.time() > began_at + seconds / 2:
                memory_mb = [processes.memory_mb(pid) for pid in self._proxy_pids()]
        if memory_mb:
            self.figures["memory_mb"] = min_mean_max(memory_mb)
        cpu_seconds = [processes.cpu_seconds(pid) for pid in self._proxy_pids()]
        if cpu_seconds:
            self.figures["cpu_s"] = min_mean_max(cpu_seconds)

    def _is_running(self, ends_at: float) -> bool:
        now = self._loop.time()
        return now < ends_at or self._fleet.is_busy() and now < ends_at + self._fleet.last_request_seconds()

    def _proxy_pids(self) -> Iterable[int]:
        return [proxy.process.pid for proxy in self._fleet.proxies if proxy.process]


def min_mean_max(values: list[float]) -> list[float]:
    """The least, the mean and the most."""
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
    return RunResult(fleet.record_paths(), fleet.fault_targets, run.figures, fleet.tool_errors)


def run_processes(options: RunOptions, folder: pathlib.Path, proxy_tree: str | None = None) -> RunResult:
    """Runs a plan with real processes; blocks until all of them have ended.

    `folder`: for records, logs and configurations; `proxy_tree`: whose code proxies run, None: this one's.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run(options, folder, proxy_tree))


def logged_errors(folder: pathlib.Path) -> list[str]:
    """What proxies logged as errors, a violation of their own guard of sending among them; some of each."""
    found = []
    for path in sorted(folder.glob("p*.log")):
        with open(path, errors="replace") as file:
            errors = [line.strip() for line in file if " ERROR " in line and EXPECTED_ERROR not in line]
        found += [f"{path.stem}: {error[:MAX_ERROR_CHARACTERS]}" for error in errors[:MAX_SHOWN_ERRORS]]
    return found


def run_and_judge(options: RunOptions, planted_fault: str | None, keep_logs: pathlib.Path | None) -> dict[str, Any]:
    """The record of a run, which has a folder of its own as long as it lasts.

    `planted_fault`: a wrong line in the proxies' code; `keep_logs`: where records and logs go, whatever becomes of the run.
    """
    # A disk may take most of a second for a file that is cut short, and the driver would be late with it.
    parent = TMPFS_FOLDER if os.path.isdir(TMPFS_FOLDER) else None
    with tempfile.TemporaryDirectory(prefix="rig-", dir=parent) as name:
        folder = pathlib.Path(name)
        proxy_tree = plant(planted_fault, name) if planted_fault else None
        try:
            result = run_processes(options, folder, proxy_tree)
            result.tool_errors += logged_errors(folder)
            return judge_run(options.plan, options.seed, result)
        finally:
            if keep_logs:
                _copy_files(folder, keep_logs)


def _copy_files(folder: pathlib.Path, to: pathlib.Path) -> None:
    to.mkdir(parents=True, exist_ok=True)
    for path in folder.iterdir():
        if path.is_file():
            shutil.copy(path, to / path.name)
