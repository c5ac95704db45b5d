"""Retries and hedged requests: further attempts after one that failed, and beside or instead of one that is silent."""

from random import Random

from sloeferry.config.settings import Idempotency, Settings
from sloeferry.policy.endpoint_selection import EndpointSelector
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.extension_points import ExtensionPoints
from sloeferry.policy.health_checks import HealthChecks
from sloeferry.policy.interface import AttemptOutcome, PolicyHost
from sloeferry.policy.models import Models
from sloeferry.policy.outlier_detection import HIGH_RECOVERY_RATIO
from sloeferry.policy.request_table import RequestTable
from sloeferry.policy.requests import Attempt, AttemptState, Request
from sloeferry.policy.safety_rules import SafetyRules
from sloeferry.policy.timers import Timers

# Smallest probability of an answer within the latency objective with which a retry or a hedged attempt is sent.
MIN_RETRY_PROBABILITY, MIN_HEDGE_PROBABILITY = 0.1, 0.3
# Where most errors are caused by the requests, this part of them is still retried, to detect when that has ended.
ERROR_RETRY_RATIO = 0.2
REVIEWS_PER_TYPICAL_LATENCY = 4
LAST_RETRY_TICKS = 2  # before the deadline: a later retry could not be answered in time


class RetryPolicy:
    """Sends every attempt, including the first, reviews attempts in flight, and retries failed ones."""

    def __init__(
        self,
        settings: Settings,
        host: PolicyHost,
        timers: Timers,
        rules: SafetyRules,
        requests: RequestTable,
        selector: EndpointSelector,
        models: Models,
        health_checks: HealthChecks,
        extensions: ExtensionPoints,
        rng: Random,
    ):
        self._host = host
        self._timers = timers
        self._rules = rules
        self._requests = requests
        self._selector = selector
        self._latency = models.latency
        self._attribution = models.attribution
        self._outliers = models.outliers
        self._reporting = models.reporting
        self._check_timeout_ms = models.check_timeout_ms
        self._health_checks = health_checks
        self._extensions = extensions
        self._rng = rng
        self._tick_ms = settings.tick_ms
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Apply the setting that allows cancelling attempts."""
        self._may_cancel = settings.limits.may_cancel

    def send(self, request: Request, endpoint: Endpoint, now: float, expected_ms: float) -> None:
        """Send an attempt and schedule its review; give the request up if a safety rule forbids the attempt."""
        attempt = self._rules.send(request, endpoint, now, expected_ms)
        if attempt is None:
            if not request.has_attempt_in_flight():
                self._requests.give_up(request)
            return
        request_class = request.request_class
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            # A review could not replace the attempt: rule 2 forbids another one while this one may have run.
            return
        review_at = now + self._latency.review_after_ms(expected_ms, self._rules.may_hedge)
        if self._attribution.is_loss_likely(request_class, endpoint):
            review_at = attempt.overdue_at
        self._timers.schedule(review_at, self._review, request, attempt)

    def _review(self, now: float, request: Request, attempt: Attempt, was_checked: bool = False) -> None:
        """Check an attempt that takes long, and replace it if it is lost.

        Its endpoint may have stalled, its connection may be dead without notice, or the work may just be long.
        """
        if request.is_answered or attempt.state is not AttemptState.IN_FLIGHT or now >= request.objective_at:
            return
        endpoint, may_hedge = attempt.endpoint, self._rules.may_hedge
        is_lost = may_hedge and attempt.is_overtaken() or self._is_overdue_and_lost(request, attempt, now)
        wait_ends = attempt.sent_at + self._latency.longest_ms
        if not is_lost and may_hedge and now < wait_ends:
            self._timers.schedule(wait_ends, self._review, request, attempt)
            return
        if not (is_lost or self._reporting.reports_only_with_health_checks or was_checked):
            self._health_checks.send(endpoint, now)
            self._timers.schedule(now + self._check_timeout_ms + self._tick_ms, self._review, request, attempt, True)
            return
        is_lost = is_lost or self._outliers.is_unresponsive(endpoint, now)
        if is_lost and self._replace(request, attempt, now):
            return
        next_review = now + request.request_class.typical_latency_ms() / REVIEWS_PER_TYPICAL_LATENCY
        self._timers.schedule(next_review, self._review, request, attempt)

    def _is_overdue_and_lost(self, request: Request, attempt: Attempt, now: float) -> bool:
        is_overdue = now >= attempt.overdue_at
        return is_overdue and self._attribution.is_loss_likely(request.request_class, attempt.endpoint)

    def _replace(self, request: Request, attempt: Attempt, now: float) -> bool:
        """Hedge a lost attempt, or cancel it so that a retry can follow; return whether either was done."""
        if not (self._rules.may_attempt(request, now, instead_of=attempt) and self._extensions.may_retry(now, request)):
            return False
        choice = self._selector.choose(request, now, [each.endpoint for each in request.attempts])
        if choice.endpoint is None or choice.success_probability <= MIN_HEDGE_PROBABILITY:
            return False
        if self._rules.may_hedge:
            self.send(request, choice.endpoint, now, choice.expected_ms)
            return True
        if self._may_cancel:
            self._host.cancel_attempt(request.request_id, request.attempts.index(attempt))
            return True
        return False

    def retry_or_give_up(self, request: Request, now: float) -> bool:
        """Retry the request after an attempt that ended without its answer, or give it up.

        Return True if the request has to pass admission again: its attempts provably never ran, and no endpoint is likely
        to answer in time.
        """
        if request.is_answered or request.has_attempt_in_flight():
            return False
        if self._is_retry_excluded(request, now):
            self._requests.give_up(request)
            return False
        choice = self._selector.choose(request, now, [each.endpoint for each in request.attempts])
        if (
            choice.endpoint is not None
            and choice.success_probability > MIN_RETRY_PROBABILITY
            and self._rules.may_attempt(request, now)
            and self._extensions.may_retry(now, request)
        ):
            self.send(request, choice.endpoint, now, choice.expected_ms)
            return False
        if not request.attempts_that_may_have_run():
            return True
        self._requests.give_up(request)
        return False

    def _is_retry_excluded(self, request: Request, now: float) -> bool:
        """Return whether a retry would fail or do harm.

        That is so where its body has outgrown the buffer, where no time is left, where its class or tenant is at fault, and, but
        for a random sample, where errors are mostly caused by the requests.
        """
        if not request.max_attempts or request.is_at_fault():
            return True
        if now >= request.deadline - LAST_RETRY_TICKS * self._tick_ms:
            return True
        has_erred = request.attempts[-1].outcome is AttemptOutcome.ERROR
        if not (has_erred and self._outliers.retry_recovery_ratio < HIGH_RECOVERY_RATIO):
            return False
        return self._rng.random() > ERROR_RETRY_RATIO
