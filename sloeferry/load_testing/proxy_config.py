"""Configuration files of the proxies under load, in the form that the platform writes."""

import json
import pathlib
from collections.abc import Sequence
from typing import Any

from sloeferry.load_testing.plan import LoadPlan, RequestClassLoad
from sloeferry.stand_ins import platform
from sloeferry.stand_ins.backend_list import make_backend_entry
from sloeferry.stand_ins.wire_protocol import BackendState, RequestKind

DEDUPLICATION_WINDOW_MS = 30_000
ZONE = "a"
MACHINE_KIND = "m"
WARM_UP_SECONDS = 23.0
WARM_UP_INITIAL_RATIO = 0.12  # ratio of its full capacity that a backend has when it starts


def proxy_settings(plan: LoadPlan, ordinal: int, proxy_count: int) -> dict[str, Any]:
    """Return the platform's settings for the request classes and tenants of a plan."""
    return platform.proxy_settings(
        [_class_settings(each) for each in plan.request_classes],
        plan.tenants,
        instance_count=proxy_count,
        ordinal=ordinal,
        zones=[ZONE],
        machine_kinds=[MACHINE_KIND],
        obligations=platform.ObligationTerms(slow_start_seconds=WARM_UP_SECONDS, slow_start_initial_ratio=WARM_UP_INITIAL_RATIO),
    )


def _class_settings(request_class: RequestClassLoad) -> dict[str, Any]:
    return platform.request_class_settings(
        request_class.name,
        RequestKind.DEDUPLICATED if request_class.has_idempotency_key else RequestKind.IDEMPOTENT,
        request_class.latency_objective_ms,
        request_class.deadline_ms,
        request_class.priority_weight,
        deduplication_window_ms=DEDUPLICATION_WINDOW_MS,
    )


def write_proxy_config(
    path: pathlib.Path,
    name: str,
    listen: tuple[str, int],
    discovery: tuple[str, int],
    settings: dict[str, Any],
    *,
    seed: int,
    socket_limit: int,
    memory_mb: int,
    cores: float = 1.0,
    admin: tuple[str, int] | None = None,
) -> None:
    """Write the configuration file of one proxy."""
    config = platform.instance_config(
        name, listen, discovery, settings, seed=seed, max_sockets=socket_limit, memory_mb=memory_mb, cores=cores, admin=admin
    )
    path.write_text(json.dumps(config))


def endpoint_document(addresses: Sequence[tuple[str, int]]) -> dict[str, Any]:
    """Return discovery's endpoint list of backends that are all ready."""
    members = [
        make_backend_entry(f"b{index}", address, ZONE, MACHINE_KIND, BackendState.READY, 0)
        for index, address in enumerate(addresses)
    ]
    return {"revision": 1, "complete": True, "members": members}
