"""Whether a class of requests, a tenant, a zone or a cell is at fault for late answers, rather than single endpoints.

A kind is a request class or a tenant; a path leads to a zone or to a cell.
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

# A kind of requests is at fault below the first rate in time, and no longer from the second on.
AT_FAULT_RATE, CLEARED_RATE = 0.2, 0.4
AT_FAULT_RELATIVE_RATE = 0.25  # and with less than so much of the best kind's rate
SUFFERED_RATE = 0.5  # what a kind is given at least that suffered from one at fault
BAD_PATH_RELATIVE_RATE = 0.5  # of the best path's rate: a path with less is bad
MIN_PATH_QUALITY = 0.05
NOTABLE_LOSS_FACTOR = 4  # times as many attempts lost as of any other class
REVIEWS_PER_OBJECTIVE = 16  # a review of all trackers costs time


class FaultAttribution:
    """Compares kinds of requests with each other, and paths with each other."""

    def __init__(self, settings: Settings, host: PolicyHost, classes: RequestClasses, table: EndpointTable):
        self._host = host
        self._classes = classes
        self._table = table
        self._reviewed_at = -inf
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Takes over whether attempts may be cancelled."""
        self._may_cancel = settings.limits.may_cancel

    def review(self, now: float, candidates: Sequence[Endpoint]) -> None:
        """Decides who is at fault, and rates the paths to the candidates.

        A kind of requests that is late wherever it goes holds places that others need: one at a time goes on, to tell when
        that has ended.  A path that is bad for this proxy alone shows in no load report: endpoints behind it count for less.
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
            self._judge_kind(kind, [*kinds, *paths])
        for path in paths:
            self._judge_path(path, now)
        for endpoint in candidates:
            zone, cell = endpoint.path_trackers
            health_checks = self._table.health_check_trackers[endpoint.zone]
            endpoint.path_quality = min(zone.relative_rate, cell.relative_rate, health_checks.relative_rate)

    def _path_groups(self) -> list[Collection[SuccessRateTracker]]:
        table = self._table
        return [group.values() for group in (table.zone_trackers, table.cell_trackers, table.health_check_trackers)]

    def _clear_if_all_at_fault(self, group: Collection[SuccessRateTracker], now: float) -> None:
        """Where all that are met are at fault, none of them is."""
        if all(each.is_at_fault for each in group if now - each.last_recorded_at < REPORT_MAX_AGE_MS):
            for each in group:
                each.is_at_fault = False

    def _judge_kind(self, kind: SuccessRateTracker, everything: Sequence[SuccessRateTracker]) -> None:
        was_at_fault = kind.is_at_fault
        if was_at_fault:  # once it jams all endpoints, others do no better: it is cleared by what it does itself
            kind.is_at_fault = kind.rate < CLEARED_RATE
        else:
            kind.is_at_fault = kind.rate < AT_FAULT_RATE and kind.relative_rate < AT_FAULT_RELATIVE_RATE
        if was_at_fault or not kind.is_at_fault:
            return
        for each in everything:  # what the others suffered from it is held against nobody
            if not each.is_at_fault:
                each.rate = max(each.rate, SUFFERED_RATE)
            each.uncounted_attempts.clear()
        if self._may_cancel:
            for attempt in kind.open_attempts:
                request = attempt.request
                self._host.cancel_attempt(request.request_id, request.attempts.index(attempt))

    def _judge_path(self, path: SuccessRateTracker, now: float) -> None:
        """What was told of a bad path is believed ever less, or it would never be tried again."""
        believed = 1 - (1 - path.relative_rate) * 0.5 ** ((now - path.last_recorded_at) / REPORT_MAX_AGE_MS)
        path.relative_rate = max(MIN_PATH_QUALITY, believed) if believed < BAD_PATH_RELATIVE_RATE else 1.0

    def is_loss_likely(self, request_class: RequestClass, endpoint: Endpoint) -> bool:
        """Whether an attempt that is overdue there is lost: its path is bad, or its class loses far more than the others."""
        if endpoint.path_quality < 1.0:
            return True
        if request_class.loss_rate <= HIGH_LOSS_RATE:
            return False
        others = [
            each.loss_rate for each in self._classes.all if each is not request_class and each.can_be_compared_with(request_class)
        ]
        return bool(others) and request_class.loss_rate > NOTABLE_LOSS_FACTOR * max(others)
