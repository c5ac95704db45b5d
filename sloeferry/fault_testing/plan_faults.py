"""The faults that a plan may name: a TOML table `[[fault]]` each, `what` says which.

Fields carry units in their names; `msgspec.field(name=...)` gives the key in the file where it is another.  The TOML key
`part` of most faults is the part of the proxies that is struck, drawn from the seed.
"""

from typing import Annotated, Literal

from msgspec import Meta, field

from sloeferry.rehearsal.scenario_tables import NonNegative, Positive, Ratio, Table

ProxyNumber = Annotated[int, Meta(ge=0)]


class Fault(Table, tag_field="what"):
    """What all faults have: when, for how long, and which proxies, by number or a part of them that is drawn."""

    at_seconds: NonNegative = field(name="at")
    lasts_seconds: Positive = field(name="lasts", default=2.0)
    target_ratio: Ratio = field(name="part", default=0.3)
    proxies: list[ProxyNumber] = []

    @property
    def kind(self) -> str:
        """The word for it in plans and records."""
        return self.__struct_config__.tag


class Kill(Fault, tag="kill"):
    """SIGKILL; started again when it is over."""


class Stop(Fault, tag="stop"):
    """SIGSTOP, and SIGCONT when it is over."""


class Termination(Fault, tag="term"):
    """SIGTERM, one after the other, and a new process for each."""


class Reload(Fault, tag="hup"):
    """New settings and SIGHUP.

    `lost_ratio`: of those struck, who never get the signal; `file`: in what state the settings stand there as they are read;
    `objective_ratio`: the latency objective, times what it was.
    """

    lost_signal_ratio: Ratio = field(name="lost", default=0.0)
    file: Literal["whole", "cut", "stale", "swapped", "missing"] = "whole"
    objective_ratio: Positive = field(name="sla", default=1.0)


class ClockStep(Fault, tag="clock"):
    """The wall clock of those processes is off by so much."""

    offset_seconds: float = field(name="by_s", default=3600.0)


class FailingSystemCalls(Fault, tag="calls"):
    """System calls of those processes fail at times, and do a part of what they were asked (flaky_sockets.py)."""


class LinkFault(Fault):
    """Between those proxies and `between`; `backend_ratio`: the part of the backends, drawn."""

    between: Literal["nodes", "discovery", "callers"] = "nodes"
    backend_ratio: Ratio = field(name="nodes", default=1.0)


class HeldLink(LinkFault, tag="hold"):
    """What is sent waits until it is over, one way or both; a machine that is cut off looks so."""

    direction: Literal["there", "back", "both"] = field(name="way", default="both")


class DelayedLink(LinkFault, tag="delay"):
    """What is sent takes so much longer."""

    delay_ms: Positive = field(name="ms", default=50.0)


class CutLink(LinkFault, tag="cut"):
    """Reset at once, and refused while it lasts."""


class HalfOpenLink(LinkFault, tag="half-open"):
    """The far end has gone and the near end is not notified until it is over: then it is reset."""


class BrokenLink(LinkFault, tag="break"):
    """Each connection is reset once so many bytes have gone that way on it: inside a message."""

    byte_limit: Annotated[int, Meta(ge=0)] = field(name="bytes", default=40)
    direction: Literal["there", "back"] = field(name="way", default="back")


class DiscoveryDowntime(Fault, tag="list-out"):
    """Discovery is down, for all."""


class DiscoveryLag(Fault, tag="list-lag"):
    """Those are notified of nothing new."""


class OlderReplica(Fault, tag="list-older"):
    """Those are answered by a replica that is so much behind."""

    behind_seconds: Positive = field(name="by_s", default=5.0)


class FailingDiscovery(Fault, tag="list-fail"):
    """Their watches end, and each of their calls fails in that way (CallFailure)."""

    failure: Literal["refused", "late-refused", "reset", "silent", "half", "unreachable"] = field(name="how", default="refused")


class RevisionReset(Fault, tag="list-anew"):
    """Discovery starts anew, with its revision at 1."""


AnyProcessFault = Kill | Stop | Termination | Reload | ClockStep | FailingSystemCalls
AnyLinkFault = HeldLink | DelayedLink | CutLink | HalfOpenLink | BrokenLink
AnyDiscoveryFault = DiscoveryDowntime | DiscoveryLag | OlderReplica | RevisionReset | FailingDiscovery
AnyFault = AnyProcessFault | AnyLinkFault | AnyDiscoveryFault
