"""Defines the faults that a scenario may contain, with their parameters.

The key `what` in the file selects the kind of fault by the `tag` of its class.
"""

from typing import Literal

from msgspec import field

from sloeferry.rehearsal.scenario_tables import AtLeastOne, NonNegative, Positive, PositiveRatio, Ratio, Table


class Fault(Table, tag_field="what"):
    """A fault that begins at a time, in seconds from the start of the run."""

    at: NonNegative
    zone: str = ""  # the affected zone; all zones if empty


class LastingFault(Fault):
    """A fault that ends after a duration."""

    lasts: Positive = 10.0  # seconds
    part: Ratio = 0.3  # of the backends, proxies or requests that it may affect


# Backends


class BackendStalls(LastingFault, tag="stall"):
    """Backends are paused repeatedly, at intervals."""

    stall_ms: Positive = field(default=200.0, name="ms")
    interval_ms: Positive = field(default=2500.0, name="every_ms")


class NoisyNeighbour(LastingFault, tag="neighbour"):
    """Another program takes a share of the machines of backends, on and off at intervals."""

    machine_share: Ratio = field(default=0.5, name="takes")
    interval_ms: Positive = field(default=3000.0, name="every_ms")


class BackendSlowdown(LastingFault, tag="slow"):
    """Service times of backends are multiplied."""

    times: AtLeastOne = 3.0


class BackendErrors(LastingFault, tag="errs"):
    """Backends answer a ratio of the requests with 500, half of these at once and half when the work is done."""

    odds: Ratio = 0.5


class TruncatedResponses(LastingFault, tag="cuts"):
    """Backends close the connection within the header section of a response."""

    odds: Ratio = 0.2


class RefusedConnections(LastingFault, tag="refuses"):
    """Backends refuse new connections; open connections continue."""


class BackendCrash(LastingFault, tag="crash"):
    """Backends crash all at the same time, and restart cold when the fault ends."""


class BackendCutOff(LastingFault, tag="silent"):
    """Backends are cut off from the network while connections stay open, and restart cold when the fault ends."""


class RollingDeploy(LastingFault, tag="deploy"):
    """Backends are replaced batch by batch: each one drains, and its successor starts cold."""

    batch_ratio: PositiveRatio = field(default=0.15, name="batch")
    drain_seconds: NonNegative = field(default=3.0, name="drain_s")


class FalseLoadReports(LastingFault, tag="false-reports"):
    """Backends are slower, and report either that they are idle or the load at the start of the fault."""

    times: AtLeastOne = 2.0
    shows: Literal["idle", "stuck"] = "idle"


# Links


class OneSidedLoss(LastingFault, tag="one-sided"):
    """Backends lose a ratio of the requests of some proxies: half of these are never received, half lose their response.

    Backends still serve the other proxies, and answer all health checks.
    """

    proxies: Ratio = 0.5
    odds: Ratio = 0.6


class LossyZoneLink(LastingFault, tag="lossy-way"):
    """A ratio of the requests between `zone` and the other zones is lost in either direction, and the others are delayed."""

    odds: Ratio = 0.2
    delay_ms: NonNegative = 80.0


# Requests


class HeavyRequests(LastingFault, tag="heavy"):
    """The work of a part of the requests of one class is multiplied."""

    class_name: str = field(default="", name="scheme")
    times: Positive = 12.0


class FailingRequests(LastingFault, tag="bad-txns"):
    """A part of all requests fails at once at every backend, without costing work or counting for service."""


class TenantExtraWork(LastingFault, tag="waits"):
    """A part of one tenant's requests costs `delay_ms` more work at every backend."""

    tenant_name: str = field(default="", name="customer")
    delay_ms: Positive = field(default=500.0, name="ms")


# Proxies


class ProxyCrash(LastingFault, tag="proxies-die"):
    """Proxies are killed, and restart after `lasts` with only the endpoint list that they had last."""


class ProxyRollingRestart(LastingFault, tag="proxies-roll"):
    """Proxies are shut down and restarted one after the other."""


class ProxyQuiesce(LastingFault, tag="proxies-quiesce"):
    """Operators quiesce proxies, which send their clients away, and resume them when the fault ends."""


class ProxyPause(LastingFault, tag="proxies-stop"):
    """Proxies get no CPU time, once."""

    pause_ms: Positive = field(default=500.0, name="ms")


class ProxyCpuLimit(LastingFault, tag="proxies-starve"):
    """Proxies are limited to a share of a core."""

    cpu_share: PositiveRatio = field(default=0.3, name="share")


# Discovery


class DiscoveryOutage(LastingFault, tag="discovery-out"):
    """Discovery is unavailable."""


class DiscoveryMove(Fault, tag="discovery-move"):
    """Discovery moves to other ports."""


class DiscoveryLag(LastingFault, tag="discovery-lag"):
    """Changes reach the endpoint list with an additional delay."""

    extra_delay_seconds: Positive = field(default=5.0, name="more_s")


RequestFault = HeavyRequests | FailingRequests | TenantExtraWork  # faults that are applied when requests are generated
ScenarioFault = (
    BackendStalls
    | NoisyNeighbour
    | BackendSlowdown
    | BackendErrors
    | TruncatedResponses
    | RefusedConnections
    | BackendCrash
    | BackendCutOff
    | RollingDeploy
    | FalseLoadReports
    | OneSidedLoss
    | LossyZoneLink
    | RequestFault
    | ProxyCrash
    | ProxyRollingRestart
    | ProxyQuiesce
    | ProxyPause
    | ProxyCpuLimit
    | DiscoveryOutage
    | DiscoveryMove
    | DiscoveryLag
)
