"""The state that a policy keeps of one endpoint."""

from collections import deque
from collections.abc import Hashable
from math import inf

from sloeferry.policy.histogram import Histogram
from sloeferry.policy.interface import AttemptOutcome, EndpointId, EndpointState
from sloeferry.policy.request_classes import RequestClass
from sloeferry.policy.requests import CONNECTION_FAILURE_OUTCOMES, ENDPOINT_RESPONSE_OUTCOMES
from sloeferry.policy.success_rate import SuccessRateTracker

# No machine is faster than this relative to the typical latency: a lower value means that the typical latency isn't known yet.
MIN_SLOWDOWN = 1 / 8
MACHINE_KIND_SAMPLES = 100  # attempts after which the histogram of a machine kind is halved
ENDPOINT_SAMPLES = 12  # attempts after which the histogram of an endpoint is halved
LAST_SERVED_KEPT = 3
# Above the median: where reports hide a queue, answers either come fast or not at all, and the median sees the fast ones alone.
SLOWDOWN_QUANTILE = 0.7
MAX_CLASS_EJECTION_DOUBLINGS = 4
NEVER_EJECTED = (0, -inf)  # number of ejections, end of the last one (ms)


class MachineKind:
    """The latency of machines of one kind relative to all machines."""

    def __init__(self, all_machines: Histogram):
        self.all_machines = all_machines
        self.ratios = Histogram(1.0, MACHINE_KIND_SAMPLES, [1.0] * 4)

    def slowdown(self) -> float:
        """Return the latency of attempts at these machines relative to the typical one."""
        return max(MIN_SLOWDOWN, self.ratios.quantile(0.5) / self.all_machines.quantile(0.5))


class Endpoint:
    """A backend as the endpoint list has it, with its load, latency and failures."""

    def __init__(self, endpoint_id: EndpointId):
        self.endpoint_id = endpoint_id
        self.zone: Hashable = 0
        self.cell = 0
        self.state = EndpointState.READY
        self.started_at = 0.0  # 0: long ago
        self.class_ejections: dict[RequestClass, tuple[int, float]] = {}  # number of ejections, end of the last one
        self.is_unlisted = False  # gone from the list without draining before, and still used
        self.path_trackers: tuple[SuccessRateTracker, ...] = ()  # of its zone and its cell
        self.path_quality = 1.0  # the lowest of the paths to it, 0 to 1
        self.machine_kind = MachineKind(Histogram(1.0, 1, [1.0]))  # shared by all endpoints of this kind
        self.reset()

    def reset(self) -> None:
        """Reset what was learned of its previous process; ejections for one class and its paths stay."""
        self.others_in_flight = 0.0  # requests of other proxies, as of `reported_at`
        self.reported_at = -inf
        self.own_in_flight = 0
        self.counted_in_flight_until: list[float] = []  # per ended attempt: until when it still counts as in flight here
        self.open_connections = 0  # estimated
        self.consecutive_failures = 0
        self.consecutive_errors = 0
        self.ejected_until = 0.0
        self.unanswered_since: float | None = None
        self.health_checks_in_flight: list[float] = []  # time at which each was sent, oldest first
        self.latency_ratios = Histogram(1.0, ENDPOINT_SAMPLES, [1.0, 1.0])  # relative to its machine kind
        self.slowdown = 1.0  # latency of attempts relative to the typical one
        self.learned_at = 0.0
        self.recent_sends: deque[tuple[float, float]] = deque()  # (sent at, work in ms), for its slow-start budget
        self.last_served_sent_at: deque[float] = deque(maxlen=LAST_SERVED_KEPT)

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Update the connections and requests in flight after an attempt has ended."""
        if outcome in ENDPOINT_RESPONSE_OUTCOMES:
            self.open_connections = max(self.open_connections, self.own_in_flight)
        elif outcome in CONNECTION_FAILURE_OUTCOMES:
            self.open_connections = min(self.open_connections, self.own_in_flight - 1)
        self.own_in_flight = max(0, self.own_in_flight - 1)

    def is_ejected_for(self, request_class: RequestClass, now: float) -> bool:
        """Return whether the endpoint is ejected for requests of this class."""
        return self.class_ejections.get(request_class, NEVER_EJECTED)[1] > now

    def eject_for(self, request_class: RequestClass, now: float, base_ms: float) -> None:
        """Eject the endpoint for requests of this class, for a time that doubles with each ejection."""
        ejection_count = self.class_ejections.get(request_class, NEVER_EJECTED)[0] + 1
        self.class_ejections[request_class] = (
            ejection_count,
            now + base_ms * 2 ** min(ejection_count, MAX_CLASS_EJECTION_DOUBLINGS),
        )

    def learn(self, ratio: float, spread: Histogram, now: float) -> None:
        """Update the slowdown from an attempt that took `ratio` times the latency expected at this load.

        `spread` is the distribution of that ratio over all attempts.
        """
        kind_slowdown = self.machine_kind.slowdown()
        self.machine_kind.all_machines.add(ratio)
        self.machine_kind.ratios.add(ratio)
        self.latency_ratios.add(ratio / kind_slowdown)
        measured = kind_slowdown * self.latency_ratios.quantile(SLOWDOWN_QUANTILE)
        self.slowdown = max(MIN_SLOWDOWN, measured * spread.quantile(0.5) / spread.quantile(SLOWDOWN_QUANTILE))
        self.learned_at = now

    def decayed_slowdown(self, fraction: float) -> float:
        """Return the slowdown of its machine kind plus this fraction of the endpoint's deviation from it."""
        kind_slowdown = self.machine_kind.slowdown()
        if self.slowdown == 1.0:  # nothing learned yet
            return kind_slowdown
        return kind_slowdown + (self.slowdown - kind_slowdown) * fraction
