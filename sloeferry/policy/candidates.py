"""The candidate endpoints, refreshed every few ticks and whenever the endpoint list changes."""

from collections.abc import Collection
from random import Random

from sloeferry.config.settings import Settings
from sloeferry.policy.endpoint_staleness import ListStaleness
from sloeferry.policy.endpoint_table import EndpointTable
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.fault_attribution import FaultAttribution
from sloeferry.policy.fleet import FleetShare
from sloeferry.policy.interface import EndpointId, EndpointState
from sloeferry.policy.load_estimate import LoadEstimator
from sloeferry.policy.load_reporting import REPORT_MAX_AGE_MS
from sloeferry.policy.outlier_detection import OutlierDetector

REFRESH_TICKS = 4
# Number of inactive endpoints sampled as candidates: without recorded state they are interchangeable, and comparing all is slow.
INACTIVE_SAMPLE_SIZE = 9


class CandidateSet:
    """The endpoints that the selection of an endpoint compares."""

    def __init__(
        self,
        settings: Settings,
        fleet: FleetShare,
        table: EndpointTable,
        staleness: ListStaleness,
        outliers: OutlierDetector,
        attribution: FaultAttribution,
        load: LoadEstimator,
        rng: Random,
    ):
        self._refresh_ms = REFRESH_TICKS * settings.tick_ms
        self._table = table
        self._staleness = staleness
        self._outliers = outliers
        self._attribution = attribution
        self._load = load
        self._rng = rng
        self.all: list[Endpoint] = []
        self.local: list[Endpoint] = []  # candidates in this proxy's zone
        self.remote: list[Endpoint] = []  # candidates in other zones
        self.local_zone = fleet.zone
        self.ejected_endpoint_ids: Collection[EndpointId] = ()

    def refresh(self, now: float) -> list[Endpoint]:
        """Refresh the candidates if they are due and return them.

        These are the ready and active endpoints that are not ejected, and a random sample of the inactive ones.
        """
        table = self._table
        if now < table.candidates_chosen_at + self._refresh_ms:
            return self.all
        elapsed_ms, table.candidates_chosen_at = now - table.candidates_chosen_at, now
        usable = table.ready if self._staleness.is_usable(now) else []
        table.drop_inactive(now, REPORT_MAX_AGE_MS)
        self.ejected_endpoint_ids = self._outliers.ejected_endpoint_ids(now, len(usable))
        sample = self._rng.sample(usable, min(len(usable), INACTIVE_SAMPLE_SIZE))
        active = [
            endpoint
            for endpoint in table.active.values()
            if endpoint.state is EndpointState.READY and endpoint.endpoint_id not in self.ejected_endpoint_ids and usable
        ]
        self.all = active + [endpoint for endpoint in sample if endpoint.endpoint_id not in table.active]
        self._attribution.review(now, self.all)
        self.local = [endpoint for endpoint in self.all if endpoint.zone == self.local_zone]
        self.remote = [endpoint for endpoint in self.all if endpoint.zone != self.local_zone]
        self._load.refresh(now, elapsed_ms, self.all, len(usable))
        return self.all
