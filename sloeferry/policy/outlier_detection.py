"""Which endpoints are outliers: failing, erring or silent ones are ejected for a while, longer each time."""

from collections.abc import Collection
from random import Random

from sloeferry.config.settings import Idempotency
from sloeferry.policy.endpoint_table import EndpointTable
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.health_checks import CHECK_INTERVAL_MS
from sloeferry.policy.interface import AttemptOutcome, EndpointId, EndpointState
from sloeferry.policy.latency_model import LatencyModel
from sloeferry.policy.load_reporting import LoadReporting
from sloeferry.policy.requests import Request
from sloeferry.policy.timers import Timers

FAILURES_TO_EJECT = 2
BASE_EJECTION_MS = CHECK_INTERVAL_MS / 2
MAX_EJECTION_DOUBLINGS = 4
# Where no endpoint can be asked, a first failure ejects, and for longer: no second request is spent to be sure.
UNCHECKED_EXTRA_DOUBLINGS = 2
EJECTION_JITTER = 0.5  # spread evenly round the ejection's length, so that endpoints do not come back together
MAX_EJECTED_RATIO = 0.5  # of the listed: where as many would be ejected, the fault is not theirs
# An endpoint errs by itself if so many errors in a row are so unlikely to be the requests' fault.
CHANCE_LIMIT = 0.001
ERROR_SMOOTHING = 32  # attempts over which the rate of errors is averaged
CURED_SMOOTHING = 8  # requests over which it is averaged how many errors another endpoint cured
MOSTLY_CURED = 0.5
ABANDONED_TYPICAL_TIMES = 4  # an attempt that ended badly counts as in flight for so many times the usual latency
LATENESS_MULTIPLE = 4  # a host that is so often late reads late, too


class OutlierDetector:
    """Ejects endpoints, and tells requests that cause errors from endpoints that do."""

    def __init__(
        self,
        timers: Timers,
        table: EndpointTable,
        latency: LatencyModel,
        reporting: LoadReporting,
        check_timeout_ms: float,
        rng: Random,
    ):
        self._timers = timers
        self._table = table
        self._latency = latency
        self._reporting = reporting
        self._check_timeout_ms = check_timeout_ms
        self._rng = rng
        self.retry_recovery_ratio = 1.0  # of requests that met an error: served by another endpoint
        self.error_rate = 0.0  # of attempts
        self.unreachable_rate = 0.0  # of attempts that had to open a connection

    def record_outcome(self, outcome: AttemptOutcome, opened_connection: bool) -> None:
        """Updates the rates of errors and of refused connections after an attempt."""
        self.error_rate += ((outcome is AttemptOutcome.ERROR) - self.error_rate) / ERROR_SMOOTHING
        is_unreachable = outcome is AttemptOutcome.UNREACHABLE
        self.unreachable_rate += opened_connection * (is_unreachable - self.unreachable_rate) / ERROR_SMOOTHING

    def is_silent(self, endpoint: Endpoint, now: float) -> bool:
        """Whether a health check is unanswered or, where these are dear, nothing was heard for longer than answers take."""
        # A proxy with a request a second would hear by its own long requests alone; that is no silence.
        if self._reporting.may_health_check and not self._reporting.comes_with_health_checks:
            sent = endpoint.health_checks_in_flight
            patience_ms = max(self._check_timeout_ms, LATENESS_MULTIPLE * self._timers.lateness_ms)
            return bool(sent) and now - sent[0] > patience_ms
        since = endpoint.unanswered_since
        return since is not None and now - since > self._latency.longest_ms

    def ejected_endpoint_ids(self, now: float, listed_count: int) -> Collection[EndpointId]:
        """The endpoints that get nothing now; none where that would be half of the listed or more."""
        ejected = {
            endpoint.endpoint_id
            for endpoint in self._table.active.values()
            if endpoint.state is EndpointState.READY and (endpoint.ejected_until > now or self.is_silent(endpoint, now))
        }
        return ejected if len(ejected) < MAX_EJECTED_RATIO * listed_count else ()

    def record_failure(self, endpoint: Endpoint, now: float) -> None:
        """The endpoint erred, refused a connection or was silent."""
        endpoint.consecutive_failures += 1
        self._table.activate(endpoint)
        if endpoint.is_unlisted:
            self._table.remove_unlisted(endpoint)
        is_unchecked = self._reporting.is_report_age_unknown
        if endpoint.consecutive_failures < FAILURES_TO_EJECT and not is_unchecked:
            return
        doublings = endpoint.consecutive_failures - FAILURES_TO_EJECT + UNCHECKED_EXTRA_DOUBLINGS * is_unchecked
        ejection_ms = BASE_EJECTION_MS * 2 ** min(doublings, MAX_EJECTION_DOUBLINGS + is_unchecked)
        endpoint.ejected_until = now + ejection_ms * (1 - EJECTION_JITTER / 2 + self._rng.random() * EJECTION_JITTER)

    def record_error(self, request: Request, endpoint: Endpoint, now: float) -> None:
        """An attempt ended with an error: whether the request or the endpoint is at fault shows where it is tried next.

        An endpoint that errs so often in a row that chance cannot have sent it so many bad requests is at fault as well.
        """
        endpoint.consecutive_errors += 1
        if any(attempt.outcome is AttemptOutcome.ERROR for attempt in request.attempts[:-1]):
            self.retry_recovery_ratio -= self.retry_recovery_ratio / CURED_SMOOTHING  # at two endpoints: it is the request
        elif self.retry_recovery_ratio > MOSTLY_CURED:
            self.count_as_in_flight(request, endpoint, now)
        is_beyond_chance = self.error_rate**endpoint.consecutive_errors < CHANCE_LIMIT
        is_never_retried = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        if is_beyond_chance or is_never_retried and self.retry_recovery_ratio > MOSTLY_CURED:
            self.record_failure(endpoint, now)

    def record_served(self, request: Request, now: float) -> None:
        """The request was served: whichever endpoint erred with it before is at fault."""
        for attempt in request.attempts:
            if attempt.outcome is AttemptOutcome.ERROR:
                self.retry_recovery_ratio += (1 - self.retry_recovery_ratio) / CURED_SMOOTHING
                self.record_failure(attempt.endpoint, now)

    def count_as_in_flight(self, request: Request, endpoint: Endpoint, now: float) -> None:
        """Goes on counting an attempt that ended badly: a quick error must not make an endpoint look empty."""
        endpoint.counted_in_flight_until.append(now + ABANDONED_TYPICAL_TIMES * request.typical_latency_ms())
