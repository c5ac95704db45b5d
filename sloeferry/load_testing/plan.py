"""Load plans: the requests of a run and their times, generated from a seed; free of I/O and clocks.

Arrivals are open-loop: none waits for a response.  Within a piece of the curve they form a Poisson process, so that bursts
occur at random.
"""

from collections.abc import Iterator
from dataclasses import asdict, dataclass, field, replace
from random import Random
from typing import Any, NamedTuple

from sloeferry.errors import UsageError

MAX_PIECE_SECONDS = 3600
MAX_RATE_PER_SECOND = 1e6
# Keeps workers' seeds distinct from one another and from those of plans with other seeds.
SEEDS_PER_PLAN = 1009


class LoadPlanError(UsageError):
    """Raised when a load cannot be run; the message names the option."""


class CurvePiece(NamedTuple):
    """An interval of constant load."""

    seconds: float
    rate_per_second: float


class TenantShare(NamedTuple):
    """A tenant and its share of all requests."""

    name: str
    share: float


@dataclass(frozen=True)
class RequestClassLoad:
    """A request class as clients use it; `share` is its share of all requests."""

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
    """The behaviour of clients.

    `patience_ratio`: smallest and largest ratio of the class's deadline that a request is given; `retry_after_ratio`: ratio
    of rejections whose Retry-After is honoured; `new_connection_ratio`: ratio of requests that use a new connection;
    `max_connections`: open at once, over all workers; `invalid_ratio`: ratio of requests that every proxy refuses.
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
    """The load of one run: its curve, request classes, tenants and client behaviour."""

    curve: tuple[CurvePiece, ...]
    seed: int = 1
    request_classes: tuple[RequestClassLoad, ...] = REQUEST_CLASSES
    tenants: tuple[TenantShare, ...] = TENANTS
    clients: ClientProfile = field(default_factory=ClientProfile)

    def duration_seconds(self) -> float:
        """Return the duration of the curve."""
        return sum(piece_seconds for piece_seconds, _ in self.curve)

    def as_json(self) -> dict[str, Any]:
        """Return the JSON form that worker processes read."""
        return asdict(self)

    @classmethod
    def from_json(cls, document: dict[str, Any]) -> "LoadPlan":
        """Return the plan of a document written by `as_json`."""
        clients = document["clients"]
        return cls(
            tuple(CurvePiece(*piece) for piece in document["curve"]),
            document["seed"],
            tuple(RequestClassLoad(**request_class) for request_class in document["request_classes"]),
            tuple(TenantShare(*tenant) for tenant in document["tenants"]),
            ClientProfile(**clients | {"patience_ratio": tuple(clients["patience_ratio"])}),
        )

    def for_worker(self, worker: int, worker_count: int) -> "LoadPlan":
        """Return one worker's part of the plan: the sum of independent Poisson processes is a Poisson process."""
        connections, remainder = divmod(self.clients.max_connections, worker_count)
        connections += worker < remainder
        return replace(
            self,
            curve=tuple(CurvePiece(piece_seconds, rate / worker_count) for piece_seconds, rate in self.curve),
            seed=self.seed * SEEDS_PER_PLAN + worker,
            clients=replace(self.clients, max_connections=max(1, connections)),
        )


def parse_curve(text: str) -> tuple[CurvePiece, ...]:
    """Parse a curve: `2:500,1:1500` is two seconds at 500 requests per second and one at 1500.  Raises LoadPlanError."""
    pieces = []
    for piece_text in text.split(","):
        seconds, _, rate = piece_text.partition(":")
        try:
            piece = CurvePiece(float(seconds), float(rate))
        except ValueError:
            raise LoadPlanError(f"--curve: {piece_text!r} is not of the form seconds:rate") from None
        if not (0 < piece.seconds <= MAX_PIECE_SECONDS and 0 <= piece.rate_per_second <= MAX_RATE_PER_SECOND):
            raise LoadPlanError(
                f"--curve: {piece_text!r} needs a duration above 0 and up to an hour, and a rate of 0 to a million per second"
            )
        pieces.append(piece)
    return tuple(pieces)


@dataclass(slots=True)
class Arrival:
    """A request to send, `at_seconds` after the start of the run."""

    at_seconds: float
    number: int
    class_index: int
    tenant_index: int
    patience_ms: float
    wants_new_connection: bool
    is_invalid: bool


def arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Yield the arrivals of a plan in order; they depend only on the plan, not on any response."""
    rng = Random(plan.seed)
    number = 0
    piece_start_seconds = 0.0
    class_shares = [request_class.share for request_class in plan.request_classes]
    tenant_shares = [share for _, share in plan.tenants]
    min_patience_ratio, max_patience_ratio = plan.clients.patience_ratio
    for piece_seconds, rate in plan.curve:
        at_seconds = piece_start_seconds
        while rate and (at_seconds := at_seconds + rng.expovariate(rate)) < piece_start_seconds + piece_seconds:
            class_index = rng.choices(range(len(class_shares)), class_shares)[0]
            yield Arrival(
                at_seconds,
                number,
                class_index,
                rng.choices(range(len(tenant_shares)), tenant_shares)[0],
                plan.request_classes[class_index].deadline_ms * rng.uniform(min_patience_ratio, max_patience_ratio),
                rng.random() < plan.clients.new_connection_ratio,
                rng.random() < plan.clients.invalid_ratio,
            )
            number += 1
        piece_start_seconds += piece_seconds
