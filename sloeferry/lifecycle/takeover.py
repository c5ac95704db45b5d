"""Coordinates the takeover of a proxy by a new process: peer detection, shared budgets, and the learned state.

The processes share a listening socket held by the platform, and a folder.  Each process checks the folder several times a second
for its live peers and those of them that serve.  The budgets of the safety rules are divided by the number of processes; the
processes exchange no other messages.
"""

import asyncio
import hashlib
from typing import TYPE_CHECKING

from loguru import logger

from sloeferry import environment
from sloeferry.config.instance import InstanceConfig
from sloeferry.config.settings import Settings
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.lifecycle.request_id_files import RequestIdFolder
from sloeferry.lifecycle.snapshot import restore_snapshot, take_snapshot
from sloeferry.lifecycle.snapshot_store import Snapshot, SnapshotError, SnapshotStore
from sloeferry.lifecycle.state import Lifecycle
from sloeferry.network.limited_log import warn
from sloeferry.network.request_ids import RequestIds

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer
    from sloeferry.network.connection_pool import ConnectionPool
    from sloeferry.network.discovery_client import DiscoveryClient

PEER_CHECK_SECONDS = 0.2  # interval between checks of the folder
SNAPSHOT_INTERVAL_SECONDS = 1.0  # interval between snapshots
LIST_TIMEOUT_SECONDS = 3.0  # after which a new process beside a serving one uses its cached list


def indexed_names_digest(settings: Settings) -> str:
    """Return a digest of the lists that settings refer to by index, computed as in earlier releases to find their snapshots."""
    lists = settings.zones, settings.machine_kinds, settings.load_reports.fields
    zones, kinds, fields = (",".join(names) for names in lists)
    return hashlib.sha256(repr([zones, kinds, settings.discovery_mode, fields]).encode()).hexdigest()


class Takeover:
    """The takeover as one process sees it; raises OSError if the folder cannot be used."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: InstanceConfig, folder: str):
        self._loop = loop
        self.store = SnapshotStore(folder, config.name, indexed_names_digest(config.settings))
        self._budget_window_seconds = config.settings.obligations.warm_up_window_ms / 1000
        self._peer_count = 0  # live peers
        self._id_folder: RequestIdFolder | None = None
        self.snapshot: Snapshot | None = None
        try:
            self.snapshot = self.store.read(environment.monotonic_ms())
        except SnapshotError as error:
            logger.info("no snapshot of an earlier process: reason={!r}", str(error))

    def attach(
        self,
        dispatcher: Dispatcher,
        lifecycle: Lifecycle,
        discovery: "DiscoveryClient",
        clients: "ClientServer",
        pool: "ConnectionPool",
    ) -> None:
        """Connect the built parts and restore the learned state of the earlier process, before any event is handled."""
        self._dispatcher = dispatcher
        self._lifecycle = lifecycle
        self._discovery = discovery
        self._clients = clients
        self._budgets = (clients.budget, pool.budget)
        self._share_request_ids(clients.request_ids)
        lifecycle.change_callbacks.append(self.update_peers)
        if self.snapshot:
            try:
                restore_snapshot(dispatcher.policy, self.snapshot.learned)
                logger.info("snapshot restored")
            except Exception as error:  # a snapshot is optional
                logger.warning("snapshot not restored: error={!r}", error)
        self.snapshot = None
        self.update_peers()
        if lifecycle.other_ready_processes:
            self._loop.call_later(LIST_TIMEOUT_SECONDS, discovery.use_cached_list)

    def _share_request_ids(self, request_ids: RequestIds) -> None:
        try:
            self._id_folder = RequestIdFolder(
                self.store.path, self.store.process_id, request_ids.total_bytes(), self.store.has_process
            )
        except OSError as error:  # each process knows its own ids only
            logger.warning("request ids are not shared: error={!r}", error)
            return
        request_ids.share(self._id_folder)

    def update_peers(self) -> None:
        """Publish this process's readiness, count its peers, and apply changes."""
        try:
            self.store.publish_ready(self._lifecycle.is_ready())
            alive, ready = self.store.find_peers()
            if self._id_folder:
                self._id_folder.refresh()
        except OSError as error:
            warn("takeover folder failed", "error={!r}", error)
            return
        if alive != self._peer_count:
            logger.info("other processes of this proxy: alive={} ready={}", alive, ready)
            self._divide_budgets(alive)
        self._lifecycle.other_ready_processes = ready
        self._clients.listener.update()

    def _divide_budgets(self, alive: int) -> None:
        if alive > self._peer_count:
            self._dispatcher.set_process_count(alive + 1)
        else:  # the last sends of the ended process still count in the budget window
            self._loop.call_later(self._budget_window_seconds, lambda: self._dispatcher.set_process_count(self._peer_count + 1))
        self._peer_count = alive
        self._clients.memory.divide_among(alive + 1)
        for budget in self._budgets:
            budget.divide_among(alive + 1, self._clients.memory.max_connections)
        self._clients.memory.set_connections(self._clients.budget.limit)

    async def run(self) -> None:
        """Check for peers and write snapshots at intervals for as long as the process runs."""
        written_at = 0.0
        while True:
            await asyncio.sleep(PEER_CHECK_SECONDS)
            self.update_peers()
            now = environment.monotonic()
            is_serving = self._lifecycle.has_first_poll_ended and not self._lifecycle.is_stopping
            if now - written_at >= SNAPSHOT_INTERVAL_SECONDS and is_serving:
                written_at = now
                self._write_snapshot(now * 1000)

    def _write_snapshot(self, now: float) -> None:
        """Write a snapshot; log the first failure and the next success, not each failure."""
        has_failed = self.store.last_error is not None
        learned = take_snapshot(self._dispatcher.policy)
        is_written = self.store.write(now, self._discovery.list_document(), learned)
        if not is_written and not has_failed:
            logger.warning("snapshot not written: error={!r}", self.store.last_error)
        elif is_written and has_failed:
            logger.info("snapshot written again")

    def close(self) -> None:
        """Remove this process from the shared folder."""
        if self._id_folder:
            self._id_folder.close()
        self.store.close()
