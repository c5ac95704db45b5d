"""Requests load reports from the endpoints with the lowest estimates by health checks, within a budget."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.health_checks import HealthCheckBudget, HealthChecks
from sloeferry.policy.models import Models

CHECKS_PER_WAVE = 3  # health checks sent at once
IDLE_RANK = 0.5  # an endpoint ranked lower is idle


class PendingReport(NamedTuple):
    """An endpoint whose health check is awaited, and the time at which its report was requested."""

    endpoint: Endpoint
    requested_at: float

    def is_outstanding(self) -> bool:
        """Return whether the health check is still unanswered."""
        sent = self.endpoint.health_checks_in_flight
        return bool(sent) and sent[0] <= self.requested_at


class LoadRefresher:
    """Sends health checks to refresh load reports before requests are sent."""

    def __init__(self, models: Models, health_checks: HealthChecks, rng: Random):
        self._candidates = models.candidates
        self._load = models.load
        self._health_checks = health_checks
        self.budget = HealthCheckBudget(models.reporting)
        self._check_timeout_ms = models.check_timeout_ms
        self._rng = rng

    def refresh(self, now: float) -> Sequence[PendingReport]:
        """Send health checks to the endpoints of lowest rank and return the pending reports; none if one is known to be idle."""
        candidates = self._candidates.refresh(now) if self.budget.may_spend() else ()
        # Without a report, an endpoint that warms up ranks like others: given a better rank, it would use up the whole budget.
        ranked = [(self._load.current_rank(endpoint, now), endpoint) for endpoint in candidates]
        if any(self._is_fresh(endpoint, now) and rank < IDLE_RANK for rank, endpoint in ranked):
            self.budget.refund(CHECKS_PER_WAVE)  # saved for later requests, even if this one spent some
            return ()
        in_order = sorted((rank, self._rng.random(), endpoint) for rank, endpoint in ranked)
        lowest_ranked = [endpoint for _, _, endpoint in in_order if not self._is_fresh(endpoint, now)][:CHECKS_PER_WAVE]
        for endpoint in lowest_ranked:
            if not endpoint.health_checks_in_flight and self.budget.may_spend():
                self.budget.spend()
                self._health_checks.send(endpoint, now)
        return [PendingReport(endpoint, now) for endpoint in lowest_ranked if endpoint.health_checks_in_flight]

    def _is_fresh(self, endpoint: Endpoint, now: float) -> bool:
        return now - endpoint.reported_at <= self._check_timeout_ms
