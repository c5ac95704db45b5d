"""The platform's settings as a typed tree; `settings_reader.py` builds it from the platform's keys."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

# The platform's words that a setting keeps.
REPORTS_IN_RESPONSES, REPORTS_IN_HEALTH_CHECKS = "answers", "probe"  # where load reports come from
# How discovery delivers the endpoint list.  With POLLED_DISCOVERY the proxy itself opens a watch, a poll that stays open; with
# any other value an agent of the platform pushes the list.
POLLED_DISCOVERY = "subscribe"


class Idempotency(enum.Enum):
    """What running a request of a class twice does."""

    IDEMPOTENT = "idempotent"  # no harm
    DEDUPLICATED = "deduplicated"  # no harm by its key, within a group of endpoints and for a time
    NON_IDEMPOTENT = "non-idempotent"  # harm


class DeduplicationGroup(enum.Enum):
    """Which endpoints know each other's idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClassSettings:
    """What the operators promise for one class of requests."""

    name: str | None  # None where the platform names no classes (the bench)
    idempotency: Idempotency
    deduplication_group: DeduplicationGroup
    deduplication_window_ms: float
    deadline_ms: float  # from its arrival: when its final answer is due at the latest
    latency_objective_ms: float  # from its arrival: until when its answer earns its whole weight
    priority_weight: float  # what one request is worth, or one unit of its work
    is_removed: bool = False  # no longer named by the configuration; its open requests go on


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """One tenant and its quota."""

    name: str | None
    quota_weight: float  # its part of the capacity, against the other tenants' weights
    is_removed: bool = False


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """What a proxy may do for one request, and how long its connections live."""

    max_attempts: int  # for one request
    may_hedge: bool  # whether a second attempt may be out beside the first
    may_cancel: bool  # whether an attempt may be called off
    may_health_check: bool
    sends_retry_after: bool  # whether a rejection says when to come back
    idle_connection_ms: float  # after which an endpoint closes a connection that rests
    connect_timeout_ms: float


@dataclass(frozen=True, slots=True)
class ObligationSettings:
    """What a proxy owes its endpoints and discovery."""

    slow_start_ms: float  # for how long an endpoint that has started warms up
    slow_start_initial_ratio: float  # of its capacity, that it has at its start
    warm_up_window_ms: float  # over which the work sent to an endpoint that warms up is counted
    warm_up_overload_multiple: float  # of its capacity over that window, which pushes it over
    drain_grace_ms: float  # after being notified of a drain, in which attempts may still begin
    poll_within_ms: float  # of the last poll the next one is due, where the list is polled
    may_use_unlisted_endpoints: bool  # an endpoint that is merely gone from the list may be used until it fails


@dataclass(frozen=True, slots=True)
class LoadReportSettings:
    """Whether and how endpoints report their load."""

    fields: tuple[str, ...]  # of a report, in their order
    source: str  # by the platform's word: `REPORTS_IN_RESPONSES`, `REPORTS_IN_HEALTH_CHECKS`; any other: there are none

    @property
    def has_response_reports(self) -> bool:
        """Whether each response carries a report."""
        return self.source == REPORTS_IN_RESPONSES

    @property
    def has_health_check_reports(self) -> bool:
        """Whether only health checks bring reports."""
        return self.source == REPORTS_IN_HEALTH_CHECKS


@dataclass(frozen=True, slots=True)
class CostSettings:
    """What detours cost, as parts of the mean weight of a request."""

    cross_zone: float  # an attempt in another zone
    health_check: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one instance, checked and complete."""

    request_classes: tuple[RequestClassSettings, ...]  # an index into it names a class everywhere
    tenants: tuple[TenantSettings, ...]
    limits: LimitSettings
    obligations: ObligationSettings
    load_reports: LoadReportSettings
    costs: CostSettings
    discovery_mode: str  # by the platform's word: `POLLED_DISCOVERY`; any other: the list is pushed
    is_weight_per_work: bool  # whether a priority weight is earned for each unit of work instead of each request
    has_affinity_keys: bool  # whether endpoints answer sooner that know a request's key
    instance_count: int  # proxies of the fleet
    instance_index: int  # which of them this one is
    tick_ms: float  # how often the host handles what has come in
    zone: int  # of this instance, an index into `zones`
    zones: tuple[str, ...]
    machine_kinds: tuple[str, ...]
    canonical: Mapping[str, Any]  # the complete map of dotted keys, for digests that other releases have to match

    @property
    def is_endpoint_list_polled(self) -> bool:
        """Whether this proxy has to poll discovery for the list; otherwise changes are pushed to it."""
        return self.discovery_mode == POLLED_DISCOVERY

    def class_indexes(self) -> dict[str, int]:
        """The index of each request class by its name, without removed ones."""
        return _indexes(self.request_classes)

    def tenant_indexes(self) -> dict[str, int]:
        """The index of each tenant by its name, without removed ones."""
        return _indexes(self.tenants)

    def aligned_with(self, former: "Settings") -> "Settings":
        """These settings, each class and tenant at the index that it had in the former ones.

        New ones are appended; one that is no longer named keeps its former settings, marked as removed.  So whatever is
        counted by index stays valid.
        """
        return dataclasses.replace(
            self,
            request_classes=_aligned(self.request_classes, former.request_classes),
            tenants=_aligned(self.tenants, former.tenants),
        )


def _indexes(entries: Sequence[RequestClassSettings | TenantSettings]) -> dict[str, int]:
    return {each.name: at for at, each in enumerate(entries) if each.name is not None and not each.is_removed}


def _aligned(current: tuple, former: tuple) -> tuple:
    by_name = {each.name: each for each in current}
    former_names = {each.name for each in former}
    kept = [by_name.get(each.name) or dataclasses.replace(each, is_removed=True) for each in former]
    return (*kept, *(each for each in current if each.name not in former_names))
