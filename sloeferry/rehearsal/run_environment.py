"""Interfaces of the parts that differ between a run in virtual time and a live one: event loops, clock and proxy processes."""

import abc
import asyncio
import json
import pathlib
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from sloeferry.rehearsal.proxy_fleet import ProxyFleet

READY_TIMEOUT_SECONDS = 30.0  # after which the load begins even if proxies are not ready
KILL_DELAY_SECONDS = 0.7  # after the longest deadline, counted from SIGTERM: the earliest time of SIGKILL
DRAIN_TIMEOUT_SECONDS = 3.7  # from SIGTERM to SIGKILL
RESTART_DELAY_SECONDS = 0.2  # from the end of a process that drained to the next start


class RunEnvironment(Protocol):
    """Provides event loops, random numbers and a clock to the stand-ins, and proxies to the fleet."""

    loop: asyncio.AbstractEventLoop  # of the fault injector
    folder: str  # of the proxies' configuration files

    def rng(self, purpose: str) -> Random:
        """Return a random generator for one purpose, independent of the generators of other purposes."""

    def unix_time(self) -> float:
        """Return the wall clock, in seconds."""

    def event_loop_for(self, name: str, address: tuple[str, int], zone: str | None) -> asyncio.AbstractEventLoop:
        """Return the event loop for the stand-in with that name and address; a zone of None marks a client."""

    def set_cut_off(self, address: tuple[str, int], is_cut_off: bool) -> None:
        """Disconnect a host from the network, or reconnect it."""

    def make_proxy(self, fleet: "ProxyFleet", index: int) -> "ProxyHandle":
        """Return a proxy that is not started yet."""


class ProxyHandle(abc.ABC):
    """Controls one proxy of a run: its address, its configuration file and its share of a core outlive its processes."""

    def __init__(self, environment: RunEnvironment, fleet: "ProxyFleet", index: int):
        self.environment = environment
        self.fleet = fleet
        self.index = index
        self.name, self.address, self.zone = fleet.listeners[index]
        self.config_path = pathlib.Path(environment.folder) / f"{self.name}.json"
        self.process: Any = None
        self.is_restarting = False
        self.cpu_share = fleet.scenario.proxies.cpu_share
        self._seed_rng = environment.rng(f"proxy-{index}")

    def write_config(self) -> None:
        """Write the configuration file, with a new seed."""
        config = self.fleet.instance_config(self.index, self._seed_rng.getrandbits(64))
        self.config_path.write_text(json.dumps(config))

    @abc.abstractmethod
    def start(self) -> None:
        """Start its process, unless one is running."""

    @abc.abstractmethod
    def kill(self) -> None:
        """Kill its process; another one starts only on `start`."""

    @abc.abstractmethod
    def restart(self) -> None:
        """Have its process drain and exit, then start another one."""

    @abc.abstractmethod
    def pause(self, seconds: float) -> None:
        """Give its process no CPU time for `seconds`."""

    @abc.abstractmethod
    def limit_cpu(self, share: float) -> None:
        """Limit its processes to a share of a core."""

    @abc.abstractmethod
    def reload(self) -> None:
        """Write the configuration file and send SIGHUP."""
