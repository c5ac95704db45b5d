"""What one proxy takes on when it has too little time for all that comes.  Free of I/O.

An extension point (`interface.ExtensionPoint`).  It measures what this proxy gets done, not what it wishes: by how much a
regular beat of its loop is late, and how many requests end in a while.  Only while beats are late all through a window does a
limit stand on the requests open at once, by Little's law: what ends in a part of the latency objective.  The limit follows
what ends, so there is no rate to tune and none to swing; it is let go step by step.

Guards against a proxy that answers everybody late: it shows as event-loop lag, and as requests answered past their deadline.
It holds because rejecting a request unparsed costs about a tenth of serving one.

Figures are ratios to the settings; times in float ms.  "Objective" is the shortest latency objective of all classes.
"""

from math import inf
from typing import Any

from sloeferry.config.settings import Settings
from sloeferry.policy.policy import Policy

TARGET_RATIO = 0.35  # of the objective: what a request may spend here while the limit stands
BEAT_RATIO = 1 / 16  # of the objective: how often the beat is due, and the lateness that is too much
WINDOW_RATIO = 1.0  # of the objective: over which the least lateness counts
STALL_RATIO = 0.5  # of the objective: a beat so late comes from a stall; what waited is mostly late
MAX_WAIT_RATIO = 0.4  # of the shortest deadline: a request that waited so long is rejected, whatever that costs
MIN_LIMIT = 4  # requests open at once that are never too many
WEIGHT_RESERVE_RATIO = 0.2  # of the limit: kept for the greatest weight
CLIENT_RETRY_RATIO = 0.7  # of the limit: where a client's own retry has none left
FAIR_FROM_RATIO = 0.5  # of the limit: from there on a tenant keeps to its quota
RELAX_FACTOR = 1.25  # by so much the limit grows in a window without lateness
RELAXED_RATIO = 8  # a limit so many times above what ends is let go
RETRIES_PER_REQUEST = 0.2  # retries for each first attempt, while the limit stands
MAX_SAVED_RETRIES = 4 * MIN_LIMIT
REJECTIONS_PER_SERVED = 4  # before others wait for their turn
MAX_SAVED_REJECTIONS = 16 * MIN_LIMIT
QUEUE_PATIENCE_RATIO = 0.25  # of the objective: so long a request waits to be admitted
MAX_RETRY_AFTER_OBJECTIVES = 8.0
SMOOTHING = 4  # windows over which rates are averaged


class OverloadController:
    """The limit on open requests, and who waits while it stands."""

    def __init__(self, policy: Policy):
        self._policy = policy
        self.limit = inf  # of requests open at once
        self.is_stalled = False  # the loop has just stood still
        self.open_requests = 0
        self.open_by_tenant: list[int] = []
        self._fair_share: list[float] = []  # of the limit, by tenant
        self.active_tenants: set[int] = set()  # in this window
        self.update()
        self.rate_per_ms = 0.0  # requests that end, as of late
        self._typical_ms = 0.0  # that a request spends here, while there is no limit
        self._rejection_allowance = 0.0
        self._retry_allowance = 0.0
        self._excess = 0.0  # requests rejected for each that ended, in the last window
        self._allowance_updated_at = 0.0
        self._window_began_at = 0.0
        self._least_lateness_ms = inf
        self.ended_in_window = 0
        self._rejected = 0
        self._least_queued: float = inf  # requests that waited to be admitted
        self._spent_ms = 0.0  # by the requests that ended, all together

    def update(self) -> None:
        """The policy's settings as they are now; tenants keep their indexes."""
        settings: Settings = self._policy.settings
        classes = self._policy.classes
        self._objective_ms = classes.shortest_objective_ms
        self.beat_interval_ms = max(self._policy.tick_ms, BEAT_RATIO * self._objective_ms)
        self.queue_patience_ms = QUEUE_PATIENCE_RATIO * self._objective_ms
        self.max_wait_ms = MAX_WAIT_RATIO * min(each.deadline_ms for each in classes.all if not each.is_removed)
        self._max_weight = max(each.priority_weight for each in classes.all) or 1.0
        self._tells_retry_after = settings.limits.sends_retry_after
        self._quota_weights = [tenant.quota_weight for tenant in settings.tenants] or [1.0]
        new_tenants = len(self._quota_weights) - len(self.open_by_tenant)
        self.open_by_tenant += [0] * new_tenants
        self._fair_share += [inf] * new_tenants

    # What the host measures

    def beat(self, now: float, lateness_ms: float) -> None:
        """A regular beat, due every `beat_interval_ms`, was so late."""
        self.is_stalled = self.is_stall(lateness_ms)
        self._least_lateness_ms = min(self._least_lateness_ms, lateness_ms)
        window_ms = now - self._window_began_at
        if window_ms < WINDOW_RATIO * self._objective_ms:
            return
        rate = self.ended_in_window / window_ms
        self.rate_per_ms = rate if rate > self.rate_per_ms else self.rate_per_ms + (rate - self.rate_per_ms) / SMOOTHING
        self._excess = self._rejected / max(1, self.ended_in_window)
        self._update_limit()
        if self.limit < inf:
            active_weight = sum(self._quota_weights[at] for at in self.active_tenants) or 1.0
            self._fair_share = [self.limit * weight / active_weight for weight in self._quota_weights]
        self.active_tenants.clear()
        self._start_window(now)

    def _start_window(self, now: float) -> None:
        self._window_began_at = now
        self._least_lateness_ms = inf
        self.ended_in_window = self._rejected = 0
        self._least_queued = inf
        self._spent_ms = 0.0

    def _update_limit(self) -> None:
        """Sets the limit while beats are late, relaxes it while they are not."""
        if self._least_lateness_ms == inf:
            return
        if self._least_lateness_ms > self.beat_interval_ms:
            target_ms = max(TARGET_RATIO * self._objective_ms, 1.5 * self._typical_ms)
            self.limit = max(MIN_LIMIT, self.rate_per_ms * target_ms)
        elif self.limit < inf and (self._least_lateness_ms < self.beat_interval_ms / 4 or not self._least_queued):
            # Not at once: what was queued would come in together, and the limit swing with it.
            relaxed = RELAXED_RATIO * (MIN_LIMIT + self.rate_per_ms * self._objective_ms)
            self.limit = self.limit * RELAX_FACTOR if self.limit < relaxed else inf
        elif self.limit == inf and self.ended_in_window:
            self._typical_ms += (self._spent_ms / self.ended_in_window - self._typical_ms) / SMOOTHING

    def is_stall(self, lateness_ms: float) -> bool:
        """Whether being so late comes from standing still, not from much to do."""
        return lateness_ms > STALL_RATIO * self._objective_ms

    # Admission

    def is_shedding(self) -> bool:
        """Whether a request may have to wait, or be rejected, now."""
        return self.limit < inf or self.is_stalled

    def rejection_delay_ms(
        self, now: float, request_class: Any, tenant_index: int, is_retry: bool, has_waited: bool
    ) -> float | None:
        """Rejects, before it is taken on, a request that could not be finished in time (`ExtensionPoint`)."""
        if self.limit == inf and not self.is_stalled and not has_waited:
            return None
        self.active_tenants.add(tenant_index)
        if not self.is_stalled and not has_waited and self._has_room(request_class, tenant_index, is_retry):
            return None
        self._rejected += 1
        if not self._tells_retry_after:
            return 0.0
        objectives = min(MAX_RETRY_AFTER_OBJECTIVES, 1 + self._excess)
        return self._objective_ms * objectives * (0.5 + self._policy.rng.random())

    def _has_room(self, request_class: Any, tenant_index: int, is_retry: bool) -> bool:
        relative_weight = WEIGHT_RESERVE_RATIO * request_class.priority_weight / self._max_weight
        limit = self.limit * (1 - WEIGHT_RESERVE_RATIO + relative_weight)
        if is_retry:  # clients' own retries must not keep a collapse up
            limit *= CLIENT_RETRY_RATIO
        if self.open_requests >= max(MIN_LIMIT, limit):
            return False
        # A tenant that floods pays first: past half of the limit each tenant has its quota of those that are active.
        is_half_empty = self.open_requests < FAIR_FROM_RATIO * self.limit
        return is_half_empty or self.open_by_tenant[tenant_index] < self._fair_share[tenant_index]

    def free_places(self) -> float:
        """How many more requests may be taken on now."""
        return 0 if self.is_stalled else self.limit - self.open_requests

    def may_reject(self, now: float) -> bool:
        """Rejecting has its part of the time, too: beyond it those that are queued wait for their turn."""
        # Refilled by what ends: a rejection costs about a tenth of a request served.
        rate_per_ms = max(self.rate_per_ms, 1 / self._objective_ms)
        earned = (now - self._allowance_updated_at) * rate_per_ms * REJECTIONS_PER_SERVED
        self._rejection_allowance = min(MAX_SAVED_REJECTIONS, self._rejection_allowance + earned)
        self._allowance_updated_at = now
        if self._rejection_allowance < 1:
            return False
        self._rejection_allowance -= 1
        return True

    def note_queued(self, count: int) -> None:
        """So many requests are queued that could not be admitted."""
        self._least_queued = min(self._least_queued, count)

    # The policy's extension point

    def may_retry(self, now: float, request: Any) -> bool:
        """Retries have a budget while the limit stands, or they are what keeps a collapse up."""
        if self.limit == inf:
            return True
        if self._retry_allowance < 1:
            return False
        self._retry_allowance -= 1
        return True

    def request_taken(self, now: float, request: Any) -> None:
        """A request is open."""
        self.open_requests += 1
        self.open_by_tenant[request.tenant_index] += 1
        self._retry_allowance = min(self._retry_allowance + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)

    def request_ended(self, request: Any, is_served: bool) -> None:
        """A request is open no more."""
        self.open_requests -= 1
        self.open_by_tenant[request.tenant_index] -= 1
        if is_served:
            self.ended_in_window += 1  # of the requests that end, those that were served
            # `request_ended` gets no time: the last arrival stands for now.
            self._spent_ms += max(0.0, self._policy.arrivals.last_arrival - request.arrived_at)

    def is_behind(self) -> bool:
        """While requests are shed, how long things take tells of this proxy, not of the endpoints."""
        return self.is_shedding()
