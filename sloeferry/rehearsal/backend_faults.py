"""Faults of backends and of the links to them, carried out on the stand-ins."""

from collections.abc import Iterable
from random import Random
from typing import TYPE_CHECKING, Any

from sloeferry.rehearsal import scenario_faults
from sloeferry.rehearsal.scenario_faults import LastingFault
from sloeferry.stand_ins.backends import StandInBackend
from sloeferry.stand_ins.request_handler import LinkFault
from sloeferry.stand_ins.wire_protocol import BackendState

if TYPE_CHECKING:
    from sloeferry.rehearsal.faults import FaultHandlers
    from sloeferry.rehearsal.proxy_fleet import ProxyFleet

DRAIN_EXTRA_SECONDS = 2.0  # that a drained backend waits for what it still has
DRAIN_LOOK_SECONDS = 0.05
STALL_SPREAD = (0.7, 1.3)
NEIGHBOUR_SPREAD = (0.5, 1.5)
NOTICE_SPREAD = (0.6, 1.0)  # of the delay after which discovery lists a failure


class BackendFaults:
    """Each method of `handlers` carries out one kind of fault, with a source of chance of its own."""

    def __init__(self, fleet: "ProxyFleet"):
        self._fleet = fleet
        self._loop = fleet.loop

    def handlers(self) -> "FaultHandlers":
        """What carries out which kind."""
        return {
            scenario_faults.BackendStalls: self._stall,
            scenario_faults.NoisyNeighbour: self._disturb,
            scenario_faults.BackendSlowdown: self._slow_down,
            scenario_faults.BackendErrors: self._err,
            scenario_faults.TruncatedResponses: self._truncate,
            scenario_faults.RefusedConnections: self._refuse,
            scenario_faults.FalseLoadReports: self._report_falsely,
            scenario_faults.OneSidedLoss: self._lose_from_some,
            scenario_faults.LossyZoneLink: self._lose_between_zones,
            scenario_faults.BackendCrash: self._crash,
            scenario_faults.BackendCutOff: self._cut_off,
            scenario_faults.RollingDeploy: self._deploy,
        }

    def _serving(self) -> list[StandInBackend]:
        return [backend for backend in self._fleet.backends if backend.is_up and not backend.is_draining]

    def _pick(self, fault: LastingFault, rng: Random) -> list[StandInBackend]:
        return self._fleet.sample_in_zone(fault.part, fault.zone, rng, self._serving())

    # Slower, or wrong

    def _stall(self, fault: scenario_faults.BackendStalls, rng: Random) -> None:
        ends_at = self._loop.time() + fault.lasts

        def stall_again(backend: StandInBackend) -> None:
            if self._loop.time() < ends_at and backend.is_up:
                backend.stall(fault.stall_ms / 1000 * rng.uniform(*STALL_SPREAD))
                self._loop.call_later(fault.interval_ms / 1000 * rng.uniform(*STALL_SPREAD), stall_again, backend)

        for backend in self._pick(fault, rng):
            self._loop.call_later(fault.interval_ms / 1000 * rng.random(), stall_again, backend)

    def _disturb(self, fault: scenario_faults.NoisyNeighbour, rng: Random) -> None:
        ends_at = self._loop.time() + fault.lasts

        def switch(backend: StandInBackend, is_on: bool) -> None:
            is_over = self._loop.time() >= ends_at
            backend.change(neighbour_cpu_ratio=fault.machine_share if is_on and not is_over else 0.0)
            if not is_over:
                self._loop.call_later(fault.interval_ms / 1000 * rng.uniform(*NEIGHBOUR_SPREAD), switch, backend, not is_on)

        for backend in self._pick(fault, rng):
            self._loop.call_later(fault.interval_ms / 1000 * rng.random(), switch, backend, True)

    def _change_for_a_while(self, fault: LastingFault, rng: Random, attribute: str, value: Any, usual: Any) -> None:
        for backend in self._pick(fault, rng):
            backend.change(**{attribute: value})
            self._loop.call_later(fault.lasts, self._change, backend, {attribute: usual})

    @staticmethod
    def _change(backend: StandInBackend, values: dict[str, Any]) -> None:
        backend.change(**values)

    def _slow_down(self, fault: scenario_faults.BackendSlowdown, rng: Random) -> None:
        self._change_for_a_while(fault, rng, "slowdown", fault.times, 1.0)

    def _err(self, fault: scenario_faults.BackendErrors, rng: Random) -> None:
        self._change_for_a_while(fault, rng, "error_odds", fault.odds, 0.0)

    def _truncate(self, fault: scenario_faults.TruncatedResponses, rng: Random) -> None:
        self._change_for_a_while(fault, rng, "truncation_odds", fault.odds, 0.0)

    def _refuse(self, fault: scenario_faults.RefusedConnections, rng: Random) -> None:
        for backend in self._pick(fault, rng):
            backend.refuse_connections(True)
            self._loop.call_later(fault.lasts, backend.refuse_connections, False)

    def _report_falsely(self, fault: scenario_faults.FalseLoadReports, rng: Random) -> None:
        for backend in self._pick(fault, rng):
            backend.refresh_report()  # what it goes on showing
            backend.change(slowdown=fault.times, report_override=fault.shows)
            self._loop.call_later(fault.lasts, self._change, backend, {"slowdown": 1.0, "report_override": ""})

    # Links

    def _set_link_faults(
        self, backends: Iterable[StandInBackend], proxies: Iterable[str], link_fault: LinkFault, seconds: float
    ) -> None:
        """Between those backends and those proxies, for so long."""
        names = list(proxies)
        for backend in backends:
            backend.link_faults.update(dict.fromkeys(names, link_fault))
            self._loop.call_later(seconds, backend.link_faults.clear)

    def _lose_from_some(self, fault: scenario_faults.OneSidedLoss, rng: Random) -> None:
        proxies = self._fleet.sample_in_zone(fault.proxies, "", rng, self._fleet.proxies)
        backends = self._pick(fault, rng)
        self._set_link_faults(backends, (proxy.name for proxy in proxies), LinkFault(fault.odds), fault.lasts)

    def _lose_between_zones(self, fault: scenario_faults.LossyZoneLink, rng: Random) -> None:
        link_fault = LinkFault(fault.odds, fault.delay_ms / 1000)
        for is_inside in (True, False):  # both directions: its backends for the others' proxies, theirs for its own
            backends = [backend for backend in self._serving() if (backend.zone == fault.zone) == is_inside]
            proxies = [proxy.name for proxy in self._fleet.proxies if (proxy.zone == fault.zone) != is_inside]
            self._set_link_faults(backends, proxies, link_fault, fault.lasts)

    # Gone, and back

    def _crash(self, fault: scenario_faults.BackendCrash, rng: Random) -> None:
        notice_seconds = self._fleet.scenario.discovery.end_delay_seconds
        for backend in self._pick(fault, rng):
            backend.crash()
            self._fleet.discovery.publish_later(backend, BackendState.GONE, notice_seconds * rng.uniform(*NOTICE_SPREAD))
            self._loop.call_later(fault.lasts, self._return, backend)

    def _cut_off(self, fault: scenario_faults.BackendCutOff, rng: Random) -> None:
        notice_seconds = self._fleet.scenario.discovery.silence_delay_seconds
        for backend in self._pick(fault, rng):
            backend.is_cut_off = True
            self._fleet.environment.set_cut_off(backend.address, True)
            self._fleet.discovery.publish_later(backend, BackendState.GONE, notice_seconds * rng.uniform(*NOTICE_SPREAD))
            self._loop.call_later(fault.lasts, self._return, backend)

    def _return(self, backend: StandInBackend) -> None:
        """The same backend, its process new and cold."""
        backend.crash()
        backend.is_cut_off = False
        self._fleet.environment.set_cut_off(backend.address, False)
        self._start(backend)

    def _start(self, backend: StandInBackend) -> None:
        fleet = self._fleet
        self._loop.create_task(backend.start())
        started_at = fleet.environment.unix_time()
        fleet.judge.backend_started(backend.backend_id, self._loop.time(), round(started_at * 1000))
        delay_seconds = fleet.scenario.discovery.start_delay_seconds
        fleet.discovery.publish_later(backend, BackendState.READY, delay_seconds, started_at)

    def _deploy(self, fault: scenario_faults.RollingDeploy, rng: Random) -> None:
        backends = self._pick(fault, rng)
        batch_size = max(1, round(fault.batch_ratio * len(self._serving())))
        batches = [backends[start : start + batch_size] for start in range(0, len(backends), batch_size)]
        for index, batch in enumerate(batches):
            for backend in batch:
                self._loop.call_later(fault.lasts * index / len(batches), self._replace, backend, fault.drain_seconds)

    def _replace(self, backend: StandInBackend, drain_seconds: float) -> None:
        """It drains, ends, and another one takes its place, cold."""
        if not backend.is_up or backend.is_draining:
            return
        backend.is_draining = True
        notice_seconds = self._fleet.scenario.discovery.end_delay_seconds
        self._fleet.discovery.publish_later(backend, BackendState.DRAINING, notice_seconds / 2)
        wait_seconds = notice_seconds + drain_seconds
        until = self._loop.time() + notice_seconds + drain_seconds + DRAIN_EXTRA_SECONDS
        self._loop.call_later(wait_seconds, self._end_drained, backend, until)

    def _end_drained(self, backend: StandInBackend, until: float) -> None:
        if backend.is_up and backend.in_flight() and self._loop.time() < until:
            self._loop.call_later(DRAIN_LOOK_SECONDS, self._end_drained, backend, until)
            return
        fleet = self._fleet
        backend.crash()
        fleet.discovery.publish_later(backend, BackendState.GONE, fleet.scenario.discovery.start_delay_seconds)
        successor = fleet.make_backend(backend.settings, backend.zone)
        fleet.backends[fleet.backends.index(backend)] = successor
        self._start(successor)
