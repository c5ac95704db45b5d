"""Injects faults into stand-in backends and into the links to them."""

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

MAX_EXTRA_DRAIN_SECONDS = 2.0  # for which a drained backend still waits for its requests in flight
DRAIN_POLL_SECONDS = 0.05
# Ranges of the factors by which durations are multiplied at random.
STALL_JITTER = (0.7, 1.3)
NEIGHBOUR_JITTER = (0.5, 1.5)
DETECTION_JITTER = (0.6, 1.0)  # of the delay until discovery lists a failure


class BackendFaults:
    """Injects the faults of backends; each handler takes a fault and its own random number generator."""

    def __init__(self, fleet: "ProxyFleet"):
        self._fleet = fleet
        self._loop = fleet.loop

    def handlers(self) -> "FaultHandlers":
        """Return the handler of each kind of fault."""
        return {
            scenario_faults.BackendStalls: self._stall,
            scenario_faults.NoisyNeighbour: self._run_neighbour,
            scenario_faults.BackendSlowdown: self._slow_down,
            scenario_faults.BackendErrors: self._return_errors,
            scenario_faults.TruncatedResponses: self._truncate_responses,
            scenario_faults.RefusedConnections: self._refuse_connections,
            scenario_faults.FalseLoadReports: self._report_falsely,
            scenario_faults.OneSidedLoss: self._lose_from_some_proxies,
            scenario_faults.LossyZoneLink: self._lose_between_zones,
            scenario_faults.BackendCrash: self._crash,
            scenario_faults.BackendCutOff: self._cut_off,
            scenario_faults.RollingDeploy: self._deploy,
        }

    def _serving_backends(self) -> list[StandInBackend]:
        return [backend for backend in self._fleet.backends if backend.is_up and not backend.is_draining]

    def _pick_backends(self, fault: LastingFault, rng: Random) -> list[StandInBackend]:
        return self._fleet.sample_in_zone(fault.part, fault.zone, rng, self._serving_backends())

    # Slow backends and wrong responses

    def _stall(self, fault: scenario_faults.BackendStalls, rng: Random) -> None:
        ends_at = self._loop.time() + fault.lasts

        def stall_repeatedly(backend: StandInBackend) -> None:
            if self._loop.time() < ends_at and backend.is_up:
                backend.stall(fault.stall_ms / 1000 * rng.uniform(*STALL_JITTER))
                self._loop.call_later(fault.interval_ms / 1000 * rng.uniform(*STALL_JITTER), stall_repeatedly, backend)

        for backend in self._pick_backends(fault, rng):
            self._loop.call_later(fault.interval_ms / 1000 * rng.random(), stall_repeatedly, backend)

    def _run_neighbour(self, fault: scenario_faults.NoisyNeighbour, rng: Random) -> None:
        ends_at = self._loop.time() + fault.lasts

        def toggle_neighbour(backend: StandInBackend, is_on: bool) -> None:
            is_over = self._loop.time() >= ends_at
            backend.change(neighbour_cpu_ratio=fault.machine_share if is_on and not is_over else 0.0)
            if not is_over:
                self._loop.call_later(
                    fault.interval_ms / 1000 * rng.uniform(*NEIGHBOUR_JITTER), toggle_neighbour, backend, not is_on
                )

        for backend in self._pick_backends(fault, rng):
            self._loop.call_later(fault.interval_ms / 1000 * rng.random(), toggle_neighbour, backend, True)

    def _change_temporarily(self, fault: LastingFault, rng: Random, attribute: str, value: Any, usual: Any) -> None:
        for backend in self._pick_backends(fault, rng):
            backend.change(**{attribute: value})
            self._loop.call_later(fault.lasts, self._change, backend, {attribute: usual})

    @staticmethod
    def _change(backend: StandInBackend, values: dict[str, Any]) -> None:
        backend.change(**values)

    def _slow_down(self, fault: scenario_faults.BackendSlowdown, rng: Random) -> None:
        self._change_temporarily(fault, rng, "slowdown", fault.times, 1.0)

    def _return_errors(self, fault: scenario_faults.BackendErrors, rng: Random) -> None:
        self._change_temporarily(fault, rng, "error_odds", fault.odds, 0.0)

    def _truncate_responses(self, fault: scenario_faults.TruncatedResponses, rng: Random) -> None:
        self._change_temporarily(fault, rng, "truncation_odds", fault.odds, 0.0)

    def _refuse_connections(self, fault: scenario_faults.RefusedConnections, rng: Random) -> None:
        for backend in self._pick_backends(fault, rng):
            backend.refuse_connections(True)
            self._loop.call_later(fault.lasts, backend.refuse_connections, False)

    def _report_falsely(self, fault: scenario_faults.FalseLoadReports, rng: Random) -> None:
        for backend in self._pick_backends(fault, rng):
            backend.refresh_report()  # the report that "stuck" repeats
            backend.change(slowdown=fault.times, report_override=fault.shows)
            self._loop.call_later(fault.lasts, self._change, backend, {"slowdown": 1.0, "report_override": ""})

    # Links

    def _set_link_faults(
        self, backends: Iterable[StandInBackend], proxies: Iterable[str], link_fault: LinkFault, seconds: float
    ) -> None:
        """Set a fault on the links between some backends and some proxies, for a duration."""
        names = list(proxies)
        for backend in backends:
            backend.link_faults.update(dict.fromkeys(names, link_fault))
            self._loop.call_later(seconds, backend.link_faults.clear)

    def _lose_from_some_proxies(self, fault: scenario_faults.OneSidedLoss, rng: Random) -> None:
        proxies = self._fleet.sample_in_zone(fault.proxies, "", rng, self._fleet.proxies)
        backends = self._pick_backends(fault, rng)
        self._set_link_faults(backends, (proxy.name for proxy in proxies), LinkFault(fault.odds), fault.lasts)

    def _lose_between_zones(self, fault: scenario_faults.LossyZoneLink, rng: Random) -> None:
        link_fault = LinkFault(fault.odds, fault.delay_ms / 1000)
        for is_inside in (True, False):  # the zone's backends for the other zones' proxies, and the reverse
            backends = [backend for backend in self._serving_backends() if (backend.zone == fault.zone) == is_inside]
            proxies = [proxy.name for proxy in self._fleet.proxies if (proxy.zone == fault.zone) != is_inside]
            self._set_link_faults(backends, proxies, link_fault, fault.lasts)

    # Stops and restarts

    def _crash(self, fault: scenario_faults.BackendCrash, rng: Random) -> None:
        notice_seconds = self._fleet.scenario.discovery.end_delay_seconds
        for backend in self._pick_backends(fault, rng):
            backend.crash()
            self._fleet.discovery.publish_later(backend, BackendState.GONE, notice_seconds * rng.uniform(*DETECTION_JITTER))
            self._loop.call_later(fault.lasts, self._restart, backend)

    def _cut_off(self, fault: scenario_faults.BackendCutOff, rng: Random) -> None:
        notice_seconds = self._fleet.scenario.discovery.silence_delay_seconds
        for backend in self._pick_backends(fault, rng):
            backend.is_cut_off = True
            self._fleet.environment.set_cut_off(backend.address, True)
            self._fleet.discovery.publish_later(backend, BackendState.GONE, notice_seconds * rng.uniform(*DETECTION_JITTER))
            self._loop.call_later(fault.lasts, self._restart, backend)

    def _restart(self, backend: StandInBackend) -> None:
        """Restart a backend with a new, cold process."""
        backend.crash()
        backend.is_cut_off = False
        self._fleet.environment.set_cut_off(backend.address, False)
        self._start(backend)

    def _start(self, backend: StandInBackend) -> None:
        fleet = self._fleet
        self._loop.create_task(backend.start())
        started_at = fleet.environment.unix_time()
        fleet.observer.backend_started(backend.backend_id, self._loop.time(), round(started_at * 1000))
        delay_seconds = fleet.scenario.discovery.start_delay_seconds
        fleet.discovery.publish_later(backend, BackendState.READY, delay_seconds, started_at)

    def _deploy(self, fault: scenario_faults.RollingDeploy, rng: Random) -> None:
        backends = self._pick_backends(fault, rng)
        batch_size = max(1, round(fault.batch_ratio * len(self._serving_backends())))
        batches = [backends[start : start + batch_size] for start in range(0, len(backends), batch_size)]
        for index, batch in enumerate(batches):
            for backend in batch:
                self._loop.call_later(fault.lasts * index / len(batches), self._replace, backend, fault.drain_seconds)

    def _replace(self, backend: StandInBackend, drain_seconds: float) -> None:
        """Drain and end a backend, and start a cold successor."""
        if not backend.is_up or backend.is_draining:
            return
        backend.is_draining = True
        notice_seconds = self._fleet.scenario.discovery.end_delay_seconds
        self._fleet.discovery.publish_later(backend, BackendState.DRAINING, notice_seconds / 2)
        wait_seconds = notice_seconds + drain_seconds
        until = self._loop.time() + notice_seconds + drain_seconds + MAX_EXTRA_DRAIN_SECONDS
        self._loop.call_later(wait_seconds, self._end_drained, backend, until)

    def _end_drained(self, backend: StandInBackend, until: float) -> None:
        if backend.is_up and backend.in_flight() and self._loop.time() < until:
            self._loop.call_later(DRAIN_POLL_SECONDS, self._end_drained, backend, until)
            return
        fleet = self._fleet
        backend.crash()
        fleet.discovery.publish_later(backend, BackendState.GONE, fleet.scenario.discovery.start_delay_seconds)
        successor = fleet.make_backend(backend.settings, backend.zone)
        fleet.backends[fleet.backends.index(backend)] = successor
        self._start(successor)
