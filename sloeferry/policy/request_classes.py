"""Request classes: their settings, and what was learned from their attempts."""

from collections import deque
from math import inf

from sloeferry.config.settings import Settings
from sloeferry.policy.histogram import MANY_BINS_BELOW_UNIT, Histogram
from sloeferry.policy.success_rate import SuccessRateTracker

# Loss rate (timed-out or cancelled attempts, of those and the served ones) above which a class counts as losing many.
HIGH_LOSS_RATE = 0.1
LOSS_SMOOTHING = 16  # attempts over which the loss rate is averaged
MIN_COMPARABLE_ATTEMPTS = 12  # of another class, before the loss rates of both are compared
LATENCY_SAMPLES = 200  # attempts after which the weight of earlier latencies is halved
MAX_COST_HINTS = 100  # over which the mean hint is averaged
WEIGHT_SMOOTHING = 100  # requests over which the mean weight is averaged


class RequestClass:
    """One request class: its settings, and the latency, loss rate and cost hints learned from its requests."""

    def __init__(self, settings: Settings, index: int, former: "RequestClass | None" = None):
        """Take over the learned state of `former`, which is the same class under earlier settings.

        Latency, cost hints, success rate and loss rate are kept; the start of a high loss rate and the longest time left are
        measured again.
        """
        class_settings = settings.request_classes[index]
        self.is_removed = class_settings.is_removed
        self.max_attempts = settings.limits.max_attempts
        self.deadline_ms = class_settings.deadline_ms
        self.objective_ms = class_settings.latency_objective_ms
        self.priority_weight = class_settings.priority_weight
        self.idempotency = class_settings.idempotency
        self.deduplication_group = class_settings.deduplication_group
        self.deduplication_window_ms = class_settings.deduplication_window_ms
        self._is_weight_per_work = settings.is_weight_per_work
        initial_ms = self.objective_ms / 4
        # Latency in ms at idle endpoints.
        self.idle_latency = Histogram(self.objective_ms, LATENCY_SAMPLES, [initial_ms] * 4, MANY_BINS_BELOW_UNIT)
        self.longest_time_left_ms = 0.0  # of all requests on arrival
        self.mean_cost_hint = 0.0
        self.cost_hint_count = 0
        self.tracker = SuccessRateTracker()
        self.loss_rate = 0.0
        self.high_loss_since = inf
        self.recent_end_times: deque[float] = deque(maxlen=MIN_COMPARABLE_ATTEMPTS)
        if former:
            self.idle_latency = former.idle_latency
            self.mean_cost_hint, self.cost_hint_count = former.mean_cost_hint, former.cost_hint_count
            self.tracker, self.loss_rate = former.tracker, former.loss_rate

    def attempt_ended(self, now: float, is_served: bool) -> None:
        """Update the loss rate with an attempt that was served, timed out or was cancelled."""
        self.loss_rate += ((not is_served) - self.loss_rate) / LOSS_SMOOTHING
        self.recent_end_times.append(now)
        if self.loss_rate > HIGH_LOSS_RATE:
            self.high_loss_since = min(self.high_loss_since, now)
        elif self.loss_rate < HIGH_LOSS_RATE / 4:
            # The loss has ended, and has not only paused while endpoints are ejected for this class.
            self.high_loss_since = inf

    def can_be_compared_with(self, other: "RequestClass") -> bool:
        """Return whether this class has ended enough attempts since the other began to lose many; a rare class takes longer."""
        return len(self.recent_end_times) == MIN_COMPARABLE_ATTEMPTS and self.recent_end_times[0] > other.high_loss_since

    def typical_latency_ms(self) -> float:
        """Return the median latency at an idle endpoint."""
        return self.idle_latency.quantile(0.5)

    def request_weight(self, relative_size: float = 1.0) -> float:
        """Return the weight of a request of that size."""
        return self.priority_weight * (self.typical_latency_ms() * relative_size if self._is_weight_per_work else 1.0)

    def relative_size(self, cost_hint: float | None) -> float:
        """Return a cost hint relative to the mean of the class, or 1 without a hint, and update the mean."""
        if not cost_hint:
            return 1.0
        self.cost_hint_count = min(MAX_COST_HINTS, self.cost_hint_count + 1)
        self.mean_cost_hint += (cost_hint - self.mean_cost_hint) / self.cost_hint_count
        return cost_hint / self.mean_cost_hint


class RequestClasses:
    """Holds all request classes and tenants of one policy, with the indexes of the settings."""

    def __init__(self, settings: Settings):
        self.all: list[RequestClass] = []
        self.tenant_trackers: list[SuccessRateTracker] = []
        self.update(settings)
        self.mean_weight = sum(each.request_weight() for each in self.all) / len(self.all)  # moving average over requests

    def update(self, settings: Settings) -> None:
        """Apply other settings; learned state is kept, and open requests keep the classes under which they were accepted."""
        count = len(settings.request_classes)
        self.all = [RequestClass(settings, index, *self.all[index : index + 1]) for index in range(count)]
        self.class_trackers = [each.tracker for each in self.all]
        new_tenants = settings.tenants[len(self.tenant_trackers) :]
        self.tenant_trackers = self.tenant_trackers + [SuccessRateTracker() for _ in new_tenants]
        self.shortest_objective_ms = min(each.objective_ms for each in self.all if not each.is_removed)

    def trackers_of(self, request_class: RequestClass, tenant_index: int) -> tuple[SuccessRateTracker, ...]:
        """Return the trackers of a request's attempts: that of its class and, if it has a tenant, that of the tenant."""
        return (request_class.tracker, *self.tenant_trackers[tenant_index : tenant_index + 1])

    def record_weight(self, weight: float) -> None:
        """Update the mean weight with that of an arriving request."""
        self.mean_weight += (weight - self.mean_weight) / WEIGHT_SMOOTHING
