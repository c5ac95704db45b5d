"""The endpoint list as this policy holds it, and what is counted by zone, cell and kind of machine."""

import functools
from collections import defaultdict
from collections.abc import Hashable, Sequence
from math import inf

from sloeferry.config.settings import Settings
from sloeferry.policy.endpoints import Endpoint, MachineKind
from sloeferry.policy.histogram import Histogram
from sloeferry.policy.interface import EndpointEntry, EndpointId, EndpointState, ListScope
from sloeferry.policy.success_rate import SuccessRateTracker

ALL_MACHINES_SAMPLES = 100  # attempts after which what was learned of all machines is halved


class EndpointTable:
    """All endpoints that the list named, but for those that are gone and have nothing out."""

    def __init__(self, settings: Settings):
        self._is_only_draining_binding = settings.obligations.may_use_unlisted_endpoints
        self.by_id: dict[EndpointId, Endpoint] = {}
        self.ready: list[Endpoint] = []
        self.active: dict[EndpointId, Endpoint] = {}  # those of which something was heard, or that have something out
        self.zone_trackers: defaultdict[Hashable, SuccessRateTracker] = defaultdict(SuccessRateTracker)
        self.cell_trackers: defaultdict[Hashable, SuccessRateTracker] = defaultdict(SuccessRateTracker)
        self.health_check_trackers: defaultdict[Hashable, SuccessRateTracker] = defaultdict(SuccessRateTracker)  # by zone
        new_kind = functools.partial(MachineKind, Histogram(1.0, ALL_MACHINES_SAMPLES, [1.0] * 4))
        self._machine_kinds: defaultdict[Hashable, MachineKind] = defaultdict(new_kind)
        self.candidates_chosen_at = -inf  # when `CandidateSet` last chose from this table; -inf: it has to choose anew

    def update(self, scope: ListScope, entries: Sequence[EndpointEntry]) -> None:
        """A list, or changes of it, came."""
        for entry in entries:
            self._update_endpoint(entry)
        self.invalidate_candidates()
        if scope is not ListScope.CHANGES:  # an endpoint missing from a complete list is gone
            listed = {entry.endpoint_id for entry in entries}
            for endpoint in self.by_id.values():
                state = endpoint.state if endpoint.endpoint_id in listed else EndpointState.GONE
                self._set_state(endpoint, state)
        self._forget_gone()
        self.ready = [endpoint for endpoint in self.by_id.values() if endpoint.state is EndpointState.READY]

    def _update_endpoint(self, entry: EndpointEntry) -> None:
        endpoint = self.by_id.get(entry.endpoint_id)
        if endpoint is None:
            endpoint = self.by_id[entry.endpoint_id] = Endpoint(entry.endpoint_id)
        elif entry.started_at != endpoint.started_at and entry.started_at:
            endpoint.reset()
        endpoint.zone, endpoint.cell, endpoint.started_at = entry.zone, entry.cell, entry.started_at
        self._set_state(endpoint, entry.state)
        endpoint.path_trackers = (self.zone_trackers[entry.zone], self.cell_trackers[entry.cell])
        endpoint.machine_kind = self._machine_kinds[entry.machine_kind]

    def _set_state(self, endpoint: Endpoint, state: EndpointState) -> None:
        """Where only draining binds, an endpoint that is merely gone is used until it fails: the list may be wrong.

        In the simulator, that is; on sockets its address goes with the list (`network/discovery_client.py`).
        """
        is_unlisted = state is EndpointState.GONE and self._is_only_draining_binding
        endpoint.is_unlisted = is_unlisted and endpoint.state is EndpointState.READY
        endpoint.state = EndpointState.READY if endpoint.is_unlisted else state

    def _forget_gone(self) -> None:
        """Ids are ever new: endpoints that are gone would fill the memory on a long day."""
        for endpoint in list(self.by_id.values()):
            has_anything_out = endpoint.own_in_flight or endpoint.health_checks_in_flight
            if endpoint.state is EndpointState.GONE and not has_anything_out:
                del self.by_id[endpoint.endpoint_id]
                self.active.pop(endpoint.endpoint_id, None)

    def remove_unlisted(self, endpoint: Endpoint) -> None:
        """Removes an endpoint that the list calls gone and that now fails."""
        endpoint.state, endpoint.is_unlisted = EndpointState.GONE, False
        self.invalidate_candidates()
        self.ready.remove(endpoint)

    def activate(self, endpoint: Endpoint) -> None:
        """Adds an endpoint to `active`: something was heard of it, or was sent there."""
        self.active[endpoint.endpoint_id] = endpoint

    def drop_inactive(self, now: float, max_age_ms: float) -> None:
        """Drops from `active` each endpoint with nothing outstanding and no report within `max_age_ms`."""
        self.active = {
            endpoint_id: endpoint
            for endpoint_id, endpoint in self.active.items()
            if endpoint.own_in_flight
            or endpoint.counted_in_flight_until
            or endpoint.health_checks_in_flight
            or endpoint.consecutive_failures
            or now - endpoint.reported_at <= max_age_ms
        }

    def invalidate_candidates(self) -> None:
        """The candidates have to be chosen anew before the next attempt."""
        self.candidates_chosen_at = -inf
