"""When endpoints are asked for their load or for a sign of life, and what that may cost."""

from random import Random

from sloeferry.config.settings import Settings
from sloeferry.policy.arrivals import ArrivalRate
from sloeferry.policy.endpoint_table import EndpointTable
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.interface import EndpointState, PolicyHost
from sloeferry.policy.load_reporting import LoadReporting
from sloeferry.policy.timers import Timers

# Of the mean weight of a request: what health checks that go round may cost for each.
ROUND_COST = 0.005
CHECK_INTERVAL_MS = 1000.0  # between two health checks of an endpoint, where they go round
MIN_INTERVAL_RATIO = 1 / 5  # of that, where health checks are cheap
MAX_CHECKS_OUT = 3  # at one endpoint


class HealthChecks:
    """Sends health checks, and goes round the endpoints that need one."""

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
        self._is_going_round = False

    def start(self, now: float) -> None:
        """The first endpoints are known: from now on health checks go round."""
        if self._reporting.may_health_check and not self._is_going_round:
            self._is_going_round = True
            self._timers.schedule(now + self._rng.random() * CHECK_INTERVAL_MS, self._next_round, 0)

    def send(self, endpoint: Endpoint, now: float) -> None:
        """Checks that endpoint, unless enough checks are out there."""
        is_ready = endpoint.state is EndpointState.READY
        if is_ready and self._reporting.may_health_check and len(endpoint.health_checks_in_flight) < MAX_CHECKS_OUT:
            endpoint.health_checks_in_flight.append(now)
            self._table.activate(endpoint)
            self._host.send_health_check(endpoint.endpoint_id)

    def _next_round(self, now: float, turn: int) -> None:
        """Checks each endpoint that failed; where only health checks bring reports, each ready one in its turn.

        There each is checked once a second, more often where that costs no more than `ROUND_COST`.
        """
        interval_ms = CHECK_INTERVAL_MS
        if self._reporting.comes_with_health_checks:
            ready = self._table.ready
            affordable_ms = len(ready) * self._cost / ROUND_COST * self._arrivals.mean_gap_ms
            interval_ms = min(interval_ms, max(interval_ms * MIN_INTERVAL_RATIO, affordable_ms))
            interval_ms /= max(1, len(ready))
            due = [ready[turn % len(ready)]] if ready else []
        else:
            active = self._table.active.values()
            due = [each for each in active if each.consecutive_failures or each.health_checks_in_flight]
        # One timer for all: with one for each endpoint, hundreds of proxies do little else.
        self._timers.schedule(now + interval_ms, self._next_round, turn + 1)
        for endpoint in due:
            self.send(endpoint, now)


class HealthCheckBudget:
    """How many health checks may be sent on behalf of requests, before an endpoint is chosen."""

    MAX_SAVED_REQUESTS = 8.0  # requests whose allowance may be saved up

    def __init__(self, reporting: LoadReporting):
        self.per_request = reporting.health_checks_per_request
        self._balance = 0.0

    def earn(self) -> None:
        """Earns the allowance of one request."""
        self._balance = min(self._balance + self.per_request, self.MAX_SAVED_REQUESTS * self.per_request)

    def refund(self, checks: int) -> None:
        """Adds what a request need not spend, since an endpoint is known to be idle."""
        self._balance += checks

    def may_spend(self) -> bool:
        """Whether there is one left."""
        return self._balance >= 1

    def spend(self) -> None:
        """One is sent."""
        self._balance -= 1
