"""What the driver does when a fault of the plan strikes: a class for each kind.

A fault is recorded before anything is done: what is done is seen by other processes within a ms, and a loss that stands in
the records before its cause would be held against a proxy.
"""

import os
import signal
from typing import TYPE_CHECKING, Any

from sloeferry.fault_testing import plan_faults as faults
from sloeferry.fault_testing.plan_faults import Fault
from sloeferry.fault_testing.recorded_events import Event
from sloeferry.rehearsal.live import LiveProxy
from sloeferry.stand_ins.call_failures import CallFailure

if TYPE_CHECKING:
    from sloeferry.fault_testing.process_fleet import ProcessFleet

START_INTERVAL_SECONDS = 0.05  # between two starts of processes: a start holds the driver up
STARTUP_SECONDS = 2.0  # in which a process has read its file for certain
CUT_LINK_MARGIN_SECONDS = 0.1  # for which callers count as cut off after a link is whole again
LINK_FAULT_KEYS = {"direction": "way", "delay_ms": "ms", "byte_limit": "bytes"}  # fields, and the plan's words for them


class FaultAction:
    """One fault of a plan on its targets; `strike` is called once, when it is due."""

    def __init__(self, fleet: "ProcessFleet", number: int, fault: Any):
        self.fleet = fleet
        self.number = number
        self.fault = fault
        self.targets = fleet.fault_targets[number]
        self.loop = fleet.loop
        self.recorder = fleet.judge

    def inject(self) -> None:
        """Records the fault, does it, and records when it is over."""
        self.record_start()
        self.apply()
        ends_at = self.ends_at()
        self.loop.call_later(self.fault.lasts_seconds, self.recorder.note, ends_at, Event.FAULT_ENDED, self.number)

    def record_start(self) -> None:
        """Records the fault and its targets."""
        targets = self.targets
        now = self.loop.time()
        self.recorder.note(now, Event.FAULT_BEGAN, self.number, self.fault.kind, targets.proxies, len(targets.links))

    def apply(self) -> None:
        """Does what the fault is, and sees to it that it ends."""
        raise NotImplementedError

    def ends_at(self) -> float:
        """Loop time at which it is over, if it strikes now."""
        return self.loop.time() + self.fault.lasts_seconds

    def proxies(self) -> list[LiveProxy]:
        """Those that it strikes."""
        return [self.fleet.proxies[number] for number in self.targets.proxies]

    def proxy_names(self) -> list[str]:
        """The names of those that it strikes."""
        return [f"p{number}" for number in self.targets.proxies]


class LinkAction(FaultAction):
    """The links' condition changes; the relay does it."""

    def inject(self) -> None:
        """Records the fault and whom it excuses, and tells the relay."""
        self.record_start()
        self._record_exemptions()
        links = self.targets.links
        keys = {key: getattr(self.fault, name) for name, key in LINK_FAULT_KEYS.items() if hasattr(self.fault, name)}
        relay = self.fleet.relay
        relay.command("set_condition", links, self.fault.kind, keys)
        self.loop.call_later(self.fault.lasts_seconds, relay.command, "set_condition", links, "", {})

    def _record_exemptions(self) -> None:
        now = self.loop.time()
        ends_at = self.ends_at()
        for name in self.proxy_names():
            if self.fault.between == "discovery":
                self.recorder.note(now, Event.DISCOVERY_HELD, name, ends_at)
            elif self.fault.between == "callers":  # nobody can answer through it
                self.recorder.proxy_stopped(name, now, ends_at)
                self.recorder.note(now, Event.CLIENTS_CUT_OFF, name, ends_at + CUT_LINK_MARGIN_SECONDS)


class KillAction(FaultAction):
    """Proxies are killed; each is started again when the fault is over."""

    def apply(self) -> None:
        """Kills them, and starts them one after the other."""
        for index, number in enumerate(self.targets.proxies):
            self.prepare_next_process(number)
            proxy = self.fleet.proxies[number]
            proxy.kill()
            self.loop.call_later(self.fault.lasts_seconds + START_INTERVAL_SECONDS * index, proxy.start)

    def prepare_next_process(self, number: int) -> None:
        """What that proxy's next process is to be."""


class ClockStepAction(KillAction):
    """The wall clock is off from the next process on: nothing sets a clock that others have too."""

    def prepare_next_process(self, number: int) -> None:
        """Its clock will be off."""
        self.fleet.environment.clock_offsets_seconds[number] = self.fault.offset_seconds


class FailingSystemCallsAction(KillAction):
    """System calls fail at times from the next process on."""

    def prepare_next_process(self, number: int) -> None:
        """Its calls will fail."""
        self.fleet.environment.failing_call_proxies.add(number)


class StopAction(FaultAction):
    """SIGSTOP, and SIGCONT."""

    def apply(self) -> None:
        """All at once."""
        for proxy in self.proxies():
            proxy.pause(self.fault.lasts_seconds)


class TerminationAction(FaultAction):
    """SIGTERM, spread over the fault's time."""

    def apply(self) -> None:
        """One after the other."""
        proxies = self.proxies()
        for index, proxy in enumerate(proxies):
            self.loop.call_later(self.fault.lasts_seconds * index / len(proxies), proxy.restart)


class ReloadAction(FaultAction):
    """New settings, in the state that the fault says, and SIGHUP for most."""

    def apply(self) -> None:
        """All at once; those whose process may not have read its file yet get neither."""
        rng = self.fleet.environment.rng(f"hup-{self.fault.at_seconds}")
        numbers = self.targets.proxies
        without_signal = set(rng.sample(numbers, round(self.fault.lost_signal_ratio * len(numbers))))
        for number, proxy in zip(numbers, self.proxies(), strict=True):
            self._write_settings(number, proxy)
            started_at = self.fleet.environment.started_at.get(number, 0.0)
            if self.loop.time() < started_at + STARTUP_SECONDS:
                continue  # started on half of a file it would rightly end
            self._corrupt_file(proxy)
            if number not in without_signal:
                proxy.send_signal(signal.SIGHUP)

    def _write_settings(self, number: int, proxy: LiveProxy) -> None:
        if self.fault.file == "stale":
            self.fleet.objective_ratios.pop(number, None)
        else:
            self.fleet.objective_ratios[number] = self.fault.objective_ratio
        proxy.write_config()

    def _corrupt_file(self, proxy: LiveProxy) -> None:
        text = proxy.config_path.read_text()
        if self.fault.file == "cut":
            proxy.config_path.write_text(text[: len(text) // 2])
        elif self.fault.file == "missing":
            proxy.config_path.unlink()
        elif self.fault.file == "swapped":  # another file in its place, while it is read
            other = proxy.config_path.with_suffix(".new")
            other.write_text(text)
            self.loop.call_soon(os.replace, other, proxy.config_path)


class DiscoveryDowntimeAction(FaultAction):
    """Discovery is down for all, whichever proxies were drawn."""

    def apply(self) -> None:
        """It ends, and comes back."""
        for place in self.fleet.places:
            self.recorder.note(self.loop.time(), Event.DISCOVERY_UNREACHABLE, place.name, self.ends_at())
        discovery = self.fleet.discovery
        discovery.stop()
        self.loop.call_later(self.fault.lasts_seconds, lambda: self.loop.create_task(discovery.restart()))


class DiscoveryLagAction(FaultAction):
    """Nothing new is shown to some proxies."""

    def apply(self) -> None:
        """The list stays as it is now."""
        discovery = self.fleet.discovery
        for name in self.proxy_names():
            discovery.show_older_list(name, until=self.loop.time())
            self.loop.call_later(self.fault.lasts_seconds, discovery.show_newest_list, name)


class OlderReplicaAction(FaultAction):
    """Some proxies are answered by a replica that is behind."""

    def apply(self) -> None:
        """Their watches end, so that they call again."""
        discovery = self.fleet.discovery
        names = self.proxy_names()
        for name in names:
            discovery.show_older_list(name, self.fault.behind_seconds)
            self.loop.call_later(self.fault.lasts_seconds, discovery.show_newest_list, name)
        discovery.end_watches(set(names))


class RevisionResetAction(FaultAction):
    """Discovery's count starts anew, for all."""

    def apply(self) -> None:
        """Once; nothing is to be mended."""
        self.fleet.discovery.reset_revisions()


class FailingDiscoveryAction(FaultAction):
    """Discovery's calls fail for some proxies."""

    def apply(self) -> None:
        """Each call, until the fault is over."""
        failure = CallFailure(self.fault.failure)
        for name in self.proxy_names():
            if not failure.is_reachable:
                self.recorder.note(self.loop.time(), Event.DISCOVERY_UNREACHABLE, name, self.ends_at())
            self._set_failure(name, failure)
            self.loop.call_later(self.fault.lasts_seconds, self._set_failure, name, None)

    def _set_failure(self, proxy: str, failure: CallFailure | None) -> None:
        self.loop.create_task(self.fleet.discovery.fail_calls(proxy, failure))


ACTIONS: dict[type[Fault], type[FaultAction]] = {
    faults.Kill: KillAction,
    faults.Stop: StopAction,
    faults.Termination: TerminationAction,
    faults.Reload: ReloadAction,
    faults.ClockStep: ClockStepAction,
    faults.FailingSystemCalls: FailingSystemCallsAction,
    faults.HeldLink: LinkAction,
    faults.DelayedLink: LinkAction,
    faults.CutLink: LinkAction,
    faults.HalfOpenLink: LinkAction,
    faults.BrokenLink: LinkAction,
    faults.DiscoveryDowntime: DiscoveryDowntimeAction,
    faults.DiscoveryLag: DiscoveryLagAction,
    faults.OlderReplica: OlderReplicaAction,
    faults.RevisionReset: RevisionResetAction,
    faults.FailingDiscovery: FailingDiscoveryAction,
}


def create_action(fleet: "ProcessFleet", number: int, fault: Fault) -> FaultAction:
    """What strikes when that fault of the plan is due."""
    return ACTIONS[type(fault)](fleet, number, fault)
