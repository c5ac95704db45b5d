"""Slow start: how much work an endpoint that warms up gets (safety rule 4).

Guards against all proxies together pushing over an endpoint that has just started, which shows as its crash or as rejections
from a cold endpoint.  It holds because each proxy keeps to its part of the endpoint's budget: no message is needed.
"""

from sloeferry.config.settings import Settings
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.fleet import FleetShare
from sloeferry.policy.load_reporting import LoadReporting

# Of its part of the budget, what a proxy uses: the rest is slack for work that takes longer than usual.
BUDGET_SHARE_USED = 0.85
FRESH_TICKS = 4  # a report that is so old may still be taken for the present


class SlowStart:
    """The slow-start budget of each endpoint, for this proxy."""

    def __init__(self, settings: Settings, fleet: FleetShare, reporting: LoadReporting):
        self._fleet = fleet
        self._is_report_age_unknown = reporting.is_report_age_unknown
        self._fresh_ms = FRESH_TICKS * settings.tick_ms
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Takes over how long endpoints warm up, and how much work pushes one over meanwhile."""
        obligations = settings.obligations
        self.duration_ms = obligations.slow_start_ms
        self._initial_ratio = obligations.slow_start_initial_ratio
        self._window_ms = obligations.warm_up_window_ms
        self._warm_up_overload_multiple = obligations.warm_up_overload_multiple

    def warm_up_fraction(self, endpoint: Endpoint, now: float) -> float:
        """The least part of its capacity that an endpoint has by now; 1 once it is warm."""
        age_ms = max(0.0, now - endpoint.started_at)
        if age_ms >= self.duration_ms:
            return 1.0
        return self._initial_ratio + (1 - self._initial_ratio) * age_ms / self.duration_ms

    def may_send(self, endpoint: Endpoint, now: float, work_ms: float) -> bool:
        """Whether this proxy may send so much work (ms) to the endpoint now."""
        fraction = self.warm_up_fraction(endpoint, now)
        if fraction == 1.0:
            return True
        budget = self._warm_up_overload_multiple * fraction
        # Of hundreds of proxies each one's part is far below one request.  A report just in speaks for all, for one attempt.
        if not self._has_sent_since_report(endpoint, now):
            in_flight = endpoint.others_in_flight + endpoint.own_in_flight + 1
            if in_flight * work_ms <= budget * self._window_ms / 2:
                return True
        # This proxy's part of one core: what a warm endpoint of more cores gets would push a cold one over.
        share_ms = BUDGET_SHARE_USED * self._window_ms / self._fleet.budget_divisor()
        span_ms = self._window_ms * max(1.0, work_ms / budget / share_ms)  # work over the budget waits longer for its turn
        sends = endpoint.recent_sends
        while sends and sends[0][0] <= now - span_ms:
            sends.popleft()
        # First attempts take turns, too, or those of all proxies together push over an endpoint that has just started.
        initial_share = self._warm_up_overload_multiple * self._initial_ratio * share_ms
        wait_ms = self._fleet.phase_ratio * self._window_ms * max(0.0, work_ms / initial_share - 1)
        if now < endpoint.started_at + wait_ms:
            return False
        return not sends or sum(work for _, work in sends) + work_ms <= budget * share_ms

    def record_send(self, endpoint: Endpoint, now: float, work_ms: float) -> None:
        """So much work was sent to the endpoint."""
        if self.warm_up_fraction(endpoint, now) < 1.0:
            endpoint.recent_sends.append((now, work_ms))

    def _has_sent_since_report(self, endpoint: Endpoint, now: float) -> bool:
        """Whether what the endpoint reported may not count an attempt of this proxy or of others."""
        sends = endpoint.recent_sends
        has_sent = bool(sends) and sends[-1][0] > now - self._window_ms
        return has_sent or self._is_report_age_unknown or now - endpoint.reported_at > self._fresh_ms
