"""Figures of a load run, and the JSON record made of them."""

from dataclasses import dataclass
from typing import Any

from sloeferry.load_testing.outcomes import Outcome, OutcomeCounts


@dataclass(frozen=True)
class ProxyFigures:
    """Resource use of the proxies of a run.

    `cpu_ratio` is relative to one core per proxy; event-loop lag is measured from outside the process.
    """

    cpu_us_per_request: float
    cpu_us_per_request_in_time: float
    cpu_ratio: float
    memory_mb: float
    median_lag_ms: float
    p99_lag_ms: float
    undecided: int  # requests that a proxy answered because no decision came in time

    def as_json(self) -> dict[str, Any]:
        """Return the figures under the keys of the JSON record."""
        return {
            "cpu_us": self.cpu_us_per_request,
            "cpu_us_served": self.cpu_us_per_request_in_time,
            "cpu": self.cpu_ratio,
            "memory_mb": self.memory_mb,
            "lag_p50": self.median_lag_ms,
            "lag_p99": self.p99_lag_ms,
            "undecided": self.undecided,
        }


@dataclass(frozen=True)
class LoadFigures:
    """Figures of one run: rates per second over the measured interval, everything else over the whole run."""

    offered_per_second: float
    rates_per_second: dict[Outcome, float]
    counts: OutcomeCounts
    max_client_delay_ms: float  # largest delay of a request in the client process
    proxies: ProxyFigures | None  # None: the tool did not start the proxy
    backends: dict[str, int] | None = None  # counts under `served` (requests) and `twice` (attempts that ran a request again)

    @property
    def in_time_per_second(self) -> float:
        """Return the goodput."""
        return self.rates_per_second[Outcome.IN_TIME]

    @property
    def cpu_us_per_request(self) -> float | None:
        """Return the proxies' CPU time per request; None if it was not measured."""
        return self.proxies.cpu_us_per_request if self.proxies else None

    def as_json(self) -> dict[str, Any]:
        """Return the JSON record of the run."""
        return {
            "offered": self.offered_per_second,
            **{outcome.value: rate for outcome, rate in self.rates_per_second.items()},
            **self.counts.latency_ms(),
            "decline_p50": self.counts.median_rejection_ms(),
            "gain": self.counts.weight_ratio(),
            "tries": self.counts.attempts,
            "connections": self.counts.connections,
            "twice": self.counts.duplicate_answers,
            "late_callers_ms": self.max_client_delay_ms,
            **(self.proxies.as_json() if self.proxies else {}),
            **({} if self.backends is None else {"backends": self.backends}),
            "by_second": self.counts.by_second_as_json(),
        }


def figures_between(
    counts: OutcomeCounts,
    since_seconds: float,
    until_seconds: float,
    max_client_delay_ms: float = 0.0,
    proxies: ProxyFigures | None = None,
    backends: dict[str, int] | None = None,
) -> LoadFigures:
    """Return the figures of a run, with rates between two whole seconds."""
    span_seconds = max(1e-9, until_seconds - since_seconds)
    return LoadFigures(
        counts.offered(since_seconds, until_seconds) / span_seconds,
        {outcome: counts.total(outcome, since_seconds, until_seconds) / span_seconds for outcome in Outcome},
        counts,
        max_client_delay_ms,
        proxies,
        backends,
    )
