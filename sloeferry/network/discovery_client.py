"""The discovery client: keeps the endpoint list up to date by polling discovery and watching for changes."""

import asyncio
import socket
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from loguru import logger

from sloeferry import environment
from sloeferry.config.instance import Address, InstanceConfig
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.dispatch.endpoint_events import ListedEndpoint
from sloeferry.lifecycle.state import Lifecycle
from sloeferry.network import discovery_watch
from sloeferry.network.buffers import BufferPool
from sloeferry.network.connection_pool import ConnectionPool
from sloeferry.network.descriptor_budget import DescriptorBudget
from sloeferry.network.discovery_documents import DocumentCodec
from sloeferry.network.discovery_watch import DiscoveryWatch, PollPhase
from sloeferry.network.sockets import is_open_and_idle
from sloeferry.policy.interface import EndpointState

if TYPE_CHECKING:
    from sloeferry.decision_log.recorder import DecisionRecorder

POLL_TIMEOUT_RATIO = 1 / 4  # of the list's maximum age
# Where the list is pushed, a dial timeout and the pauses before the next dial fit into the drain grace, so that a drain is
# read before its grace ends.
MIN_PACED_GRACE_MS = 40.0  # a drain grace below this counts as this long, or dials would follow one another without a pause
PUSHED_DIAL_RATIO, PUSHED_PAUSE_RATIO = 1 / 2, 1 / 4  # of the drain grace
# Loop iterations without input after which everything that was read has been applied, and the limit for the whole wait.
ITERATIONS_UNTIL_APPLIED, MAX_ITERATIONS = 5, 1000
MAX_LOGGED_LEAVING = 20  # endpoints named in the log line of a list


class DiscoveryClient:
    """Keeps the endpoint list up to date and passes its changes on to the policy and the connection pool."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dispatcher: Dispatcher,
        config: InstanceConfig,
        budget: DescriptorBudget,
        buffers: BufferPool,
        pool: ConnectionPool,
        lifecycle: Lifecycle,
        is_other_process_serving: bool = False,
    ):
        """Create the client and apply the cached list, if there is one.

        `is_other_process_serving`: another process of this proxy serves clients until this one takes over.
        """
        self.loop = loop
        self.events = dispatcher.endpoint_events
        self.budget = budget
        self.buffers = buffers
        self._host = dispatcher.host
        self._pool = pool
        self._lifecycle = lifecycle  # notified once a list is available
        self.address = config.discovery
        # Uses the settings of the start for the whole life of the process: known endpoints hold indexes into them.
        self._documents = DocumentCodec(config.settings)
        self._is_pushed = not config.settings.is_endpoint_list_polled
        self.update_config(config)
        self.known_endpoints: dict[str, ListedEndpoint] = {}
        self.revision: int | None = None  # None: the next poll requests the complete list
        self.is_watching = False  # the current watch has received its list
        self._watch_task: asyncio.Task | None = None
        self._former_watch: asyncio.Task | None = None  # after a move, until the current watch has received its list
        # The sockets of all connected watches, of which there are two after a move.
        self.open_sockets: dict[socket.socket, None] = {}
        self._poll_count = 0  # numbers the polls in the log
        self.recorder: DecisionRecorder | None = None
        # Where the list is pushed, changes sent before this process started count as notified (rule 3).  The cached list,
        # which may lack them, is used only after the first poll has failed or taken too long.
        self._fallback_list = config.cached_endpoints if self._is_pushed else None
        if config.cached_endpoints and not self._is_pushed:
            self._apply_cached_list(config.cached_endpoints, is_other_process_serving)

    def _apply_cached_list(self, cached: Mapping[str, Any], is_other_process_serving: bool) -> None:
        """Apply the list that an earlier process last had.

        When a whole fleet restarts at once, discovery cannot answer all proxies in time: a proxy with a cached list serves
        with it, within the limits of rule 3, and polls when its turn comes.  During a takeover the other process serves until
        this one has polled the list.
        """
        self.apply_list(cached, is_cached=True)
        is_any_ready = any(each.state is EndpointState.READY for each in self.known_endpoints.values())
        if is_any_ready and not is_other_process_serving:
            self._lifecycle.first_poll_ended()

    def update_config(self, config: InstanceConfig) -> None:
        """Apply the timeouts of a configuration, at the start and after a reload.

        The poll timeout never exceeds the longest silence of a watch, since a poll that has not received its list yet is not
        covered by the silence limit.
        """
        obligations, limits = config.settings.obligations, config.settings.limits
        self.poll_timeout_ms = min(obligations.poll_within_ms * POLL_TIMEOUT_RATIO, discovery_watch.MAX_SILENCE_SECONDS * 1000)
        self.connect_timeout_ms = self.redial_pause_ms = limits.connect_timeout_ms
        if self._is_pushed:
            # A change counts as notified once the platform's agent has it, even while no watch is open.
            grace_ms = max(MIN_PACED_GRACE_MS, obligations.drain_grace_ms)
            self.connect_timeout_ms = min(self.connect_timeout_ms, grace_ms * PUSHED_DIAL_RATIO)
            self.redial_pause_ms = min(self.redial_pause_ms, grace_ms * PUSHED_PAUSE_RATIO)

    # Watches

    async def run(self) -> None:
        """Start a watch whenever the policy commands a poll, until cancelled.

        The first watch starts without a command where no list is available, since the platform routes no clients to this proxy
        until it reports ready.  Where the list is pushed, a watch is always kept open.
        """
        if self._is_pushed or not self._lifecycle.has_first_poll_ended:
            self._start_watch()
        while True:
            await self._host.poll_commands.next()
            if not self._watch_task or self._watch_task.done():
                self._start_watch()
            elif self.is_watching:  # the open watch has already passed on all changes
                self.events.watch_still_open()

    def _start_watch(self) -> None:
        self._watch_task = self.loop.create_task(self._watch())

    def is_current_task(self) -> bool:
        """Return whether the running task is that of the current watch, not of the former one."""
        return asyncio.current_task() is self._watch_task

    async def _watch(self) -> None:
        """Run one watch, and report its end to the policy as a failed poll or an ended watch."""
        self._poll_count += 1
        watch = DiscoveryWatch(self, self._poll_count)
        host, port = self.address
        logger.info("poll begins: poll={} discovery={}:{} revision={}", watch.number, host, port, self.revision)
        try:
            reason = await watch.run()
        except Exception as error:  # must not end the program: the known list remains in use
            reason = repr(error)
        self._report_end(watch, reason)
        if not self.is_current_task():
            return  # the watch that replaced this one reports its own result
        self.is_watching = False
        self.use_cached_list()
        self._lifecycle.first_poll_ended()
        has_watch_ended = watch.phase is PollPhase.WATCHING and watch.silent_since is None
        self.events.watch_unavailable(has_watch_ended)
        if self._is_pushed:  # reconnect even if the former watch is open: it knows nothing of the new discovery address
            self.loop.call_later(self.redial_pause_ms / 1000, self._host.poll_endpoints)

    def _report_end(self, watch: DiscoveryWatch, reason: str) -> None:
        """Log the end of a poll or watch, and report what it means for the list's age."""
        now, is_current = environment.monotonic_ms(), self.is_current_task()
        logger.info("poll ended: poll={} after_ms={:.0f} reason={!r}", watch.number, now - watch.began_at, reason)
        if watch.silent_since is not None:
            self.events.watch_silent(watch.silent_since)
        elif watch.phase is PollPhase.WATCHING:
            if is_current or not self.is_watching:  # otherwise the watch that replaced it has already received the list
                self.events.watch_ended(watch.was_reset)
        elif is_current:
            self.events.poll_failed(watch.poll_end(now, self.poll_timeout_ms), watch.began_at, watch.tried_at)

    def watch_confirmed(self) -> None:
        """Report that a watch received a list or a keep-alive line."""
        if self.is_current_task():
            self.events.watch_confirmed()
        if self.recorder:
            self.recorder.list_confirmed()

    def use_cached_list(self) -> None:
        """Use the cached list, within the limits of rule 3, because discovery's list has not arrived in time."""
        if self._fallback_list:
            self.apply_list(self._fallback_list, is_cached=True)
        if self.known_endpoints:
            self._lifecycle.first_poll_ended()

    def update_address(self, address: Address) -> None:
        """Poll the complete list at discovery's new address, since revisions are valid for one discovery service only."""
        if address == self.address:
            return
        logger.info("discovery moves: discovery={}:{}", *address)
        self.address = address
        self.poll_complete_list()

    def poll_complete_list(self) -> None:
        """Request the complete list on a new watch; the open watch continues until that list has arrived.

        After several moves in a row, the former watch is the one that last received a list.
        """
        self.revision = None
        self.events.discovery_moved()
        if self.is_watching:
            self._former_watch = self._watch_task
        elif self._watch_task:
            self._watch_task.cancel()
        self.is_watching = False
        self._start_watch()

    async def catch_up(self) -> None:
        """Wait, after a stall of the process, until all that discovery wrote during the stall is read and applied."""
        idle_iterations = 0  # consecutive loop iterations without input, in which the last input read is still being applied
        for _ in range(MAX_ITERATIONS):
            await asyncio.sleep(0)
            idle_iterations = idle_iterations + 1 if all(is_open_and_idle(sock) for sock in self.open_sockets) else 0
            if idle_iterations > ITERATIONS_UNTIL_APPLIED:
                return

    # Lists

    def list_document(self) -> dict[str, Any]:
        """Return the known list as a document in discovery's format."""
        return self._documents.write_list(self.revision or 0, self.known_endpoints, self._pool.addresses)

    def apply_list(self, document: Any, poll: int = 0, is_cached: bool = False) -> bool:
        """Apply a list or its changes, received by poll number `poll`; return False if the document is not a list."""
        listed = self._documents.read_list(document)
        if listed is None:
            return False
        endpoints = self._read_entries(listed.entries)
        known = endpoints if listed.is_complete else self.known_endpoints | endpoints
        newly_started = set() if listed.is_complete else self._newly_started(endpoints)
        is_current = is_cached or self.is_current_task()
        if is_current:
            self.revision = listed.revision
        self.known_endpoints = {id_: each for id_, each in known.items() if each.state is not EndpointState.GONE}
        self._fallback_list = None
        for endpoint_id in [each for each in self._pool.addresses if each not in self.known_endpoints]:
            self._pool.set_address(endpoint_id, None)
        _log_list(poll, listed.revision, listed.is_complete, endpoints)
        if is_current and not is_cached:
            self._mark_watching()
        if self.recorder:
            source = None if is_cached else "discovery at {}:{}".format(*self.address)
            self.recorder.list_applied(listed.revision, self.known_endpoints, source)
        self.events.list_received(listed.is_complete, list(endpoints.values()), is_cached, newly_started, is_current)
        if is_current and not is_cached:
            self.events.watch_confirmed()
        return True

    def _read_entries(self, entries: list[Any]) -> dict[str, ListedEndpoint]:
        endpoints = {}
        for entry in entries:
            decoded = self._documents.read_entry(entry, self.known_endpoints)
            if decoded is None:
                continue
            endpoint = endpoints[decoded.endpoint.endpoint_id] = decoded.endpoint
            if endpoint.state is EndpointState.GONE:
                self._pool.set_address(endpoint.endpoint_id, None)
            elif decoded.address:
                self._pool.set_address(endpoint.endpoint_id, decoded.address)
        return endpoints

    def _newly_started(self, endpoints: Mapping[str, ListedEndpoint]) -> set[str]:
        """Return the ids of endpoints that have just started.

        A start reported on an open watch is recent; one in the watch's first document may be of any age.
        """
        if not self.is_watching:
            return set()
        return {
            endpoint_id
            for endpoint_id, endpoint in endpoints.items()
            if endpoint_id not in self.known_endpoints
            or self.known_endpoints[endpoint_id].started_at_unix_ms != endpoint.started_at_unix_ms
        }

    def _mark_watching(self) -> None:
        if self._former_watch:
            self._former_watch.cancel()
        self._former_watch, self.is_watching = None, True
        self._lifecycle.first_poll_ended()


def _log_list(poll: int, revision: int, is_complete: bool, endpoints: Mapping[str, ListedEndpoint]) -> None:
    """Log one line for a list: its source, its revision, and the endpoints that must not get new requests."""
    leaving = [f"{id_}:{each.state.value}" for id_, each in endpoints.items() if each.state is not EndpointState.READY]
    more = f",and {len(leaving) - MAX_LOGGED_LEAVING} more" if len(leaving) > MAX_LOGGED_LEAVING else ""
    logger.info(
        "endpoint list taken in: poll={} revision={} scope={} entries={} leaving={}",
        poll or "cached",
        revision,
        "complete" if is_complete else "changes",
        len(endpoints),
        ",".join(leaving[:MAX_LOGGED_LEAVING]) + more or "none",
    )
