"""The same play with real proxies, each a process of its own, and the same stand-ins, on loopback in real time.

What a simulated network can do and loopback can't: latencies, bytes in pieces, machines that are cut off (their backends say
nothing here, but their connections come up).  All processes started here are ended here, by id.
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
from sloeferry.rehearsal.play_environment import MAX_DRAIN_SECONDS, READY_TIMEOUT_SECONDS, RESTART_SECONDS, ProxyHandle
from sloeferry.rehearsal.proxy_fleet import ProxyFleet
from sloeferry.rehearsal.scenario import Scenario, ScenarioError
from sloeferry.stand_ins import processes
from sloeferry.stand_ins.processes import Throttle, free_ports

MAX_PROXIES = 16  # that a machine is asked to carry
MAX_SECONDS = 600
READY_LOOK_SECONDS = 0.05
PLAY_LOOK_SECONDS = 0.25
END_TIMEOUT_SECONDS = 5
LOG_LINE_PARTS = 3  # time, level, message

Progress = Callable[[float, ProxyFleet], object]
ShowLine = Callable[[str], object]


class ProxyCommand(NamedTuple):
    """How a proxy is started; `folder` is whose code it runs (None: this one's)."""

    words: list[str]
    environ: dict[str, str]
    folder: str | None


class LiveEnvironment:
    """A `PlayEnvironment` in real time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, seed: int, folder: str):
        self.loop = loop
        self.seed = seed
        self.folder = folder

    def rng(self, purpose: str) -> Random:
        """See PlayEnvironment."""
        return Random(f"{self.seed}/{purpose}")

    def unix_time(self) -> float:
        """See PlayEnvironment."""
        return time.time()

    def place(self, name: str, address: tuple[str, int], zone: str | None) -> asyncio.AbstractEventLoop:
        """See PlayEnvironment."""
        return self.loop

    def set_cut_off(self, address: tuple[str, int], is_cut_off: bool) -> None:
        """See PlayEnvironment: the backend itself says nothing."""

    def make_proxy(self, fleet: ProxyFleet, index: int) -> "LiveProxy":
        """See PlayEnvironment."""
        return LiveProxy(self, fleet, index)

    def command(self, proxy: "LiveProxy") -> ProxyCommand:
        """How a proxy is started."""
        return ProxyCommand(*processes.proxy_command(), None)

    def process_started(self, process: asyncio.subprocess.Process) -> None:
        """A proxy's process has been started."""


class LiveProxy(ProxyHandle):
    """One proxy: a real process, and one after it."""

    environment: LiveEnvironment
    process: asyncio.subprocess.Process | None

    def __init__(self, environment: LiveEnvironment, fleet: ProxyFleet, index: int):
        super().__init__(environment, fleet, index)
        self.is_over = False  # the play ends
        self._loop = environment.loop
        self._throttle: Throttle | None = None
        self._was_killed = False

    def start(self) -> None:
        """See ProxyHandle."""
        self._loop.create_task(self._run())

    async def _run(self) -> None:
        """One process, from its start to its end."""
        if self.process or self.is_over:
            return
        self.write_config()
        self.is_leaving = False
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
        if self.is_over or self._was_killed:
            return
        if self.is_leaving:
            await asyncio.sleep(RESTART_SECONDS)
            self.start()
            return
        self._ended_for_clients()
        self.fleet.judge.proxy_crashed(self.name, self._loop.time(), f"exit {exit_code}")

    async def _create_process(self) -> asyncio.subprocess.Process:
        words, environ, folder = self.environment.command(self)
        with open(self.config_path.with_suffix(".log"), "ab") as log:
            return await asyncio.create_subprocess_exec(
                *words,
                env={**environ, "BALANCER_CONFIG": str(self.config_path)},
                stderr=log,
                cwd=folder,
                stdin=asyncio.subprocess.DEVNULL,
                start_new_session=True,
            )

    def _ended_for_clients(self) -> None:
        self.fleet.balancer.proxy_ended(self.name, self.fleet.scenario.balancer.failure_notice_seconds)

    def send_signal(self, number: int = signal.SIGKILL) -> None:
        """A signal, if its process is there; a stopped one goes on."""
        if self.process:
            processes.send_signal(self.process, signal.SIGCONT)
            processes.send_signal(self.process, number)

    def kill(self) -> None:
        """See ProxyHandle."""
        if self.process and not self._was_killed:
            self._was_killed = True
            self.fleet.judge.proxy_killed(self.name, self._loop.time())
            self.send_signal()
            self._ended_for_clients()

    def restart(self) -> None:
        """See ProxyHandle."""
        if self.process and not self.is_leaving:
            self.is_leaving = True
            self.send_signal(signal.SIGTERM)
            self.fleet.balancer.proxy_ended(self.name, self.fleet.scenario.balancer.drain_notice_seconds)
            self._loop.call_later(MAX_DRAIN_SECONDS, self._drain_overdue, self.process)

    def _drain_overdue(self, process: asyncio.subprocess.Process) -> None:
        if self.process is process:
            self.send_signal()

    def pause(self, seconds: float) -> None:
        """See ProxyHandle."""
        if self.process:
            now = self._loop.time()
            self.fleet.judge.proxy_stopped(self.name, now, now + seconds)
            os.killpg(self.process.pid, signal.SIGSTOP)
            self._loop.call_later(seconds, self.send_signal, signal.SIGCONT)

    def limit_cpu(self, share: float) -> None:
        """See ProxyHandle."""
        self.cpu_share = share
        if self._throttle:
            self._throttle.cpu_ratio = share
        elif share < 1 and self.process:
            self._throttle = Throttle(self.process.pid, share)
            self._throttle.start()

    def reload(self) -> None:
        """See ProxyHandle."""
        if self.process:
            self.write_config()
            self.send_signal(signal.SIGHUP)


def check(scenario: Scenario) -> None:
    """Raises ScenarioError for what can't be played live."""
    proxy_count = scenario.proxies.count
    if proxy_count > MAX_PROXIES:
        raise ScenarioError(f"bank.proxies: {proxy_count} are too many for a live play, {MAX_PROXIES} at most")
    if scenario.seconds > MAX_SECONDS:
        raise ScenarioError(f"seconds: {scenario.seconds:g} is too long for a live play, {MAX_SECONDS} at most")


def play(scenario: Scenario, seed: int, progress: Progress | None = None, show_line: ShowLine | None = None) -> dict[str, Any]:
    """Plays it; the record, which another run will not repeat to the byte."""
    check(scenario)
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as folder:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            record = runner.run(_play_in(scenario, seed, folder, progress))
        log_counts = _read_logs(pathlib.Path(folder), show_line)
    record["seed"] = seed
    record["policy"] = DESIGN
    record["log"] = dict(sorted(log_counts.items()))
    record["faults"] = []
    return record


async def _play_in(scenario: Scenario, seed: int, folder: str, progress: Progress | None) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    fleet = ProxyFleet(scenario, LiveEnvironment(loop, seed, folder), free_ports("127.10.0.1", 1)[0] // 2 + 16000)
    try:
        await fleet.open()
        await start_proxies(fleet)
        began_at = loop.time()
        fleet.begin(began_at)
        ends_at = began_at + scenario.seconds
        latest_end = ends_at + fleet.last_request_seconds()
        while loop.time() < ends_at or fleet.is_busy() and loop.time() < latest_end:
            await asyncio.sleep(PLAY_LOOK_SECONDS)
            if progress:
                progress(loop.time() - began_at, fleet)
        return fleet.record(loop.time())
    finally:
        for proxy in fleet.proxies:
            proxy.is_over = True
            proxy.send_signal()
        fleet.discovery.stop()
        for backend in fleet.backends:
            backend.crash()
        await wait_until_ended(fleet)


async def start_proxies(fleet: ProxyFleet) -> None:
    """Starts all, and waits until they are ready, or for as long as they may take."""
    for proxy in fleet.proxies:
        proxy.start()
    until = fleet.loop.time() + READY_TIMEOUT_SECONDS
    while not all(fleet.balancer.alive.values()) and fleet.loop.time() < until:
        await asyncio.sleep(READY_LOOK_SECONDS)


async def wait_until_ended(fleet: ProxyFleet) -> None:
    """Waits until the proxies' processes have ended, or for as long as that may take."""
    until = fleet.loop.time() + END_TIMEOUT_SECONDS
    while any(proxy.process for proxy in fleet.proxies) and fleet.loop.time() < until:
        await asyncio.sleep(READY_LOOK_SECONDS)


def _read_logs(folder: pathlib.Path, show_line: ShowLine | None) -> dict[str, int]:
    """Counts the proxies' log lines by level."""
    counts: dict[str, int] = {}
    lines = ((path.stem, line) for path in sorted(folder.glob("*.log")) for line in path.read_text(errors="replace").splitlines())
    for name, line in lines:
        parts = line.split(" ", 2)
        if len(parts) < LOG_LINE_PARTS:
            continue
        level = parts[1]
        counts[level] = counts.get(level, 0) + 1
        if show_line:
            show_line(f"{name} {line}")
    return counts
