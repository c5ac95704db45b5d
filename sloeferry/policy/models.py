"""The models that a policy learns of endpoints, request classes and paths, built in the order of their dependencies."""

from dataclasses import dataclass
from random import Random

from sloeferry.config.settings import Settings
from sloeferry.policy.arrivals import HEALTH_CHECK_TIMEOUT_TICKS, ArrivalRate
from sloeferry.policy.candidates import CandidateSet
from sloeferry.policy.endpoint_staleness import ListStaleness
from sloeferry.policy.endpoint_table import EndpointTable
from sloeferry.policy.extension_points import ExtensionPoints
from sloeferry.policy.fault_attribution import FaultAttribution
from sloeferry.policy.fleet import FleetShare
from sloeferry.policy.interface import PolicyHost
from sloeferry.policy.key_affinity import KeyAffinity
from sloeferry.policy.latency_model import LatencyModel
from sloeferry.policy.load_estimate import LoadEstimator
from sloeferry.policy.load_reporting import LoadReporting
from sloeferry.policy.outlier_detection import OutlierDetector
from sloeferry.policy.request_classes import RequestClasses
from sloeferry.policy.slow_start import SlowStart
from sloeferry.policy.timers import Timers


@dataclass(frozen=True, slots=True)
class Models:
    """The models that the stages of a policy share."""

    reporting: LoadReporting
    check_timeout_ms: float  # after which a health check counts as unanswered
    classes: RequestClasses
    arrivals: ArrivalRate
    affinity: KeyAffinity
    table: EndpointTable
    slow_start: SlowStart
    latency: LatencyModel
    load: LoadEstimator
    outliers: OutlierDetector
    attribution: FaultAttribution
    candidates: CandidateSet


def build_models(
    settings: Settings,
    host: PolicyHost,
    timers: Timers,
    fleet: FleetShare,
    classes: RequestClasses,
    staleness: ListStaleness,
    extensions: ExtensionPoints,
    rng: Random,
    now: float,
) -> Models:
    """Build the models of one policy."""
    reporting = LoadReporting.from_settings(settings)
    check_timeout_ms = HEALTH_CHECK_TIMEOUT_TICKS * settings.tick_ms
    arrivals, affinity, table = ArrivalRate(settings.tick_ms, now), KeyAffinity(), EndpointTable(settings)
    slow_start = SlowStart(settings, fleet, reporting)
    latency = LatencyModel(classes, arrivals, slow_start, affinity, extensions, reporting)
    load = LoadEstimator(settings, fleet, table, classes, latency, slow_start, arrivals, reporting, rng)
    outliers = OutlierDetector(timers, table, latency, reporting, check_timeout_ms, rng)
    attribution = FaultAttribution(settings, host, classes, table)
    return Models(
        reporting,
        check_timeout_ms,
        classes,
        arrivals,
        affinity,
        table,
        slow_start,
        latency,
        load,
        outliers,
        attribution,
        CandidateSet(settings, fleet, table, staleness, outliers, attribution, load, rng),
    )
