"""All decisions of one proxy.  A host calls `Policy` as `PolicyInterface` says; it acts through `PolicyHost`.

A request passes four stages, each of which passes it on, keeps it or gives it up: fresh load reports
(`load_refresh_stage.py`), admission (`admission.py`), the choice of an endpoint (`endpoint_selection.py`) and the attempt
(`retry_policy.py`).  Whatever sends, rejects or fails goes through `safety_rules.py`.
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

NO_LIST = (ListScope.POLL_FAILED, ListScope.WATCH_ENDED)
RETRY_SLACK_TICKS = 2  # a retry whose time left is as long as a first try's is taken for a first try


class Policy:
    """The decisions of one instance: takes the host's events, one after the other."""

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
        self.extensions = ExtensionPoints()  # the host installs other subsystems' decisions here
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
        """What a request passes, the last stage first."""
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
        """Other settings, classes and tenants at the indexes that they had (`Settings.aligned_with`).

        Open requests keep the classes under which they were taken; what was learned goes on.  What a part copied in its
        constructor stays as it was: where load reports come from and whether health checks are allowed, costs, affinity
        keys, whether only draining binds, this instance's place in the fleet, the tick.
        """
        self.settings = settings
        self.classes.update(settings)
        self.timers.max_stall_ms = self.classes.shortest_objective_ms
        for part in (self.slow_start, self.rules, self.requests, self.retries, self.attribution, self.polling):
            part.update(settings)
        self.latency.refresh()

    # The endpoint list

    def endpoints_listed(self, now: float, scope: ListScope, entries: Sequence[EndpointEntry], answers_poll: bool = True) -> None:
        """A list came, or a poll failed (`PolicyInterface`)."""
        if scope not in NO_LIST:
            if entries:
                self.health_checks.start(now)
            self.table.update(scope, entries)
            self.affinity.forget_rankings()
        if answers_poll and scope is not ListScope.CACHED and self.polling.is_list_polled:
            self.polling.poll_or_watch_ended(now, scope)

    # Requests

    def rejection_delay_ms(
        self, now: float, class_index: int, tenant_index: int, is_retry: bool, has_waited: bool
    ) -> float | None:
        """Before a request is taken on: None if it may be, else the Retry-After of its rejection."""
        request_class = self.classes.all[class_index]
        delay = self.extensions.rejection_delay_ms(now, request_class, tenant_index, is_retry, has_waited)
        if delay is not None:
            self.arrivals.record_arrival(now)
        return delay

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
        """A request is taken on (`PolicyInterface`)."""
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
            # The client's first try began that much earlier.
            request.objective_at = now + time_left_ms - (request_class.deadline_ms - request_class.objective_ms)
        self.requests.add(request, now)
        self.load_refresh.handle_request(request, now)

    def response_started(self, now: float, request_id: int, attempt_number: int) -> None:
        """An attempt's response has begun to go out: nothing else can be done for its request.  Only the bench tells it."""
        self.client_left(now, request_id)

    def client_left(self, now: float, request_id: int) -> None:
        """The client has gone: the request needs no answer."""
        if request := self.requests.by_id.get(request_id):
            self.requests.close(request)

    def body_outgrew_buffer(self, now: float, request_id: int, attempt_number: int) -> None:
        """No other attempt can follow; and how long this one takes is the client's doing (`PolicyInterface`)."""
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
        """An attempt has ended (`PolicyInterface`)."""
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
        """A health check has ended (`PolicyInterface`)."""
        endpoint = self.table.by_id.get(endpoint_id)
        if endpoint is None:
            return
        self.feedback.health_check_ended(endpoint, now, outcome, load_report)
        self.load_refresh.health_check_ended(now)

    # Timers

    def timer_fired(self, now: float, token: int) -> None:
        """A wake-up is due."""
        self.timers.fire(now, token)
