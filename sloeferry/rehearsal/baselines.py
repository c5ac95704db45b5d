"""Implements baseline policies for endpoint selection, with which rehearsals compare the policy of the proxy.

Each one replaces `EndpointSelector.choose` of a proxy.  The endpoints that may be chosen, the safety rules and the handling of
failures stay the same.
"""

from collections.abc import Collection, Sequence

from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.policy.endpoint_selection import NO_CHOICE, Choice
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.policy import Policy
from sloeferry.policy.requests import Request

DESIGN = "design"  # the policy of the proxy itself, without a baseline
POLICIES = (DESIGN, "random", "round-robin", "least-own", "best-of-two")
MIN_PROBABILITY = 0.2  # high enough for an attempt to be sent to the endpoint that a baseline chooses


def install_baseline(dispatcher: Dispatcher, name: str) -> None:
    """Replace the endpoint selection of a proxy by a baseline; for DESIGN, leave it as it is."""
    if name != DESIGN:
        dispatcher.policy.selector.choose = BaselineSelector(dispatcher.policy, name).choose


class BaselineSelector:
    """Selects endpoints by one of the baseline policies."""

    def __init__(self, policy: Policy, name: str):
        self._policy = policy
        self._round_robin_index = 0
        self._pick_endpoint = getattr(self, "_" + name.replace("-", "_"))

    def choose(self, request: Request, now: float, excluded: Collection[Endpoint] = ()) -> Choice:
        """Choose an endpoint, with the interface of `EndpointSelector.choose`."""
        policy, rules, work_ms = self._policy, self._policy.rules, request.request_class.typical_latency_ms()
        policy.candidates.refresh(now)
        eligible = [
            endpoint
            for endpoint in policy.table.ready
            if endpoint.endpoint_id not in policy.candidates.ejected_endpoint_ids
            and rules.is_list_usable(now)
            and endpoint not in excluded
            and rules.would_deduplicate(request, endpoint)
            and policy.slow_start.may_send(endpoint, now, work_ms)
        ]
        if not eligible:
            return NO_CHOICE
        endpoint = self._pick_endpoint(eligible, now)
        latency = policy.latency
        expected_ms = work_ms * latency.slowdown(endpoint, now) * latency.level_slowdowns[0]
        probability = latency.spread.fraction_below((request.objective_at - now) / expected_ms)
        return Choice(endpoint, max(MIN_PROBABILITY, probability), expected_ms)

    def _random(self, eligible: Sequence[Endpoint], now: float) -> Endpoint:
        return self._policy.rng.choice(eligible)

    def _round_robin(self, eligible: Sequence[Endpoint], now: float) -> Endpoint:
        self._round_robin_index += 1
        return eligible[self._round_robin_index % len(eligible)]

    def _least_own(self, eligible: Sequence[Endpoint], now: float) -> Endpoint:
        least = min(endpoint.own_in_flight for endpoint in eligible)
        return self._policy.rng.choice([endpoint for endpoint in eligible if endpoint.own_in_flight == least])

    def _best_of_two(self, eligible: Sequence[Endpoint], now: float) -> Endpoint:
        sampled = self._policy.rng.sample(eligible, min(2, len(eligible)))
        return min(sampled, key=lambda endpoint: self._policy.load.estimate(endpoint, now))
