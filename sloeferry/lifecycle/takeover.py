"""One process takes over from another: who else is there, what it had learned, and what is made of both.

The two share a listening socket that the platform holds, and a folder.  Each looks there several times a second who else lives
and who of them serves.  From then on the budgets of the safety rules are divided between them, without a word more.
"""

import asyncio
import hashlib
from typing import TYPE_CHECKING

from loguru import logger

from sloeferry import environment
from sloeferry.config.instance import InstanceConfig
from sloeferry.config.settings import Settings
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.lifecycle.snapshot import restore_snapshot, take_snapshot
from sloeferry.lifecycle.snapshot_store import Snapshot, SnapshotError, SnapshotStore
from sloeferry.lifecycle.state import Lifecycle
from sloeferry.network.limited_log import warn

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer
    from sloeferry.network.connection_pool import ConnectionPool
    from sloeferry.network.discovery_client import DiscoveryClient

PEER_CHECK_SECONDS = 0.2  # between two looks
SNAPSHOT_INTERVAL_SECONDS = 1.0  # between two snapshots
LIST_TIMEOUT_SECONDS = 3.0  # that a new process waits for the list, where it has an older one


def indexed_names_digest(settings: Settings) -> str:
    """Of what the settings call by index, in the form of earlier releases: their snapshots are to be found."""
    lists = settings.zones, settings.machine_kinds, settings.load_reports.fields
    zones, kinds, fields = (",".join(names) for names in lists)
    return hashlib.sha256(repr([zones, kinds, settings.discovery_mode, fields]).encode()).hexdigest()


class Takeover:
    """One process's part in a takeover.  Raises OSError where the folder cannot be used."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: InstanceConfig, folder: str):
        self._loop = loop
        self.store = SnapshotStore(folder, config.name, indexed_names_digest(config.settings))
        self._budget_window_seconds = config.settings.obligations.warm_up_window_ms / 1000
        self._alive = 0  # other processes
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
        """All is built, nothing has come yet: what the earlier process had learned is taken over."""
        self._dispatcher = dispatcher
        self._lifecycle = lifecycle
        self._discovery = discovery
        self._clients = clients
        self._budgets = (clients.budget, pool.budget)
        lifecycle.change_callbacks.append(self.update_peers)
        if self.snapshot:
            try:
                restore_snapshot(dispatcher.policy, self.snapshot.learned)
                logger.info("snapshot restored")
            except Exception as error:  # it is a help, and no more
                logger.warning("snapshot not restored: error={!r}", error)
        self.snapshot = None
        self.update_peers()
        if lifecycle.other_ready_processes:
            self._loop.call_later(LIST_TIMEOUT_SECONDS, discovery.use_cached_list)

    def update_peers(self) -> None:
        """Who is there now, and what that changes."""
        try:
            self.store.publish_ready(self._lifecycle.is_ready())
            alive, ready = self.store.find_peers()
        except OSError as error:
            warn("takeover folder failed", "error={!r}", error)
            return
        if alive != self._alive:
            logger.info("other processes of this proxy: alive={} ready={}", alive, ready)
            self._divide(alive)
        self._lifecycle.other_ready_processes = ready
        self._clients.listener.update()

    def _divide(self, alive: int) -> None:
        if alive > self._alive:
            self._dispatcher.set_process_count(alive + 1)
        else:  # what the one that has gone sent last still counts for its budgets
            self._loop.call_later(self._budget_window_seconds, lambda: self._dispatcher.set_process_count(self._alive + 1))
        self._alive = alive
        for budget in self._budgets:
            budget.divide_among(alive + 1)

    async def run(self) -> None:
        """Looks, and writes snapshots, for as long as the process runs."""
        written_at = 0.0
        while True:
            await asyncio.sleep(PEER_CHECK_SECONDS)
            self.update_peers()
            now = environment.monotonic()
            is_serving = self._lifecycle.is_discovery_settled and not self._lifecycle.is_stopping
            if now - written_at >= SNAPSHOT_INTERVAL_SECONDS and is_serving:
                written_at = now
                self._write_snapshot(now * 1000)

    def _write_snapshot(self, now: float) -> None:
        """A line when that fails, and one when it no longer does, none for each try between."""
        has_failed = self.store.last_error is not None
        learned = take_snapshot(self._dispatcher.policy)
        is_written = self.store.write(now, self._discovery.list_document(), learned)
        if not is_written and not has_failed:
            logger.warning("snapshot not written: error={!r}", self.store.last_error)
        elif is_written and has_failed:
            logger.info("snapshot written again")

    def close(self) -> None:
        """The process ends."""
        self.store.close()
