"""Runs a scenario in virtual time: the code of real proxies against stand-ins, in one process with a simulated clock."""

import contextlib
import signal
import sys
import tempfile
from collections.abc import Callable, Iterator
from typing import Any

from loguru import logger

from sloeferry import environment
from sloeferry.config.instance import read_instance_config
from sloeferry.lifecycle.proxy_process import serve
from sloeferry.network import limited_log
from sloeferry.rehearsal import baselines
from sloeferry.rehearsal.network import SimulatedHost, SimulatedNetwork
from sloeferry.rehearsal.proxy_fleet import ProxyFleet
from sloeferry.rehearsal.run_environment import DRAIN_TIMEOUT_SECONDS, READY_TIMEOUT_SECONDS, RESTART_DELAY_SECONDS, ProxyHandle
from sloeferry.rehearsal.scenario import Scenario, parse_start_time
from sloeferry.rehearsal.simulated_epoll import SimulatedEpoll
from sloeferry.rehearsal.simulated_process import SimulatedProcess
from sloeferry.rehearsal.simulated_socket import SimulatedSocket
from sloeferry.rehearsal.virtual_time import START_SECONDS, Scheduler

DEFAULT_UNIX_START = 1767225600.0  # 2026-01-01 00:00 UTC, for scenarios without a clock
CALL_COSTS = {"read": 2, "write": 2, "dial": 3, "accept": 2}  # eighths of a request's CPU time
COST_UNITS_PER_REQUEST = 8
POLL_INTERVAL_SECONDS = 0.1  # between two checks of whether the proxies are ready
MAX_RECORDED_ERRORS = 20

Progress = Callable[[float, ProxyFleet], object]
ShowLine = Callable[[str], object]


class VirtualEnvironment:
    """Provides the simulated clock, network and processes of a run in virtual time."""

    def __init__(self, scenario: Scenario, seed: int, folder: str, policy: str, environment_seed: int):
        unix_start = parse_start_time(scenario.clock) if scenario.clock else DEFAULT_UNIX_START
        network = scenario.network
        self.scheduler = Scheduler(seed, unix_start, environment_seed)
        self.folder = folder
        self.policy = policy
        self.network = SimulatedNetwork(
            self.scheduler,
            network.same_zone_ms / 1000,
            network.cross_zone_ms / 1000,
            network.client_extra_ms / 1000,
            network.jitter_ratio,
            network.split_probability,
        )
        self.loop = SimulatedProcess(self.scheduler, SimulatedHost(self.network, "127.1.0.1", None), "troubles")
        self.rng = self.scheduler.rng
        self.unix_time = self.scheduler.unix_time

    def host(self, address: tuple[str, int], zone: str | None) -> SimulatedHost:
        """Return the host with that IP address, created on the first use."""
        return self.network.hosts.get(address[0]) or SimulatedHost(self.network, address[0], zone)

    def event_loop_for(self, name: str, address: tuple[str, int], zone: str | None) -> SimulatedProcess:
        """Return a new simulated process on the host with that address; the process is its event loop."""
        return SimulatedProcess(self.scheduler, self.host(address, zone), name)

    def set_cut_off(self, address: tuple[str, int], is_cut_off: bool) -> None:
        """Disconnect a host from the simulated network, or reconnect it."""
        self.network.hosts[address[0]].is_cut_off = is_cut_off

    def make_proxy(self, fleet: ProxyFleet, index: int) -> "SimulatedProxy":
        """Return a proxy that runs in a simulated process."""
        return SimulatedProxy(self, fleet, index)


class SimulatedProxy(ProxyHandle):
    """Runs one proxy as a sequence of simulated processes, each of which runs `serve`."""

    environment: VirtualEnvironment
    process: SimulatedProcess

    def __init__(self, environment: VirtualEnvironment, fleet: ProxyFleet, index: int):
        super().__init__(environment, fleet, index)
        self._scheduler = environment.scheduler
        unit_seconds = fleet.scenario.proxies.request_cpu_us / 1e6 / COST_UNITS_PER_REQUEST
        self._costs = {call: units * unit_seconds for call, units in CALL_COSTS.items()} if unit_seconds else {}

    def start(self) -> None:
        """Start a process with a new configuration file, unless one is running."""
        if self.process and not self.process.is_dead:
            return
        self.write_config()
        self.is_restarting = False
        host = self.environment.host(self.address, self.zone)
        self.process = SimulatedProcess(self._scheduler, host, self.name, self._costs)
        self.process.cpu_share = self.cpu_share
        environ = {"BALANCER_CONFIG": str(self.config_path)}
        policy = self.environment.policy
        main = serve(read_instance_config(environ), environ, lambda dispatcher: baselines.install_baseline(dispatcher, policy))
        self.process.run_main(main, self._exited)
        self.fleet.balancer.proxy_started(self.name)

    def _exited(self, process: SimulatedProcess) -> None:
        """Handle the end of a process that was not killed: start the next one after a restart, report a crash otherwise."""
        if process is not self.process:
            return
        if self.is_restarting:
            self._scheduler.call_later(RESTART_DELAY_SECONDS, self.start)
        else:
            self._report_end_to_balancer()
            self.fleet.observer.proxy_crashed(self.name, self._scheduler.now, process.exit_reason)

    def _report_end_to_balancer(self) -> None:
        self.fleet.balancer.proxy_ended(self.name, self.fleet.scenario.balancer.failure_notice_seconds)

    def kill(self) -> None:
        """Kill the process and report the kill to the judge and the connection balancer."""
        if self.process.is_dead:
            return
        self.fleet.observer.proxy_killed(self.name, self._scheduler.now)
        self.process.kill()
        self._report_end_to_balancer()

    def restart(self) -> None:
        """Send SIGTERM and start the next process after this one's exit, or after the drain timeout."""
        if self.process.is_dead or self.is_restarting:
            return
        process = self.process
        self.is_restarting = True
        process.send_signal(signal.SIGTERM)
        self.fleet.balancer.proxy_ended(self.name, self.fleet.scenario.balancer.drain_notice_seconds)
        self._scheduler.call_later(DRAIN_TIMEOUT_SECONDS, self._drain_timed_out, process)

    def _drain_timed_out(self, process: SimulatedProcess) -> None:
        if not process.is_dead and process is self.process:
            process.kill()  # its open requests are lost and count as lost
            self.start()

    def pause(self, seconds: float) -> None:
        """Give the process no CPU time for a time, and report this to the judge."""
        now = self._scheduler.now
        self.fleet.observer.proxy_stopped(self.name, now, now + seconds)
        self.process.pause(seconds)

    def limit_cpu(self, share: float) -> None:
        """Scale the CPU time of the process's calls to a share of a core."""
        self.cpu_share = share
        self.process.cpu_share = share

    def reload(self) -> None:
        """Write a new configuration file and send SIGHUP."""
        if not self.process.is_dead:
            self.write_config()
            self.process.send_signal(signal.SIGHUP)


class LogCounter:
    """A loguru sink that counts log records of the proxies by level and passes their lines to `show_line`, if set."""

    def __init__(self, show_line: ShowLine | None):
        self.counts: dict[str, int] = {}
        self._show_line = show_line

    def __call__(self, message: Any) -> None:
        """Count one log record."""
        level = message.record["level"].name
        self.counts[level] = self.counts.get(level, 0) + 1
        if self._show_line:
            seconds = environment.monotonic() - START_SECONDS
            self._show_line(f"{seconds:9.4f} {level} {message.record['message']}")


@contextlib.contextmanager
def simulated_system(run_environment: VirtualEnvironment, log: LogCounter) -> Iterator[None]:
    """Replace the system functions and the log sink that proxies use by simulated ones, until the block ends."""
    scheduler, network = run_environment.scheduler, run_environment.network
    logger.remove()
    logger.add(log, level="INFO", format="{message}", catch=False)
    limited_log.reset()
    previous = environment.replace(
        monotonic=scheduler.monotonic,
        unix_time=scheduler.unix_time,
        tcp_socket=network.socket,
        epoll=lambda: SimulatedEpoll(network),
        peer_state=SimulatedSocket.peer_state,
        receive_buffer_bytes=SimulatedSocket.receive_buffer_bytes,
        send_now=SimulatedSocket.send_now,
        ms_since_arrival=SimulatedSocket.ms_since_arrival,
        unacknowledged_bytes=SimulatedSocket.unacknowledged_bytes,
        unread_bytes=SimulatedSocket.unread_bytes,
    )
    try:
        yield
    finally:
        scheduler.close()
        environment.replace(**previous)
        logger.remove()
        logger.add(sys.stderr, level="WARNING")


def simulate(
    scenario: Scenario,
    seed: int,
    policy: str = baselines.DESIGN,
    progress: Progress | None = None,
    show_line: ShowLine | None = None,
    environment_seed: int = 0,
) -> dict[str, Any]:
    """Run a scenario in virtual time and return its record; `progress` is called once per virtual second.

    The record depends on the arguments alone.  Another `environment_seed` keeps the requests and faults, and changes only the
    random numbers of the network, discovery and the proxies.
    """
    log = LogCounter(show_line)
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as folder:
        run_environment = VirtualEnvironment(scenario, seed, folder, policy, environment_seed)
        with simulated_system(run_environment, log):
            record = _run_scenario(run_environment, scenario, progress)
    record["seed"] = seed
    record["policy"] = policy
    record["chance"] = environment_seed
    record["log"] = dict(sorted(log.counts.items()))
    return record


def _run_scenario(run_environment: VirtualEnvironment, scenario: Scenario, progress: Progress | None) -> dict[str, Any]:
    scheduler = run_environment.scheduler
    fleet = ProxyFleet(scenario, run_environment)
    run_environment.loop.create_task(fleet.start_stand_ins())
    scheduler.run(scheduler.now + POLL_INTERVAL_SECONDS)
    for proxy in fleet.proxies:
        proxy.start()
    _run_until_ready(scheduler, fleet)
    began_at = scheduler.now
    fleet.begin(began_at)
    ends_at = began_at + scenario.seconds
    latest_end = ends_at + fleet.last_request_timeout_seconds()
    while scheduler.now < ends_at or fleet.has_open_requests() and scheduler.now < latest_end:
        scheduler.run(min(scheduler.now + 1.0, latest_end))
        if progress:
            progress(scheduler.now - began_at, fleet)
    record = fleet.record(scheduler.now)
    record["faults"] = scheduler.process_errors[:MAX_RECORDED_ERRORS]
    record["world"] = {
        "seconds": round(scheduler.now - began_at, 6),
        "events": scheduler.event_count,
        "bytes": run_environment.network.bytes_delivered,
    }
    return record


def _run_until_ready(scheduler: Scheduler, fleet: ProxyFleet) -> None:
    began_at = scheduler.now
    while not all(fleet.balancer.alive.values()) and scheduler.now < began_at + READY_TIMEOUT_SECONDS:
        scheduler.run(scheduler.now + POLL_INTERVAL_SECONDS)
