"""The faults that a plan may contain: one TOML table `[[fault]]` each, whose key `what` names the kind.

Field names contain units; `msgspec.field(name=...)` gives the key in the file if it differs.  The target proxies are
selected at random from the seed unless `proxies` lists them; the TOML key `part` is their ratio.
"""

from typing import Annotated, Literal

from msgspec import Meta, field

from sloeferry.rehearsal.scenario_tables import NonNegative, Positive, Ratio, Table
from sloeferry.stand_ins.bad_clients import BadClientKind

ProxyNumber = Annotated[int, Meta(ge=0)]


class Fault(Table, tag_field="what"):
    """The fields of all faults: start, duration, and the target proxies, by number or as a ratio."""

    at_seconds: NonNegative = field(name="at")
    lasts_seconds: Positive = field(name="lasts", default=2.0)
    target_ratio: Ratio = field(name="part", default=0.3)
    proxies: list[ProxyNumber] = []

    @property
    def kind(self) -> str:
        """Return the name of the kind in plans and records."""
        return self.__struct_config__.tag


class Kill(Fault, tag="kill"):
    """SIGKILL for the target proxies, which are started again at the end of the fault."""


class Stop(Fault, tag="stop"):
    """SIGSTOP for the target proxies, and SIGCONT at the end of the fault."""


class Termination(Fault, tag="term"):
    """SIGTERM for the target proxies one after the other, and a new process for each."""


class Reload(Fault, tag="hup"):
    """New settings and SIGHUP for the target proxies.

    `lost_signal_ratio` of the targets never get the signal; `file` is the state of the settings file when it is read;
    `objective_ratio` multiplies the plan's latency objective.
    """

    lost_signal_ratio: Ratio = field(name="lost", default=0.0)
    file: Literal["whole", "cut", "stale", "swapped", "missing"] = "whole"
    objective_ratio: Positive = field(name="sla", default=1.0)


class ClockStep(Fault, tag="clock"):
    """A wall clock that is off by `offset_seconds` in the target proxies."""

    offset_seconds: float = field(name="by_s", default=3600.0)


class FailingSystemCalls(Fault, tag="calls"):
    """Intermittent failures and short transfers of system calls in the target proxies (flaky_sockets.py)."""


class LinkFault(Fault):
    """A fault of the links between the target proxies and `between`.

    Of links to backends, those to a random `backend_ratio` of the backends are targets.
    """

    between: Literal["nodes", "discovery", "callers"] = "nodes"
    backend_ratio: Ratio = field(name="nodes", default=1.0)


class HeldLink(LinkFault, tag="hold"):
    """Bytes in one direction or both are queued until the end of the fault, as if a machine were cut off."""

    direction: Literal["there", "back", "both"] = field(name="way", default="both")


class DelayedLink(LinkFault, tag="delay"):
    """All bytes are delayed by `delay_ms`."""

    delay_ms: Positive = field(name="ms", default=50.0)


class CutLink(LinkFault, tag="cut"):
    """Connections are reset at once, and new ones are refused during the fault."""


class HalfOpenLink(LinkFault, tag="half-open"):
    """The server end is reset, and the client end only at the end of the fault."""


class BrokenLink(LinkFault, tag="break"):
    """Each connection is reset after `byte_limit` bytes in one direction, inside a message."""

    byte_limit: Annotated[int, Meta(ge=0)] = field(name="bytes", default=40)
    direction: Literal["there", "back"] = field(name="way", default="back")


class DiscoveryDowntime(Fault, tag="list-out"):
    """Discovery is down for all proxies."""


class DiscoveryLag(Fault, tag="list-lag"):
    """The target proxies are notified of no changes."""


class OlderReplica(Fault, tag="list-older"):
    """A replica that is `behind_seconds` out of date answers the target proxies."""

    behind_seconds: Positive = field(name="by_s", default=5.0)


class FailingDiscovery(Fault, tag="list-fail"):
    """The target proxies' watches end, and each of their calls to discovery fails as `failure` says (CallFailure)."""

    failure: Literal["refused", "late-refused", "reset", "silent", "half", "unreachable"] = field(name="how", default="refused")


class RevisionReset(Fault, tag="list-anew"):
    """Discovery restarts its revisions at 1."""


class MisbehavingClients(Fault, tag="bad-clients"):
    """Clients of each of `kinds` that misuse the target proxies, `client_count` in all, beside the usual clients."""

    kinds: Annotated[list[BadClientKind], Meta(min_length=1)] = field(default_factory=lambda: list(BadClientKind))
    client_count: Annotated[int, Meta(ge=1, le=1000)] = field(name="clients", default=20)


class Uploads(Fault, tag="uploads"):
    """Clients that upload long bodies to the target proxies, `client_count` in all, as drawn by `upload_plays.draw_play`."""

    client_count: Annotated[int, Meta(ge=1, le=200)] = field(name="clients", default=10)


AnyProcessFault = Kill | Stop | Termination | Reload | ClockStep | FailingSystemCalls
AnyLinkFault = HeldLink | DelayedLink | CutLink | HalfOpenLink | BrokenLink
AnyDiscoveryFault = DiscoveryDowntime | DiscoveryLag | OlderReplica | RevisionReset | FailingDiscovery
AnyFault = AnyProcessFault | AnyLinkFault | AnyDiscoveryFault | MisbehavingClients | Uploads
