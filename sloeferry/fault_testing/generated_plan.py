"""The parameters of a generated plan, and its form as TOML."""

from dataclasses import dataclass

import msgspec

from sloeferry.fault_testing.fault_generator import PlanTable

WARM_UP_SECONDS = 4  # of backends that start cold, at first with COLD_CAPACITY_RATIO of their capacity
COLD_CAPACITY_RATIO = 0.2
# Proxies are notified of ended backends well before they count as notified, which is after `deemed_s` of the discovery table.
DISCOVERY_SETTINGS = {"notice_s": 0.8, "silent_s": 1.5, "add_s": 0.3}
IDLE_TIMEOUTS_SECONDS = [1, 30]  # after which backends close idle connections
IMPATIENT_CLIENT_RATIOS = [0, 0.1]


def request_classes(work_ms: int, pull_share: int, push_group: str, push_body_bytes: int) -> list[PlanTable]:
    """Return three request classes: idempotent, deduplicated by idempotency key, and non-idempotent."""
    return [
        {"name": "pull", "share": pull_share, "work_ms": work_ms},
        {
            "name": "push",
            "kind": "referenced",
            "group": push_group,
            "window_ms": 10000,
            "work_ms": work_ms,
            "body": push_body_bytes,
        },
        {"name": "page", "kind": "once-only", "work_ms": work_ms, "gain": 2, "body": 100},
    ]


@dataclass(frozen=True, slots=True)
class GeneratedPlan:
    """The parameters in which generated plans differ.

    The request rate is `load_ratio` of the backends' capacity, limited to `max_requests_per_second`.
    """

    name: str
    seconds: float
    proxy_count: int
    backend_count: int
    cores_per_backend: int
    is_cold: bool  # backends need a warm-up when they start
    work_ms: int
    load_ratio: float
    max_requests_per_second: float
    client_count: int
    request_classes: list[PlanTable]
    faults: list[PlanTable]
    scenario_faults: list[PlanTable]
    idle_timeout_seconds: int
    impatient_client_ratio: float
    discovery_mode: str | None = None  # None: the default of plans
    memory_mb: float | None = None  # of each proxy; None: the default of plans
    max_sockets: int | None = None
    proxy_buffer_bytes: int = 0  # of each socket; 0: the system's
    backend_buffer_bytes: int = 0

    def to_toml(self) -> str:
        """Return the text of the plan file."""
        limits = {} if self.memory_mb is None else {"memory_mb": self.memory_mb, "sockets": self.max_sockets}
        if self.proxy_buffer_bytes:
            limits["buffers"] = self.proxy_buffer_bytes
        mode = {"mode": self.discovery_mode} if self.discovery_mode else {}
        tables = {
            "name": self.name,
            "about": "Drawn.",
            "seconds": self.seconds,
            "bank": {"proxies": self.proxy_count, **limits},
            "network": {"zones": ["a", "b"]},
            "nodes": [self._backend_table()],
            "scheme": self.request_classes,
            "callers": {
                "curve": [[self.seconds, self._requests_per_second()]],
                "clients": self.client_count,
                "impatient": self.impatient_client_ratio,
            },
            "discovery": {**DISCOVERY_SETTINGS, **mode},
            # There is no [expect] table, so no minimum service; only requests that the judge exempts may be lost.
            "fault": sorted(self.faults, key=lambda fault: fault["at"]),
            "trouble": self.scenario_faults,
        }
        return msgspec.toml.encode(tables).decode()

    def _requests_per_second(self) -> float:
        capacity = self.load_ratio * self.backend_count * self.cores_per_backend * 1000 / self.work_ms
        return min(self.max_requests_per_second, capacity)

    def _backend_table(self) -> PlanTable:
        return {
            "count": self.backend_count,
            "cores": self.cores_per_backend,
            "cold_s": WARM_UP_SECONDS if self.is_cold else 0,
            "cold_from": COLD_CAPACITY_RATIO if self.is_cold else 1.0,
            "idle_s": self.idle_timeout_seconds,
            **({"buffers": self.backend_buffer_bytes} if self.backend_buffer_bytes else {}),
        }
