"""Request classes: what is promised for each, and what was learned of its attempts."""

from collections import deque
from math import inf

from sloeferry.config.settings import Settings
from sloeferry.policy.histogram import MANY_BINS_BELOW_UNIT, Histogram
from sloeferry.policy.success_rate import SuccessRateTracker

HIGH_LOSS_RATE = 0.1  # of the attempts that no endpoint rejected: left unanswered
LOSS_SMOOTHING = 16  # attempts over which the loss rate is averaged
COMPARABLE_ENDS = 12  # so many attempts of another class tell whether it loses as much
LATENCY_SAMPLES = 200  # attempts after which what was learned of the latency is halved
MAX_COST_HINTS = 100  # over which the mean hint is taken
WEIGHT_SMOOTHING = 100  # requests over which their mean weight is averaged


class RequestClass:
    """One class of requests."""

    def __init__(self, settings: Settings, index: int, former: "RequestClass | None" = None):
        """`former`: the same class under other settings.

        Its latency, cost hints, success rate and loss rate go on; since when it loses many attempts, and the longest time
        left seen, are counted anew.
        """
        promised = settings.request_classes[index]
        self.is_removed = promised.is_removed
        self.max_attempts = settings.limits.max_attempts
        self.deadline_ms = promised.deadline_ms
        self.objective_ms = promised.latency_objective_ms
        self.priority_weight = promised.priority_weight
        self.idempotency = promised.idempotency
        self.deduplication_group = promised.deduplication_group
        self.deduplication_window_ms = promised.deduplication_window_ms
        self._is_weight_per_work = settings.is_weight_per_work
        guess = self.objective_ms / 4
        # Latency in ms at endpoints found idle.
        self.idle_latency = Histogram(self.objective_ms, LATENCY_SAMPLES, [guess] * 4, MANY_BINS_BELOW_UNIT)
        self.longest_time_left_ms = 0.0  # seen with a request
        self.mean_cost_hint = 0.0
        self.cost_hint_count = 0
        self.tracker = SuccessRateTracker()
        self.loss_rate = 0.0
        self.high_loss_since = inf
        self.recent_end_times: deque[float] = deque(maxlen=COMPARABLE_ENDS)
        if former:
            self.idle_latency = former.idle_latency
            self.mean_cost_hint, self.cost_hint_count = former.mean_cost_hint, former.cost_hint_count
            self.tracker, self.loss_rate = former.tracker, former.loss_rate

    def attempt_ended(self, now: float, is_served: bool) -> None:
        """An attempt was answered, or left unanswered."""
        self.loss_rate += ((not is_served) - self.loss_rate) / LOSS_SMOOTHING
        self.recent_end_times.append(now)
        if self.loss_rate > HIGH_LOSS_RATE:
            self.high_loss_since = min(self.high_loss_since, now)
        elif self.loss_rate < HIGH_LOSS_RATE / 4:  # it is over, not only paused while endpoints are ejected for it
            self.high_loss_since = inf

    def can_be_compared_with(self, other: "RequestClass") -> bool:
        """Whether enough of its attempts ended since the other began to lose many: a rare class lags behind."""
        return len(self.recent_end_times) == COMPARABLE_ENDS and self.recent_end_times[0] > other.high_loss_since

    def typical_latency_ms(self) -> float:
        """The median latency at an idle endpoint."""
        return self.idle_latency.quantile(0.5)

    def request_weight(self, relative_size: float = 1.0) -> float:
        """What a request of that size is worth."""
        return self.priority_weight * (self.typical_latency_ms() * relative_size if self._is_weight_per_work else 1.0)

    def relative_size(self, cost_hint: float | None) -> float:
        """A cost hint against the mean hint of the class; 1 without one."""
        if not cost_hint:
            return 1.0
        self.cost_hint_count = min(MAX_COST_HINTS, self.cost_hint_count + 1)
        self.mean_cost_hint += (cost_hint - self.mean_cost_hint) / self.cost_hint_count
        return cost_hint / self.mean_cost_hint


class RequestClasses:
    """All request classes and tenants of one policy.  Indexes are those of the settings."""

    def __init__(self, settings: Settings):
        self.all: list[RequestClass] = []
        self.tenant_trackers: list[SuccessRateTracker] = []
        self.update(settings)
        self.mean_weight = sum(each.request_weight() for each in self.all) / len(self.all)  # of the requests of late

    def update(self, settings: Settings) -> None:
        """Other settings: what was learned goes on; open requests keep the classes under which they were taken."""
        count = len(settings.request_classes)
        self.all = [RequestClass(settings, at, *self.all[at : at + 1]) for at in range(count)]
        self.class_trackers = [each.tracker for each in self.all]
        new_tenants = settings.tenants[len(self.tenant_trackers) :]
        self.tenant_trackers = self.tenant_trackers + [SuccessRateTracker() for _ in new_tenants]
        self.shortest_objective_ms = min(each.objective_ms for each in self.all if not each.is_removed)

    def trackers_of(self, request_class: RequestClass, tenant_index: int) -> tuple[SuccessRateTracker, ...]:
        """The trackers that a request's attempts count for: its class's and, where there is one, its tenant's."""
        return (request_class.tracker, *self.tenant_trackers[tenant_index : tenant_index + 1])

    def record_weight(self, weight: float) -> None:
        """A request of that weight has come."""
        self.mean_weight += (weight - self.mean_weight) / WEIGHT_SMOOTHING
