"""What all drawn plans draw in one way: when a fault strikes, which one strikes a link, which troubles nodes have."""

from random import Random

FILES = ["whole", "cut", "stale", "swapped", "missing"]  # what a process finds of its settings at SIGHUP
TROUBLES = [
    {"what": "crash", "at": 3.0, "lasts": 1.5, "part": 0.3},
    {"what": "silent", "at": 2.0, "lasts": 2.0, "part": 0.2},
    {"what": "errs", "at": 2.0, "lasts": 3.0, "part": 0.3, "odds": 0.4},
    {"what": "stall", "at": 1.0, "lasts": 5.0, "part": 0.4, "ms": 400, "every_ms": 900},
]


class FaultDrawer:
    """Draws the faults of one plan.  `seconds` is its length; `parts` are the parts of the proxies that may be struck."""

    def __init__(self, rng: Random, seconds: float, parts: list[float]):
        self.rng, self.seconds, self.parts = rng, seconds, parts

    def when(self, longest: float, **more) -> dict:
        """A fault that lasts for at most so many seconds, with the fields `more`."""
        lasts = round(self.rng.uniform(0.5, longest), 2)
        at = round(self.rng.uniform(0.5, self.seconds - lasts - 0.5), 2)
        return {"at": at, "lasts": lasts, "part": self.rng.choice(self.parts), **more}

    def link(self, between: str) -> dict:
        """A fault of the links between proxies and `between`."""
        kind = self.rng.choice(["hold", "delay", "cut", "half-open", "break"])
        more = {}
        if kind in ("hold", "break"):
            more["way"] = self.rng.choice(["there", "back"])
        if kind == "break":
            more["bytes"] = self.rng.choice([0, 40, 300, 900])
        elif kind == "delay":
            more["ms"] = self.rng.choice([5, 60])
        return self.when(2.5, what=kind, between=between, nodes=self.rng.choice([0.2, 0.6]), **more)
