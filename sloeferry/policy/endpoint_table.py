"""The endpoint list as this policy holds it, and the statistics by zone, cell and machine kind."""

import functools
from collections import defaultdict
from collections.abc import Hashable, Sequence
from math import inf

from sloeferry.config.settings import Settings
from sloeferry.policy.endpoints import Endpoint, MachineKind
from sloeferry.policy.histogram import Histogram
from sloeferry.policy.interface import EndpointEntry, EndpointId, EndpointState, ListScope
from sloeferry.policy.success_rate import SuccessRateTracker

ALL_MACHINES_SAMPLES = 100  # attempts after which the histogram of all machines is halved


class EndpointTable:
    """All listed endpoints, including gone ones with attempts or health checks in flight."""

    def __init__(self, settings: Settings):
        self._may_use_unlisted = settings.obligations.may_use_unlisted_endpoints
        self.by_id: dict[EndpointId, Endpoint] = {}
        self.ready: list[Endpoint] = []
        self.active: dict[EndpointId, Endpoint] = {}  # those with a recent report, failures, or anything in flight
        self.zone_trackers: defaultdict[Hashable, SuccessRateTracker] = defaultdict(SuccessRateTracker)
        self.cell_trackers: defaultdict[Hashable, SuccessRateTracker] = defaultdict(SuccessRateTracker)
        self.health_check_trackers: defaultdict[Hashable, SuccessRateTracker] = defaultdict(SuccessRateTracker)  # by zone
        new_kind = functools.partial(MachineKind, Histogram(1.0, ALL_MACHINES_SAMPLES, [1.0] * 4))
        self._machine_kinds: defaultdict[Hashable, MachineKind] = defaultdict(new_kind)
        self.candidates_chosen_at = -inf  # time of the last refresh of `CandidateSet`; -inf: a refresh is due

    def update(self, scope: ListScope, entries: Sequence[EndpointEntry]) -> None:
        """Apply a complete list or changes of it."""
        for entry in entries:
            self._update_endpoint(entry)
        self.invalidate_candidates()
        if scope is not ListScope.CHANGES:  # an endpoint missing from a complete list is gone
            listed = {entry.endpoint_id for entry in entries}
            for endpoint in self.by_id.values():
                state = endpoint.state if endpoint.endpoint_id in listed else EndpointState.GONE
                self._set_state(endpoint, state)
        self._drop_gone()
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
        """Set the endpoint's state; where unlisted endpoints may be used, one gone without draining stays ready until it fails.

        The list may be wrong.  This applies to the simulator alone: on sockets the address of an endpoint is removed with its
        entry (`network/discovery_client.py`).
        """
        is_unlisted = state is EndpointState.GONE and self._may_use_unlisted
        endpoint.is_unlisted = is_unlisted and endpoint.state is EndpointState.READY
        endpoint.state = EndpointState.READY if endpoint.is_unlisted else state

    def _drop_gone(self) -> None:
        """Drop gone endpoints with nothing in flight.

        Otherwise memory would grow without bound, since new endpoints have new ids.
        """
        for endpoint in list(self.by_id.values()):
            has_anything_in_flight = endpoint.own_in_flight or endpoint.health_checks_in_flight
            if endpoint.state is EndpointState.GONE and not has_anything_in_flight:
                del self.by_id[endpoint.endpoint_id]
                self.active.pop(endpoint.endpoint_id, None)

    def remove_unlisted(self, endpoint: Endpoint) -> None:
        """Remove an endpoint that is gone from the list and that now fails."""
        endpoint.state, endpoint.is_unlisted = EndpointState.GONE, False
        self.invalidate_candidates()
        self.ready.remove(endpoint)

    def activate(self, endpoint: Endpoint) -> None:
        """Add an endpoint to `active`, after it was sent something or answered."""
        self.active[endpoint.endpoint_id] = endpoint

    def drop_inactive(self, now: float, max_age_ms: float) -> None:
        """Drop from `active` each endpoint with nothing in flight, no failures and no report within `max_age_ms`."""
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
        """Require a refresh of the candidates before the next attempt."""
        self.candidates_chosen_at = -inf
