"""What is asked and when, drawn ahead from a seed: no I/O, no clock.

Arrivals are open-loop: none of them waits for an answer.  A curve is a list of (seconds, rate); within one
piece arrivals are Poisson, so that bursts come as chance has them.
"""

from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from random import Random

from sloeferry.errors import UsageError


class LoadPlanError(UsageError):
    """What was asked for can't be played; the text names the option."""


@dataclass(frozen=True)
class Tariff:
    """One scheme as callers use it.  Times in milliseconds; `share` of all txns; `body` in bytes."""

    name: str
    kind: str  # repeatable or referenced
    share: float
    gain: float
    sla: float
    expiry: float
    body: int = 0


SCHEMES = (Tariff("pull", "repeatable", 0.85, 1.0, 80.0, 400.0), Tariff("push", "referenced", 0.15, 2.0, 80.0, 400.0, 512))
TENANTS = (("grid-ops", 0.55), ("billing", 0.45))


@dataclass(frozen=True)
class Habits:
    """How callers behave.  `patience`: least and most part of the expiry that a try is given; `retries`: further
    tries at most; `backoff`: ms before one; `honour`: share of callers that keep to a Retry-After; `fresh`:
    share of txns on a connection of their own; `connections`: most at once, all workers together."""

    patience: tuple[float, float] = (0.7, 1.0)
    retries: int = 1
    backoff: float = 50.0
    honour: float = 1.0
    fresh: float = 0.0
    connections: int = 320
    refused: float = 0.0  # share of heads that no proxy takes


@dataclass(frozen=True)
class Plan:
    """One play: the curve in (seconds, txns a second), who asks and what."""

    curve: tuple[tuple[float, float], ...]
    seed: int = 1
    schemes: tuple[Tariff, ...] = SCHEMES
    tenants: tuple[tuple[str, float], ...] = TENANTS
    habits: Habits = field(default_factory=Habits)

    def seconds(self) -> float:
        return sum(length for length, _ in self.curve)

    def as_json(self) -> dict:
        return asdict(self)

    @classmethod
    def of_json(cls, told: dict) -> "Plan":
        habits = dict(told["habits"], patience=tuple(told["habits"]["patience"]))
        return cls(
            tuple(tuple(piece) for piece in told["curve"]),
            told["seed"],
            tuple(Tariff(**scheme) for scheme in told["schemes"]),
            tuple(tuple(tenant) for tenant in told["tenants"]),
            Habits(**habits),
        )

    def part(self, at: int, of: int) -> "Plan":
        """The share of one of several workers: sums of Poisson streams are one."""
        most = self.habits.connections
        habits = Habits(
            **dict(asdict(self.habits), patience=tuple(self.habits.patience), connections=max(1, most // of + (at < most % of)))
        )
        return Plan(
            tuple((length, rate / of) for length, rate in self.curve), self.seed * 1009 + at, self.schemes, self.tenants, habits
        )


def parse_curve(text: str) -> tuple[tuple[float, float], ...]:
    """A curve as typed: `2:500,1:1500` is two seconds of 500 txns a second and one of 1500."""
    pieces = []
    for piece in text.split(","):
        length, _, rate = piece.partition(":")
        try:
            pieces.append((float(length), float(rate)))
        except ValueError:
            raise LoadPlanError(f"--curve: {piece!r} is not of the form seconds:rate") from None
        if not (0 < pieces[-1][0] <= 3600 and 0 <= pieces[-1][1] <= 1e6):
            raise LoadPlanError(f"--curve: {piece!r} has no length, or a rate that can't be played")
    return tuple(pieces)


@dataclass(slots=True)
class Arrival:
    """One txn to ask for: when (seconds from the start), what, and with how much patience (ms)."""

    at: float
    number: int
    scheme: int
    tenant: int
    patience: float
    fresh: bool
    refused: bool


def arrivals(plan: Plan) -> Iterator[Arrival]:
    """All arrivals of a plan in their order; the same ones for the same plan, whatever is answered."""
    rng, begun, number = Random(plan.seed), 0.0, 0
    shares = [scheme.share for scheme in plan.schemes]
    tenants = [share for _, share in plan.tenants]
    low, high = plan.habits.patience
    for length, rate in plan.curve:
        at = begun
        while rate and (at := at + rng.expovariate(rate)) < begun + length:
            scheme = rng.choices(range(len(shares)), shares)[0]
            yield Arrival(
                at,
                number,
                scheme,
                rng.choices(range(len(tenants)), tenants)[0],
                plan.schemes[scheme].expiry * rng.uniform(low, high),
                rng.random() < plan.habits.fresh,
                rng.random() < plan.habits.refused,
            )
            number += 1
        begun += length
