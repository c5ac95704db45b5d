"""Translates discovery's messages and connection events into endpoint events for the policy."""

from collections.abc import Collection, Sequence
from typing import Any, NamedTuple

from loguru import logger

from sloeferry import environment
from sloeferry.dispatch.loop_monitor import LoopMonitor
from sloeferry.dispatch.send_guard import SendGuard
from sloeferry.policy.endpoint_staleness import ListStaleness, PollEnd
from sloeferry.policy.interface import EndpointEntry, EndpointId, EndpointState, ListScope
from sloeferry.policy.policy import Policy
from sloeferry.policy.start_times import StartTimes


class ListedEndpoint(NamedTuple):
    """A decoded entry of discovery's endpoint list."""

    endpoint_id: str
    zone: int | str  # index into the settings, or the name if the settings lack it
    machine_kind: int | str
    cell: int
    state: EndpointState
    capacity_share: float
    started_at_unix_ms: float  # 0 means long ago


class EndpointEvents:
    """Passes endpoint lists, keep-alives, and the ends of polls and watches on to the policy."""

    def __init__(self, policy: Policy, guard: SendGuard, monitor: LoopMonitor):
        self._policy = policy
        self._guard = guard
        self._monitor = monitor
        self._start_times = StartTimes(environment.monotonic_ms(), environment.unix_time() * 1000)
        self._stale_since: float | None = None  # since when nothing is sent because the list is stale

    @property
    def staleness(self) -> ListStaleness:
        """Return the object that tracks the age of the endpoint list."""
        return self._policy.polling.staleness

    # Lists

    def list_received(
        self,
        is_complete: bool,
        endpoints: Sequence[ListedEndpoint],
        is_cached: bool = False,
        newly_started: Collection[EndpointId] = (),
        answers_poll: bool = True,
    ) -> None:
        """Apply a received list, complete or with changes only.

        `newly_started`: endpoints whose start was reported as a change on an open watch.  `answers_poll` is false if an earlier
        watch delivered the list and the poll for the next watch continues.
        """
        now = environment.monotonic_ms()
        entries = [self._entry(now, endpoint, endpoint.endpoint_id in newly_started) for endpoint in endpoints]
        self._apply_confirmed_starts()
        if is_complete:  # an endpoint missing from a complete list is gone
            listed = {entry.endpoint_id for entry in entries}
            self._start_times.keep_only(listed)
            for endpoint_id in self._policy.table.by_id.keys() - listed:
                self._guard.endpoint_listed(now, endpoint_id, is_ready=False)
        for entry in entries:
            self._guard.endpoint_listed(now, entry.endpoint_id, entry.state is EndpointState.READY)
            if entry.state is EndpointState.GONE:
                self._start_times.forget(entry.endpoint_id)
        scope = ListScope.COMPLETE if is_complete else ListScope.CHANGES
        self._policy.endpoints_listed(now, ListScope.CACHED if is_cached else scope, entries, answers_poll)

    def _entry(self, now: float, endpoint: ListedEndpoint, is_newly_started: bool) -> EndpointEntry:
        started_at = self._start_times.started_at(now, endpoint.endpoint_id, endpoint.started_at_unix_ms, is_newly_started)
        return EndpointEntry(
            endpoint.endpoint_id, endpoint.zone, endpoint.machine_kind, endpoint.cell, endpoint.state, started_at
        )

    def _apply_confirmed_starts(self) -> None:
        for endpoint_id, started_at in self._start_times.confirmed_starts().items():
            if endpoint := self._policy.table.by_id.get(endpoint_id):
                endpoint.started_at = started_at

    # Events that determine the list's age (policy/endpoint_staleness.py)

    def watch_confirmed(self) -> None:
        """Confirm the list: the open watch delivered a list or a keep-alive."""
        self.staleness.confirmed(self._monitor.earliest_write_time())

    def poll_failed(self, end: PollEnd, began: float, tried: float) -> None:
        """Report a poll that ended without a list; `tried` is when its last connect began or its request was written."""
        self.staleness.poll_failed(environment.monotonic_ms(), end, began, tried)

    def dial_failed(self, began: float, tried: float) -> None:
        """Report a poll whose connection attempt, begun at `tried`, has failed and is repeated."""
        self.staleness.dial_failed(began, tried)

    def poll_waiting(self, began: float, tried: float) -> None:
        """Report a poll whose request, written at `tried`, has waited for long."""
        self.staleness.poll_waiting(began, tried)

    def watch_ended(self, was_reset: bool) -> None:
        """Report the end of a watch that had delivered its list; `was_reset`: its connection ended with an error."""
        self.staleness.watch_ended(environment.monotonic_ms(), was_reset)

    def watch_silent(self, since: float) -> None:
        """Report a watch that is closed because it has been silent since then."""
        self.staleness.watch_silent(since)

    def watch_still_open(self) -> None:
        """Answer the policy's poll while a watch is open, all of whose messages have been passed on."""
        self.list_received(False, ())

    def watch_unavailable(self, has_watch_ended: bool) -> None:
        """Report that no watch is open: the last one has ended, or the poll for one returned no list."""
        scope = ListScope.WATCH_ENDED if has_watch_ended else ListScope.POLL_FAILED
        self._policy.endpoints_listed(environment.monotonic_ms(), scope, ())

    def discovery_time_received(self, unix_ms: float) -> None:
        """Apply discovery's own clock reading."""
        self._start_times.set_discovery_time(environment.monotonic_ms(), unix_ms)

    def discovery_moved(self) -> None:
        """Report that discovery's address has changed."""
        self.staleness.discovery_relocated(environment.monotonic_ms())

    def is_watch_overdue(self) -> bool:
        """Return whether a watch fell silent and no list has been received since."""
        return self.staleness.is_watch_overdue

    # For operators

    def log_staleness(self, now: float) -> None:
        """Log once when the list becomes stale and once when it is usable again, since no log line of a request shows it."""
        staleness = self.staleness
        if not staleness.is_usable(now) and self._stale_since is None:
            self._stale_since = staleness.usable_until
            logger.info(
                "endpoint list is stale, nothing is sent until another comes: cause={!r} trusted_ms_ago={:.0f}",
                staleness.cause.value,
                now - staleness.trusted_until,
            )
        elif self._stale_since is not None and staleness.is_usable(now):
            logger.info(
                "endpoint list is usable again: cause={!r} stale_ms={:.0f}",
                staleness.cause.value,
                now - self._stale_since,
            )
            self._stale_since = None

    def staleness_report(self) -> dict[str, Any]:
        """Return the usability and age of the endpoint list for operators."""
        now = environment.monotonic_ms()
        return {
            "usable": self.staleness.is_usable(now),
            "cause": self.staleness.cause.value,
            "known_true_ms_ago": round(now - self.staleness.trusted_until),
        }
