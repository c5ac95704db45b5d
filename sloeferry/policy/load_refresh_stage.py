"""Refreshes load reports before a request is admitted, in waves of health checks until one endpoint is idle.

With many endpoints some are idle, even when the first few checked are busy.
"""

from random import Random
from typing import NamedTuple

from sloeferry.policy.admission import AdmissionController
from sloeferry.policy.extension_points import ExtensionPoints
from sloeferry.policy.load_refresh import LoadRefresher, PendingReport
from sloeferry.policy.models import Models
from sloeferry.policy.request_table import RequestTable
from sloeferry.policy.requests import Request
from sloeferry.policy.timers import Timers

MAX_WAVES = 4  # of health checks per request
# Ratio of the latency objective: a host whose event loop is later than this makes every request late by accepting more.
MAX_LATENESS_RATIO = 1 / 4


class _Waiting(NamedTuple):
    """A request that waits for load reports."""

    request: Request
    reports: tuple[PendingReport, ...]
    waves_left: int


class LoadRefreshStage:
    """Holds requests until fresh load reports arrive, for a few ticks at most."""

    def __init__(
        self,
        timers: Timers,
        requests: RequestTable,
        admission: AdmissionController,
        load_refresher: LoadRefresher,
        models: Models,
        extensions: ExtensionPoints,
        rng: Random,
    ):
        self._timers = timers
        self._requests = requests
        self._admission = admission
        self._load_refresher = load_refresher
        self._table = models.table
        self._arrivals = models.arrivals
        self._check_timeout_ms = models.check_timeout_ms
        self._extensions = extensions
        self._rng = rng
        self._waiting: list[_Waiting] = []

    def handle_request(self, request: Request, now: float) -> None:
        """Shed an accepted request, or refresh load reports for it and then pass it to admission."""
        if self._should_shed(request):
            self._requests.give_up(request, request.request_class.objective_ms)
            return
        self._load_refresher.budget.earn()
        # Where requests arrive faster than health checks are answered, checks only add to the work that delays this proxy.
        self._request_reports(request, now, 0 if self._arrivals.is_faster_than_health_checks() else MAX_WAVES)

    def _should_shed(self, request: Request) -> bool:
        """Return whether to shed the request because this proxy is late; never where overload control is installed for that."""
        if self._extensions:
            return False
        excess_ratio = self._timers.lateness_ms / MAX_LATENESS_RATIO / request.request_class.objective_ms - 1
        return excess_ratio > 0 and self._rng.random() < excess_ratio

    def _request_reports(self, request: Request, now: float, waves_left: int) -> None:
        reports = tuple(self._load_refresher.refresh(now)) if waves_left else ()
        if not reports:
            self._admission.admit(request, now)
            return
        waiting = _Waiting(request, reports, waves_left)
        self._waiting.append(waiting)
        self._timers.schedule(now + self._check_timeout_ms, self._resume, waiting)

    def health_check_ended(self, now: float) -> None:
        """Resume the requests that wait for no other health check, after one has ended."""
        for waiting in list(self._waiting):
            if not any(report.is_outstanding() for report in waiting.reports):
                self._resume(now, waiting)
        self._admission.review(now)

    def _resume(self, now: float, waiting: _Waiting) -> None:
        if waiting not in self._waiting:
            return
        self._waiting.remove(waiting)
        self._table.invalidate_candidates()  # or an endpoint that was not checked would keep its old rank
        if not waiting.request.is_answered:
            self._request_reports(waiting.request, now, waiting.waves_left - 1)
