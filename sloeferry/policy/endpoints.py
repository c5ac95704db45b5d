"""What a policy knows of one endpoint."""

from collections import deque
from collections.abc import Hashable
from math import inf

from sloeferry.policy.histogram import Histogram
from sloeferry.policy.interface import AttemptOutcome, EndpointId, EndpointState
from sloeferry.policy.request_classes import RequestClass
from sloeferry.policy.requests import CONNECTION_FAILURE_OUTCOMES, ENDPOINT_RESPONSE_OUTCOMES
from sloeferry.policy.success_rate import SuccessRateTracker

# No machine is so much quicker than usual: what is usual is not known yet.
MIN_SLOWDOWN = 1 / 8
MACHINE_KIND_SAMPLES = 100  # attempts after which what was learned of a kind of machines is halved
ENDPOINT_SAMPLES = 12  # the same of one endpoint
LAST_SERVED_KEPT = 3
# Not the median: where reports hide a queue, answers are either quick or never come.
SLOWDOWN_QUANTILE = 0.7
MAX_CLASS_EJECTION_DOUBLINGS = 4
NEVER_EJECTED = (0, -inf)  # times, until when


class MachineKind:
    """How slow the machines of one kind are, against all machines."""

    def __init__(self, all_machines: Histogram):
        self.all_machines = all_machines
        self.ratios = Histogram(1.0, MACHINE_KIND_SAMPLES, [1.0] * 4)

    def slowdown(self) -> float:
        """How much longer than usual an attempt takes at one of them."""
        return max(MIN_SLOWDOWN, self.ratios.quantile(0.5) / self.all_machines.quantile(0.5))


class Endpoint:
    """One backend."""

    def __init__(self, endpoint_id: EndpointId):
        self.endpoint_id = endpoint_id
        self.zone: Hashable = 0
        self.cell = 0
        self.state = EndpointState.READY
        self.started_at = 0.0  # 0: long ago
        self.class_ejections: dict[RequestClass, tuple[int, float]] = {}  # how often, until when
        self.is_unlisted = False  # gone from the list without a drain before it, and still used
        self.path_trackers: tuple[SuccessRateTracker, ...] = ()  # of its zone and of its cell
        self.path_quality = 1.0  # the worst of the paths to it, 0 to 1
        self.machine_kind = MachineKind(Histogram(1.0, 1, [1.0]))  # shared by all of its kind
        self.reset()

    def reset(self) -> None:
        """Forgets what was learned of its former process; ejections for one class and its paths stay."""
        self.others_in_flight = 0.0  # requests that it holds for other proxies, as of `reported_at`
        self.reported_at = -inf
        self.own_in_flight = 0
        self.counted_in_flight_until: list[float] = []  # attempts that ended and still count as in flight here, each until then
        self.open_connections = 0  # likely
        self.consecutive_failures = 0
        self.consecutive_errors = 0
        self.ejected_until = 0.0
        self.unanswered_since: float | None = None
        self.health_checks_in_flight: list[float] = []  # when each was sent, oldest first
        self.latency_ratios = Histogram(1.0, ENDPOINT_SAMPLES, [1.0, 1.0])  # against its machine kind's
        self.slowdown = 1.0  # how much longer than usual an attempt takes here
        self.learned_at = 0.0
        self.recent_sends: deque[tuple[float, float]] = deque()  # (when, ms of work), for its slow-start budget
        self.last_served_sent_at: deque[float] = deque(maxlen=LAST_SERVED_KEPT)

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Updates the connections and requests in flight after an attempt has ended."""
        if outcome in ENDPOINT_RESPONSE_OUTCOMES:
            self.open_connections = max(self.open_connections, self.own_in_flight)
        elif outcome in CONNECTION_FAILURE_OUTCOMES:
            self.open_connections = min(self.open_connections, self.own_in_flight - 1)
        self.own_in_flight = max(0, self.own_in_flight - 1)

    def is_ejected_for(self, request_class: RequestClass, now: float) -> bool:
        """Whether requests of this class go elsewhere for now."""
        return self.class_ejections.get(request_class, NEVER_EJECTED)[1] > now

    def eject_for(self, request_class: RequestClass, now: float, base_ms: float) -> None:
        """Ejects it for requests of this class, longer each time."""
        times = self.class_ejections.get(request_class, NEVER_EJECTED)[0] + 1
        self.class_ejections[request_class] = times, now + base_ms * 2 ** min(times, MAX_CLASS_EJECTION_DOUBLINGS)

    def learn(self, ratio: float, spread: Histogram, now: float) -> None:
        """Learns from an attempt that took `ratio` times what its load explains; `spread`: that of all attempts."""
        kind_slowdown = self.machine_kind.slowdown()
        self.machine_kind.all_machines.add(ratio)
        self.machine_kind.ratios.add(ratio)
        self.latency_ratios.add(ratio / kind_slowdown)
        measured = kind_slowdown * self.latency_ratios.quantile(SLOWDOWN_QUANTILE)
        self.slowdown = max(MIN_SLOWDOWN, measured * spread.quantile(0.5) / spread.quantile(SLOWDOWN_QUANTILE))
        self.learned_at = now

    def decayed_slowdown(self, fraction: float) -> float:
        """Its slowdown, of which that fraction is still believed against its kind's."""
        kind_slowdown = self.machine_kind.slowdown()
        if self.slowdown == 1.0:
            return kind_slowdown
        return kind_slowdown + (self.slowdown - kind_slowdown) * fraction
