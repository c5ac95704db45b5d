"""Scenario files: read, checked and given defaults; a fault names its key.

A scenario says who stands where, who asks what, and which troubles come when.  Times are as their names say: `_ms`
milliseconds, `_s` or none seconds.
"""

import pathlib
from datetime import datetime
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from sloeferry.errors import UsageError

SHIPPED = pathlib.Path(__file__).parent / "scenarios"
Above = Annotated[float, Meta(gt=0)]
From0 = Annotated[float, Meta(ge=0)]
Part = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]


class ScenarioError(UsageError):
    """What was asked for can't be played; the text names the key."""


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    pass


class Bank(Table):
    """The proxies.  `txn_us`: CPU of a plain txn, spread over its calls; `share`: of a core."""

    proxies: Annotated[int, Meta(ge=1, le=512)] = 4
    txn_us: From0 = 0.0
    share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    sockets: Annotated[int, Meta(ge=64)] = 1024
    memory_mb: Annotated[float, Meta(ge=16)] = 192.0


class Network(Table):
    """One-way latencies.  `pieces`: chance that what is sent comes in two, and again for the rest."""

    zones: Annotated[list[Name], Meta(min_length=1)] = msgspec.field(default_factory=lambda: ["a", "b", "c", "d"])
    same_ms: Above = 0.15
    cross_ms: Above = 0.4
    client_ms: From0 = 0.9
    jitter: From0 = 0.2
    pieces: Annotated[float, Meta(ge=0, le=0.9)] = 0.0


class Choke(Table):
    """A node with `at` txns a core waiting for `over_s` turns `slower`, until mostly idle for `rest_s`, or `most_s`."""

    at: Above = 5.0
    over_s: Above = 2.0
    slower: Annotated[float, Meta(ge=1)] = 2.5
    rest_s: Above = 3.0
    most_s: Above = 28.0


class Nodes(Table):
    """Some nodes of one kind, dealt out over the zones in turn or all in one."""

    count: Annotated[int, Meta(ge=0, le=1000)]
    kind: Name = "plain"
    zone: str = ""
    cores: Annotated[int, Meta(ge=1, le=256)] = 1
    speed: Above = 1.0
    queue: Annotated[int, Meta(ge=0)] = 8  # waiting txns a core
    cold_s: From0 = 0.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 1.0
    idle_s: Above = 30.0
    connections: Annotated[int, Meta(ge=1)] = 700
    report_ms: From0 = 2.0
    drops_late: bool = False  # waiting work whose txn is over is not begun
    choke: Choke | None = None


class Scheme(Table):
    name: Name
    kind: Literal["repeatable", "referenced", "once-only"] = "repeatable"
    share: Above = 1.0
    work_ms: Above = 90.0
    spread: From0 = 0.6  # coefficient of variation of the work
    sla_ms: Above = 320.0
    expiry_ms: Above = 800.0
    gain: Above = 1.0
    group: Literal["all", "zone"] = "all"
    window_ms: From0 = 0.0
    body: Annotated[int, Meta(ge=0, le=1 << 22)] = 0
    answer: Annotated[int, Meta(ge=64, le=1 << 22)] = 256


class Customer(Table):
    name: Name
    share: Above = 1.0


class Callers(Table):
    """Who asks.  `curve`: pieces of [seconds, txns a second]; beyond its end its last rate holds."""

    curve: Annotated[list[tuple[Above, From0]], Meta(min_length=1)]
    clients: Annotated[int, Meta(ge=1, le=2000)] = 32
    retries: Annotated[int, Meta(ge=0, le=10)] = 1
    backoff_ms: From0 = 60.0
    honour: Part = 1.0  # share of clients that keep to a Retry-After
    patience: tuple[Part, Part] = (0.7, 1.0)  # of the expiry, for one try
    impatient: Part = 0.0  # share of txns whose client leaves half way
    drip_ms: From0 = 0.0  # a request is sent byte by byte, so far apart (one txn in eight)
    chunks: Part = 0.0  # of the bodies come in chunks, with a trailer
    idle_s: Above = 20.0
    skew: From0 = 0.0  # how unevenly clients stand over the zones


class Discovery(Table):
    mode: Literal["subscribe", "automatic"] = "subscribe"
    add_s: From0 = 0.8  # until a start is listed
    notice_s: From0 = 2.5  # until an end is listed
    silent_s: From0 = 8.0  # until silence is
    spread_ms: From0 = 60.0
    call_ms: From0 = 2.0
    patience_s: Above = 10.0  # how old a proxy's list may be
    deemed_s: Above = 6.0  # what there is to tell counts as told by then


class Front(Table):
    notice_s: From0 = 2.0  # until a dead proxy is noticed
    entry_s: From0 = 0.3  # how long a leaving one still gets new connections


class Obligations(Table):
    drain_grace_ms: From0 = 250.0
    fall_multiple: Above = 3.0
    fall_ms: Above = 1500.0
    slack_ms: From0 = 50.0  # what sockets are allowed on top of each limit


class Goal(Table):
    """Weights of service, scaled to sum 1."""

    whole: From0 = 0.45
    worst_10s: From0 = 0.15
    worst_scheme: From0 = 0.3
    worst_customer: From0 = 0.1


class Prices(Table):
    """What each unit costs, of 1."""

    waste: From0 = 0.073
    late: From0 = 0.05
    cross: From0 = 0.005
    probe: From0 = 0.002


class Trouble(Table, tag_field="what"):
    at: From0
    zone: str = ""


class Lasting(Trouble):
    lasts: Above = 10.0
    part: Part = 0.3  # of the nodes, or of what it strikes


class Stall(Lasting, tag="stall"):
    """Nodes stand still for `ms`, again and again."""

    ms: Above = 200.0
    every_ms: Above = 2500.0


class Neighbour(Lasting, tag="neighbour"):
    """Another program takes so much of the machine, on and off."""

    takes: Part = 0.5
    every_ms: Above = 3000.0


class Slow(Lasting, tag="slow"):
    times: Annotated[float, Meta(ge=1)] = 3.0


class Errs(Lasting, tag="errs"):
    """Nodes answer 500 for so much of what they get, half at once, half when the work is done."""

    odds: Part = 0.5


class Cuts(Lasting, tag="cuts"):
    """Nodes break off in the middle of an answer's head."""

    odds: Part = 0.2


class Refuses(Lasting, tag="refuses"):
    """Nodes whose listener is away; what is open goes on."""


class Heavy(Lasting, tag="heavy"):
    """So much of one scheme costs many times its work."""

    scheme: str = ""
    times: Above = 12.0


class Crash(Lasting, tag="crash"):
    """Nodes die at once, and come back cold when it is over."""


class Silent(Lasting, tag="silent"):
    """Nodes are cut off without a word, and come back cold."""


class Deploy(Lasting, tag="deploy"):
    """Nodes are replaced a batch at a time; each drains first, its successor starts cold."""

    batch: Annotated[float, Meta(gt=0, le=1)] = 0.15
    drain_s: From0 = 3.0


class ProxiesDie(Lasting, tag="proxies-die"):
    """Killed outright; back after `lasts` with nothing but their last list."""


class ProxiesRoll(Lasting, tag="proxies-roll"):
    """Told to leave one after the other, and started again."""


class ProxiesQuiesce(Lasting, tag="proxies-quiesce"):
    """Told by their operators to send clients away, and to take them in again when it is over."""


class ProxiesStop(Lasting, tag="proxies-stop"):
    """Get no time at all for `ms`, once."""

    ms: Above = 500.0


class ProxiesStarve(Lasting, tag="proxies-starve"):
    """Get so much of a core."""

    share: Annotated[float, Meta(gt=0, le=1)] = 0.3


class DiscoveryOut(Lasting, tag="discovery-out"):
    pass


class DiscoveryMove(Trouble, tag="discovery-move"):
    pass


class DiscoveryLag(Lasting, tag="discovery-lag"):
    more_s: Above = 5.0


class FalseReports(Lasting, tag="false-reports"):
    """Nodes are so many times slower, and report that they are idle, or still what they held when it began."""

    times: Annotated[float, Meta(ge=1)] = 2.0
    shows: Literal["idle", "stuck"] = "idle"


class OneSided(Lasting, tag="one-sided"):
    """Nodes lose so much of what some proxies send them, half of it unseen and half when the work is done; they serve
    the other proxies, and all probes."""

    proxies: Part = 0.5
    odds: Part = 0.6


class LossyWay(Lasting, tag="lossy-way"):
    """Between `zone` and the others: so much of the txns is lost, either way, and the rest takes longer each way."""

    odds: Part = 0.2
    delay_ms: From0 = 80.0


class BadTxns(Lasting, tag="bad-txns"):
    """So much of what is asked errs at once at any node, harms none and is worth nothing."""


class Waits(Lasting, tag="waits"):
    """So much of one customer's txns keeps its place so much longer, at any node."""

    customer: str = ""
    ms: Above = 500.0


TROUBLES = (
    Stall
    | Neighbour
    | Slow
    | Errs
    | Cuts
    | Refuses
    | Heavy
    | Crash
    | Silent
    | Deploy
    | ProxiesDie
    | ProxiesRoll
    | ProxiesQuiesce
    | ProxiesStop
    | ProxiesStarve
    | DiscoveryOut
    | DiscoveryMove
    | DiscoveryLag
    | FalseReports
    | OneSided
    | LossyWay
    | BadTxns
    | Waits
)


class Scenario(Table, kw_only=True):
    name: Name
    about: str = ""
    seconds: Annotated[float, Meta(gt=0, le=86400)]
    clock: str = ""  # Unix time at the start, as 2026-12-31T23:59:50Z
    bank: Bank = Bank()
    network: Network = Network()
    nodes: list[Nodes]
    scheme: Annotated[list[Scheme], Meta(min_length=1)]
    customer: list[Customer] = []
    callers: Callers
    discovery: Discovery = Discovery()
    front: Front = Front()
    obligations: Obligations = Obligations()
    goal: Goal = Goal()
    prices: Prices = Prices()
    trouble: list[TROUBLES] = []

    def cold(self):
        """What the operators state of cold nodes: the longest they take, the least they begin with."""
        cold = [nodes for nodes in self.nodes if nodes.cold_s]
        return max((n.cold_s for n in cold), default=0.0), min((n.cold_from for n in cold), default=1.0)


def shipped():
    return sorted(path.stem for path in SHIPPED.glob("*.toml"))


def find(said):
    """The path of a scenario: a shipped name, or a path."""
    if str(said) in shipped():
        return SHIPPED / f"{said}.toml"
    return pathlib.Path(said)


def read(said):
    """A scenario, checked."""
    path = find(said)
    return checked(text(path, shipped()), path.name)


def text(path, names):
    """What stands in a file; `names` are those that are shipped."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        why = getattr(fault, "strerror", None) or "is no UTF-8 text"
        raise ScenarioError(f"{path}: can't be read: {why}; shipped are {', '.join(names)}") from None


def checked(text, name="scenario", kind=None):
    """A scenario out of TOML, or what is more than one: `kind` says what else may stand there."""
    try:
        told = msgspec.toml.decode(text, type=kind or Scenario)
    except msgspec.ValidationError as fault:
        what, _, where = str(fault).partition(" - at ")
        raise ScenarioError(f"{name}: {where.strip('`').removeprefix('$.') or 'top'}: {what}") from None
    except (msgspec.DecodeError, ValueError) as fault:
        raise ScenarioError(f"{name}: is no TOML: {fault}") from None

    def no(key, why):
        raise ScenarioError(f"{name}: {key}: {why}")

    zones, schemes = told.network.zones, [scheme.name for scheme in told.scheme]
    for key, names in (("network.zones", zones), ("scheme", schemes), ("customer", [c.name for c in told.customer])):
        if len(set(names)) < len(names):
            no(key, "a name stands twice")
    for at, nodes in enumerate(told.nodes):
        if nodes.zone and nodes.zone not in zones:
            no(f"nodes[{at}].zone", f"{nodes.zone!r} is none of {', '.join(zones)}")
    for at, scheme in enumerate(told.scheme):
        if scheme.sla_ms > scheme.expiry_ms:
            no(f"scheme[{at}].sla_ms", "is past its expiry_ms")
        if scheme.kind == "referenced" and not scheme.window_ms:
            no(f"scheme[{at}].window_ms", "missing: for how long are repeats of a referenced txn known?")
    low, high = told.callers.patience
    if not 0 < low <= high:
        no("callers.patience", "the least must be above 0 and no more than the most")
    if sum(length for length, _ in told.callers.curve) > 10 * told.seconds:
        no("callers.curve", "is more than ten times as long as the play")
    for at, trouble in enumerate(told.trouble):
        if trouble.zone and trouble.zone not in zones:
            no(f"trouble[{at}].zone", f"{trouble.zone!r} is none of {', '.join(zones)}")
        if trouble.at > told.seconds:
            no(f"trouble[{at}].at", "comes after the end")
        if isinstance(trouble, Heavy) and trouble.scheme not in schemes:
            no(f"trouble[{at}].scheme", f"{trouble.scheme!r} is no scheme")
        if isinstance(trouble, Waits) and trouble.customer not in [c.name for c in told.customer]:
            no(f"trouble[{at}].customer", f"{trouble.customer!r} is no customer")
        if isinstance(trouble, LossyWay) and not trouble.zone:
            no(f"trouble[{at}].zone", "missing: the way to which zone?")
    if told.clock:
        moment(told.clock, lambda why: no("clock", why))
    if not any((told.goal.whole, told.goal.worst_10s, told.goal.worst_scheme, told.goal.worst_customer)):
        no("goal", "all weights are 0")
    return told


def moment(text, no):
    try:
        when = datetime.fromisoformat(text)
    except ValueError:
        return no(f"{text!r} is no moment like 2026-12-31T23:59:50Z")
    if when.tzinfo is None:
        return no(f"{text!r} names no time zone")
    return when.timestamp()
