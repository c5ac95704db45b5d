"""Injects faults into proxies, and carries out the actions of operators on them."""

import asyncio
from random import Random
from typing import TYPE_CHECKING

from sloeferry.rehearsal import scenario_faults
from sloeferry.rehearsal.scenario_faults import LastingFault
from sloeferry.stand_ins.client_connection import ClientConnection, Response
from sloeferry.stand_ins.rules import Rule
from sloeferry.stand_ins.wire_protocol import ADMIN_PORT_OFFSET

if TYPE_CHECKING:
    from sloeferry.rehearsal.faults import FaultHandlers
    from sloeferry.rehearsal.proxy_fleet import ProxyFleet
    from sloeferry.rehearsal.run_environment import ProxyHandle

QUIESCE_SECONDS = 4.0  # within which a quiesced proxy has to be without clients
RESUME_SECONDS = 2.0  # within which a resumed proxy has to be ready
ADMIN_REQUEST = b"POST /admin/%b HTTP/1.1\r\nHost: ops.local\r\n\r\n"


class ProxyFaults:
    """Injects the faults of proxies; each handler takes a fault and its own random number generator."""

    def __init__(self, fleet: "ProxyFleet"):
        self._fleet = fleet
        self._loop = fleet.loop

    def handlers(self) -> "FaultHandlers":
        """Return the handler of each kind of fault."""
        return {
            scenario_faults.ProxyCrash: self._crash,
            scenario_faults.ProxyRollingRestart: self._restart,
            scenario_faults.ProxyQuiesce: self._quiesce,
            scenario_faults.ProxyPause: self._pause,
            scenario_faults.ProxyCpuLimit: self._limit_cpu,
        }

    def _pick_proxies(self, fault: LastingFault, rng: Random) -> list["ProxyHandle"]:
        return self._fleet.sample_in_zone(fault.part, fault.zone, rng, self._fleet.proxies)

    def _crash(self, fault: scenario_faults.ProxyCrash, rng: Random) -> None:
        for proxy in self._pick_proxies(fault, rng):
            proxy.kill()
            self._loop.call_later(fault.lasts, proxy.start)

    def _restart(self, fault: scenario_faults.ProxyRollingRestart, rng: Random) -> None:
        proxies = self._pick_proxies(fault, rng)
        for index, proxy in enumerate(proxies):
            self._loop.call_later(fault.lasts * index / len(proxies), proxy.restart)

    def _pause(self, fault: scenario_faults.ProxyPause, rng: Random) -> None:
        for proxy in self._pick_proxies(fault, rng):
            proxy.pause(fault.pause_ms / 1000)

    def _limit_cpu(self, fault: scenario_faults.ProxyCpuLimit, rng: Random) -> None:
        for proxy in self._pick_proxies(fault, rng):
            proxy.limit_cpu(fault.cpu_share)
            self._loop.call_later(fault.lasts, proxy.limit_cpu, self._fleet.scenario.proxies.cpu_share)

    # Quiescing

    def _quiesce(self, fault: scenario_faults.ProxyQuiesce, rng: Random) -> None:
        for proxy in self._pick_proxies(fault, rng):
            self._loop.create_task(self._quiesce_and_resume(proxy, fault.lasts))

    async def _quiesce_and_resume(self, proxy: "ProxyHandle", seconds: float) -> None:
        """Quiesce a proxy and resume it.

        Record a violation if the proxy refuses a call, keeps clients while quiesced, or is not ready after resume.
        """
        balancer = self._fleet.balancer
        has_quiesced = await self._call_admin(proxy, b"quiesce")
        quiesced_at = self._loop.time()
        # The balancer polls readiness at an interval, and takes a proxy out only some time after it is not ready.
        balancer.proxy_ended(proxy.name, self._fleet.scenario.balancer.drain_notice_seconds)
        await asyncio.sleep(QUIESCE_SECONDS)
        self._check_quiesced(proxy, has_quiesced)
        await asyncio.sleep(max(0.0, quiesced_at + seconds - self._loop.time()))
        if not await self._call_admin(proxy, b"resume"):
            self._violation(f"{proxy.name} did not accept POST /admin/resume")
        balancer.proxy_started(proxy.name)
        await asyncio.sleep(RESUME_SECONDS)
        if not balancer.alive[proxy.name]:
            self._violation(f"{proxy.name} was resumed, and is not ready")

    def _check_quiesced(self, proxy: "ProxyHandle", has_quiesced: bool) -> None:
        for clients in self._fleet.clients:
            idle = [connection for pool in clients.pools.values() for connection in pool if connection.proxy == proxy.name]
            if idle:
                self._violation(f"{proxy.name} is quiesced, and still has {len(idle)} idle connections of clients")
        last_request_at = self._fleet.observer.last_request_at(proxy.name)
        if last_request_at > self._loop.time() - QUIESCE_SECONDS / 2 or not has_quiesced:
            self._violation(f"{proxy.name} did not accept POST /admin/quiesce, or still takes requests")

    def _violation(self, text: str) -> None:
        self._fleet.observer.rule_violated(Rule.QUIESCE, self._loop.time(), text)

    async def _call_admin(self, proxy: "ProxyHandle", name: bytes) -> bool:
        """Send a request to a proxy's admin address, and return whether its status is 2xx."""
        host, port = proxy.address
        try:
            transport, connection = await self._loop.create_connection(
                lambda: ClientConnection(self._loop), host, port + ADMIN_PORT_OFFSET
            )
            connection.send_request(ADMIN_REQUEST % name)
            answer = await connection.response
            transport.close()
            return isinstance(answer, Response) and 200 <= answer.status < 300
        except OSError:
            return False
