"""Updates the models of endpoints, request classes and the fleet when attempts and health checks end."""

from collections.abc import Sequence

from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.interface import AttemptOutcome
from sloeferry.policy.load_reporting import REPORT_MAX_AGE_MS
from sloeferry.policy.models import Models
from sloeferry.policy.requests import UNINFORMATIVE_OUTCOMES, Attempt, Request
from sloeferry.policy.safety_rules import SafetyRules

GIVEN_UP_OUTCOMES = (AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED)
# An attempt that was given up is learned with its duration times this factor, since it would have taken longer.
GIVEN_UP_LATENCY_MULTIPLE = 1.5
VERY_LATE_MULTIPLE = 2  # multiple of the expected latency


class AttemptFeedback:
    """Reports the ends of attempts and health checks to the models."""

    def __init__(self, models: Models, rules: SafetyRules):
        self._table = models.table
        self._latency = models.latency
        self._outliers = models.outliers
        self._attribution = models.attribution
        self._reporting = models.reporting
        self._rules = rules

    def load_reported(self, endpoint: Endpoint, now: float, load_report: Sequence[float]) -> None:
        """Record an answer of the endpoint and its load report, which may be empty."""
        endpoint.unanswered_since = now if endpoint.own_in_flight else None
        self._table.activate(endpoint)
        index = self._reporting.in_flight_index
        if index is not None and len(load_report) > index:
            endpoint.others_in_flight = max(0.0, round(load_report[index]) - endpoint.own_in_flight)
            endpoint.reported_at = now

    def attempt_ended(
        self, request: Request, attempt: Attempt, now: float, outcome: AttemptOutcome, took_ms: float, report: Sequence[float]
    ) -> None:
        """Update the models after an attempt has ended."""
        endpoint = attempt.endpoint
        attempt.end(now, outcome)
        if report:
            self.load_reported(endpoint, now, report)
        self._outliers.record_outcome(outcome, attempt.opens_connection)
        if outcome is AttemptOutcome.SERVED:
            self._handle_served(request, attempt, now, took_ms)
        elif outcome in GIVEN_UP_OUTCOMES:
            self._handle_given_up(request, attempt, now, outcome, took_ms)
        elif outcome is AttemptOutcome.ERROR:
            self._outliers.record_error(request, endpoint, now)
        elif outcome not in UNINFORMATIVE_OUTCOMES:
            self._handle_failed(request, attempt, now, outcome)
        if outcome is not AttemptOutcome.TIMED_OUT and not endpoint.own_in_flight:
            endpoint.unanswered_since = None

    def _handle_served(self, request: Request, attempt: Attempt, now: float, took_ms: float) -> None:
        endpoint = attempt.endpoint
        endpoint.consecutive_failures, endpoint.ejected_until, endpoint.consecutive_errors = 0, 0.0, 0
        endpoint.class_ejections.pop(request.request_class, None)
        endpoint.last_served_sent_at.append(attempt.sent_at)
        self._latency.learn(request, attempt, took_ms, now, self._table.ready)
        self._outliers.record_served(request, now)

    def _handle_given_up(self, request: Request, attempt: Attempt, now: float, outcome: AttemptOutcome, took_ms: float) -> None:
        """Handle a timed out or cancelled attempt, whose cause may be the endpoint, the connection or the request."""
        endpoint, request_class = attempt.endpoint, request.request_class
        is_slow = took_ms > attempt.expected_ms and endpoint.path_quality == 1.0
        # An endpoint that answers no health check loses the attempts of all classes, not of this one alone.
        is_check_unanswered = bool(endpoint.health_checks_in_flight) and self._outliers.is_unresponsive(endpoint, now)
        is_class_lost = request_class in endpoint.class_ejections or self._attribution.is_loss_likely(request_class, endpoint)
        if is_slow and not is_check_unanswered and is_class_lost:
            endpoint.eject_for(request_class, now, REPORT_MAX_AGE_MS)  # for this class alone: the endpoint may serve others
        elif is_slow and not (self._rules.may_hedge and attempt.is_overtaken()):
            self._latency.learn(request, attempt, took_ms * GIVEN_UP_LATENCY_MULTIPLE, now, self._table.ready, outcome)
        if self._reporting.is_report_age_unknown:  # still runs at the endpoint, and no report shows it in time
            endpoint.counted_in_flight_until.append(now + took_ms)
        is_timed_out = outcome is AttemptOutcome.TIMED_OUT
        is_very_late = is_timed_out and took_ms > VERY_LATE_MULTIPLE * attempt.expected_ms
        is_outlier = self._reporting.is_report_age_unknown and is_very_late or self._outliers.is_unresponsive(endpoint, now)
        if is_outlier and not (request.is_at_fault() or endpoint.is_ejected_for(request_class, now)):
            self._outliers.record_failure(endpoint, now)

    def _handle_failed(self, request: Request, attempt: Attempt, now: float, outcome: AttemptOutcome) -> None:
        """Handle an attempt that was rejected or whose connection failed."""
        endpoint = attempt.endpoint
        self._outliers.count_as_in_flight(request, endpoint, now)
        # An endpoint with open connections that refuses another one is at its connection limit, but serves requests.
        if outcome is not AttemptOutcome.UNREACHABLE or endpoint.open_connections <= 0:
            self._outliers.record_failure(endpoint, now)
        if outcome is AttemptOutcome.REJECTED:  # overloaded, even if its load report says otherwise
            took_ms = max(attempt.expected_ms, request.request_class.objective_ms)
            self._latency.learn(request, attempt, took_ms, now, self._table.ready, outcome)

    def health_check_ended(self, endpoint: Endpoint, now: float, outcome: AttemptOutcome, load_report: Sequence[float]) -> None:
        """Update the models after a health check has ended."""
        del endpoint.health_checks_in_flight[:1]
        is_served = outcome is AttemptOutcome.SERVED
        is_informative = outcome not in UNINFORMATIVE_OUTCOMES
        if self._reporting.reports_only_with_health_checks and is_informative:
            # Tracked separately from attempts: health checks may succeed on a path where attempts are lost.
            self._table.health_check_trackers[endpoint.zone].record(now, is_served)
        if is_served:
            self.load_reported(endpoint, now, load_report)
        elif is_informative:
            self._outliers.record_failure(endpoint, now)
