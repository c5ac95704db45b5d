"""Settings of small deployments, in the form in which a proxy's configuration holds them (times in microseconds)."""

from typing import Any

MS = 1000


def request_class(
    name: str, idempotency: str, aim_ms: int, deadline_ms: int, gain: float, group: str = "all", window_ms: int = 5000
) -> dict[str, Any]:
    """Return one class of the settings."""
    return {
        "name": name,
        "idempotency": idempotency,
        "group": group,
        "dedup_window": window_ms * MS,
        "sla_time": aim_ms * MS,
        "expiry": deadline_ms * MS,
        "gain": gain,
        "overdue_gain": 0.0,
        "stream": False,
    }


def cascade(instances: int, ordinal: int = 0) -> dict[str, Any]:
    """Return the settings of cascade-falls-pud."""
    return {
        "service_type": "proxy",
        "instances": instances,
        "ordinal": ordinal,
        "layer": 0,
        "tiers": ["registry-web"],
        "step": 1 * MS,
        "discovery": "subscribe",
        "gain_per": "request",
        "beyond_share_gain": 0.1,
        "kinds": ["small-a", "small-b", "small-c"],
        "zones": ["north-bend", "riverside", "ridge-road", "mill-creek"],
        "zone": 0,
        "weight_kind": "none",
        "client_habits": {"marks_retry": True},
        "family_info": {"warm_keys": False},
        "schemes": [
            request_class("pull", "retryable", 320, 800, 1.0),
            request_class("push", "dedup", 320, 800, 2.0, "all", 30_000),
        ],
        "tenants": [
            {"name": "grid-ops", "share": 0.55, "quota_per_s": 40.0},
            {"name": "billing", "share": 0.45, "quota_per_s": 33.0},
        ],
        "limits": {
            "cancel": True,
            "conn_idle": 30_000 * MS,
            "cpu_us_per_s": 400_000,
            "dial_timeout": 200 * MS,
            "max_open": 20_000,
            "max_retry_after": 2_000 * MS,
            "most_postings": 4,
            "multiplex": 1,
            "peers": False,
            "probing": True,
            "retry_after": True,
            "second_copies": True,
        },
        "load_info": {"fields": ["inflight", "queue", "util"], "via": "answers"},
        "obligations": {
            "cold": 23_000 * MS,
            "cold_from": 0.12,
            "drain_grace": 250 * MS,
            "fall": 1_500 * MS,
            "fall_multiple": 3.0,
            "grace_to_answer": 5 * MS,
            "must_ask_in": 10_000 * MS,
        },
        "tariffs": {"cross_zone": 0.005, "late_fail": 0.05, "probe": 0.002, "waste": 0.073},
        "blend": {"whole": 0.45, "worst_class": 0.3, "worst_tenant": 0.1, "worst_window": 0.15},
    }


def curitiba(instances: int, ordinal: int = 0) -> dict[str, Any]:
    """Return the settings of curitiba-inspecao."""
    settings = cascade(instances, ordinal)
    del settings["tenants"]
    settings["limits"] |= {
        "cpu_us_per_s": 100_000,
        "dial_timeout": 150 * MS,
        "most_postings": 5,
        "peers": True,
        "retry_after": False,
        "second_copies": False,
    }
    settings["obligations"] |= {"cold": 24_000 * MS, "drain_grace": 2_000 * MS, "fall": 1_000 * MS}
    return settings | {
        "service_type": "mesh",
        "step": 5 * MS,
        "tiers": ["verificadores"],
        "kinds": ["rapida", "padrao", "antiga"],
        "zones": ["curitiba", "porto-alegre"],
        "weight_kind": "nominal",
        "client_habits": {"marks_retry": False},
        "schemes": [
            request_class("linha-ativa", "retryable", 300, 1000, 5.0),
            request_class("lote-atual", "retryable", 400, 1000, 3.0),
            request_class("reanalise", "retryable", 500, 2000, 2.0),
            request_class("auditoria", "retryable", 750, 4000, 1.0),
        ],
        "load_info": {"fields": ["inflight", "util"], "via": "probe"},
        "tariffs": {"cross_zone": 0.012, "late_fail": 0.042, "peer": 0.0095, "probe": 0.002, "waste": 0.14},
        "blend": {"whole": 0.35, "worst_class": 0.2, "worst_window": 0.45},
    }
