"""Runs a scenario live: real proxy processes against the stand-ins of this process, on loopback in real time.

Unlike the simulated network, loopback has no latencies, doesn't split sent bytes and can't disconnect a host: the backends of
such a host don't respond, but connections to them are established.  All processes started here are ended here, by process id.
"""

import asyncio
import os
import pathlib
import signal
import tempfile
import time
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

import uvloop

from sloeferry.rehearsal.baselines import DESIGN
from sloeferry.rehearsal.proxy_fleet import ProxyFleet
from sloeferry.rehearsal.run_environment import (
    DRAIN_TIMEOUT_SECONDS,
    KILL_DELAY_SECONDS,
    READY_TIMEOUT_SECONDS,
    RESTART_DELAY_SECONDS,
    ProxyHandle,
)
from sloeferry.rehearsal.scenario import Scenario, ScenarioError
from sloeferry.stand_ins import processes
from sloeferry.stand_ins.processes import Throttle, free_ports

MAX_PROXIES = 16  # limits the load on the machine
MAX_SECONDS = 600
READY_POLL_SECONDS = 0.05
PROGRESS_INTERVAL_SECONDS = 0.25
END_TIMEOUT_SECONDS = 5
LOG_LINE_PART_COUNT = 3  # time, level, message

Progress = Callable[[float, ProxyFleet], object]
ShowLine = Callable[[str], object]


class ProxyCommand(NamedTuple):
    """The command that starts a proxy; it runs the code in `working_directory`, or this process's if that is None."""

    arguments: list[str]
    environ: dict[str, str]
    working_directory: str | None


class LiveEnvironment:
    """Provides this process's event loop, the real clock and real proxy processes to a live run."""

    def __init__(self, loop: asyncio.AbstractEventLoop, seed: int, folder: str):
        self.loop = loop
        self.seed = seed
        self.folder = folder

    def rng(self, purpose: str) -> Random:
        """Return a random generator for one purpose, independent of the generators of other purposes."""
        return Random(f"{self.seed}/{purpose}")

    def unix_time(self) -> float:
        """Return the wall clock, in seconds."""
        return time.time()

    def event_loop_for(self, name: str, address: tuple[str, int], zone: str | None) -> asyncio.AbstractEventLoop:
        """Return the one event loop, which all stand-ins share."""
        return self.loop

    def set_cut_off(self, address: tuple[str, int], is_cut_off: bool) -> None:
        """Do nothing: the backend itself stops responding."""

    def make_proxy(self, fleet: ProxyFleet, index: int) -> "LiveProxy":
        """Return a proxy that runs in a real process."""
        return LiveProxy(self, fleet, index)

    def command(self, proxy: "LiveProxy") -> ProxyCommand:
        """Return the command that starts a proxy."""
        return ProxyCommand(*processes.proxy_command(), None)

    def process_started(self, process: asyncio.subprocess.Process) -> None:
        """Handle the start of a proxy's process; subclasses may override this."""


class LiveProxy(ProxyHandle):
    """Runs one proxy as a sequence of real processes."""

    environment: LiveEnvironment
    process: asyncio.subprocess.Process | None

    def __init__(self, environment: LiveEnvironment, fleet: ProxyFleet, index: int):
        super().__init__(environment, fleet, index)
        self.is_run_over = False  # then no further process is started
        self._loop = environment.loop
        self._throttle: Throttle | None = None
        self._was_killed = False

    def start(self) -> None:
        """Start a process with a new configuration file, unless one is running."""
        self._loop.create_task(self._run_process())

    async def _run_process(self) -> None:
        """Run one process until it ends; start the next one after a restart, report a crash otherwise."""
        if self.process or self.is_run_over:
            return
        self.write_config()
        self.is_restarting = False
        self._was_killed = False
        self.process = await self._create_process()
        self.environment.process_started(self.process)
        self.limit_cpu(self.cpu_share)
        self.fleet.balancer.proxy_started(self.name)
        exit_code = await self.process.wait()
        self.process = None
        if self._throttle:
            self._throttle.stop_requested.set()
            self._throttle = None
        if self.is_run_over or self._was_killed:
            return
        if self.is_restarting:
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            self.start()
            return
        self._report_end_to_balancer()
        self.fleet.observer.proxy_crashed(self.name, self._loop.time(), f"exit {exit_code}")

    async def _create_process(self) -> asyncio.subprocess.Process:
        arguments, environ, working_directory = self.environment.command(self)
        with open(self.config_path.with_suffix(".log"), "ab") as log:
            return await asyncio.create_subprocess_exec(
                *arguments,
                env={**environ, "BALANCER_CONFIG": str(self.config_path)},
                stderr=log,
                cwd=working_directory,
                stdin=asyncio.subprocess.DEVNULL,
                start_new_session=True,
            )

    def _report_end_to_balancer(self) -> None:
        self.fleet.balancer.proxy_ended(self.name, self.fleet.scenario.balancer.failure_notice_seconds)

    def send_signal(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to the process, if one is running; a stopped process is continued first."""
        if self.process:
            processes.send_signal(self.process, signal.SIGCONT)
            processes.send_signal(self.process, number)

    def kill(self) -> None:
        """Kill the process and report the kill to the judge and the connection balancer."""
        if self.process and not self._was_killed:
            self._was_killed = True
            self.fleet.observer.proxy_killed(self.name, self._loop.time())
            self.send_signal()
            self._report_end_to_balancer()

    def restart(self) -> None:
        """Send SIGTERM and start the next process after this one's exit; kill it after the drain timeout."""
        if self.process and not self.is_restarting:
            self.is_restarting = True
            self.send_signal(signal.SIGTERM)
            self.fleet.balancer.proxy_ended(self.name, self.fleet.scenario.balancer.drain_notice_seconds)
            longest_deadline_ms = max(each.deadline_ms for each in self.fleet.scenario.request_classes)
            kill_after_seconds = min(DRAIN_TIMEOUT_SECONDS, longest_deadline_ms / 1000 + KILL_DELAY_SECONDS)
            self._loop.call_later(kill_after_seconds, self._drain_timed_out, self.process)

    def _drain_timed_out(self, process: asyncio.subprocess.Process) -> None:
        if self.process is process:
            self.send_signal()

    def pause(self, seconds: float) -> None:
        """Stop the process with SIGSTOP for a time, and report this to the judge."""
        if self.process:
            now = self._loop.time()
            self.fleet.observer.proxy_stopped(self.name, now, now + seconds)
            os.killpg(self.process.pid, signal.SIGSTOP)
            self._loop.call_later(seconds, self.send_signal, signal.SIGCONT)

    def limit_cpu(self, share: float) -> None:
        """Throttle the process to a share of a core."""
        self.cpu_share = share
        if self._throttle:
            self._throttle.cpu_ratio = share
        elif share < 1 and self.process:
            self._throttle = Throttle(self.process.pid, share)
            self._throttle.start()

    def reload(self) -> None:
        """Write a new configuration file and send SIGHUP."""
        if self.process:
            self.write_config()
            self.send_signal(signal.SIGHUP)


def check_limits(scenario: Scenario) -> None:
    """Raise ScenarioError if the scenario is too large or too long for a live run."""
    proxy_count = scenario.proxies.count
    if proxy_count > MAX_PROXIES:
        raise ScenarioError(
            f"bank.proxies: {proxy_count} proxies are too many for a live run, at most {MAX_PROXIES} are possible"
        )
    if scenario.seconds > MAX_SECONDS:
        raise ScenarioError(f"seconds: {scenario.seconds:g} s is too long for a live run, at most {MAX_SECONDS} s are possible")


def run_live(
    scenario: Scenario, seed: int, progress: Progress | None = None, show_line: ShowLine | None = None
) -> dict[str, Any]:
    """Run a scenario live and return its record; unlike in virtual time, two runs with one seed differ."""
    check_limits(scenario)
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as folder:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            record = runner.run(_run_scenario(scenario, seed, folder, progress))
        log_counts = _read_logs(pathlib.Path(folder), show_line)
    record["seed"] = seed
    record["policy"] = DESIGN
    record["log"] = dict(sorted(log_counts.items()))
    record["faults"] = []
    return record


async def _run_scenario(scenario: Scenario, seed: int, folder: str, progress: Progress | None) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    fleet = ProxyFleet(scenario, LiveEnvironment(loop, seed, folder), free_ports("127.10.0.1", 1)[0] // 2 + 16000)
    try:
        await fleet.start_stand_ins()
        await start_proxies(fleet)
        began_at = loop.time()
        fleet.begin(began_at)
        ends_at = began_at + scenario.seconds
        latest_end = ends_at + fleet.last_request_timeout_seconds()
        while loop.time() < ends_at or fleet.has_open_requests() and loop.time() < latest_end:
            await asyncio.sleep(PROGRESS_INTERVAL_SECONDS)
            if progress:
                progress(loop.time() - began_at, fleet)
        return fleet.record(loop.time())
    finally:
        for proxy in fleet.proxies:
            proxy.is_run_over = True
            proxy.send_signal()
        fleet.discovery.stop()
        for backend in fleet.backends:
            backend.crash()
        await wait_until_ended(fleet)


async def start_proxies(fleet: ProxyFleet) -> None:
    """Start all proxies and wait until they are ready, or until the timeout."""
    for proxy in fleet.proxies:
        proxy.start()
    deadline = fleet.loop.time() + READY_TIMEOUT_SECONDS
    while not all(fleet.balancer.alive.values()) and fleet.loop.time() < deadline:
        await asyncio.sleep(READY_POLL_SECONDS)


async def wait_until_ended(fleet: ProxyFleet) -> None:
    """Wait until the proxies' processes have ended, or until the timeout."""
    deadline = fleet.loop.time() + END_TIMEOUT_SECONDS
    while any(proxy.process for proxy in fleet.proxies) and fleet.loop.time() < deadline:
        await asyncio.sleep(READY_POLL_SECONDS)


def _read_logs(folder: pathlib.Path, show_line: ShowLine | None) -> dict[str, int]:
    """Return the number of the proxies' log lines by level; `show_line` gets each line if it is set."""
    counts: dict[str, int] = {}
    lines = ((path.stem, line) for path in sorted(folder.glob("*.log")) for line in path.read_text(errors="replace").splitlines())
    for name, line in lines:
        parts = line.split(" ", 2)
        if len(parts) < LOG_LINE_PART_COUNT:
            continue
        level = parts[1]
        counts[level] = counts.get(level, 0) + 1
        if show_line:
            show_line(f"{name} {line}")
    return counts
