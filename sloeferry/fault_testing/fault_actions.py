"""The actions by which the driver injects the faults of a plan: one class for each kind of fault.

A fault is recorded before its action runs.  Other processes see the effect within a millisecond, and a lost request that is
recorded before the fault would be counted against a proxy.
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

START_INTERVAL_SECONDS = 0.05  # between process starts, since each one blocks the driver
STARTUP_SECONDS = 2.0  # after which a process has certainly read its settings file
CUT_LINK_MARGIN_SECONDS = 0.1  # for which clients count as cut off after their link has been repaired
LINK_FAULT_KEYS = {"direction": "way", "delay_ms": "ms", "byte_limit": "bytes"}  # field -> key in plans


class FaultAction:
    """One fault of a plan and its targets; `inject` is called once, when the fault is due."""

    def __init__(self, fleet: "ProcessFleet", number: int, fault: Any):
        self.fleet = fleet
        self.number = number
        self.fault = fault
        self.targets = fleet.fault_targets[number]
        self.loop = fleet.loop
        self.recorder = fleet.observer

    def inject(self) -> None:
        """Record the fault, apply it, and record its end."""
        self.record_start()
        self.apply()
        ends_at = self.ends_at()
        self.loop.call_later(self.fault.lasts_seconds, self.recorder.note, ends_at, Event.FAULT_ENDED, self.number)

    def record_start(self) -> None:
        """Record the start of the fault and its targets."""
        targets = self.targets
        now = self.loop.time()
        self.recorder.note(now, Event.FAULT_BEGAN, self.number, self.fault.kind, targets.proxies, len(targets.links))

    def apply(self) -> None:
        """Apply the fault and schedule its end."""
        raise NotImplementedError

    def ends_at(self) -> float:
        """Return the loop time at which the fault ends if it is injected now."""
        return self.loop.time() + self.fault.lasts_seconds

    def proxies(self) -> list[LiveProxy]:
        """Return the target proxies."""
        return [self.fleet.proxies[number] for number in self.targets.proxies]

    def proxy_names(self) -> list[str]:
        """Return the names of the target proxies."""
        return [f"p{number}" for number in self.targets.proxies]


class LinkAction(FaultAction):
    """Injects a fault of links, which the relay process applies."""

    def inject(self) -> None:
        """Record the fault and the exemptions that follow from it, and send the condition to the relay."""
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
            elif self.fault.between == "callers":  # no response can pass the link
                self.recorder.proxy_stopped(name, now, ends_at)
                self.recorder.note(now, Event.CLIENTS_CUT_OFF, name, ends_at + CUT_LINK_MARGIN_SECONDS)


class KillAction(FaultAction):
    """Kills the target proxies, and starts each again when the fault ends."""

    def apply(self) -> None:
        """Kill all target proxies, and schedule their starts one after the other."""
        for index, number in enumerate(self.targets.proxies):
            self.prepare_next_process(number)
            proxy = self.fleet.proxies[number]
            proxy.kill()
            self.loop.call_later(self.fault.lasts_seconds + START_INTERVAL_SECONDS * index, proxy.start)

    def prepare_next_process(self, number: int) -> None:
        """Configure the next process of the proxy with that number; by default it is unchanged."""


class ClockStepAction(KillAction):
    """Sets the wall clock of the target proxies off, from their next process on.

    The system clock is shared with all other processes and is never set.
    """

    def prepare_next_process(self, number: int) -> None:
        """Set the clock offset of the next process."""
        self.fleet.environment.clock_offsets_seconds[number] = self.fault.offset_seconds


class FailingSystemCallsAction(KillAction):
    """Makes system calls of the target proxies fail intermittently, from their next process on."""

    def prepare_next_process(self, number: int) -> None:
        """Make system calls of the next process fail."""
        self.fleet.environment.failing_call_proxies.add(number)


class StopAction(FaultAction):
    """Sends SIGSTOP to the target proxies, and SIGCONT when the fault ends."""

    def apply(self) -> None:
        """Pause all target proxies at once."""
        for proxy in self.proxies():
            proxy.pause(self.fault.lasts_seconds)


class TerminationAction(FaultAction):
    """Sends SIGTERM to the target proxies, spread evenly over the fault's duration."""

    def apply(self) -> None:
        """Schedule the restarts of the target proxies one after the other."""
        proxies = self.proxies()
        for index, proxy in enumerate(proxies):
            self.loop.call_later(self.fault.lasts_seconds * index / len(proxies), proxy.restart)


class ReloadAction(FaultAction):
    """Writes new settings, possibly corrupted, and sends SIGHUP to most target proxies."""

    def apply(self) -> None:
        """Write all settings at once; a process that may still be reading them at startup gets no corrupt file or signal."""
        rng = self.fleet.environment.rng(f"hup-{self.fault.at_seconds}")
        numbers = self.targets.proxies
        without_signal = set(rng.sample(numbers, round(self.fault.lost_signal_ratio * len(numbers))))
        for number, proxy in zip(numbers, self.proxies(), strict=True):
            self._write_settings(number, proxy)
            started_at = self.fleet.environment.started_at.get(number, 0.0)
            if self.loop.time() < started_at + STARTUP_SECONDS:
                continue  # a process that starts with half a file rightly exits
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
        elif self.fault.file == "swapped":  # the file is replaced while it is read
            other = proxy.config_path.with_suffix(".new")
            other.write_text(text)
            self.loop.call_soon(os.replace, other, proxy.config_path)


class DiscoveryDowntimeAction(FaultAction):
    """Takes discovery down for all proxies, whichever the fault's targets are."""

    def apply(self) -> None:
        """Stop discovery and schedule its return."""
        for listener in self.fleet.listeners:
            self.recorder.note(self.loop.time(), Event.DISCOVERY_UNREACHABLE, listener.name, self.ends_at())
        discovery = self.fleet.discovery
        discovery.stop()
        self.loop.call_later(self.fault.lasts_seconds, lambda: self.loop.create_task(discovery.restart()))


class DiscoveryLagAction(FaultAction):
    """Withholds list changes from the target proxies."""

    def apply(self) -> None:
        """Freeze the list at its present revision for the target proxies."""
        discovery = self.fleet.discovery
        for name in self.proxy_names():
            discovery.show_older_list(name, until=self.loop.time())
            self.loop.call_later(self.fault.lasts_seconds, discovery.show_newest_list, name)


class OlderReplicaAction(FaultAction):
    """Makes an outdated replica of discovery answer the target proxies."""

    def apply(self) -> None:
        """Show the target proxies an older list, and end their watches so that they reconnect."""
        discovery = self.fleet.discovery
        names = self.proxy_names()
        for name in names:
            discovery.show_older_list(name, self.fault.behind_seconds)
            self.loop.call_later(self.fault.lasts_seconds, discovery.show_newest_list, name)
        discovery.end_watches(set(names))


class RevisionResetAction(FaultAction):
    """Restarts the revisions of discovery, for all proxies."""

    def apply(self) -> None:
        """Reset the revisions once; there is nothing to undo."""
        self.fleet.discovery.reset_revisions()


class FailingDiscoveryAction(FaultAction):
    """Makes discovery fail the calls of the target proxies."""

    def apply(self) -> None:
        """Make each call fail until the fault ends."""
        failure = CallFailure(self.fault.failure)
        for name in self.proxy_names():
            if not failure.is_reachable:
                self.recorder.note(self.loop.time(), Event.DISCOVERY_UNREACHABLE, name, self.ends_at())
            self._set_failure(name, failure)
            self.loop.call_later(self.fault.lasts_seconds, self._set_failure, name, None)

    def _set_failure(self, proxy: str, failure: CallFailure | None) -> None:
        self.loop.create_task(self.fleet.discovery.fail_calls(proxy, failure))


class MisbehavingClientsAction(FaultAction):
    """Runs clients that misuse the target proxies, in one of the processes of clients."""

    def apply(self) -> None:
        """Start the clients; they end by themselves."""
        addresses = [self.fleet.listeners[number].address for number in self.targets.proxies]
        worker = self.fleet.client_workers[self.number % len(self.fleet.client_workers)]
        kinds = [kind.value for kind in self.fault.kinds]
        arguments = self.number, self.proxy_names(), addresses, kinds, self.fault.client_count, self.fault.lasts_seconds
        worker.command("misuse", *arguments)


class UploadsAction(FaultAction):
    """Runs clients with uploads at the target proxies, in one of the processes of clients."""

    def apply(self) -> None:
        """Start the clients; they end by themselves."""
        addresses = [self.fleet.listeners[number].address for number in self.targets.proxies]
        worker = self.fleet.client_workers[self.number % len(self.fleet.client_workers)]
        worker.command("upload", self.number, self.proxy_names(), addresses, self.fault.client_count, self.fault.lasts_seconds)


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
    faults.MisbehavingClients: MisbehavingClientsAction,
    faults.Uploads: UploadsAction,
}


def create_action(fleet: "ProcessFleet", number: int, fault: Fault) -> FaultAction:
    """Return the action that injects that fault of the plan."""
    return ACTIONS[type(fault)](fleet, number, fault)
