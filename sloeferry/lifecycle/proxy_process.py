"""One proxy, from its start to its end: builds the parts, serves, and leaves on SIGTERM."""

import asyncio
import math
import os
import signal
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from loguru import logger

from sloeferry import environment
from sloeferry.config.errors import ConfigError
from sloeferry.config.instance import Address, InstanceConfig
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.lifecycle.reload import ConfigReload
from sloeferry.lifecycle.state import Lifecycle
from sloeferry.lifecycle.takeover import Takeover
from sloeferry.network.admin_server import AdminServer
from sloeferry.network.attempt import AttemptRunner
from sloeferry.network.buffers import BufferPool
from sloeferry.network.client_server import ClientServer
from sloeferry.network.connection_pool import ConnectionPool
from sloeferry.network.deadline_timers import DeadlineTimers
from sloeferry.network.descriptor_budget import DescriptorBudget
from sloeferry.network.discovery_client import DiscoveryClient
from sloeferry.network.health_checker import HealthChecker
from sloeferry.network.load_reports import LoadReportReader
from sloeferry.network.task_set import TaskSet

RESERVED_DESCRIPTORS = 32  # that are no connection to a client or backend
BIND_TIMEOUT_SECONDS = 2.0  # that an earlier process may take to let go of an address
BIND_ATTEMPTS = 40


class PolicyTimer:
    """Calls the dispatcher when a timer of the policy is due."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None
        self.dispatcher: Dispatcher | None = None  # set once it is built

    def wake_at(self, at: float) -> None:
        """Calls it by that time (ms) instead of later; rounded up, so that no timer is early."""
        if self._handle:
            self._handle.cancel()
        delay_ms = max(0, math.ceil(at - environment.monotonic_ms()))
        self._handle = self._loop.call_later(delay_ms / 1000, self._run)

    def _run(self) -> None:
        self._handle = None
        if self.dispatcher is None:
            return
        try:
            self.dispatcher.run_due_timers()
        except Exception as error:  # one decision that failed must not stop the clock of all others
            logger.opt(exception=True).error("timer failed: error={!r}", error)
        next_timer_at = self.dispatcher.host.next_timer_at
        if next_timer_at is not None:
            self.wake_at(next_timer_at)


class ProxyProcess:
    """The parts of one proxy."""

    def __init__(self, config: InstanceConfig, environ: Mapping[str, str]):
        loop = self._loop = asyncio.get_running_loop()
        timer = PolicyTimer(loop)
        self.dispatcher = timer.dispatcher = Dispatcher(config.seed, config.settings, timer.wake_at)
        # Half for either side, each with a budget of its own: a request needs a place on both, and strangers that crowd in
        # at the listener must not cost a connection to a backend, nor those keep a client out.
        limit = (config.max_descriptors - RESERVED_DESCRIPTORS) // 2
        client_budget, backend_budget, buffers = DescriptorBudget(limit), DescriptorBudget(limit), BufferPool()
        self.lifecycle = Lifecycle()
        self._takeover = _find_takeover(loop, config, environ)
        if self._takeover and self._takeover.snapshot:
            endpoints = self._takeover.snapshot.endpoints
            config = replace(config, cached_endpoints=endpoints or config.cached_endpoints)
        self._config = config
        self._environ = environ
        tasks, timers = TaskSet(loop), DeadlineTimers(loop)
        load_reports = LoadReportReader(config.settings)
        self.pool = ConnectionPool(loop, config.settings, backend_budget, buffers)
        self.attempts = AttemptRunner(self.dispatcher, self.pool, timers, load_reports)
        self.health_checker = HealthChecker(self.dispatcher, self.pool, timers, load_reports, tasks)
        is_another_serving = bool(self._takeover and self._takeover.store.find_peers().ready)
        self.discovery = DiscoveryClient(
            loop,
            self.dispatcher,
            config,
            backend_budget,
            buffers,
            self.pool,
            self.lifecycle,
            is_another_serving,
        )
        self.dispatcher.loop_monitor.catch_up = self.discovery.catch_up
        self.clients = ClientServer(loop, self.dispatcher, config, client_budget, buffers, self.attempts, tasks, self.lifecycle)
        self.admin = AdminServer(loop, self.lifecycle, buffers, self.clients.connection_counts, self.dispatcher.guard_figures)
        self.reload = ConfigReload(
            config,
            environ,
            (self.dispatcher, self.clients, self.pool, self.discovery),
            self.discovery.update_address,
        )

    async def run(
        self, has_pending_reload: Callable[[], bool], on_built: Callable[[Dispatcher], None] = lambda dispatcher: None
    ) -> None:
        """Serves until SIGTERM; `on_built` is called once all is built and nothing has come yet."""
        features = _read_features(self._environ)
        try:
            await self._startup(features, has_pending_reload, on_built)
            await self._stopping.wait()
            await self._shutdown()
        finally:
            self.close()

    async def _startup(
        self, features: Any, has_pending_reload: Callable[[], bool], on_built: Callable[[Dispatcher], None]
    ) -> None:
        config = self._config
        await _bind(self.clients.listener.bind, "listen", config.listen)
        if config.admin_address:
            await _bind(self.admin.bind, "ops", config.admin_address)
        self._stopping = asyncio.Event()
        self._loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._start_tasks(features)
        if has_pending_reload():  # the file may be newer than what was read
            self.reload()
        on_built(self.dispatcher)
        self.clients.listener.open()
        logger.info("{} listens on {}:{}", config.name, *config.listen)

    def _start_tasks(self, features: Any) -> None:
        work = [
            self.health_checker.run(),
            self.pool.sweep(),
            self.discovery.run(),
            self.clients.sweeper.sweep(),
            self.clients.sweeper.check_loop_and_requests(),
        ]
        self._tasks = [self._loop.create_task(each) for each in work]
        if features and features.versions.tell:
            self._install_recorder(features)
        if self._takeover:
            self._takeover.attach(self.dispatcher, self.lifecycle, self.discovery, self.clients, self.pool)
            self._tasks.append(self._loop.create_task(self._takeover.run()))
        for task in self._tasks:  # none of them ends by itself
            task.add_done_callback(lambda task: self._stopping.set())

    def _install_recorder(self, features: Any) -> None:
        from sloeferry.decision_log.recorder import DecisionRecorder  # where nobody asks for it, it is not imported

        recorder = DecisionRecorder(self.dispatcher, self._config, features.versions.carry)
        self.reload.recorder = self.discovery.recorder = recorder
        if features.versions.bring_up:
            recorder.allow_bring_up(self.discovery.poll_complete_list, self.reload)
        self.admin.routes.update(recorder.admin_calls())
        if self.discovery.known_endpoints and self.discovery.revision is not None:
            recorder.list_applied(self.discovery.revision, self.discovery.known_endpoints)

    async def _shutdown(self) -> None:
        for task in self._tasks:
            if task.done():
                logger.error("task ended by itself: task={!r}", task)
        await self.clients.shutdown.run()
        logger.info("shutdown ends: send_guard={}", self.dispatcher.guard_figures())

    def close(self) -> None:
        """Ends what is open."""
        if self._takeover:
            self._takeover.close()
        self.admin.close()
        self.clients.close()
        self.pool.close()


def _find_takeover(loop: asyncio.AbstractEventLoop, config: InstanceConfig, environ: Mapping[str, str]) -> Takeover | None:
    """Where the platform holds the clients' socket, one process may take over from another."""
    folder = environ.get("TMPDIR")
    if config.inherited_listener_fd is None or not folder:
        return None
    try:
        return Takeover(loop, config, folder)
    except OSError as error:  # no folder to share: it serves alone
        logger.warning("no takeover, TMPDIR cannot be used: error={!r}", error)
        return None


def _read_features(environ: Mapping[str, str]) -> Any:
    """The operators' own file, where there is one: what it does not turn on is not imported."""
    if not (path := environ.get("SLOEFERRY_OPERATOR")):
        return None
    from sloeferry.config.features import read_features

    return read_features(path)


async def _bind(bind: Callable[[Address], OSError | None], key: str, address: Address) -> None:
    """Takes an address; an earlier process may take some time to let go of it.  Raises ConfigError."""
    loop = asyncio.get_running_loop()
    until = loop.time() + BIND_TIMEOUT_SECONDS
    while error := bind(address):
        if loop.time() > until:
            host, port = address
            raise ConfigError(key, f"{host}:{port} can't be had: {error.strerror}")
        await asyncio.sleep(BIND_TIMEOUT_SECONDS / BIND_ATTEMPTS)


async def serve(
    config: InstanceConfig,
    environ: Mapping[str, str] = os.environ,
    on_built: Callable[[Dispatcher], None] = lambda dispatcher: None,
    has_pending_reload: Callable[[], bool] = lambda: False,
) -> None:
    """One proxy, until it has left."""
    await ProxyProcess(config, environ).run(has_pending_reload, on_built)
