"""The load-balancing decisions of one proxy.

A host calls `Policy` according to `PolicyInterface`, and the policy acts through `PolicyHost`.  A request passes four stages,
each of which passes it on, keeps it or gives it up: load refresh (`load_refresh_stage.py`), admission (`admission.py`),
endpoint selection (`endpoint_selection.py`) and the attempt (`retry_policy.py`).  Every attempt, rejection and failure goes
through `safety_rules.py`.
"""

from collections.abc import Hashable, Sequence
from random import Random

from sloeferry.config.settings import Settings
from sloeferry.policy.admission import AdmissionController
from sloeferry.policy.attempt_feedback import AttemptFeedback
from sloeferry.policy.endpoint_polling import EndpointPolling
from sloeferry.policy.endpoint_selection import EndpointSelector
from sloeferry.policy.endpoint_staleness import NO_PLATFORM_LIMITS, StalenessLimits
from sloeferry.policy.extension_points import ExtensionPoints
from sloeferry.policy.fleet import FleetShare
from sloeferry.policy.health_checks import HealthChecks
from sloeferry.policy.interface import AttemptOutcome, EndpointEntry, EndpointId, ListScope, PolicyHost
from sloeferry.policy.load_refresh import LoadRefresher
from sloeferry.policy.load_refresh_stage import LoadRefreshStage
from sloeferry.policy.models import Models, build_models
from sloeferry.policy.request_classes import RequestClasses
from sloeferry.policy.request_table import RequestTable
from sloeferry.policy.requests import AttemptState, Request
from sloeferry.policy.retry_policy import RetryPolicy
from sloeferry.policy.safety_rules import SafetyRules
from sloeferry.policy.timers import Timers

SCOPES_WITHOUT_LIST = (ListScope.POLL_FAILED, ListScope.WATCH_ENDED)
RETRY_SLACK_TICKS = 2  # a client's retry with as much time left as a first request is treated as a first request


class Policy:
    """Decides for one instance, event by event of its host."""

    def __init__(
        self,
        host: PolicyHost,
        now: float,
        seed: int,
        settings: Settings,
        staleness_limits: StalenessLimits = NO_PLATFORM_LIMITS,
    ):
        self.settings = settings
        self.rng = Random(seed)
        self.timers = Timers(host)
        self.fleet = FleetShare(settings)
        self.extensions = ExtensionPoints()  # filled by the host
        self.classes = RequestClasses(settings)
        self.timers.max_stall_ms = self.classes.shortest_objective_ms
        self.tick_ms = settings.tick_ms
        self._has_affinity_keys = settings.has_affinity_keys
        self.polling = EndpointPolling(settings, host, self.timers, self.fleet, self.rng, now, staleness_limits)
        staleness = self.polling.staleness
        models = build_models(settings, host, self.timers, self.fleet, self.classes, staleness, self.extensions, self.rng, now)
        self.arrivals = models.arrivals
        self.affinity = models.affinity
        self.table = models.table
        self.slow_start = models.slow_start
        self.latency = models.latency
        self.load = models.load
        self.outliers = models.outliers
        self.attribution = models.attribution
        self.candidates = models.candidates
        self._build_stages(settings, host, models)

    def _build_stages(self, settings: Settings, host: PolicyHost, models: Models) -> None:
        """Build the stages that a request passes, the last one first."""
        rng, timers, extensions = self.rng, self.timers, self.extensions
        self.health_checks = HealthChecks(settings, host, timers, models.table, models.arrivals, models.reporting, rng)
        self.rules = SafetyRules(settings, host, timers, self.polling.staleness, models)
        self.selector = EndpointSelector(settings, models, self.rules, rng)
        self.requests = RequestTable(settings, timers, self.rules, extensions)
        self.retries = RetryPolicy(
            settings,
            host,
            timers,
            self.rules,
            self.requests,
            self.selector,
            models,
            self.health_checks,
            extensions,
            rng,
        )
        refresher = LoadRefresher(models, self.health_checks, rng)
        self.admission = AdmissionController(timers, self.requests, self.retries, self.selector, models, refresher)
        self.load_refresh = LoadRefreshStage(timers, self.requests, self.admission, refresher, models, extensions, rng)
        self.feedback = AttemptFeedback(models, self.rules)

    # Settings

    def update_settings(self, settings: Settings) -> None:
        """Apply other settings, in which classes and tenants keep their indexes (`Settings.aligned_with`).

        Open requests keep the classes under which they were accepted, and learned state is kept.  Settings that a component
        copied in its constructor remain unchanged: the source of load reports and whether health checks are allowed, costs,
        affinity keys, whether unlisted endpoints may be used, this instance's position in the fleet, and the tick.
        """
        self.settings = settings
        self.classes.update(settings)
        self.timers.max_stall_ms = self.classes.shortest_objective_ms
        for component in (self.slow_start, self.rules, self.requests, self.retries, self.attribution, self.polling):
            component.update(settings)
        self.latency.refresh()

    # The endpoint list

    def endpoints_listed(self, now: float, scope: ListScope, entries: Sequence[EndpointEntry], answers_poll: bool = True) -> None:
        """Process an endpoint list or a failed poll (`PolicyInterface`)."""
        if scope not in SCOPES_WITHOUT_LIST:
            if entries:
                self.health_checks.start(now)
            self.table.update(scope, entries)
            self.affinity.forget_rankings()
        if answers_poll and scope is not ListScope.CACHED and self.polling.is_list_polled:
            self.polling.poll_or_watch_ended(now, scope)

    # Requests

    def retry_after_if_rejected_ms(
        self, now: float, class_index: int, tenant_index: int, is_retry: bool, has_waited: bool
    ) -> float | None:
        """Return None if a request may be accepted, or else the Retry-After of its rejection (0.0: rejected without one)."""
        request_class = self.classes.all[class_index]
        delay_ms = self.extensions.retry_after_if_rejected_ms(now, request_class, tenant_index, is_retry, has_waited)
        if delay_ms is not None:
            self.arrivals.record_arrival(now)
        return delay_ms

    def request_arrived(
        self,
        now: float,
        request_id: int,
        class_index: int,
        tenant_index: int,
        affinity_key: Hashable,
        time_left_ms: float,
        cost_hint: float | None,
        is_retry: bool,
    ) -> None:
        """Accept a request (`PolicyInterface`)."""
        request_class = self.classes.all[class_index]
        key = affinity_key if self._has_affinity_keys else 0
        size = request_class.relative_size(cost_hint)
        request = Request(request_id, request_class, now, time_left_ms, tenant_index, key, size)
        request.trackers = self.classes.trackers_of(request_class, tenant_index)
        self.affinity.count(request.affinity_key)
        self.classes.record_weight(request.weight)
        self.arrivals.record_arrival(now)
        request_class.longest_time_left_ms = max(request_class.longest_time_left_ms, time_left_ms)
        if is_retry and time_left_ms < request_class.longest_time_left_ms - RETRY_SLACK_TICKS * self.tick_ms:
            # The client sent its first request that much earlier.
            request.objective_at = now + time_left_ms - (request_class.deadline_ms - request_class.objective_ms)
        self.requests.add(request, now)
        self.load_refresh.handle_request(request, now)

    def response_started(self, now: float, request_id: int, attempt_number: int) -> None:
        """Close the request, since its response is being sent and no other can follow.  Only the bench calls this."""
        self.client_left(now, request_id)

    def client_left(self, now: float, request_id: int) -> None:
        """Close a request that needs no answer of the policy: its client has disconnected, or none was decided in time."""
        if request := self.requests.by_id.get(request_id):
            self.requests.close(request)

    def body_outgrew_buffer(self, now: float, request_id: int, attempt_number: int) -> None:
        """Allow no further attempt and exclude this one from the success rates, since its duration depends on the client."""
        if request := self.requests.by_id.get(request_id):
            request.max_attempts = 0  # no further attempt
            attempt = request.attempts[attempt_number]
            for tracker in (*request.trackers, *attempt.endpoint.path_trackers):
                tracker.attempt_ended(now, attempt, None)

    # Attempts and health checks

    def attempt_ended(
        self,
        now: float,
        request_id: int,
        attempt_number: int,
        outcome: AttemptOutcome,
        is_answered: bool,
        took_ms: float,
        load_report: Sequence[float],
    ) -> None:
        """Process the end of an attempt (`PolicyInterface`)."""
        request = self.requests.by_id.get(request_id)
        if request is None or attempt_number >= len(request.attempts):
            return
        attempt = request.attempts[attempt_number]
        if attempt.state is not AttemptState.IN_FLIGHT:
            return
        self.feedback.attempt_ended(request, attempt, now, outcome, took_ms, load_report)
        if is_answered or request.is_answered:
            self.requests.close(request, outcome is AttemptOutcome.SERVED)
        elif self.retries.retry_or_give_up(request, now):
            self.admission.admit(request, now)
        self.admission.review(now)

    def health_check_ended(
        self, now: float, endpoint_id: EndpointId, outcome: AttemptOutcome, took_ms: float, load_report: Sequence[float]
    ) -> None:
        """Process the end of a health check (`PolicyInterface`)."""
        endpoint = self.table.by_id.get(endpoint_id)
        if endpoint is None:
            return
        self.feedback.health_check_ended(endpoint, now, outcome, load_report)
        self.load_refresh.health_check_ended(now)

    # Timers

    def timer_fired(self, now: float, token: int) -> None:
        """Run the timer whose wake-up is due."""
        self.timers.fire(now, token)
