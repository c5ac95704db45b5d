"""Outlier detection: ejects failing or unresponsive endpoints, for a time that grows exponentially with repeated failures."""

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
# Where endpoints can't be health-checked, the first failure ejects, and for longer: no second request is spent to confirm it.
UNCHECKED_EXTRA_DOUBLINGS = 2
EJECTION_JITTER = 0.5  # ratio of the ejection time, so that ejected endpoints don't return all at once
MAX_EJECTED_RATIO = 0.5  # of the ready endpoints: where as many would be ejected, the cause lies elsewhere
# An endpoint is at fault for consecutive errors if the probability that the requests caused all of them is below this.
MAX_COINCIDENCE_PROBABILITY = 0.001
ERROR_SMOOTHING_ATTEMPTS = 32  # attempts over which the error rate is averaged
RECOVERY_SMOOTHING_REQUESTS = 8  # failed requests over which the ratio of those that another endpoint served is averaged
HIGH_RECOVERY_RATIO = 0.5
# An attempt that failed counts as in flight for this multiple of the typical latency.
FAILED_LATENCY_MULTIPLE = 4
LATENESS_MULTIPLE = 4  # of the host's lateness: a late host reads the answers to health checks late, too


class OutlierDetector:
    """Ejects endpoints, and distinguishes endpoints that cause errors from requests that do."""

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
        self.retry_recovery_ratio = 1.0  # of requests with an error: those that another endpoint served
        self.error_rate = 0.0  # of attempts
        self.unreachable_rate = 0.0  # of attempts that had to open a connection

    def record_outcome(self, outcome: AttemptOutcome, opened_connection: bool) -> None:
        """Update the rates of errors and of refused connections after an attempt."""
        self.error_rate += ((outcome is AttemptOutcome.ERROR) - self.error_rate) / ERROR_SMOOTHING_ATTEMPTS
        is_unreachable = outcome is AttemptOutcome.UNREACHABLE
        self.unreachable_rate += opened_connection * (is_unreachable - self.unreachable_rate) / ERROR_SMOOTHING_ATTEMPTS

    def is_unresponsive(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint is unresponsive.

        Where load reports come with responses and health checks are allowed, a health check is unanswered past its timeout.
        Otherwise nothing was received from the endpoint, with an attempt in flight, for longer than attempts take.
        """
        # A proxy with one request a second receives nothing but the responses to its own long requests: the time between them
        # doesn't show that an endpoint is unresponsive, so that health checks decide where there are any.
        if self._reporting.may_health_check and not self._reporting.reports_only_with_health_checks:
            sent = endpoint.health_checks_in_flight
            timeout_ms = max(self._check_timeout_ms, LATENESS_MULTIPLE * self._timers.lateness_ms)
            return bool(sent) and now - sent[0] > timeout_ms
        since = endpoint.unanswered_since
        return since is not None and now - since > self._latency.longest_ms

    def ejected_endpoint_ids(self, now: float, ready_count: int) -> Collection[EndpointId]:
        """Return the endpoints that get no attempts now; none where that would be half of the ready ones or more."""
        ejected = {
            endpoint.endpoint_id
            for endpoint in self._table.active.values()
            if endpoint.state is EndpointState.READY and (endpoint.ejected_until > now or self.is_unresponsive(endpoint, now))
        }
        return ejected if len(ejected) < MAX_EJECTED_RATIO * ready_count else ()

    def record_failure(self, endpoint: Endpoint, now: float) -> None:
        """Record a failure of the endpoint, and eject it after `FAILURES_TO_EJECT` in a row.

        A failure is an error, a rejection, a failed connection or health check, or a missing response.  Where the age
        of reports is unknown, the first failure ejects.
        """
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
        """Record an attempt that ended with an error, and a failure of the endpoint if that is clearly at fault.

        Whether the request or the endpoint is at fault shows when the request is retried elsewhere.  An endpoint with too many
        consecutive errors to be explained by requests that fail everywhere is at fault as well.
        """
        endpoint.consecutive_errors += 1
        if any(attempt.outcome is AttemptOutcome.ERROR for attempt in request.attempts[:-1]):
            # After errors at two endpoints the request is at fault.
            self.retry_recovery_ratio -= self.retry_recovery_ratio / RECOVERY_SMOOTHING_REQUESTS
        elif self.retry_recovery_ratio > HIGH_RECOVERY_RATIO:
            self.count_as_in_flight(request, endpoint, now)
        has_too_many_errors = self.error_rate**endpoint.consecutive_errors < MAX_COINCIDENCE_PROBABILITY
        is_never_retried = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        if has_too_many_errors or is_never_retried and self.retry_recovery_ratio > HIGH_RECOVERY_RATIO:
            self.record_failure(endpoint, now)

    def record_served(self, request: Request, now: float) -> None:
        """Record a served request: the endpoints that answered it with an error before are at fault."""
        for attempt in request.attempts:
            if attempt.outcome is AttemptOutcome.ERROR:
                self.retry_recovery_ratio += (1 - self.retry_recovery_ratio) / RECOVERY_SMOOTHING_REQUESTS
                self.record_failure(attempt.endpoint, now)

    def count_as_in_flight(self, request: Request, endpoint: Endpoint, now: float) -> None:
        """Keep counting a failed attempt as in flight for a while: fast errors must not make an endpoint look idle."""
        endpoint.counted_in_flight_until.append(now + FAILED_LATENCY_MULTIPLE * request.typical_latency_ms())
