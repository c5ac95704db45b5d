"""Generator of the process faults and scenario faults of generated plans.

Each method draws from the plan's random number generator when it is called: the order of calls determines the plan.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from sloeferry.stand_ins.bad_clients import BadClientKind

PlanTable = dict[str, Any]  # one table of a plan file, by its TOML keys
FaultFactory = Callable[[], PlanTable]

SETTINGS_FILE_STATES = ["whole", "cut", "stale", "swapped", "missing"]  # state of the settings file at SIGHUP
SCENARIO_FAULTS: list[PlanTable] = [
    {"what": "crash", "at": 3.0, "lasts": 1.5, "part": 0.3},
    {"what": "silent", "at": 2.0, "lasts": 2.0, "part": 0.2},
    {"what": "errs", "at": 2.0, "lasts": 3.0, "part": 0.3, "odds": 0.4},
    {"what": "stall", "at": 1.0, "lasts": 5.0, "part": 0.4, "ms": 400, "every_ms": 900},
]
MIN_FAULT_SECONDS = 0.5
FAULT_FREE_EDGE_SECONDS = 0.5  # without process faults, at the beginning and at the end of a plan
MAX_LINK_FAULT_SECONDS = 2.5
MAX_BAD_CLIENT_SECONDS = 6.0
MIN_UPLOAD_SECONDS = 4.0  # during which uploads are begun


def rolling_deploy(lasts_seconds: float, drain_seconds: float) -> PlanTable:
    """Return the scenario fault that all generated plans have: 60 % of the backends are replaced, in batches."""
    return {"what": "deploy", "at": 1.0, "lasts": lasts_seconds, "part": 0.6, "batch": 0.15, "drain_s": drain_seconds}


class FaultGenerator:
    """A generator of the faults of a plan that lasts `plan_seconds`; `target_ratios` are the possible ratios of targets."""

    def __init__(self, rng: Random, plan_seconds: float, target_ratios: list[float]):
        self.rng = rng
        self._plan_seconds = plan_seconds
        self._target_ratios = target_ratios

    def fault(self, kind: str, max_seconds: float, **keys: Any) -> PlanTable:
        """Return a fault of that kind that lasts at most `max_seconds`, with the given TOML keys."""
        lasts = round(self.rng.uniform(MIN_FAULT_SECONDS, max_seconds), 2)
        at = round(self.rng.uniform(FAULT_FREE_EDGE_SECONDS, self._plan_seconds - lasts - FAULT_FREE_EDGE_SECONDS), 2)
        return {"at": at, "lasts": lasts, "part": self.rng.choice(self._target_ratios), "what": kind, **keys}

    def link_fault(self, between: str) -> PlanTable:
        """Return a fault of the links between proxies and `between`."""
        kind = self.rng.choice(["hold", "delay", "cut", "half-open", "break"])
        keys: PlanTable = {}
        if kind in ("hold", "break"):
            keys["way"] = self.rng.choice(["there", "back"])
        if kind == "break":
            keys["bytes"] = self.rng.choice([0, 40, 300, 900])
        elif kind == "delay":
            keys["ms"] = self.rng.choice([5, 60])
        backend_ratio = self.rng.choice([0.2, 0.6])
        return self.fault(kind, MAX_LINK_FAULT_SECONDS, between=between, nodes=backend_ratio, **keys)

    def reload(self, objective_ratios: list[float]) -> PlanTable:
        """Return a reload of new settings that may lose signals; with no ratios the latency objective stays the same."""
        keys: PlanTable = {"lost": self.rng.choice([0, 0.3])}
        if objective_ratios:
            keys["sla"] = self.rng.choice(objective_ratios)
        keys["file"] = self.rng.choice(SETTINGS_FILE_STATES)
        return self.fault("hup", 1, **keys)

    def clock_step(self, offsets_seconds: list[float]) -> PlanTable:
        """Return a fault that sets wall clocks off by one of those offsets."""
        return self.fault("clock", 1, by_s=self.rng.choice(offsets_seconds))

    def bad_clients(self) -> PlanTable:
        """Return a fault where clients of some kinds misuse the target proxies."""
        kinds = self.rng.sample(list(BadClientKind), self.rng.randint(2, 6))
        return self.fault(
            "bad-clients", MAX_BAD_CLIENT_SECONDS, kinds=[kind.value for kind in kinds], clients=self.rng.choice([10, 30, 60])
        )

    def uploads(self) -> PlanTable:
        """Return a fault where clients upload long bodies to the target proxies."""
        at = round(self.rng.uniform(FAULT_FREE_EDGE_SECONDS, self._plan_seconds / 2), 2)
        lasts = round(self.rng.uniform(MIN_UPLOAD_SECONDS, self._plan_seconds - at - FAULT_FREE_EDGE_SECONDS), 2)
        part = self.rng.choice(self._target_ratios)
        return {"at": at, "lasts": lasts, "part": part, "what": "uploads", "clients": self.rng.choice([4, 8, 12])}

    def crowd(self, client_count: int = 400) -> PlanTable:
        """Return a fault where hundreds of clients connect to a few proxies and finish no request."""
        kinds = self.rng.choice([["silent"], ["silent", "short-fields"], ["silent", "half-request", "stopped-body"]])
        crowd = self.fault("bad-clients", MAX_BAD_CLIENT_SECONDS, kinds=kinds, clients=client_count)
        return {**crowd, "part": 0.1}

    def discovery_faults(self) -> list[FaultFactory]:
        """Return factories of faults where discovery is down, lags, restarts its revisions, or answers from an older replica."""
        return [
            lambda: self.fault("list-out", 2),
            lambda: self.fault("list-lag", 3),
            lambda: self.fault("list-anew", 1),
            lambda: self.fault("list-older", 2.5, by_s=self.rng.choice([1.0, 2.5])),
        ]

    def process_faults(self) -> list[FaultFactory]:
        """Return factories of faults where proxies are killed, stopped or terminated."""
        return [
            lambda: self.fault("kill", 2),
            lambda: self.fault("stop", 2),
            lambda: self.fault("term", 3),
        ]

    def link_faults(self) -> list[FaultFactory]:
        """Return factories of link faults; links to backends have twice the weight of links to clients."""
        return [
            lambda: self.link_fault("nodes"),
            lambda: self.link_fault("nodes"),
            lambda: self.link_fault("callers"),
        ]
