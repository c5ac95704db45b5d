"""Defines the tables of a scenario file except its faults: their keys, bounds and defaults.

A field whose key in the file differs from its name here states the key.  Keys that end in `_ms` are in milliseconds, those
that end in `_s` in seconds.
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
    """The base of all tables of a scenario or plan; unknown keys are errors."""


class Proxies(Table):
    """The number of proxies, and the limits of each."""

    count: Annotated[int, Meta(ge=1, le=512)] = field(default=4, name="proxies")
    request_cpu_us: NonNegative = field(default=0.0, name="txn_us")  # CPU time of a plain request, divided among its calls
    cpu_share: PositiveRatio = field(default=1.0, name="share")  # of a core
    max_sockets: Annotated[int, Meta(ge=64)] = field(default=1024, name="sockets")
    memory_mb: Annotated[float, Meta(ge=16)] = 192.0
    buffer_bytes: Annotated[int, Meta(ge=0)] = field(default=0, name="buffers")  # of each socket; 0: the system's


class Network(Table):
    """The zones, and the one-way latencies of the simulated network."""

    zones: Annotated[list[Name], Meta(min_length=1)] = field(default_factory=lambda: ["a", "b", "c", "d"])
    same_zone_ms: Positive = field(default=0.15, name="same_ms")
    cross_zone_ms: Positive = field(default=0.4, name="cross_ms")
    client_extra_ms: NonNegative = field(default=0.9, name="client_ms")
    jitter_ratio: NonNegative = field(default=0.2, name="jitter")
    # The probability that sent data arrives in two segments; the second one may be split again.
    split_probability: Annotated[float, Meta(ge=0, le=0.9)] = field(default=0.0, name="pieces")


class Congestion(Table):
    """The slowdown of a backend by a long queue, which ends after the backend has been mostly idle for some time."""

    waiting_per_core: Positive = field(default=5.0, name="at")
    onset_seconds: Positive = field(default=2.0, name="over_s")  # for which the queue has to be that long
    slowdown: AtLeastOne = field(default=2.5, name="slower")  # factor of the service time
    recovery_seconds: Positive = field(default=3.0, name="rest_s")  # for which the backend has to be mostly idle
    max_seconds: Positive = field(default=28.0, name="most_s")


class Backends(Table):
    """A group of backends of one kind, placed in one zone or distributed round-robin over all zones."""

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
    drops_expired: bool = field(default=False, name="drops_late")  # a request whose deadline passes in the queue is not run
    congestion: Congestion | None = field(default=None, name="choke")
    buffer_bytes: Annotated[int, Meta(ge=0)] = field(default=0, name="buffers")  # of each socket; 0: the system's


class RequestClass(Table):
    """A request class: its share of the load, work, latency objective and deadline."""

    name: Name
    kind: RequestKind = RequestKind.IDEMPOTENT
    share: Positive = 1.0  # of all requests, relative to the shares of the other classes
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
    """A tenant; its `share` of all requests is relative to the shares of the other tenants."""

    name: Name
    share: Positive = 1.0


class Clients(Table):
    """The load that clients offer, and the behaviour of the clients."""

    # Segments of (seconds, requests per second); after the last one its rate continues.
    load_curve: Annotated[list[tuple[Positive, NonNegative]], Meta(min_length=1)] = field(name="curve")
    count: Annotated[int, Meta(ge=1, le=2000)] = field(default=32, name="clients")
    max_retries: Annotated[int, Meta(ge=0, le=10)] = field(default=1, name="retries")
    backoff_ms: NonNegative = 60.0
    honours_retry_after_ratio: Ratio = field(default=1.0, name="honour")  # of the requests
    # A client gives up a try after a ratio of the deadline in this range.
    patience_range: tuple[Ratio, Ratio] = field(default=(0.7, 1.0), name="patience")
    # Ratio of the requests whose clients disconnect at half of their patience.
    leaves_early_ratio: Ratio = field(default=0.0, name="impatient")
    slow_byte_ms: NonNegative = field(default=0.0, name="drip_ms")  # between the bytes of one request in eight
    chunked_body_ratio: Ratio = field(default=0.0, name="chunks")  # of the bodies; these have a trailer too
    idle_timeout_seconds: Positive = field(default=20.0, name="idle_s")
    zone_skew: NonNegative = field(default=0.0, name="skew")  # 0: clients are distributed evenly over the zones


class DiscoverySettings(Table):
    """The protocol of discovery, and the delays of its endpoint list."""

    mode: Literal["subscribe", "automatic"] = "subscribe"
    start_delay_seconds: NonNegative = field(default=0.8, name="add_s")  # from a backend's start until the list shows it
    end_delay_seconds: NonNegative = field(default=2.5, name="notice_s")  # from its drain or crash until the list shows it
    silence_delay_seconds: NonNegative = field(default=8.0, name="silent_s")  # from a cut-off until the list shows it as gone
    notification_spread_ms: NonNegative = field(default=60.0, name="spread_ms")
    call_ms: NonNegative = 2.0
    max_list_age_seconds: Positive = field(default=10.0, name="patience_s")
    deemed_notified_seconds: Positive = field(default=6.0, name="deemed_s")  # after which a proxy counts as notified


class BalancerSettings(Table):
    """The connection balancer in front of the proxies."""

    failure_notice_seconds: NonNegative = field(default=2.0, name="notice_s")  # until the failure of a proxy is detected
    drain_notice_seconds: NonNegative = field(default=0.3, name="entry_s")  # for which a draining proxy still gets connections


class Obligations(Table):
    """The obligations of proxies to backends that drain or warm up (rules 3 and 4)."""

    drain_grace_ms: NonNegative = 250.0
    overload_multiple: Positive = field(default=3.0, name="fall_multiple")
    overload_window_ms: Positive = field(default=1500.0, name="fall_ms")
    slack_ms: NonNegative = 50.0  # allowed for socket latency on top of each limit


class ServiceWeights(Table):
    """The weights of the parts of service, normalized to a sum of 1."""

    whole: NonNegative = 0.45
    worst_10_seconds: NonNegative = field(default=0.15, name="worst_10s")
    worst_class: NonNegative = field(default=0.3, name="worst_scheme")
    worst_tenant: NonNegative = field(default=0.1, name="worst_customer")


class Costs(Table):
    """Costs that are deducted from service: per unit of wasted work, late answer, zone crossing and health check.

    Service is at most 1.
    """

    wasted_work: NonNegative = field(default=0.073, name="waste")
    late_answer: NonNegative = field(default=0.05, name="late")
    cross_zone: NonNegative = field(default=0.005, name="cross")
    health_check: NonNegative = field(default=0.002, name="probe")
