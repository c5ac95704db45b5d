"""Builds the settings and the configuration of a proxy in the platform's format, with times in microseconds."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from sloeferry.stand_ins.wire_protocol import RequestKind

# Values of `idempotency` in the platform's settings.
IDEMPOTENCY_VALUES = {
    RequestKind.IDEMPOTENT: "retryable",
    RequestKind.DEDUPLICATED: "dedup",
    RequestKind.NON_IDEMPOTENT: "fragile",
}
MAX_ATTEMPTS = 4
CONNECT_TIMEOUT_US = 200_000
TICK_US = 1000
US_PER_MS = 1000
US_PER_SECOND = 1e6

Address = tuple[str, int] | str


@dataclass(frozen=True)
class ObligationTerms:
    """Limits that a proxy has to respect towards backends and discovery."""

    slow_start_seconds: float = 0.0  # warm-up of a backend after its start
    slow_start_initial_ratio: float = 1.0  # of its capacity, at the start of the warm-up
    drain_grace_ms: float = 250.0
    overload_window_ms: float = 1500.0
    overload_multiple: float = 3.0
    poll_within_seconds: float = 10.0

    def as_settings(self) -> dict[str, float]:
        """Return the limits as the platform's `obligations` table."""
        return {
            "drain_grace": self.drain_grace_ms * US_PER_MS,
            "cold": self.slow_start_seconds * US_PER_SECOND,
            "cold_from": self.slow_start_initial_ratio,
            "fall": self.overload_window_ms * US_PER_MS,
            "fall_multiple": self.overload_multiple,
            "must_ask_in": self.poll_within_seconds * US_PER_SECOND,
        }


DEFAULT_OBLIGATIONS = ObligationTerms()


def request_class_settings(
    name: str,
    kind: str,
    latency_objective_ms: float,
    deadline_ms: float,
    priority_weight: float,
    deduplication_group: str = "all",
    deduplication_window_ms: float = 0.0,
) -> dict[str, Any]:
    """Return the settings of one request class."""
    return {
        "name": name,
        "idempotency": IDEMPOTENCY_VALUES[kind],
        "group": deduplication_group,
        "sla_time": latency_objective_ms * US_PER_MS,
        "expiry": deadline_ms * US_PER_MS,
        "gain": priority_weight,
        "dedup_window": deduplication_window_ms * US_PER_MS,
    }


def proxy_settings(
    request_classes: Sequence[Mapping[str, Any]],
    tenants: Sequence[tuple[str, float]],
    *,
    instance_count: int,
    ordinal: int,
    zones: Sequence[str],
    machine_kinds: Collection[str],
    discovery_mode: str = "subscribe",
    idle_timeout_seconds: float = 30.0,
    obligations: ObligationTerms = DEFAULT_OBLIGATIONS,
    cross_zone_cost: float = 0.005,
    health_check_cost: float = 0.002,
) -> dict[str, Any]:
    """Return the settings of the proxy with that ordinal.

    `request_classes` are made by `request_class_settings`; `tenants` are pairs of name and share.
    """
    return {
        "instances": instance_count,
        "ordinal": ordinal,
        "zone": ordinal % len(zones),
        "zones": list(zones),
        "kinds": sorted(machine_kinds),
        "step": TICK_US,
        "discovery": discovery_mode,
        "schemes": request_classes,
        "tenants": [{"name": name, "share": share} for name, share in tenants],
        "limits": {
            "most_postings": MAX_ATTEMPTS,
            "second_copies": True,
            "cancel": True,
            "probing": True,
            "retry_after": True,
            "conn_idle": idle_timeout_seconds * US_PER_SECOND,
            "dial_timeout": CONNECT_TIMEOUT_US,
        },
        "obligations": obligations.as_settings(),
        "tariffs": {"cross_zone": cross_zone_cost, "probe": health_check_cost},
        "load_info": {"fields": ["inflight", "queue", "util"], "via": "answers"},
    }


def instance_config(
    name: str,
    listen: Address,
    discovery: Address,
    settings: Mapping[str, Any],
    *,
    seed: int,
    max_sockets: int = 1024,
    memory_mb: float = 192,
    cores: float = 1.0,
    admin: Address | None = None,
    known_list: Mapping[str, Any] | None = None,
) -> dict[str, Any]:
    """Return the configuration of one proxy; `known_list` is the endpoint list that its previous process had."""
    config = {
        "name": name,
        "listen": format_address(listen),
        "discovery": format_address(discovery),
        "seed": f"{seed:x}",
        "limits": {"cores": cores, "sockets": max_sockets, "memory_mb": memory_mb},
        "settings": settings,
    }
    if admin:
        config["ops"] = format_address(admin)
    if known_list is not None:
        config["known"] = known_list
    return config


def format_address(address: Address) -> str:
    """Return an address in the format of the configuration: host:port, or text as it is."""
    return address if isinstance(address, str) else "{}:{}".format(*address)
