"""What the network hears of the endpoint list, as facts for the policy."""

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
    """One entry of discovery's list, decoded."""

    endpoint_id: str
    zone: int | str  # an index into the settings; the name itself where the settings do not know it
    machine_kind: int | str
    cell: int
    state: EndpointState
    capacity_share: float
    started_at_unix_ms: float  # 0: long ago


class EndpointEvents:
    """Passes lists, the ends of polls and watches, and signs of life on to the policy."""

    def __init__(self, policy: Policy, guard: SendGuard, monitor: LoopMonitor):
        self._policy = policy
        self._guard = guard
        self._monitor = monitor
        self._start_times = StartTimes(environment.monotonic_ms(), environment.unix_time() * 1000)
        self._stale_since: float | None = None  # since when nothing is sent for want of a list

    @property
    def staleness(self) -> ListStaleness:
        """The age of the list."""
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
        """A list came, complete or only changes.

        `newly_started`: those whose start was told as a change while the watch stood; `answers_poll`: not so if a former
        watch told it, and the poll for another goes on.
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

    def _entry(self, now: float, endpoint: ListedEndpoint, is_news: bool) -> EndpointEntry:
        started_at = self._start_times.started_at(now, endpoint.endpoint_id, endpoint.started_at_unix_ms, is_news)
        return EndpointEntry(
            endpoint.endpoint_id, endpoint.zone, endpoint.machine_kind, endpoint.cell, endpoint.state, started_at
        )

    def _apply_confirmed_starts(self) -> None:
        for endpoint_id, started_at in self._start_times.confirmed_starts().items():
            if endpoint := self._policy.table.by_id.get(endpoint_id):
                endpoint.started_at = started_at

    # Facts about the list's age (policy/endpoint_staleness.py)

    def watch_confirmed(self) -> None:
        """The watch that stands said something, a list or a sign of life."""
        self.staleness.confirmed(self._monitor.earliest_write_time())

    def poll_failed(self, end: PollEnd, began: float, tried: float) -> None:
        """A poll that brought no list has ended; `tried`: when its last dial began, or its request was written."""
        self.staleness.poll_failed(environment.monotonic_ms(), end, began, tried)

    def poll_waiting(self, began: float, tried: float) -> None:
        """A poll's dial failed, and it dials again; or its answer takes longer than discovery lets one wait."""
        self.staleness.poll_waiting(began, tried)

    def watch_ended(self) -> None:
        """A watch that had told its list has ended."""
        self.staleness.watch_ended(environment.monotonic_ms())

    def watch_silent(self, since: float) -> None:
        """A watch is given up that has said nothing since then."""
        self.staleness.watch_silent(since)

    def watch_still_open(self) -> None:
        """Answers a poll for a watch that stands: all it said has been passed on."""
        self.list_received(False, ())

    def watch_unavailable(self, has_watch_ended: bool) -> None:
        """There is no watch any more: the one that stood has ended, or the poll for one brought no list."""
        scope = ListScope.WATCH_ENDED if has_watch_ended else ListScope.POLL_FAILED
        self._policy.endpoints_listed(environment.monotonic_ms(), scope, ())

    def discovery_time_received(self, unix_ms: float) -> None:
        """Discovery's own word of what time it is."""
        self._start_times.set_discovery_time(environment.monotonic_ms(), unix_ms)

    def discovery_moved(self) -> None:
        """Discovery is elsewhere from now on."""
        self.staleness.discovery_relocated(environment.monotonic_ms())

    def is_watch_overdue(self) -> bool:
        """Whether a watch fell silent and no list has come since."""
        return self.staleness.is_watch_overdue

    # For operators

    def log_staleness(self, now: float) -> None:
        """A line when the list becomes stale, and one when a newer one has come: no line a request tells of either."""
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

    def figures(self) -> dict[str, Any]:
        """The age of the list."""
        now = environment.monotonic_ms()
        return {
            "usable": self.staleness.is_usable(now),
            "cause": self.staleness.cause.value,
            "known_true_ms_ago": round(now - self.staleness.trusted_until),
        }
