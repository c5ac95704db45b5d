"""One play in virtual time: the proxy's own code, as many proxies as the scenario says, and everybody else."""

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
from sloeferry.rehearsal import baselines
from sloeferry.rehearsal.network import SimulatedHost, SimulatedNetwork
from sloeferry.rehearsal.play_environment import MAX_DRAIN_SECONDS, READY_TIMEOUT_SECONDS, RESTART_SECONDS, ProxyHandle
from sloeferry.rehearsal.proxy_fleet import ProxyFleet
from sloeferry.rehearsal.scenario import Scenario, parse_start_time
from sloeferry.rehearsal.simulated_epoll import SimulatedEpoll
from sloeferry.rehearsal.simulated_process import SimulatedProcess
from sloeferry.rehearsal.simulated_socket import SimulatedSocket
from sloeferry.rehearsal.virtual_time import START_SECONDS, Scheduler

DEFAULT_UNIX_START = 1767225600.0  # where the scenario says none
CALL_COSTS = {"read": 2, "write": 2, "dial": 3, "accept": 2}  # in eighths of a request's CPU time
COST_PARTS = 8
LOOK_SECONDS = 0.1  # between two looks whether the proxies are ready
MAX_RECORDED_ERRORS = 20

Progress = Callable[[float, ProxyFleet], object]
ShowLine = Callable[[str], object]


class VirtualEnvironment:
    """A `PlayEnvironment` in virtual time."""

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
        """The machine with that address."""
        return self.network.hosts.get(address[0]) or SimulatedHost(self.network, address[0], zone)

    def place(self, name: str, address: tuple[str, int], zone: str | None) -> SimulatedProcess:
        """See PlayEnvironment."""
        return SimulatedProcess(self.scheduler, self.host(address, zone), name)

    def set_cut_off(self, address: tuple[str, int], is_cut_off: bool) -> None:
        """See PlayEnvironment."""
        self.network.hosts[address[0]].is_cut_off = is_cut_off

    def make_proxy(self, fleet: ProxyFleet, index: int) -> "SimulatedProxy":
        """See PlayEnvironment."""
        return SimulatedProxy(self, fleet, index)


class SimulatedProxy(ProxyHandle):
    """One proxy: a process that runs `serve`, and one after it."""

    environment: VirtualEnvironment
    process: SimulatedProcess

    def __init__(self, environment: VirtualEnvironment, fleet: ProxyFleet, index: int):
        super().__init__(environment, fleet, index)
        self._scheduler = environment.scheduler
        part_seconds = fleet.scenario.proxies.request_cpu_us / 1e6 / COST_PARTS
        self._costs = {call: parts * part_seconds for call, parts in CALL_COSTS.items()} if part_seconds else {}

    def start(self) -> None:
        """See ProxyHandle."""
        if self.process and not self.process.is_dead:
            return
        self.write_config()
        self.is_leaving = False
        host = self.environment.host(self.address, self.zone)
        self.process = SimulatedProcess(self._scheduler, host, self.name, self._costs)
        self.process.cpu_share = self.cpu_share
        environ = {"BALANCER_CONFIG": str(self.config_path)}
        policy = self.environment.policy
        work = serve(read_instance_config(environ), environ, lambda dispatcher: baselines.install_baseline(dispatcher, policy))
        self.process.run_main(work, self._exited)
        self.fleet.balancer.proxy_started(self.name)

    def _exited(self, process: SimulatedProcess) -> None:
        """It ended by itself: as it was told to, or not."""
        if process is not self.process:
            return
        if self.is_leaving:
            self._scheduler.call_later(RESTART_SECONDS, self.start)
        else:
            self._ended_for_clients()
            self.fleet.judge.proxy_crashed(self.name, self._scheduler.now, process.exit_reason)

    def _ended_for_clients(self) -> None:
        self.fleet.balancer.proxy_ended(self.name, self.fleet.scenario.balancer.failure_notice_seconds)

    def kill(self) -> None:
        """See ProxyHandle."""
        if self.process.is_dead:
            return
        self.fleet.judge.proxy_killed(self.name, self._scheduler.now)
        self.process.kill()
        self._ended_for_clients()

    def restart(self) -> None:
        """See ProxyHandle."""
        if self.process.is_dead or self.is_leaving:
            return
        process = self.process
        self.is_leaving = True
        process.send_signal(signal.SIGTERM)
        self.fleet.balancer.proxy_ended(self.name, self.fleet.scenario.balancer.drain_notice_seconds)
        self._scheduler.call_later(MAX_DRAIN_SECONDS, self._drain_overdue, process)

    def _drain_overdue(self, process: SimulatedProcess) -> None:
        if not process.is_dead and process is self.process:
            process.kill()  # what it still had is lost, and counts as lost
            self.start()

    def pause(self, seconds: float) -> None:
        """See ProxyHandle."""
        now = self._scheduler.now
        self.fleet.judge.proxy_stopped(self.name, now, now + seconds)
        self.process.pause(seconds)

    def limit_cpu(self, share: float) -> None:
        """See ProxyHandle."""
        self.cpu_share = share
        self.process.cpu_share = share

    def reload(self) -> None:
        """See ProxyHandle."""
        if not self.process.is_dead:
            self.write_config()
            self.process.send_signal(signal.SIGHUP)


class LogCounter:
    """Counts the proxies' log by level; its lines go to `show_line` if there is one."""

    def __init__(self, show_line: ShowLine | None):
        self.counts: dict[str, int] = {}
        self._show_line = show_line

    def __call__(self, message: Any) -> None:
        """As loguru calls its sinks."""
        level = message.record["level"].name
        self.counts[level] = self.counts.get(level, 0) + 1
        if self._show_line:
            seconds = environment.monotonic() - START_SECONDS
            self._show_line(f"{seconds:9.4f} {level} {message.record['message']}")


@contextlib.contextmanager
def proxies_run_in(play_environment: VirtualEnvironment, log: LogCounter) -> Iterator[None]:
    """Has the proxies' code use the simulated clock and network, and log to `log`, for as long as the play lasts."""
    scheduler, network = play_environment.scheduler, play_environment.network
    logger.remove()
    logger.add(log, level="INFO", format="{message}", catch=False)
    before = environment.replace(
        monotonic=scheduler.monotonic,
        unix_time=scheduler.unix_time,
        tcp_socket=network.socket,
        epoll=lambda: SimulatedEpoll(network),
        has_peer_ended=SimulatedSocket.has_peer_ended,
    )
    try:
        yield
    finally:
        scheduler.close()
        environment.replace(**before)
        logger.remove()
        logger.add(sys.stderr, level="WARNING")


def play(
    scenario: Scenario,
    seed: int,
    policy: str = baselines.DESIGN,
    progress: Progress | None = None,
    show_line: ShowLine | None = None,
    environment_seed: int = 0,
) -> dict[str, Any]:
    """Plays it; the record.  `progress` is called each virtual second.

    Another `environment_seed`: the same requests and faults, other random numbers of network and proxies.
    """
    log = LogCounter(show_line)
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as folder:
        play_environment = VirtualEnvironment(scenario, seed, folder, policy, environment_seed)
        with proxies_run_in(play_environment, log):
            record = _play_in(play_environment, scenario, progress)
    record["seed"] = seed
    record["policy"] = policy
    record["chance"] = environment_seed
    record["log"] = dict(sorted(log.counts.items()))
    return record


def _play_in(play_environment: VirtualEnvironment, scenario: Scenario, progress: Progress | None) -> dict[str, Any]:
    scheduler = play_environment.scheduler
    fleet = ProxyFleet(scenario, play_environment)
    play_environment.loop.create_task(fleet.open())
    scheduler.run(scheduler.now + LOOK_SECONDS)
    for proxy in fleet.proxies:
        proxy.start()
    _run_until_ready(scheduler, fleet)
    began_at = scheduler.now
    fleet.begin(began_at)
    ends_at = began_at + scenario.seconds
    latest_end = ends_at + fleet.last_request_seconds()
    while scheduler.now < ends_at or fleet.is_busy() and scheduler.now < latest_end:
        scheduler.run(min(scheduler.now + 1.0, latest_end))
        if progress:
            progress(scheduler.now - began_at, fleet)
    record = fleet.record(scheduler.now)
    record["faults"] = scheduler.process_errors[:MAX_RECORDED_ERRORS]
    record["world"] = {
        "seconds": round(scheduler.now - began_at, 6),
        "events": scheduler.event_count,
        "bytes": play_environment.network.bytes_delivered,
    }
    return record


def _run_until_ready(scheduler: Scheduler, fleet: ProxyFleet) -> None:
    began_at = scheduler.now
    while not all(fleet.balancer.alive.values()) and scheduler.now < began_at + READY_TIMEOUT_SECONDS:
        scheduler.run(scheduler.now + LOOK_SECONDS)
