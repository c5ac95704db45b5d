"""The faults that a scenario may name: what each does, and how much of it.

The key `what` names the kind, by the word in its class's `tag`.
"""

from typing import Literal

from msgspec import field

from sloeferry.rehearsal.scenario_tables import AtLeastOne, NonNegative, Positive, PositiveRatio, Ratio, Table


class Fault(Table, tag_field="what"):
    """Something that goes wrong at a time (seconds from the start)."""

    at: NonNegative
    zone: str = ""  # where; everywhere if empty


class LastingFault(Fault):
    """One that is over after a time."""

    lasts: Positive = 10.0  # seconds
    part: Ratio = 0.3  # of the backends, or of what it strikes


# Backends


class BackendStalls(LastingFault, tag="stall"):
    """Backends stand still, again and again."""

    stall_ms: Positive = field(default=200.0, name="ms")
    interval_ms: Positive = field(default=2500.0, name="every_ms")


class NoisyNeighbour(LastingFault, tag="neighbour"):
    """Another program takes so much of the machine, on and off."""

    machine_share: Ratio = field(default=0.5, name="takes")
    interval_ms: Positive = field(default=3000.0, name="every_ms")


class BackendSlowdown(LastingFault, tag="slow"):
    """Backends are so many times slower."""

    times: AtLeastOne = 3.0


class BackendErrors(LastingFault, tag="errs"):
    """Backends answer 500 for so much of what they get, half at once, half when the work is done."""

    odds: Ratio = 0.5


class TruncatedResponses(LastingFault, tag="cuts"):
    """Backends break off in the middle of a response's head."""

    odds: Ratio = 0.2


class RefusedConnections(LastingFault, tag="refuses"):
    """Backends do not listen; what is open goes on."""


class BackendCrash(LastingFault, tag="crash"):
    """Backends die at once, and come back cold when it is over."""


class BackendCutOff(LastingFault, tag="silent"):
    """Backends are cut off from the network without a word, and come back cold."""


class RollingDeploy(LastingFault, tag="deploy"):
    """Backends are replaced a batch at a time; each drains first, its successor starts cold."""

    batch_ratio: PositiveRatio = field(default=0.15, name="batch")
    drain_seconds: NonNegative = field(default=3.0, name="drain_s")


class FalseLoadReports(LastingFault, tag="false-reports"):
    """Backends are slower, and report that they are idle, or still what they held when it began."""

    times: AtLeastOne = 2.0
    shows: Literal["idle", "stuck"] = "idle"


# Links


class OneSidedLoss(LastingFault, tag="one-sided"):
    """Backends lose so much of what some proxies send them, half of it unseen and half when the work is done.

    They serve the other proxies, and all health checks.
    """

    proxies: Ratio = 0.5
    odds: Ratio = 0.6


class LossyZoneLink(LastingFault, tag="lossy-way"):
    """Between `zone` and the others so much of the requests is lost, either way, and the rest takes longer each way."""

    odds: Ratio = 0.2
    delay_ms: NonNegative = 80.0


# Requests


class HeavyRequests(LastingFault, tag="heavy"):
    """So much of one class costs many times its work."""

    class_name: str = field(default="", name="scheme")
    times: Positive = 12.0


class FailingRequests(LastingFault, tag="bad-txns"):
    """So much of what is sent fails at once at any backend, harms none and is worth nothing."""


class TenantDelay(LastingFault, tag="waits"):
    """So much of one tenant's requests keeps its place so much longer, at any backend."""

    tenant_name: str = field(default="", name="customer")
    delay_ms: Positive = field(default=500.0, name="ms")


# Proxies


class ProxyCrash(LastingFault, tag="proxies-die"):
    """Proxies are killed; back after `lasts` with nothing but their last list."""


class ProxyRollingRestart(LastingFault, tag="proxies-roll"):
    """Proxies are told to end, one after the other, and started again."""


class ProxyQuiesce(LastingFault, tag="proxies-quiesce"):
    """Proxies are told by their operators to send clients away, and to take them in again when it is over."""


class ProxyPause(LastingFault, tag="proxies-stop"):
    """Proxies get no time at all, once."""

    pause_ms: Positive = field(default=500.0, name="ms")


class ProxyCpuLimit(LastingFault, tag="proxies-starve"):
    """Proxies get so much of a core."""

    cpu_share: PositiveRatio = field(default=0.3, name="share")


# Discovery


class DiscoveryOutage(LastingFault, tag="discovery-out"):
    """Discovery is down."""


class DiscoveryMove(Fault, tag="discovery-move"):
    """Discovery goes on at other ports."""


class DiscoveryLag(LastingFault, tag="discovery-lag"):
    """Changes are listed later."""

    extra_delay_seconds: Positive = field(default=5.0, name="more_s")


RequestFault = HeavyRequests | FailingRequests | TenantDelay  # those that are drawn with the requests
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
