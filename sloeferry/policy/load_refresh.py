"""Asks the endpoints that look least loaded for their load, as far as the budget goes."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.health_checks import HealthCheckBudget, HealthChecks
from sloeferry.policy.models import Models

ASKED_TOGETHER = 3
IDLE_RANK = 0.5  # an endpoint ranked lower is idle


class PendingReport(NamedTuple):
    """An endpoint that was asked, and when."""

    endpoint: Endpoint
    asked_at: float

    def is_outstanding(self) -> bool:
        """Whether its answer is still out."""
        sent = self.endpoint.health_checks_in_flight
        return bool(sent) and sent[0] <= self.asked_at


class LoadRefresher:
    """Sends health checks for the sake of the requests that are about to be sent."""

    def __init__(self, models: Models, health_checks: HealthChecks, rng: Random):
        self._candidates = models.candidates
        self._load = models.load
        self._health_checks = health_checks
        self.budget = HealthCheckBudget(models.reporting)
        self._check_timeout_ms = models.check_timeout_ms
        self._rng = rng

    def refresh(self, now: float) -> Sequence[PendingReport]:
        """Asks those that look least loaded, unless one just heard of is idle; the reports that are to be waited for."""
        candidates = self._candidates.refresh(now) if self.budget.may_spend() else ()
        # Of the unheard, those that warm up count for as much as others: asked first, they would get the whole budget.
        ranked = [(self._load.current_rank(endpoint, now), endpoint) for endpoint in candidates]
        if any(self._is_fresh(endpoint, now) and rank < IDLE_RANK for rank, endpoint in ranked):
            self.budget.refund(ASKED_TOGETHER)  # saved for later requests, whatever this one has spent
            return ()
        in_order = sorted((rank, self._rng.random(), endpoint) for rank, endpoint in ranked)
        lowest = [endpoint for _, _, endpoint in in_order if not self._is_fresh(endpoint, now)][:ASKED_TOGETHER]
        for endpoint in lowest:
            if not endpoint.health_checks_in_flight and self.budget.may_spend():
                self.budget.spend()
                self._health_checks.send(endpoint, now)
        return [PendingReport(endpoint, now) for endpoint in lowest if endpoint.health_checks_in_flight]

    def _is_fresh(self, endpoint: Endpoint, now: float) -> bool:
        return now - endpoint.reported_at <= self._check_timeout_ms
