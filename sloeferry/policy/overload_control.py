"""Adaptive concurrency limit of one proxy whose event loop is overloaded.  Free of I/O.

The controller is an extension point of the policy (`interface.ExtensionPoint`).  It measures event-loop lag, which is how
late a periodic callback runs, and the rate at which requests are served.  When the smallest lag of a whole window is above
the threshold, it limits the number of open requests by Little's law: the rate served, times a part of the latency objective.
The limit follows the measured rate, so that no target rate has to be configured and none can oscillate.  Once the lag is
gone the limit is raised step by step and then removed.

This guards against a proxy that answers every request late: it shows as event-loop lag, and as requests answered past their
deadline.  It works because rejecting a request unparsed costs about a tenth of serving one.

Constants are ratios to the settings, times are float milliseconds.  "Objective" is the shortest latency objective of all
classes.
"""

from math import inf
from typing import Any

from sloeferry.config.settings import Settings
from sloeferry.policy.policy import Policy

TARGET_TIME_RATIO = 0.35  # of the objective: time that a request may spend in the proxy while there is a limit
LAG_THRESHOLD_RATIO = 1 / 16  # of the objective: both the sampling interval and the upper threshold of the event-loop lag
WINDOW_RATIO = 1.0  # of the objective: window over which the smallest lag and the rates are measured
STALL_RATIO = 0.5  # of the objective: a higher lag comes from a stall, after which most waiting requests are late
MAX_QUEUE_WAIT_RATIO = 0.4  # of the shortest deadline: after this wait a request is rejected even without a token
MIN_CONCURRENCY_LIMIT = 4  # open requests
PRIORITY_RESERVE_RATIO = 0.2  # of the limit: granted to each class in proportion to its priority weight
CLIENT_RETRY_RATIO = 0.7  # of the limit: open requests at which clients' retries are rejected
QUOTA_THRESHOLD_RATIO = 0.5  # of the limit: open requests from which tenant quotas apply
LIMIT_GROWTH_FACTOR = 1.25  # per window without lag
LIMIT_REMOVAL_FACTOR = 8  # a limit this many times above what is served within the objective is removed
RETRY_TOKENS_PER_REQUEST = 0.2
MAX_RETRY_TOKENS = 4 * MIN_CONCURRENCY_LIMIT
REJECTION_TOKENS_PER_SERVED = 4
MAX_REJECTION_TOKENS = 16 * MIN_CONCURRENCY_LIMIT
QUEUE_TIMEOUT_RATIO = 0.25  # of the objective
MAX_RETRY_AFTER_OBJECTIVES = 8.0
SMOOTHING_WINDOWS = 4  # windows over which rates are averaged


class OverloadController:
    """Limits the open requests of an overloaded proxy, and decides which requests are rejected meanwhile."""

    def __init__(self, policy: Policy):
        self._policy = policy
        self.concurrency_limit = inf  # open requests
        self.is_stalled = False  # the latest lag sample was a stall
        self.open_requests = 0
        self.open_requests_by_tenant: list[int] = []
        self._quota_by_tenant: list[float] = []  # open requests
        self.active_tenants: set[int] = set()  # in this window
        self.update()
        self.served_per_ms = 0.0  # rises at once, falls as a moving average
        self._unlimited_time_ms = 0.0  # moving average of a request's time in the proxy while there is no limit
        self._rejection_tokens = 0.0
        self._retry_tokens = 0.0
        self._rejections_per_served = 0.0  # in the last window
        self._tokens_refilled_at = 0.0
        self._window_began_at = 0.0
        self._min_lag_ms = inf
        self.served_in_window = 0
        self._rejected_in_window = 0
        self._min_queue_length: float = inf  # requests that waited to be admitted
        self._total_time_ms = 0.0  # in the proxy, of the requests served in the window

    def update(self) -> None:
        """Apply the policy's current settings; tenants keep their indexes."""
        settings: Settings = self._policy.settings
        classes = self._policy.classes
        self._objective_ms = classes.shortest_objective_ms
        self.lag_sample_interval_ms = max(self._policy.tick_ms, LAG_THRESHOLD_RATIO * self._objective_ms)
        self.queue_timeout_ms = QUEUE_TIMEOUT_RATIO * self._objective_ms
        self.max_queue_wait_ms = MAX_QUEUE_WAIT_RATIO * min(each.deadline_ms for each in classes.all if not each.is_removed)
        self._max_priority_weight = max(each.priority_weight for each in classes.all) or 1.0
        self._sends_retry_after = settings.limits.sends_retry_after
        self._quota_weights = [tenant.quota_weight for tenant in settings.tenants] or [1.0]
        new_tenants = len(self._quota_weights) - len(self.open_requests_by_tenant)
        self.open_requests_by_tenant += [0] * new_tenants
        self._quota_by_tenant += [inf] * new_tenants

    # Measurements of the host

    def record_loop_lag(self, now: float, lag_ms: float) -> None:
        """Record an event-loop lag sample, taken every `lag_sample_interval_ms`, and update the limit once a window is over."""
        self.is_stalled = self.is_stall(lag_ms)
        self._min_lag_ms = min(self._min_lag_ms, lag_ms)
        window_ms = now - self._window_began_at
        if window_ms < WINDOW_RATIO * self._objective_ms:
            return
        rate = self.served_in_window / window_ms
        self.served_per_ms = (
            rate if rate > self.served_per_ms else self.served_per_ms + (rate - self.served_per_ms) / SMOOTHING_WINDOWS
        )
        self._rejections_per_served = self._rejected_in_window / max(1, self.served_in_window)
        self._update_limit()
        if self.concurrency_limit < inf:
            active_weight = sum(self._quota_weights[index] for index in self.active_tenants) or 1.0
            self._quota_by_tenant = [self.concurrency_limit * weight / active_weight for weight in self._quota_weights]
        self.active_tenants.clear()
        self._start_window(now)

    def _start_window(self, now: float) -> None:
        self._window_began_at = now
        self._min_lag_ms = inf
        self.served_in_window = self._rejected_in_window = 0
        self._min_queue_length = inf
        self._total_time_ms = 0.0

    def _update_limit(self) -> None:
        """Set the limit after a window of lag, raise or remove it after one without."""
        if self._min_lag_ms == inf:
            return
        if self._min_lag_ms > self.lag_sample_interval_ms:
            # Requests that take longer than the target even without overload must not be limited for that.
            target_time_ms = max(TARGET_TIME_RATIO * self._objective_ms, 1.5 * self._unlimited_time_ms)
            self.concurrency_limit = max(MIN_CONCURRENCY_LIMIT, self.served_per_ms * target_time_ms)
        elif self.concurrency_limit < inf and (self._min_lag_ms < self.lag_sample_interval_ms / 4 or not self._min_queue_length):
            # Removing the limit at once would admit the whole queue in one burst and make the limit oscillate.
            removal_limit = LIMIT_REMOVAL_FACTOR * (MIN_CONCURRENCY_LIMIT + self.served_per_ms * self._objective_ms)
            self.concurrency_limit = (
                self.concurrency_limit * LIMIT_GROWTH_FACTOR if self.concurrency_limit < removal_limit else inf
            )
        elif self.concurrency_limit == inf and self.served_in_window:
            self._unlimited_time_ms += (self._total_time_ms / self.served_in_window - self._unlimited_time_ms) / SMOOTHING_WINDOWS

    def is_stall(self, lag_ms: float) -> bool:
        """Return whether a lag is too high to come from load: the event loop was blocked."""
        return lag_ms > STALL_RATIO * self._objective_ms

    # Admission

    def is_shedding(self) -> bool:
        """Return whether requests may have to wait, or be rejected, now."""
        return self.concurrency_limit < inf or self.is_stalled

    def retry_after_if_rejected_ms(
        self, now: float, request_class: Any, tenant_index: int, is_retry: bool, has_waited: bool
    ) -> float | None:
        """Return None if a request may be accepted, or else the Retry-After of its rejection (0.0: rejected without one)."""
        if self.concurrency_limit == inf and not self.is_stalled and not has_waited:
            return None
        self.active_tenants.add(tenant_index)
        if not self.is_stalled and not has_waited and self._has_capacity(request_class, tenant_index, is_retry):
            return None
        self._rejected_in_window += 1
        if not self._sends_retry_after:
            return 0.0
        objectives = min(MAX_RETRY_AFTER_OBJECTIVES, 1 + self._rejections_per_served)
        return self._objective_ms * objectives * (0.5 + self._policy.rng.random())

    def _has_capacity(self, request_class: Any, tenant_index: int, is_retry: bool) -> bool:
        reserve_ratio = PRIORITY_RESERVE_RATIO * request_class.priority_weight / self._max_priority_weight
        limit = self.concurrency_limit * (1 - PRIORITY_RESERVE_RATIO + reserve_ratio)
        if is_retry:  # clients' retries must not prolong an overload
            limit *= CLIENT_RETRY_RATIO
        if self.open_requests >= max(MIN_CONCURRENCY_LIMIT, limit):
            return False
        # A tenant that sends too much is limited first: from half of the limit on, each active tenant is held to its quota.
        is_below_quota_threshold = self.open_requests < QUOTA_THRESHOLD_RATIO * self.concurrency_limit
        return is_below_quota_threshold or self.open_requests_by_tenant[tenant_index] < self._quota_by_tenant[tenant_index]

    def available_slots(self) -> float:
        """Return how many more requests may be admitted now."""
        return 0 if self.is_stalled else self.concurrency_limit - self.open_requests

    def take_rejection_token(self, now: float) -> bool:
        """Take a token for one rejection, if there is one; without a token, queued requests wait longer."""
        # The token bucket is refilled at the rate served: a rejection costs about a tenth of a request served.
        served_per_ms = max(self.served_per_ms, 1 / self._objective_ms)
        new_tokens = (now - self._tokens_refilled_at) * served_per_ms * REJECTION_TOKENS_PER_SERVED
        self._rejection_tokens = min(MAX_REJECTION_TOKENS, self._rejection_tokens + new_tokens)
        self._tokens_refilled_at = now
        if self._rejection_tokens < 1:
            return False
        self._rejection_tokens -= 1
        return True

    def record_queue_length(self, count: int) -> None:
        """Record how many requests are queued that could not be admitted."""
        self._min_queue_length = min(self._min_queue_length, count)

    # The policy's extension point

    def may_retry(self, now: float, request: Any) -> bool:
        """Take a token of the retry budget while there is a limit: unlimited retries would prolong the overload."""
        if self.concurrency_limit == inf:
            return True
        if self._retry_tokens < 1:
            return False
        self._retry_tokens -= 1
        return True

    def request_accepted(self, now: float, request: Any) -> None:
        """Count a request as open and refill the retry budget."""
        self.open_requests += 1
        self.open_requests_by_tenant[request.tenant_index] += 1
        self._retry_tokens = min(self._retry_tokens + RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS)

    def request_ended(self, request: Any, is_served: bool) -> None:
        """Count a request as ended, and its time in the proxy if it was served."""
        self.open_requests -= 1
        self.open_requests_by_tenant[request.tenant_index] -= 1
        if is_served:
            self.served_in_window += 1
            # No time is passed to this method; the latest arrival is used as the current time.
            self._total_time_ms += max(0.0, self._policy.arrivals.last_arrival - request.arrived_at)

    def is_overloaded(self) -> bool:
        """Return whether requests are shed: latencies then reflect this proxy, not the endpoints."""
        return self.is_shedding()
