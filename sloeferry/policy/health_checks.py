"""Health checks: when endpoints are asked for their load or whether they respond, and the budget for it."""

from random import Random

from sloeferry.config.settings import Settings
from sloeferry.policy.arrivals import ArrivalRate
from sloeferry.policy.endpoint_table import EndpointTable
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.interface import EndpointState, PolicyHost
from sloeferry.policy.load_reporting import LoadReporting
from sloeferry.policy.timers import Timers

# Cost of periodic health checks allowed per request, as a ratio of the mean request weight.
PERIODIC_CHECK_COST_RATIO = 0.005
CHECK_INTERVAL_MS = 1000.0  # between two periodic health checks of an endpoint
MIN_INTERVAL_RATIO = 1 / 5  # of the interval, where health checks are cheap
MAX_CHECKS_IN_FLIGHT = 3  # per endpoint


class HealthChecks:
    """Sends health checks on demand, and periodically to the endpoints that need them."""

    def __init__(
        self,
        settings: Settings,
        host: PolicyHost,
        timers: Timers,
        table: EndpointTable,
        arrivals: ArrivalRate,
        reporting: LoadReporting,
        rng: Random,
    ):
        self._host = host
        self._timers = timers
        self._table = table
        self._arrivals = arrivals
        self._reporting = reporting
        self._rng = rng
        self._cost = settings.costs.health_check
        self._has_started = False

    def start(self, now: float) -> None:
        """Start the periodic health checks once the first endpoints are known."""
        if self._reporting.may_health_check and not self._has_started:
            self._has_started = True
            self._timers.schedule(now + self._rng.random() * CHECK_INTERVAL_MS, self._check_periodically, 0)

    def send(self, endpoint: Endpoint, now: float) -> None:
        """Send a health check to a ready endpoint, unless enough of its health checks are in flight."""
        is_ready = endpoint.state is EndpointState.READY
        if is_ready and self._reporting.may_health_check and len(endpoint.health_checks_in_flight) < MAX_CHECKS_IN_FLIGHT:
            endpoint.health_checks_in_flight.append(now)
            self._table.activate(endpoint)
            self._host.send_health_check(endpoint.endpoint_id)

    def _check_periodically(self, now: float, turn: int) -> None:
        """Check each endpoint that failed or has an unanswered health check.

        Where only health checks bring load reports, check the next ready endpoint in turn instead: each endpoint is then
        checked once a second, or more often as far as `PERIODIC_CHECK_COST_RATIO` allows.
        """
        interval_ms = CHECK_INTERVAL_MS
        if self._reporting.reports_only_with_health_checks:
            ready = self._table.ready
            affordable_ms = len(ready) * self._cost / PERIODIC_CHECK_COST_RATIO * self._arrivals.mean_gap_ms
            interval_ms = min(interval_ms, max(interval_ms * MIN_INTERVAL_RATIO, affordable_ms))
            interval_ms /= max(1, len(ready))
            due = [ready[turn % len(ready)]] if ready else []
        else:
            active = self._table.active.values()
            due = [each for each in active if each.consecutive_failures or each.health_checks_in_flight]
        # One timer for all endpoints: with one per endpoint, hundreds of proxies do little else than fire timers.
        self._timers.schedule(now + interval_ms, self._check_periodically, turn + 1)
        for endpoint in due:
            self.send(endpoint, now)


class HealthCheckBudget:
    """Token bucket for the health checks that are sent for a request before its endpoint is chosen."""

    MAX_SAVED_REQUESTS = 8.0  # bucket size, in requests

    def __init__(self, reporting: LoadReporting):
        self.per_request = reporting.health_checks_per_request
        self._tokens = 0.0

    def earn(self) -> None:
        """Add the tokens of one request."""
        self._tokens = min(self._tokens + self.per_request, self.MAX_SAVED_REQUESTS * self.per_request)

    def refund(self, checks: int) -> None:
        """Credit the tokens of health checks that a request does not need because an endpoint is known to be idle."""
        self._tokens += checks

    def may_spend(self) -> bool:
        """Return whether a token is left."""
        return self._tokens >= 1

    def spend(self) -> None:
        """Take the token of one health check."""
        self._tokens -= 1
