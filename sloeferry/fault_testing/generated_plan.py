"""The frame of a drawn plan, and how it is written as TOML."""

from dataclasses import dataclass

import msgspec

from sloeferry.fault_testing.fault_generator import PlanTable

WARM_UP_SECONDS = 4  # of backends that start cold
COLD_CAPACITY_RATIO = 0.2
# Endings come to proxies well before they count as notified, `deemed_s` of the plan's discovery.
DISCOVERY_SETTINGS = {"notice_s": 0.8, "silent_s": 1.5, "add_s": 0.3}
IDLE_TIMEOUTS_SECONDS = [1, 30]  # one of them: after so long backends close connections that nobody uses
IMPATIENT_CLIENT_RATIOS = [0, 0.1]


def request_classes(work_ms: int, pull_share: int, push_group: str, push_body_bytes: int) -> list[PlanTable]:
    """The three kinds of request that drawn plans know: idempotent, deduplicated by key, and non-idempotent."""
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
    """What drawn plans differ in.  `load_ratio`: of the backends' capacity, for as long as `max_requests_per_second` allows."""

    name: str
    seconds: float
    proxy_count: int
    backend_count: int
    cores_per_backend: int  # of a backend
    is_cold: bool  # whether backends that start have to warm up
    work_ms: int
    load_ratio: float
    max_requests_per_second: float
    client_count: int
    request_classes: list[PlanTable]
    faults: list[PlanTable]
    scenario_faults: list[PlanTable]
    idle_timeout_seconds: int
    impatient_client_ratio: float
    discovery_mode: str | None = None  # None: as plans have it by default

    def to_toml(self) -> str:
        """The plan file."""
        mode = {"mode": self.discovery_mode} if self.discovery_mode else {}
        tables = {
            "name": self.name,
            "about": "Drawn.",
            "seconds": self.seconds,
            "bank": {"proxies": self.proxy_count},
            "network": {"zones": ["a", "b"]},
            "nodes": [self._backend_table()],
            "scheme": self.request_classes,
            "callers": {
                "curve": [[self.seconds, self._requests_per_second()]],
                "clients": self.client_count,
                "impatient": self.impatient_client_ratio,
            },
            "discovery": {**DISCOVERY_SETTINGS, **mode},
            # Nothing is promised of service under what was drawn; a request may be lost only by what the judge excuses.
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
        }
