"""What differs between a play in virtual time and one in real time: where the stand-ins run, and what a proxy is."""

import abc
import asyncio
import json
import pathlib
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from sloeferry.rehearsal.proxy_fleet import ProxyFleet

READY_TIMEOUT_SECONDS = 30.0  # until a play begins whoever is ready
DRAIN_TIMEOUT_SECONDS = 3.7  # from SIGTERM to SIGKILL
RESTART_DELAY_SECONDS = 0.2  # from a planned end to the next start


class RunEnvironment(Protocol):
    """Where the stand-ins run."""

    loop: asyncio.AbstractEventLoop  # of whoever carries out the faults
    folder: str  # where proxies' configurations stand

    def rng(self, purpose: str) -> Random:
        """A source of chance for one purpose."""

    def unix_time(self) -> float:
        """The wall clock, in seconds."""

    def event_loop_for(self, name: str, address: tuple[str, int], zone: str | None) -> asyncio.AbstractEventLoop:
        """The loop of one who stands there."""

    def set_cut_off(self, address: tuple[str, int], is_cut_off: bool) -> None:
        """A machine is cut off from the network, or there again."""

    def make_proxy(self, fleet: "ProxyFleet", index: int) -> "ProxyHandle":
        """A proxy that can be started."""


class ProxyHandle(abc.ABC):
    """What a proxy has in either environment: its place, its configuration and its share of a core."""

    def __init__(self, environment: RunEnvironment, fleet: "ProxyFleet", index: int):
        self.environment = environment
        self.fleet = fleet
        self.index = index
        self.name, self.address, self.zone = fleet.places[index]
        self.config_path = pathlib.Path(environment.folder) / f"{self.name}.json"
        self.process: Any = None
        self.is_restarting = False
        self.cpu_share = fleet.scenario.proxies.cpu_share
        self._seeds = environment.rng(f"proxy-{index}")

    def write_config(self) -> None:
        """Writes its configuration anew."""
        config = self.fleet.instance_config(self.index, self._seeds.getrandbits(64))
        self.config_path.write_text(json.dumps(config))

    @abc.abstractmethod
    def start(self) -> None:
        """Starts its process."""

    @abc.abstractmethod
    def kill(self) -> None:
        """Kills its process; it stays down."""

    @abc.abstractmethod
    def restart(self) -> None:
        """Asks its process to end, and starts another one then."""

    @abc.abstractmethod
    def pause(self, seconds: float) -> None:
        """Its process gets no time at all for so long."""

    @abc.abstractmethod
    def limit_cpu(self, share: float) -> None:
        """Its process gets so much of a core from now on."""

    @abc.abstractmethod
    def reload(self) -> None:
        """Writes its configuration anew and sends SIGHUP."""
