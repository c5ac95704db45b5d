"""Reads the platform's settings; no other module spells their keys.

The platform writes settings as nested JSON (for a proxy) or as lines of `path=value` (for the bench's adapter), with times in
microseconds.  Both are flattened to a map of dotted keys with times in milliseconds.  `build_settings` validates that map, fills
in the defaults and returns `Settings`.
"""

import math
import sys
from collections.abc import Iterator, Mapping
from typing import Any

from sloeferry.config.errors import ConfigError
from sloeferry.config.settings import (
    CostSettings,
    DeduplicationGroup,
    Idempotency,
    LimitSettings,
    LoadReportSettings,
    ObligationSettings,
    RequestClassSettings,
    Settings,
    TenantSettings,
)

MICROSECONDS_PER_MS = 1000

# Keys (the last part of a path) whose values the platform gives in microseconds.
TIME_KEYS = {
    "expiry",
    "sla_time",
    "dedup_window",
    "conn_idle",
    "dial_timeout",
    "max_retry_after",
    "cold",
    "drain_grace",
    "fall",
    "grace_to_answer",
    "must_ask_in",
    "step",
}
# Values of settings that the platform leaves out; a given value must have the type of its default.
DEFAULTS = {
    "discovery": "automatic",
    "gain_per": "request",
    "instances": 1,
    "kinds": "",
    "ordinal": 0,
    "step": 1.0,
    "tenants.count": 0,
    "zone": 0,
    "zones": "",
    "blend.log_loss_part": 0.0,
    "blend.nines_wanted": 3.0,
    "family_info.warm_keys": False,
    "limits.cancel": False,
    "limits.conn_idle": 10000.0,
    "limits.dial_timeout": 250.0,
    "limits.most_postings": 1,
    "limits.probing": False,
    "limits.retry_after": False,
    "limits.second_copies": False,
    "load_info.fields": "",
    "load_info.via": "none",
    "obligations.cold": 0.0,
    "obligations.cold_from": 1.0,
    "obligations.fall": 1000.0,
    "obligations.fall_multiple": 1.0,
    "obligations.drain_grace": 250.0,
    "obligations.must_ask_in": 10000.0,
    "obligations.only_draining_binds": False,
    "tariffs.cross_zone": 0.0,
    "tariffs.probe": 0.0,
}
# Defaults for each request class; the latency objective defaults to the class's deadline.
REQUEST_CLASS_DEFAULTS = {"dedup_window": 0.0, "expiry": 1000.0, "gain": 1.0, "group": "all", "idempotency": ""}
# The settings `blend`, `grace_to_answer` and `max_retry_after` are unused here, but validated and kept for the canonical map.
POSITIVE_KEYS = {
    "expiry",
    "sla_time",
    "conn_idle",
    "dial_timeout",
    "must_ask_in",
    "fall",
    "step",
    "instances",
    "most_postings",
    "cold_from",
    "nines_wanted",
}
INTEGER_KEYS = {"most_postings", "count"}
IDEMPOTENCY_BY_KEY = {"retryable": Idempotency.IDEMPOTENT, "dedup": Idempotency.DEDUPLICATED}  # any other: non-idempotent
DEDUPLICATION_GROUP_BY_KEY = {"all": DeduplicationGroup.ALL, "zone": DeduplicationGroup.ZONE}  # any other: the cell


def decode_value(key: str, text: Any) -> Any:
    """Return a setting as a number, bool or text, with times in milliseconds; numbers that no float can hold as infinity."""
    if isinstance(text, str):
        if text in ("true", "false"):
            return text == "true"
        try:
            text = float(text)
        except ValueError:
            return text
    if isinstance(text, bool) or text is None:
        return text
    if abs(text) > sys.float_info.max:  # an integer of JSON may have any number of digits
        text = math.inf if text > 0 else -math.inf
    return text / MICROSECONDS_PER_MS if key.rpartition(".")[2] in TIME_KEYS else text


def flatten_lines(text: str) -> dict[str, Any]:
    """Return settings given as lines of `path=value` as a map of dotted keys."""
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return {key: decode_value(key, value) for key, _, value in pairs}


def flatten_tree(node: Any, path: str = "") -> dict[str, Any]:
    """Return settings given as nested JSON as a map of dotted keys; the key `.count` holds the length of a list of objects."""
    if isinstance(node, list) and not any(isinstance(item, (dict, list)) for item in node):
        node = ",".join(str(item) for item in node)
    if isinstance(node, (dict, list)):
        flat = {f"{path}.count": len(node)} if isinstance(node, list) else {}
        for name, below in node.items() if isinstance(node, dict) else enumerate(node):
            flat.update(flatten_tree(below, f"{path}.{name}" if path else str(name)))
        return flat
    if path.endswith(".name") or isinstance(node, str):  # JSON distinguishes numbers from text
        return {path: node}
    return {path: decode_value(path, node)}


# Validation


def _checked(key: str, value: Any, default: Any) -> Any:
    """Return a setting that has the type of its default; raise ConfigError otherwise."""
    name = key.rpartition(".")[2]
    if isinstance(default, str):
        return str(value)
    if isinstance(default, bool):
        if not isinstance(value, bool):
            raise ConfigError(f"settings.{key}", f"{value!r} is neither true nor false")
    elif isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value) or value < 0:
        raise ConfigError(f"settings.{key}", f"{value!r} is not a number from 0 up")
    elif not value and name in POSITIVE_KEYS:
        raise ConfigError(f"settings.{key}", "must be above 0")
    elif name in INTEGER_KEYS and value != int(value):
        raise ConfigError(f"settings.{key}", f"{value!r} is no whole number")
    return value


def _complete(flat: Mapping[str, Any]) -> dict[str, Any]:
    """Return the validated map of dotted keys, completed by defaults; raise ConfigError if a setting is invalid."""
    given = {key: value for key, value in flat.items() if value is not None}
    count = given.get("schemes.count")
    if isinstance(count, bool) or not isinstance(count, (int, float)) or count < 1:
        raise ConfigError("settings.schemes", "missing, or no list of one scheme or more")
    defaults = dict(DEFAULTS)
    for at in range(int(count)):
        defaults.update({f"schemes.{at}.{name}": default for name, default in REQUEST_CLASS_DEFAULTS.items()})
        deadline = f"schemes.{at}.expiry"
        defaults[f"schemes.{at}.sla_time"] = _checked(deadline, given.get(deadline, REQUEST_CLASS_DEFAULTS["expiry"]), 0.0)
    return given | {key: _checked(key, given.get(key, default), default) for key, default in defaults.items()}


def _quota_weight(flat: Mapping[str, Any], at: int) -> float:
    given = flat.get(f"tenants.{at}.share") or 1.0
    try:
        share = float(given)
    except (TypeError, ValueError):
        share = math.nan
    if not math.isfinite(share):
        raise ConfigError(f"settings.tenants.{at}.share", f"{given!r} is not a number")
    return share


def _request_classes(flat: Mapping[str, Any]) -> Iterator[RequestClassSettings]:
    for at in range(int(flat["schemes.count"])):
        key = f"schemes.{at}."
        yield RequestClassSettings(
            name=flat.get(key + "name"),
            idempotency=IDEMPOTENCY_BY_KEY.get(flat[key + "idempotency"], Idempotency.NON_IDEMPOTENT),
            deduplication_group=DEDUPLICATION_GROUP_BY_KEY.get(flat[key + "group"], DeduplicationGroup.CELL),
            deduplication_window_ms=flat[key + "dedup_window"],
            deadline_ms=flat[key + "expiry"],
            latency_objective_ms=flat[key + "sla_time"],
            priority_weight=flat[key + "gain"],
        )


def build_settings(flat: Mapping[str, Any]) -> Settings:
    """Return typed settings from a map of dotted keys with times in milliseconds; raise ConfigError if one is invalid."""
    flat = _complete(flat)
    tenants = range(int(flat["tenants.count"]))
    return Settings(
        request_classes=tuple(_request_classes(flat)),
        tenants=tuple(TenantSettings(flat.get(f"tenants.{at}.name"), _quota_weight(flat, at)) for at in tenants),
        limits=LimitSettings(
            max_attempts=int(flat["limits.most_postings"]),
            may_hedge=flat["limits.second_copies"],
            may_cancel=flat["limits.cancel"],
            may_health_check=flat["limits.probing"],
            sends_retry_after=flat["limits.retry_after"],
            idle_connection_ms=flat["limits.conn_idle"],
            connect_timeout_ms=flat["limits.dial_timeout"],
        ),
        obligations=ObligationSettings(
            slow_start_ms=flat["obligations.cold"],
            slow_start_initial_ratio=flat["obligations.cold_from"],
            warm_up_window_ms=flat["obligations.fall"],
            warm_up_overload_multiple=flat["obligations.fall_multiple"],
            drain_grace_ms=flat["obligations.drain_grace"],
            poll_within_ms=flat["obligations.must_ask_in"],
            may_use_unlisted_endpoints=flat["obligations.only_draining_binds"],
        ),
        load_reports=LoadReportSettings(tuple(flat["load_info.fields"].split(",")), flat["load_info.via"]),
        costs=CostSettings(cross_zone=flat["tariffs.cross_zone"], health_check=flat["tariffs.probe"]),
        discovery_mode=flat["discovery"],
        is_weight_per_work=flat["gain_per"] == "work",
        has_affinity_keys=flat["family_info.warm_keys"],
        instance_count=int(flat["instances"]),
        instance_index=int(flat["ordinal"]),
        tick_ms=flat["step"],
        zone=flat["zone"],
        zones=tuple(flat["zones"].split(",")),
        machine_kinds=tuple(flat["kinds"].split(",")),
        canonical=_canonical(flat),
    )


def _canonical(flat: Mapping[str, Any]) -> dict[str, Any]:
    """Return the complete map with the idempotency values that digests of all releases are computed from."""
    words = {"retryable": "repeatable", "dedup": "referenced"}
    keys = [f"schemes.{at}.idempotency" for at in range(int(flat["schemes.count"]))]
    return {**flat, **{key: words.get(flat[key], "once-only") for key in keys}}
