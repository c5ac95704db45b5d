"""The tables of a scenario file but its faults: what is in them, in which bounds, and what holds where nothing is said.

Keys in the file may differ from the names here; each such field names its key.  Keys that end in `_ms` are milliseconds, in
`_s` seconds.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, field

from sloeferry.stand_ins.wire_protocol import RequestKind

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
PositiveRatio = Annotated[float, Meta(gt=0, le=1)]
AtLeastOne = Annotated[float, Meta(ge=1)]
Name = Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]
BodyBytes = Annotated[int, Meta(ge=0, le=1 << 22)]
ResponseBytes = Annotated[int, Meta(ge=64, le=1 << 22)]


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A table of a scenario or plan."""


class Proxies(Table):
    """The proxies."""

    count: Annotated[int, Meta(ge=1, le=512)] = field(default=4, name="proxies")
    request_cpu_us: NonNegative = field(default=0.0, name="txn_us")  # CPU of a plain request, spread over its calls
    cpu_share: PositiveRatio = field(default=1.0, name="share")  # of a core
    max_sockets: Annotated[int, Meta(ge=64)] = field(default=1024, name="sockets")
    memory_mb: Annotated[float, Meta(ge=16)] = 192.0


class Network(Table):
    """One-way latencies."""

    zones: Annotated[list[Name], Meta(min_length=1)] = field(default_factory=lambda: ["a", "b", "c", "d"])
    same_zone_ms: Positive = field(default=0.15, name="same_ms")
    cross_zone_ms: Positive = field(default=0.4, name="cross_ms")
    client_extra_ms: NonNegative = field(default=0.9, name="client_ms")
    jitter_ratio: NonNegative = field(default=0.2, name="jitter")
    # The odds that what is sent comes in two, and again for the rest.
    split_probability: Annotated[float, Meta(ge=0, le=0.9)] = field(default=0.0, name="pieces")


class Congestion(Table):
    """How a long queue slows a backend down, until it has been mostly idle for a while."""

    waiting_per_core: Positive = field(default=5.0, name="at")
    onset_seconds: Positive = field(default=2.0, name="over_s")  # for which the queue is so long
    slowdown: AtLeastOne = field(default=2.5, name="slower")  # times
    recovery_seconds: Positive = field(default=3.0, name="rest_s")  # for which the backend is mostly idle
    max_seconds: Positive = field(default=28.0, name="most_s")


class Backends(Table):
    """Some backends of one kind, dealt out over the zones in turn or all in one."""

    count: Annotated[int, Meta(ge=0, le=1000)]
    machine_kind: Name = field(default="plain", name="kind")
    zone: str = ""
    cores: Annotated[int, Meta(ge=1, le=256)] = 1
    speed: Positive = 1.0
    queue_per_core: Annotated[int, Meta(ge=0)] = field(default=8, name="queue")
    warm_up_seconds: NonNegative = field(default=0.0, name="cold_s")
    initial_capacity_ratio: PositiveRatio = field(default=1.0, name="cold_from")
    idle_timeout_seconds: Positive = field(default=30.0, name="idle_s")
    max_connections: Annotated[int, Meta(ge=1)] = field(default=700, name="connections")
    report_interval_ms: NonNegative = field(default=2.0, name="report_ms")
    drops_expired: bool = field(default=False, name="drops_late")  # a request that waited past its deadline is not run
    congestion: Congestion | None = field(default=None, name="choke")


class RequestClass(Table):
    """One class of requests."""

    name: Name
    kind: RequestKind = RequestKind.IDEMPOTENT
    share: Positive = 1.0  # of all requests, against the other classes'
    work_ms: Positive = 90.0
    work_variation: NonNegative = field(default=0.6, name="spread")  # coefficient of variation
    latency_objective_ms: Positive = field(default=320.0, name="sla_ms")
    deadline_ms: Positive = field(default=800.0, name="expiry_ms")
    priority_weight: Positive = field(default=1.0, name="gain")
    deduplication_group: Literal["all", "zone"] = field(default="all", name="group")
    deduplication_window_ms: NonNegative = field(default=0.0, name="window_ms")
    body_bytes: BodyBytes = field(default=0, name="body")
    response_bytes: ResponseBytes = field(default=256, name="answer")


class Tenant(Table):
    """One tenant; `share` of all requests, against the other tenants'."""

    name: Name
    share: Positive = 1.0


class Clients(Table):
    """Who sends requests."""

    # Pieces of (seconds, requests a second); beyond its end its last rate holds.
    load_curve: Annotated[list[tuple[Positive, NonNegative]], Meta(min_length=1)] = field(name="curve")
    count: Annotated[int, Meta(ge=1, le=2000)] = field(default=32, name="clients")
    max_retries: Annotated[int, Meta(ge=0, le=10)] = field(default=1, name="retries")
    backoff_ms: NonNegative = 60.0
    honours_retry_after_ratio: Ratio = field(default=1.0, name="honour")  # of the requests
    patience_range: tuple[Ratio, Ratio] = field(default=(0.7, 1.0), name="patience")  # of the deadline, for one try
    leaves_early_ratio: Ratio = field(default=0.0, name="impatient")  # of the requests, whose clients leave half way
    slow_byte_ms: NonNegative = field(default=0.0, name="drip_ms")  # one request in eight comes byte by byte, so far apart
    chunked_body_ratio: Ratio = field(default=0.0, name="chunks")  # of the bodies, which have a trailer then
    idle_timeout_seconds: Positive = field(default=20.0, name="idle_s")
    zone_skew: NonNegative = field(default=0.0, name="skew")  # how unevenly clients stand over the zones


class DiscoverySettings(Table):
    """How discovery is called, and how late its list is."""

    mode: Literal["subscribe", "automatic"] = "subscribe"
    start_delay_seconds: NonNegative = field(default=0.8, name="add_s")  # until a start is listed
    end_delay_seconds: NonNegative = field(default=2.5, name="notice_s")  # until an end is listed
    silence_delay_seconds: NonNegative = field(default=8.0, name="silent_s")  # until a backend that is cut off is listed
    notification_spread_ms: NonNegative = field(default=60.0, name="spread_ms")
    call_ms: NonNegative = 2.0
    max_list_age_seconds: Positive = field(default=10.0, name="patience_s")
    deemed_notified_seconds: Positive = field(default=6.0, name="deemed_s")  # what there is to tell counts as told by then


class BalancerSettings(Table):
    """The balancer of connections before the proxies."""

    failure_notice_seconds: NonNegative = field(default=2.0, name="notice_s")  # until a dead proxy is noticed
    drain_notice_seconds: NonNegative = field(default=0.3, name="entry_s")  # for which one that leaves gets new connections


class Obligations(Table):
    """What proxies owe backends."""

    drain_grace_ms: NonNegative = 250.0
    overload_multiple: Positive = field(default=3.0, name="fall_multiple")
    overload_window_ms: Positive = field(default=1500.0, name="fall_ms")
    slack_ms: NonNegative = 50.0  # what sockets are allowed on top of each limit


class ServiceWeights(Table):
    """Weights of the parts of service, scaled to sum 1."""

    whole: NonNegative = 0.45
    worst_10_seconds: NonNegative = field(default=0.15, name="worst_10s")
    worst_class: NonNegative = field(default=0.3, name="worst_scheme")
    worst_tenant: NonNegative = field(default=0.1, name="worst_customer")


class Costs(Table):
    """What each unit costs, of 1."""

    wasted_work: NonNegative = field(default=0.073, name="waste")
    late_answer: NonNegative = field(default=0.05, name="late")
    cross_zone: NonNegative = field(default=0.005, name="cross")
    health_check: NonNegative = field(default=0.002, name="probe")
