"""Defines the platform's settings as typed classes; `settings_reader.py` builds them from the platform's keys."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

# Setting values as the platform spells them.
REPORTS_IN_RESPONSES, REPORTS_IN_HEALTH_CHECKS = "answers", "probe"  # source of load reports
# How discovery delivers the endpoint list.  With POLLED_DISCOVERY the proxy itself opens a watch, a poll that stays open; with
# any other value an agent of the platform pushes the list.
POLLED_DISCOVERY = "subscribe"


class Idempotency(enum.Enum):
    """The effect of running a request of a class twice."""

    IDEMPOTENT = "idempotent"  # harmless
    DEDUPLICATED = "deduplicated"  # harmless within a group of endpoints and a time window, by the idempotency key
    NON_IDEMPOTENT = "non-idempotent"  # harmful


class DeduplicationGroup(enum.Enum):
    """The endpoints that share idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClassSettings:
    """The operators' settings for one request class."""

    name: str | None  # None if the platform doesn't name classes (the bench)
    idempotency: Idempotency
    deduplication_group: DeduplicationGroup
    deduplication_window_ms: float
    deadline_ms: float  # from arrival until the latest final response
    latency_objective_ms: float  # from arrival; a response within it earns the full weight
    priority_weight: float  # value of one request, or of one unit of its work
    is_removed: bool = False  # removed from the configuration; its open requests continue


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """The settings of one tenant."""

    name: str | None
    quota_weight: float  # its share of the capacity, relative to the other tenants' weights
    is_removed: bool = False


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on the attempts of one request and on connections."""

    max_attempts: int  # per request
    may_hedge: bool  # whether a second attempt may be in flight with the first
    may_cancel: bool  # whether an attempt may be cancelled
    may_health_check: bool
    sends_retry_after: bool  # whether a rejection has a Retry-After
    idle_connection_ms: float  # after which an endpoint closes an idle connection
    connect_timeout_ms: float


@dataclass(frozen=True, slots=True)
class ObligationSettings:
    """Obligations of a proxy towards its endpoints and discovery."""

    slow_start_ms: float  # duration of warm-up after an endpoint's start
    slow_start_initial_ratio: float  # capacity at the start of warm-up, relative to full capacity
    warm_up_window_ms: float  # window that counts the work sent to an endpoint in warm-up
    warm_up_overload_multiple: float  # multiple of its capacity in that window that overloads it
    drain_grace_ms: float  # after notification of a drain, while attempts may still begin
    poll_within_ms: float  # longest interval between polls, if the list is polled
    may_use_unlisted_endpoints: bool  # whether endpoints missing from the list may be used until they fail


@dataclass(frozen=True, slots=True)
class LoadReportSettings:
    """Source and contents of the endpoints' load reports."""

    fields: tuple[str, ...]  # in the order of a report
    source: str  # `REPORTS_IN_RESPONSES`, `REPORTS_IN_HEALTH_CHECKS`, or any other value for no reports

    @property
    def has_response_reports(self) -> bool:
        """Return whether each response carries a load report."""
        return self.source == REPORTS_IN_RESPONSES

    @property
    def has_health_check_reports(self) -> bool:
        """Return whether load reports come with health checks only."""
        return self.source == REPORTS_IN_HEALTH_CHECKS


@dataclass(frozen=True, slots=True)
class CostSettings:
    """Costs of cross-zone attempts and health checks, relative to the mean weight of a request."""

    cross_zone: float  # per attempt in another zone
    health_check: float  # per health check


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one instance, checked and complete."""

    request_classes: tuple[RequestClassSettings, ...]  # a class is identified by its index
    tenants: tuple[TenantSettings, ...]
    limits: LimitSettings
    obligations: ObligationSettings
    load_reports: LoadReportSettings
    costs: CostSettings
    discovery_mode: str  # `POLLED_DISCOVERY`, or any other value for a pushed list
    is_weight_per_work: bool  # whether priority weights apply per unit of work instead of per request
    has_affinity_keys: bool  # whether endpoints respond faster to a request with a known key
    instance_count: int  # proxies in the fleet
    instance_index: int  # of this proxy in the fleet
    tick_ms: float  # interval at which the host handles received events
    zone: int  # local zone, an index into `zones`
    zones: tuple[str, ...]
    machine_kinds: tuple[str, ...]
    canonical: Mapping[str, Any]  # the complete map of dotted keys, for digests that must equal those of other releases

    @property
    def is_endpoint_list_polled(self) -> bool:
        """Return whether this proxy polls discovery for the endpoint list, instead of receiving pushed changes."""
        return self.discovery_mode == POLLED_DISCOVERY

    def class_indexes(self) -> dict[str, int]:
        """Return the index of each request class by name, without removed classes."""
        return _indexes(self.request_classes)

    def tenant_indexes(self) -> dict[str, int]:
        """Return the index of each tenant by name, without removed tenants."""
        return _indexes(self.tenants)

    def aligned_with(self, previous: "Settings") -> "Settings":
        """Return these settings with each request class and tenant at its index in the previous settings.

        New entries are appended.  An entry that is no longer configured keeps its previous settings, marked as removed, so that
        state kept by index stays valid.
        """
        return dataclasses.replace(
            self,
            request_classes=_aligned(self.request_classes, previous.request_classes),
            tenants=_aligned(self.tenants, previous.tenants),
        )


def _indexes(entries: Sequence[RequestClassSettings | TenantSettings]) -> dict[str, int]:
    return {each.name: at for at, each in enumerate(entries) if each.name is not None and not each.is_removed}


def _aligned(current: tuple, previous: tuple) -> tuple:
    by_name = {each.name: each for each in current}
    previous_names = {each.name for each in previous}
    kept = [by_name.get(each.name) or dataclasses.replace(each, is_removed=True) for each in previous]
    return (*kept, *(each for each in current if each.name not in previous_names))
