"""Attributes late answers to a request class, a tenant, a zone or a cell rather than to single endpoints.

A request kind is a request class or a tenant; a path leads to a zone or to a cell.
"""

from collections.abc import Collection, Sequence
from itertools import chain
from math import inf

from sloeferry.config.settings import Settings
from sloeferry.policy.endpoint_table import EndpointTable
from sloeferry.policy.endpoints import Endpoint
from sloeferry.policy.interface import PolicyHost
from sloeferry.policy.load_reporting import REPORT_MAX_AGE_MS
from sloeferry.policy.request_classes import HIGH_LOSS_RATE, RequestClass, RequestClasses
from sloeferry.policy.success_rate import SuccessRateTracker, update_relative_rates

# Success rates below which a request kind is at fault, and from which on it no longer is.
AT_FAULT_RATE, CLEARED_RATE = 0.2, 0.4
AT_FAULT_RELATIVE_RATE = 0.25  # a kind at fault is also below this ratio of the best kind's rate
MIN_RATE_AFTER_FAULT = 0.5  # least success rate of the other kinds and paths once one kind is found at fault
BAD_PATH_RELATIVE_RATE = 0.5  # a path below this ratio of the best path's rate is bad
MIN_PATH_QUALITY = 0.05
HIGH_LOSS_MULTIPLE = 4  # multiple of the highest loss rate of any other class
REVIEWS_PER_OBJECTIVE = 16  # per latency objective; limited because a review of all trackers costs time


class FaultAttribution:
    """Compares the success rates of request kinds with each other, and those of paths with each other."""

    def __init__(self, settings: Settings, host: PolicyHost, classes: RequestClasses, table: EndpointTable):
        self._host = host
        self._classes = classes
        self._table = table
        self._reviewed_at = -inf
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Apply changed settings: whether attempts may be cancelled."""
        self._may_cancel = settings.limits.may_cancel

    def review(self, now: float, candidates: Sequence[Endpoint]) -> None:
        """Update which request kinds are at fault and the quality of the paths to the candidates.

        A request kind that is late at all endpoints takes capacity from the others.  It is limited to one attempt at a time,
        which shows when it recovers.  A path that is bad for this proxy alone appears in no load report; therefore the
        endpoints behind it get a lower path quality.
        """
        if now < self._reviewed_at + self._classes.shortest_objective_ms / REVIEWS_PER_OBJECTIVE:
            return
        self._reviewed_at = now
        kind_groups = (self._classes.class_trackers, self._classes.tenant_trackers)
        path_groups = self._path_groups()
        for group in (*kind_groups, *path_groups):
            update_relative_rates(group, now, REPORT_MAX_AGE_MS)
        for group in kind_groups:
            self._clear_if_all_at_fault(group, now)
        kinds = [*chain(*kind_groups)]
        paths = [*chain(*path_groups)]
        for kind in kinds:
            self._review_kind(kind, [*kinds, *paths])
        for path in paths:
            self._review_path(path, now)
        for endpoint in candidates:
            zone, cell = endpoint.path_trackers
            health_checks = self._table.health_check_trackers[endpoint.zone]
            endpoint.path_quality = min(zone.relative_rate, cell.relative_rate, health_checks.relative_rate)

    def _path_groups(self) -> list[Collection[SuccessRateTracker]]:
        table = self._table
        return [group.values() for group in (table.zone_trackers, table.cell_trackers, table.health_check_trackers)]

    def _clear_if_all_at_fault(self, group: Collection[SuccessRateTracker], now: float) -> None:
        """Clear all trackers of the group if every one with a recent record is at fault: then the cause lies elsewhere."""
        if all(each.is_at_fault for each in group if now - each.last_recorded_at < REPORT_MAX_AGE_MS):
            for each in group:
                each.is_at_fault = False

    def _review_kind(self, kind: SuccessRateTracker, all_trackers: Sequence[SuccessRateTracker]) -> None:
        was_at_fault = kind.is_at_fault
        # A kind that overloads all endpoints makes the others as late as itself; therefore only its own rate clears it.
        if was_at_fault:
            kind.is_at_fault = kind.rate < CLEARED_RATE
        else:
            kind.is_at_fault = kind.rate < AT_FAULT_RATE and kind.relative_rate < AT_FAULT_RELATIVE_RATE
        if was_at_fault or not kind.is_at_fault:
            return
        for each in all_trackers:  # the late attempts that this kind caused don't count against the others
            if not each.is_at_fault:
                each.rate = max(each.rate, MIN_RATE_AFTER_FAULT)
            each.attempts_to_count.clear()
        if self._may_cancel:
            for attempt in kind.open_attempts:
                request = attempt.request
                self._host.cancel_attempt(request.request_id, request.attempts.index(attempt))

    def _review_path(self, path: SuccessRateTracker, now: float) -> None:
        """Raise a low relative rate towards 1 with its age; otherwise the path would never be tried again."""
        decayed_rate = 1 - (1 - path.relative_rate) * 0.5 ** ((now - path.last_recorded_at) / REPORT_MAX_AGE_MS)
        path.relative_rate = max(MIN_PATH_QUALITY, decayed_rate) if decayed_rate < BAD_PATH_RELATIVE_RATE else 1.0

    def is_loss_likely(self, request_class: RequestClass, endpoint: Endpoint) -> bool:
        """Return whether an overdue attempt at the endpoint is probably lost.

        It is if the path is bad, or if the class loses far more attempts than the others.
        """
        if endpoint.path_quality < 1.0:
            return True
        if request_class.loss_rate <= HIGH_LOSS_RATE:
            return False
        others = [
            each.loss_rate for each in self._classes.all if each is not request_class and each.can_be_compared_with(request_class)
        ]
        return bool(others) and request_class.loss_rate > HIGH_LOSS_MULTIPLE * max(others)
