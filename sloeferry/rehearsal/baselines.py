"""Other ways to choose an endpoint, to measure the design against; for rehearsals alone.

Each takes the place of `EndpointSelector.choose` of a proxy: which endpoints may be chosen, the safety rules and all that is
done about failures stay as they are.
"""

from collections.abc import Collection, Sequence

from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.policy.endpoint_selection import NO_CHOICE, Choice
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.policy import Policy
from sloeferry.policy.requests import Request

DESIGN = "design"
POLICIES = (DESIGN, "random", "round-robin", "least-own", "best-of-two")
MIN_PROBABILITY = 0.2  # so that a baseline's choice is sent


def install_baseline(dispatcher: Dispatcher, name: str) -> None:
    """Has this proxy choose so; the design needs nothing."""
    if name != DESIGN:
        dispatcher.policy.selector.choose = BaselineSelector(dispatcher.policy, name).choose


class BaselineSelector:
    """One of the other ways."""

    def __init__(self, policy: Policy, name: str):
        self._policy = policy
        self._turn = 0
        self._pick = getattr(self, "_" + name.replace("-", "_"))

    def choose(self, request: Request, now: float, excluded: Collection[Endpoint] = ()) -> Choice:
        """As `EndpointSelector.choose`."""
        policy, rules, work_ms = self._policy, self._policy.rules, request.request_class.typical_latency_ms()
        policy.candidates.refresh(now)
        fit = [
            endpoint
            for endpoint in policy.table.ready
            if endpoint.endpoint_id not in policy.candidates.ejected_endpoint_ids
            and rules.is_list_usable(now)
            and endpoint not in excluded
            and rules.would_deduplicate(request, endpoint)
            and policy.slow_start.may_send(endpoint, now, work_ms)
        ]
        if not fit:
            return NO_CHOICE
        endpoint = self._pick(fit, now)
        latency = policy.latency
        expected_ms = work_ms * latency.slowdown(endpoint, now) * latency.level_slowdowns[0]
        odds = latency.spread.fraction_below((request.objective_at - now) / expected_ms)
        return Choice(endpoint, max(MIN_PROBABILITY, odds), expected_ms)

    def _random(self, fit: Sequence[Endpoint], now: float) -> Endpoint:
        return self._policy.rng.choice(fit)

    def _round_robin(self, fit: Sequence[Endpoint], now: float) -> Endpoint:
        self._turn += 1
        return fit[self._turn % len(fit)]

    def _least_own(self, fit: Sequence[Endpoint], now: float) -> Endpoint:
        least = min(endpoint.own_in_flight for endpoint in fit)
        return self._policy.rng.choice([endpoint for endpoint in fit if endpoint.own_in_flight == least])

    def _best_of_two(self, fit: Sequence[Endpoint], now: float) -> Endpoint:
        two = self._policy.rng.sample(fit, min(2, len(fit)))
        return min(two, key=lambda endpoint: self._policy.load.estimate(endpoint, now))
