"""Plan files: a rehearsal's scenario, and beside its troubles the faults that strike between processes.

Read, checked and given defaults in one place; a fault names its key.  Times are as their names say.
"""

import pathlib
import re
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from sloeferry.fault_testing import draw, draw_soak
from sloeferry.rehearsal import scenario as s
from sloeferry.rehearsal import scenario_faults as f
from sloeferry.rehearsal.scenario import ScenarioError
from sloeferry.rehearsal.scenario_tables import NonNegative as From0
from sloeferry.rehearsal.scenario_tables import Positive as Above
from sloeferry.rehearsal.scenario_tables import Ratio as Part
from sloeferry.rehearsal.scenario_tables import Table

SHIPPED = pathlib.Path(__file__).parent / "plans"
MOST = 400  # proxies on one machine


class Rig(Table):
    """The processes beside the proxies.  `late_ms`: whoever measures and ran later than that voids the play."""

    nodes: Annotated[int, Meta(ge=1, le=8)] = 1
    callers: Annotated[int, Meta(ge=1, le=8)] = 1
    late_ms: Above = 200.0
    audit_s: Above | None = None  # when the fleet is audited; its word is held against the records


class Expect(Table):
    """What the plan holds its proxies to, beside the four rules."""

    service: Part = 0.0  # the least part of the gain that is settled in time
    lost: Annotated[int, Meta(ge=0)] = 0  # txns with no answer, whoever is to blame, at the most


class Struck(Table):
    """Which proxies: that part of them, drawn; or by number."""

    at: From0
    lasts: Above = 2.0
    part: Part = 0.3
    proxies: list[Annotated[int, Meta(ge=0)]] = []


class Kill(Struck, tag_field="what", tag="kill"):
    """SIGKILL; started again when it is over."""


class Stop(Struck, tag_field="what", tag="stop"):
    """SIGSTOP, and SIGCONT when it is over."""


class Term(Struck, tag_field="what", tag="term"):
    """SIGTERM, one after the other, and a new process for each."""


class Hup(Struck, tag_field="what", tag="hup"):
    """New settings and SIGHUP.  `file`: what of them stands there as it is read; `sla`: times the SLA time as it was."""

    lost: Part = 0.0  # of those struck, who never get the signal
    file: Literal["whole", "cut", "stale", "swapped", "missing"] = "whole"
    sla: Above = 1.0


class Clock(Struck, tag_field="what", tag="clock"):
    """The wall clock of those processes is off by so much."""

    by_s: float = 3600.0


class Calls(Struck, tag_field="what", tag="calls"):
    """System calls of those processes fail at times, and do a part of what they were asked (flaky_calls.py)."""


class Link(Struck):
    """Between those proxies and `between`; `nodes`: the part of the nodes, drawn."""

    between: Literal["nodes", "discovery", "callers"] = "nodes"
    nodes: Part = 1.0


class Hold(Link, tag_field="what", tag="hold"):
    """What is said waits until it is over, `way` or both ways; a machine that says nothing looks so."""

    way: Literal["there", "back", "both"] = "both"


class Delay(Link, tag_field="what", tag="delay"):
    ms: Above = 50.0


class Cut(Link, tag_field="what", tag="cut"):
    """Reset at once, and refused while it lasts."""


class HalfOpen(Link, tag_field="what", tag="half-open"):
    """The far end has gone and the near end never hears of it, until it is over: then it is reset."""


class Break(Link, tag_field="what", tag="break"):
    """Each connection is reset once so many bytes have gone that way on it: inside a message."""

    bytes: Annotated[int, Meta(ge=0)] = 40
    way: Literal["there", "back"] = "back"


class ListOut(Struck, tag_field="what", tag="list-out"):
    """Discovery is down, for all."""


class ListLag(Struck, tag_field="what", tag="list-lag"):
    """Those are told of nothing new."""


class ListOlder(Struck, tag_field="what", tag="list-older"):
    """Those are answered by a replica that stands where the list stood `by_s` before."""

    by_s: Above = 5.0


class ListFail(Struck, tag_field="what", tag="list-fail"):
    """Their watches end, and each of their calls fails in that way (CallFailure)."""

    how: Literal["refused", "late-refused", "reset", "silent", "half", "unreachable"] = "refused"


class ListAnew(Struck, tag_field="what", tag="list-anew"):
    """Discovery starts anew, with its count at 1."""


PROCESS = Kill | Stop | Term | Hup | Clock | Calls
BETWEEN = Hold | Delay | Cut | HalfOpen | Break
LIST = ListOut | ListLag | ListOlder | ListAnew | ListFail
# What the rehearsal kit has too, and as what.
TWIN = {Kill: f.ProxyCrash, Stop: f.ProxyPause, Term: f.ProxyRollingRestart, ListOut: f.DiscoveryOutage}
# Troubles of scenarios that a rig of processes has not: they live in the nodes' ways and the virtual network.
VIRTUAL_ONLY = (f.OneSidedLoss, f.LossyZoneLink, f.DiscoveryMove, f.ProxyCpuLimit, f.ProxyQuiesce, f.DiscoveryOutage)


class Plan(s.Scenario, kw_only=True):
    rig: Rig = Rig()
    fault: list[PROCESS | BETWEEN | LIST] = []
    expect: Expect = Expect()


def shipped():
    return sorted(path.stem for path in SHIPPED.glob("*.toml"))


def text(said):
    """The text of a plan: a shipped name, `drawn-` and a seed, or a path."""
    if drawn := re.fullmatch(r"(drawn|soak)-(\d{1,9})", str(said)):
        return (draw.text if drawn[1] == "drawn" else draw_soak.text)(int(drawn[2]))
    return s.read_text(
        SHIPPED / f"{said}.toml" if str(said) in shipped() else pathlib.Path(said), [*shipped(), "drawn-N", "soak-N"]
    )


def read(said):
    """A plan, checked."""
    return checked(text(said), pathlib.Path(said).name)


def checked(text, name="plan"):
    told = s.parse(text, name, Plan)

    def no(key, why):
        raise ScenarioError(f"{name}: {key}: {why}")

    if told.proxies.count > MOST:
        no("bank.proxies", f"{told.proxies.count} are too many for one machine, {MOST} at most")
    if told.clock:
        no("clock", "a machine's own clock is never set; use a fault")
    for at, trouble in enumerate(told.scenario_faults):
        if isinstance(trouble, VIRTUAL_ONLY):
            no(f"trouble[{at}].what", "exists in virtual time alone; see the faults")
    if told.rig.audit_s and told.rig.audit_s > told.seconds:
        no("rig.audit_s", "comes after the end")
    for at, fault in enumerate(told.fault):
        if fault.at + fault.lasts > told.seconds:
            no(f"fault[{at}].lasts", "goes on past the end")
        for number in fault.proxies:
            if number >= told.proxies.count:
                no(f"fault[{at}].proxies", f"there is no proxy {number}")
    return told


def altered(told, proxies=None, nodes=None):
    """The same plan with so many proxies, and so many nodes in all; load goes with the nodes."""
    if proxies:
        told = msgspec.structs.replace(told, proxies=msgspec.structs.replace(told.proxies, count=proxies))
    if nodes:
        have = sum(n.count for n in told.backends)
        counts = [max(1, round(n.count * nodes / have)) for n in told.backends]
        curve = [(length, rate * sum(counts) / have) for length, rate in told.clients.load_curve]
        told = msgspec.structs.replace(
            told,
            backends=[msgspec.structs.replace(n, count=count) for n, count in zip(told.backends, counts)],
            clients=msgspec.structs.replace(told.clients, load_curve=curve),
        )
    return told


def twin(told):
    """The scenario that plays in virtual time, and what of the plan has no part there."""
    troubles, without = list(told.scenario_faults), []
    for fault in told.fault:
        kind = TWIN.get(type(fault))
        if kind is None:
            without.append(word(fault))
        elif kind is f.ProxyPause:
            troubles.append(kind(at=fault.at, part=share(told, fault), pause_ms=fault.lasts * 1000))
        else:
            troubles.append(kind(at=fault.at, part=share(told, fault), lasts=fault.lasts))
    fields = {name: getattr(told, name) for name in s.Scenario.__struct_fields__}
    return s.Scenario(**{**fields, "scenario_faults": troubles}), without


def share(told, fault):
    return len(fault.proxies) / told.proxies.count if fault.proxies else fault.part


def word(fault):
    return type(fault).__struct_config__.tag
