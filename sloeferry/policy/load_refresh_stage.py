"""Before a request is admitted: the least loaded endpoints are asked, a few at a time, until one is idle.

Among many endpoints some are idle, however busy the first few are.
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

MAX_WAVES = 4  # of health checks for one request
# A host later than this part of the latency objective makes all requests late by what it takes on.
MAX_LATENESS_RATIO = 1 / 4


class _Waiting(NamedTuple):
    """A request that waits for reports."""

    request: Request
    reports: tuple[PendingReport, ...]
    waves_left: int


class LoadRefreshStage:
    """Has requests wait for fresh load reports, for a few ticks at most."""

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
        """A request was taken on."""
        if self._sheds_for_lateness(request):
            self._requests.give_up(request, request.request_class.objective_ms)
            return
        self._load_refresher.budget.earn()
        # Where requests come faster than an answer, asking only adds to the work that keeps this proxy from them.
        self._ask(request, now, 0 if self._arrivals.is_faster_than_health_checks() else MAX_WAVES)

    def _sheds_for_lateness(self, request: Request) -> bool:
        """Whether the request is shed since this proxy is behind; where overload control is installed, that sees to it."""
        if self._extensions:
            return False
        excess = self._timers.lateness_ms / MAX_LATENESS_RATIO / request.request_class.objective_ms - 1
        return excess > 0 and self._rng.random() < excess

    def _ask(self, request: Request, now: float, waves_left: int) -> None:
        reports = tuple(self._load_refresher.refresh(now)) if waves_left else ()
        if not reports:
            self._admission.admit(request, now)
            return
        waiting = _Waiting(request, reports, waves_left)
        self._waiting.append(waiting)
        self._timers.schedule(now + self._check_timeout_ms, self._go_on, waiting)

    def health_check_ended(self, now: float) -> None:
        """A health check has ended: what waited for no other one goes on."""
        for waiting in list(self._waiting):
            if not any(report.is_outstanding() for report in waiting.reports):
                self._go_on(now, waiting)
        self._admission.review(now)

    def _go_on(self, now: float, waiting: _Waiting) -> None:
        if waiting not in self._waiting:
            return
        self._waiting.remove(waiting)
        self._table.invalidate_candidates()  # else an endpoint that was not asked still looks as idle as before
        if not waiting.request.is_answered:
            self._ask(waiting.request, now, waiting.waves_left - 1)
