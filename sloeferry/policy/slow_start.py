"""Slow start: limits the work sent to an endpoint that warms up (safety rule 4).

Guards against all proxies together overloading an endpoint that has just started, which shows as its crash or as rejections by
it.  Each proxy keeps to its share of the endpoint's budget, so that the limit holds without communication between proxies.
"""

from sloeferry.config.settings import Settings
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.fleet import FleetShare
from sloeferry.policy.load_reporting import LoadReporting

# Ratio of its share of the budget that a proxy uses: the rest is slack for work that takes longer than usual.
USED_BUDGET_RATIO = 0.85
FRESH_TICKS = 4  # age up to which a report counts as current


class SlowStart:
    """The share of each endpoint's slow-start budget that this proxy may use."""

    def __init__(self, settings: Settings, fleet: FleetShare, reporting: LoadReporting):
        self._fleet = fleet
        self._is_report_age_unknown = reporting.is_report_age_unknown
        self._fresh_ms = FRESH_TICKS * settings.tick_ms
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Apply changed settings: how long endpoints warm up, and how much work overloads one meanwhile."""
        obligations = settings.obligations
        self.duration_ms = obligations.slow_start_ms
        self._initial_ratio = obligations.slow_start_initial_ratio
        self._window_ms = obligations.warm_up_window_ms
        self._warm_up_overload_multiple = obligations.warm_up_overload_multiple

    def warm_up_fraction(self, endpoint: Endpoint, now: float) -> float:
        """Return the least ratio of its capacity that an endpoint has by now; 1 once it is warm."""
        age_ms = max(0.0, now - endpoint.started_at)
        if age_ms >= self.duration_ms:
            return 1.0
        return self._initial_ratio + (1 - self._initial_ratio) * age_ms / self.duration_ms

    def may_send(self, endpoint: Endpoint, now: float, work_ms: float) -> bool:
        """Return whether this proxy may send this much work (ms) to the endpoint now."""
        fraction = self.warm_up_fraction(endpoint, now)
        if fraction == 1.0:
            return True
        budget = self._warm_up_overload_multiple * fraction
        # With hundreds of proxies, the share of each is far below one request.  A current report covers the work of all proxies,
        # and so allows one attempt.
        if not self._may_miss_sends(endpoint, now):
            in_flight = endpoint.others_in_flight + endpoint.own_in_flight + 1
            if in_flight * work_ms <= budget * self._window_ms / 2:
                return True
        # This proxy's share of one core: the work that a warm endpoint of several cores gets would overload a cold one.
        share_ms = USED_BUDGET_RATIO * self._window_ms / self._fleet.budget_divisor()
        span_ms = self._window_ms * max(1.0, work_ms / budget / share_ms)  # work beyond the budget extends the window
        sends = endpoint.recent_sends
        while sends and sends[0][0] <= now - span_ms:
            sends.popleft()
        # First attempts are staggered between proxies, or together they would overload an endpoint that has just started.
        initial_share = self._warm_up_overload_multiple * self._initial_ratio * share_ms
        wait_ms = self._fleet.phase_ratio * self._window_ms * max(0.0, work_ms / initial_share - 1)
        if now < endpoint.started_at + wait_ms:
            return False
        return not sends or sum(work for _, work in sends) + work_ms <= budget * share_ms

    def record_send(self, endpoint: Endpoint, now: float, work_ms: float) -> None:
        """Record work (ms) that was sent to the endpoint."""
        if self.warm_up_fraction(endpoint, now) < 1.0:
            endpoint.recent_sends.append((now, work_ms))

    def _may_miss_sends(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint's latest report may leave out an attempt of this proxy or of another."""
        sends = endpoint.recent_sends
        has_sent = bool(sends) and sends[-1][0] > now - self._window_ms
        return has_sent or self._is_report_age_unknown or now - endpoint.reported_at > self._fresh_ms
