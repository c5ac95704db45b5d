"""Health checks of endpoints, whose responses also carry load reports."""

from sloeferry import environment
from sloeferry.dispatch.attempt_end import AttemptEnd
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.network import protocol
from sloeferry.network.connection_pool import ConnectionPool
from sloeferry.network.deadline_timers import DeadlineTimers
from sloeferry.network.exchange import Exchange, ExchangePlan
from sloeferry.network.http1 import writer
from sloeferry.network.http1.message import Message
from sloeferry.network.load_reports import NO_REPORT, LoadReportReader
from sloeferry.network.task_set import TaskSet


class HealthChecker:
    """Runs the health checks that the policy commands."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        timers: DeadlineTimers,
        load_reports: LoadReportReader,
        tasks: TaskSet,
    ):
        self._dispatcher = dispatcher
        self._pool = pool
        self._timers = timers
        self._load_reports = load_reports
        self._tasks = tasks
        path = protocol.LOAD_PATH if load_reports.fields else protocol.HEALTH_PATH
        self._request = writer.request(b"GET", path, [(b"Host", protocol.BACKEND_HOST)])

    async def run(self) -> None:
        """Run health checks as they are commanded, until cancelled."""
        while True:
            command = await self._dispatcher.host.health_check_commands.next()
            self._tasks.spawn(self._check(command.endpoint_id))

    async def _check(self, endpoint_id: str) -> None:
        # The connect timeout bounds the whole check.
        started_at = environment.monotonic_ms()
        plan = ExchangePlan(
            endpoint_id,
            started_at + self._pool.connect_timeout_ms,
            may_begin=lambda: self._dispatcher.may_begin_health_check(endpoint_id),
            make_request=lambda: self._request,
            recognizes=self._is_report_if_expected,
        )
        result = await Exchange(plan, self._dispatcher, self._pool, self._timers).run()
        end, load_report, response = result.end, NO_REPORT, result.response
        if response:
            end = AttemptEnd.SERVED if response.status == 200 else AttemptEnd.ERROR
            load_report = self._load_reports.read(response.body())
            if response.body_stream:
                response.body_stream.close()
        duration_ms = environment.monotonic_ms() - started_at
        self._dispatcher.health_check_ended(endpoint_id, result.progress, end, duration_ms, load_report)

    def _is_report_if_expected(self, response: Message) -> bool:
        """Return whether a response has the form of one to a health check: a load report, where the settings have any.

        Another response may be a duplicate of one to an earlier request, in which case that to the health check is still due.
        """
        return not self._load_reports.fields or self._load_reports.read(response.body()) is not NO_REPORT
