"""Loopback addresses and ports of a run, and the target proxies and links of each fault.

All of it is determined by plan and seed before any process starts, except for the ports, which no other run may use.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from sloeferry.fault_testing.plan import Plan
from sloeferry.fault_testing.plan_faults import AnyLinkFault, Fault, LinkFault
from sloeferry.rehearsal.proxy_fleet import BACKEND_BLOCK, DISCOVERY_BLOCK, loopback_address
from sloeferry.rehearsal.scenario import ScenarioError

LINK_BLOCK = 50  # of loopback addresses (127.BLOCK.x.y), distinct from the blocks of a rehearsal
LOCK_ADDRESS_NUMBER = 249  # in discovery's block: the address whose listening socket reserves a run's ports
# Below the machine's ephemeral ports.
FIRST_PORT, END_PORT, PORTS_PER_RUN = 12000, 32000, 2500

Address = tuple[str, int]


class RelayedLink(NamedTuple):
    """A relayed link between a proxy and backends, clients or discovery.

    `between` names the other end as plans do, `backend` is the number of the backend if the link leads to one, and
    `listen_address` is the relay's address.
    """

    between: str
    proxy: int
    backend: int | None
    listen_address: Address


class FaultTargets(NamedTuple):
    """The targets of a fault: proxies by number, links by name."""

    proxies: list[int]
    links: list[str]


def discovery_link(proxy: int) -> str:
    """Return the name of the link between a proxy and discovery."""
    return f"discovery/{proxy}"


def clients_link(proxy: int) -> str:
    """Return the name of the link between clients and a proxy."""
    return f"callers/{proxy}"


def backend_address(number: int, port: int) -> Address:
    """Return the address of the backend with that number."""
    return loopback_address(BACKEND_BLOCK, number), port


@dataclass(slots=True)
class TargetSelection:
    """The targets of each fault, and the links that they require.

    `rng_for(purpose)` returns the random number generator for that purpose.
    """

    plan: Plan
    port: int
    rng_for: Callable[[str], Random]
    targets_by_fault: list[FaultTargets] = field(default_factory=list)
    links: dict[str, RelayedLink] = field(default_factory=dict)  # by name; only targets of faults
    _link_count_by_proxy: dict[int, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for number, fault in enumerate(self.plan.process_faults):
            self.targets_by_fault.append(self._select_targets(fault, self.rng_for(f"fault-{number}")))

    def _select_targets(self, fault: Fault, rng: Random) -> FaultTargets:
        proxies = fault.proxies or _sample_indexes(rng, self.plan.proxies.count, fault.target_ratio)
        if not isinstance(fault, AnyLinkFault):
            return FaultTargets(proxies, [])
        backends = self._select_backends(fault, rng)
        return FaultTargets(proxies, [self._add_link(fault.between, proxy, backend) for proxy in proxies for backend in backends])

    def _select_backends(self, fault: LinkFault, rng: Random) -> list[int | None]:
        if fault.between != "nodes":
            return [None]
        return _sample_indexes(rng, sum(group.count for group in self.plan.backends), fault.backend_ratio)

    def _add_link(self, between: str, proxy: int, backend: int | None) -> str:
        """Return the name of that link; a new one gets the address of its proxy and the next port."""
        name = f"{between}/{proxy}" if backend is None else f"{between}/{proxy}/{backend}"
        if name not in self.links:
            number = self._link_count_by_proxy.get(proxy, 0)
            self._link_count_by_proxy[proxy] = number + 1
            self.links[name] = RelayedLink(between, proxy, backend, (loopback_address(LINK_BLOCK, proxy), self.port + number))
        return name


def _sample_indexes(rng: Random, count: int, ratio: float) -> list[int]:
    """Return a sorted random sample of `ratio` of the numbers below `count`, but at least one."""
    return sorted(rng.sample(range(count), max(1, round(ratio * count))))


class ReservedPorts(NamedTuple):
    """The first port of a run, and the socket that reserves all of its ports until it is closed."""

    lock: socket.socket
    first_port: int


def reserve_ports() -> ReservedPorts:
    """Reserve ports that no other run uses; raises ScenarioError if all are taken."""
    for port in range(FIRST_PORT, END_PORT, PORTS_PER_RUN):
        try:
            return ReservedPorts(socket.create_server((loopback_address(DISCOVERY_BLOCK, LOCK_ADDRESS_NUMBER), port)), port)
        except OSError:
            continue
    raise ScenarioError("no free ports for this run: other runs or programs use every block of ports")
