"""Which requests are sent and when, drawn ahead from a seed; free of I/O and clocks.

Arrivals are open-loop: none of them waits for an answer.  Within one piece of a curve they are Poisson, so that bursts come
as chance has them.
"""

from collections.abc import Iterator
from dataclasses import asdict, dataclass, field, replace
from random import Random
from typing import Any, NamedTuple

from sloeferry.errors import UsageError

MAX_PIECE_SECONDS = 3600
MAX_RATE_PER_SECOND = 1e6
# Workers' seeds must differ from one another, and from those of a plan with another seed.
SEEDS_PER_PLAN = 1009


class LoadPlanError(UsageError):
    """A load that cannot be run; the text names the option."""


class CurvePiece(NamedTuple):
    """A span of constant load."""

    seconds: float
    rate_per_second: float


class TenantShare(NamedTuple):
    """A tenant, and its part of all requests."""

    name: str
    share: float


@dataclass(frozen=True)
class RequestClassLoad:
    """One request class as clients use it; `share` is its part of all requests."""

    name: str
    has_idempotency_key: bool
    share: float
    priority_weight: float
    latency_objective_ms: float
    deadline_ms: float
    body_bytes: int = 0


REQUEST_CLASSES = (
    RequestClassLoad("pull", False, 0.85, 1.0, 80.0, 400.0),
    RequestClassLoad("push", True, 0.15, 2.0, 80.0, 400.0, 512),
)
TENANTS = (TenantShare("grid-ops", 0.55), TenantShare("billing", 0.45))


@dataclass(frozen=True)
class ClientProfile:
    """How clients behave.

    `patience_ratio`: least and largest part of the deadline that a request is given; `retry_after_ratio`: part of the
    rejections whose Retry-After is kept to; `new_connection_ratio`: part of the requests on a connection of their own;
    `max_connections`: at once, all workers together; `invalid_ratio`: part of the requests that every proxy refuses.
    """

    patience_ratio: tuple[float, float] = (0.7, 1.0)
    max_retries: int = 1
    backoff_ms: float = 50.0
    retry_after_ratio: float = 1.0
    new_connection_ratio: float = 0.0
    max_connections: int = 320
    invalid_ratio: float = 0.0


@dataclass(frozen=True)
class LoadPlan:
    """The load of one run: the curve, what is asked, and by whom."""

    curve: tuple[CurvePiece, ...]
    seed: int = 1
    request_classes: tuple[RequestClassLoad, ...] = REQUEST_CLASSES
    tenants: tuple[TenantShare, ...] = TENANTS
    clients: ClientProfile = field(default_factory=ClientProfile)

    def duration_seconds(self) -> float:
        """The length of the curve."""
        return sum(length for length, _ in self.curve)

    def as_json(self) -> dict[str, Any]:
        """The form that workers read."""
        return asdict(self)

    @classmethod
    def from_json(cls, document: dict[str, Any]) -> "LoadPlan":
        """The plan that `as_json` wrote."""
        clients = document["clients"]
        return cls(
            tuple(CurvePiece(*piece) for piece in document["curve"]),
            document["seed"],
            tuple(RequestClassLoad(**request_class) for request_class in document["request_classes"]),
            tuple(TenantShare(*tenant) for tenant in document["tenants"]),
            ClientProfile(**clients | {"patience_ratio": tuple(clients["patience_ratio"])}),
        )

    def for_worker(self, worker: int, workers: int) -> "LoadPlan":
        """One worker's part: the sum of Poisson streams is one, too."""
        connections, remainder = divmod(self.clients.max_connections, workers)
        connections += worker < remainder
        return replace(
            self,
            curve=tuple(CurvePiece(length, rate / workers) for length, rate in self.curve),
            seed=self.seed * SEEDS_PER_PLAN + worker,
            clients=replace(self.clients, max_connections=max(1, connections)),
        )


def parse_curve(text: str) -> tuple[CurvePiece, ...]:
    """A curve as typed: `2:500,1:1500` is two seconds of 500 requests a second and one of 1500; raises LoadPlanError."""
    pieces = []
    for entry in text.split(","):
        seconds, _, rate = entry.partition(":")
        try:
            piece = CurvePiece(float(seconds), float(rate))
        except ValueError:
            raise LoadPlanError(f"--curve: {entry!r} is not of the form seconds:rate") from None
        if not (0 < piece.seconds <= MAX_PIECE_SECONDS and 0 <= piece.rate_per_second <= MAX_RATE_PER_SECOND):
            raise LoadPlanError(f"--curve: {entry!r} has no length, or a rate that can't be played")
        pieces.append(piece)
    return tuple(pieces)


@dataclass(slots=True)
class Arrival:
    """One request to send; `at_seconds` from the start."""

    at_seconds: float
    number: int
    class_index: int
    tenant_index: int
    patience_ms: float
    wants_new_connection: bool
    is_invalid: bool


def arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """All arrivals of a plan in their order; the same ones for the same plan, whatever is answered."""
    rng = Random(plan.seed)
    number = 0
    piece_began_at = 0.0
    class_shares = [request_class.share for request_class in plan.request_classes]
    tenant_shares = [share for _, share in plan.tenants]
    least_patience, largest_patience = plan.clients.patience_ratio
    for length, rate in plan.curve:
        at_seconds = piece_began_at
        while rate and (at_seconds := at_seconds + rng.expovariate(rate)) < piece_began_at + length:
            class_index = rng.choices(range(len(class_shares)), class_shares)[0]
            yield Arrival(
                at_seconds,
                number,
                class_index,
                rng.choices(range(len(tenant_shares)), tenant_shares)[0],
                plan.request_classes[class_index].deadline_ms * rng.uniform(least_patience, largest_patience),
                rng.random() < plan.clients.new_connection_ratio,
                rng.random() < plan.clients.invalid_ratio,
            )
            number += 1
        piece_began_at += length
