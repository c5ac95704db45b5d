"""Faults of proxies, and what operators do to them."""

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

QUIESCED_SECONDS = 4.0  # after which no client is left
RESUMED_SECONDS = 2.0  # after which clients may come again
ADMIN_REQUEST = b"POST /admin/%b HTTP/1.1\r\nHost: ops.local\r\n\r\n"


class ProxyFaults:
    """Each method of `handlers` carries out one kind of fault, with a source of chance of its own."""

    def __init__(self, fleet: "ProxyFleet"):
        self._fleet = fleet
        self._loop = fleet.loop

    def handlers(self) -> "FaultHandlers":
        """What carries out which kind."""
        return {
            scenario_faults.ProxyCrash: self._crash,
            scenario_faults.ProxyRollingRestart: self._restart,
            scenario_faults.ProxyQuiesce: self._quiesce,
            scenario_faults.ProxyPause: self._pause,
            scenario_faults.ProxyCpuLimit: self._limit_cpu,
        }

    def _pick(self, fault: LastingFault, rng: Random) -> list["ProxyHandle"]:
        return self._fleet.sample_in_zone(fault.part, fault.zone, rng, self._fleet.proxies)

    def _crash(self, fault: scenario_faults.ProxyCrash, rng: Random) -> None:
        for proxy in self._pick(fault, rng):
            proxy.kill()
            self._loop.call_later(fault.lasts, proxy.start)

    def _restart(self, fault: scenario_faults.ProxyRollingRestart, rng: Random) -> None:
        proxies = self._pick(fault, rng)
        for index, proxy in enumerate(proxies):
            self._loop.call_later(fault.lasts * index / len(proxies), proxy.restart)

    def _pause(self, fault: scenario_faults.ProxyPause, rng: Random) -> None:
        for proxy in self._pick(fault, rng):
            proxy.pause(fault.pause_ms / 1000)

    def _limit_cpu(self, fault: scenario_faults.ProxyCpuLimit, rng: Random) -> None:
        for proxy in self._pick(fault, rng):
            proxy.limit_cpu(fault.cpu_share)
            self._loop.call_later(fault.lasts, proxy.limit_cpu, self._fleet.scenario.proxies.cpu_share)

    # Quiescing

    def _quiesce(self, fault: scenario_faults.ProxyQuiesce, rng: Random) -> None:
        for proxy in self._pick(fault, rng):
            self._loop.create_task(self._quiesce_and_resume(proxy, fault.lasts))

    async def _quiesce_and_resume(self, proxy: "ProxyHandle", seconds: float) -> None:
        """What operators ask of a drain is judged, by what they and the clients see."""
        balancer = self._fleet.balancer
        has_quiesced = await self._call_admin(proxy, b"quiesce")
        quiesced_at = self._loop.time()
        # The balancer asks now and then, and is slow to believe a no.
        balancer.proxy_ended(proxy.name, self._fleet.scenario.balancer.drain_notice_seconds)
        await asyncio.sleep(QUIESCED_SECONDS)
        self._check_quiesced(proxy, has_quiesced)
        await asyncio.sleep(max(0.0, quiesced_at + seconds - self._loop.time()))
        if not await self._call_admin(proxy, b"resume"):
            self._violation(f"{proxy.name} can't be resumed")
        balancer.proxy_started(proxy.name)
        await asyncio.sleep(RESUMED_SECONDS)
        if not balancer.alive[proxy.name]:
            self._violation(f"{proxy.name} was resumed and says no")

    def _check_quiesced(self, proxy: "ProxyHandle", has_quiesced: bool) -> None:
        for clients in self._fleet.clients:
            idle = [connection for pool in clients.pools.values() for connection in pool if connection.proxy == proxy.name]
            if idle:
                self._violation(f"{proxy.name} holds {len(idle)} idle connections")
        last_request_at = self._fleet.judge.last_request_at(proxy.name)
        if last_request_at > self._loop.time() - QUIESCED_SECONDS / 2 or not has_quiesced:
            self._violation(f"{proxy.name} goes on taking requests")

    def _violation(self, text: str) -> None:
        self._fleet.judge.violation(Rule.DRAIN, self._loop.time(), text)

    async def _call_admin(self, proxy: "ProxyHandle", name: bytes) -> bool:
        """One call at a proxy's admin address; whether it says yes."""
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
