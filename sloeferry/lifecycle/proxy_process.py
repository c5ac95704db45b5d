"""Builds the parts of one proxy process, serves, and shuts down on SIGTERM."""

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
from sloeferry.lifecycle.memory_monitor import MemoryMonitor
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
from sloeferry.network.memory_budget import RESIDENT_AT_REST_BYTES, MemoryBudget
from sloeferry.network.request_ids import RequestIds, slot_count
from sloeferry.network.task_set import TaskSet

MAX_FREE_BUFFER_RATIO = 1 / 8  # of the memory for messages
RESERVED_DESCRIPTORS = 32  # for files and sockets other than client and backend connections
BIND_TIMEOUT_SECONDS = 2.0  # an earlier process may hold the address this long
BIND_ATTEMPTS = 40


class PolicyTimer:
    """Calls the dispatcher when a timer of the policy is due."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None
        self.dispatcher: Dispatcher | None = None  # set after the dispatcher is built

    def wake_at(self, at: float) -> None:
        """Schedule the call at that time (ms) and replace a pending one; round the delay up, so that no timer fires early."""
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
        except Exception as error:  # a failed decision must not stop the timers of other requests
            logger.opt(exception=True).error("timer failed: error={!r}", error)
        next_timer_at = self.dispatcher.host.next_timer_at
        if next_timer_at is not None:
            self.wake_at(next_timer_at)


class ProxyProcess:
    """Holds the parts of one proxy process."""

    def __init__(self, config: InstanceConfig, environ: Mapping[str, str], resident_bytes: int | None = None):
        """Build the parts; `resident_bytes`: memory that the process has before the first connection, None if unknown."""
        loop = self._loop = asyncio.get_running_loop()
        timer = PolicyTimer(loop)
        self.dispatcher = timer.dispatcher = Dispatcher(config.seed, config.settings, timer.wake_at)
        # Clients and backends get separate budgets of half the descriptors, since a request needs one of each: a flood of client
        # connections must not use up the backends' descriptors, nor the reverse.
        limit = (config.max_descriptors - RESERVED_DESCRIPTORS) // 2
        memory = MemoryBudget(config.memory_limit_bytes, resident_bytes or RESIDENT_AT_REST_BYTES)
        client_budget, backend_budget = DescriptorBudget(limit), DescriptorBudget(limit)
        for budget in (client_budget, backend_budget):
            budget.divide_among(1, memory.max_connections)
        memory.set_connections(client_budget.limit)
        buffers = BufferPool(int(memory.limit * MAX_FREE_BUFFER_RATIO))
        self.lifecycle = Lifecycle()
        self._takeover = _create_takeover(loop, config, environ)
        if self._takeover and self._takeover.snapshot:
            endpoints = self._takeover.snapshot.endpoints
            config = replace(config, cached_endpoints=endpoints or config.cached_endpoints)
        self._config = config
        self._environ = environ
        tasks, timers = TaskSet(loop), DeadlineTimers(loop)
        load_reports = LoadReportReader(config.settings)
        self.pool = ConnectionPool(loop, config.settings, backend_budget, buffers, memory)
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
        self.clients = ClientServer(
            loop,
            self.dispatcher,
            config,
            client_budget,
            buffers,
            memory,
            RequestIds(slot_count(config.memory_limit_bytes)),
            self.attempts,
            tasks,
            self.lifecycle,
        )
        self.admin = AdminServer(loop, self.lifecycle, buffers, self.clients.connection_counts, self.dispatcher.guard_counters)
        self.admin.routes[b"/admin/memory"] = b"GET", lambda query: (200, memory.gauges())
        self._memory_monitor = MemoryMonitor(self.clients, config.memory_limit_bytes) if resident_bytes else None
        self.reload = ConfigReload(
            config,
            environ,
            (self.dispatcher, self.clients, self.pool, self.discovery),
            self.discovery.update_address,
        )

    async def run(
        self, has_pending_reload: Callable[[], bool], on_built: Callable[[Dispatcher], None] = lambda dispatcher: None
    ) -> None:
        """Serve until SIGTERM; `on_built` is called after all parts are built and before the first connection."""
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
        if has_pending_reload():  # the file may have changed since it was read
            self.reload()
        on_built(self.dispatcher)
        self.clients.listener.open()
        logger.info("{} listens on {}:{}", config.name, *config.listen)

    def _start_tasks(self, features: Any) -> None:
        coroutines = [
            self.health_checker.run(),
            self.pool.sweep(),
            self.discovery.run(),
            self.clients.sweeper.sweep(),
            self.clients.sweeper.check_loop_and_requests(),
        ]
        if self._memory_monitor:
            coroutines.append(self._memory_monitor.run())
        self._tasks = [self._loop.create_task(each) for each in coroutines]
        if features and features.versions.tell:
            self._install_recorder(features)
        if self._takeover:
            self._takeover.attach(self.dispatcher, self.lifecycle, self.discovery, self.clients, self.pool)
            self._tasks.append(self._loop.create_task(self._takeover.run()))
        for task in self._tasks:  # none of them ends in normal operation
            task.add_done_callback(lambda task: self._stopping.set())

    def _install_recorder(self, features: Any) -> None:
        from sloeferry.decision_log.recorder import DecisionRecorder  # imported only if enabled

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
        logger.info("shutdown ends: send_guard={}", self.dispatcher.guard_counters())
        if self._memory_monitor:
            logger.info("memory: peak={} account={}", self._memory_monitor.peak_bytes, self.clients.memory.gauges())

    def close(self) -> None:
        """Release the takeover folder and close all sockets."""
        if self._takeover:
            self._takeover.close()
        self.admin.close()
        self.clients.close()
        self.pool.close()


def _create_takeover(loop: asyncio.AbstractEventLoop, config: InstanceConfig, environ: Mapping[str, str]) -> Takeover | None:
    """Return the takeover if the platform holds the listening socket and there is a usable folder, else None."""
    folder = environ.get("TMPDIR")
    if config.inherited_listener_fd is None or not folder:
        return None
    try:
        return Takeover(loop, config, folder)
    except OSError as error:  # without a shared folder the process serves alone
        logger.warning("no takeover, TMPDIR cannot be used: error={!r}", error)
        return None


def _read_features(environ: Mapping[str, str]) -> Any:
    """Return the switches in the operators' file, or None without one; subsystems that are off are not imported."""
    if not (path := environ.get("SLOEFERRY_OPERATOR")):
        return None
    from sloeferry.config.features import read_features

    return read_features(path)


async def _bind(bind: Callable[[Address], OSError | None], key: str, address: Address) -> None:
    """Bind an address, with retries while an earlier process holds it; raise ConfigError after the timeout."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + BIND_TIMEOUT_SECONDS
    while error := bind(address):
        if loop.time() > deadline:
            host, port = address
            raise ConfigError(key, f"{host}:{port} can't be had: {error.strerror}")
        await asyncio.sleep(BIND_TIMEOUT_SECONDS / BIND_ATTEMPTS)


async def serve(
    config: InstanceConfig,
    environ: Mapping[str, str] = os.environ,
    on_built: Callable[[Dispatcher], None] = lambda dispatcher: None,
    has_pending_reload: Callable[[], bool] = lambda: False,
    resident_bytes: int | None = None,
) -> None:
    """Run one proxy process until it has shut down; `resident_bytes`: the memory that it has at its start, None if unknown."""
    await ProxyProcess(config, environ, resident_bytes).run(has_pending_reload, on_built)
