"""The endpoint list: a watch on discovery, whenever the policy asks for one."""

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

# A poll may take a quarter of what the list may be old.
POLL_PATIENCE_RATIO = 1 / 4
# Where the list is pushed, a dial and the pause behind it are over within the grace that a drain has, and the list is read.
MIN_PACED_GRACE_MS = 40.0  # a shorter grace than that paces no dials
PUSHED_DIAL_RATIO, PUSHED_PAUSE_RATIO = 1 / 2, 1 / 4
# Turns of the loop until what was there to be read is taken in; and no more than so many.
TURNS_UNTIL_TAKEN_IN, MAX_TURNS = 5, 1000
MAX_LOGGED_LEAVERS = 20  # endpoints named in the log line of a list


class DiscoveryClient:
    """Keeps the endpoint list up to date."""

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
        """`is_other_process_serving`: another process of this proxy serves meanwhile."""
        self.loop = loop
        self.events = dispatcher.endpoint_events
        self.budget = budget
        self.buffers = buffers
        self._host = dispatcher.host
        self._pool = pool
        self._lifecycle = lifecycle  # told once a list is at hand
        self.address = config.discovery
        # Of the start, for as long as the process runs: what is known counts by these indexes.
        self._documents = DocumentCodec(config.settings)
        self._is_pushed = not config.settings.is_endpoint_list_polled
        self.update_config(config)
        self.known_endpoints: dict[str, ListedEndpoint] = {}
        self.revision: int | None = None  # None: the whole list is to be asked for
        self.is_watching = False  # the current watch has told its list
        self._watch_task: asyncio.Task | None = None
        self._former_watch: asyncio.Task | None = None  # after a move, until the current one has told its list
        self.open_sockets: dict[socket.socket, None] = {}  # of the watches that stand or begin: after a move there are two
        self._polls = 0  # so many were begun: each one's number in the log
        self.recorder: DecisionRecorder | None = None
        # Where the list is pushed, what was told before this process began binds it from its first moment (rule 3): the
        # cached list is no list until it is known that there is none to be had.
        self._held = config.cached_endpoints if self._is_pushed else None
        if config.cached_endpoints and not self._is_pushed:
            self._take_in_cached(config.cached_endpoints, is_other_process_serving)

    def _take_in_cached(self, cached: Mapping[str, Any], is_other_process_serving: bool) -> None:
        """Takes in the list as an earlier process last held it.

        A fleet that restarts as one polls a discovery that has no time for all: who knows whom to send to serves on that,
        under rule 3 as ever, and polls when its turn comes.  A process that takes over has another that serves meanwhile,
        and hears the list itself first.
        """
        self.apply_list(cached, is_cached=True)
        is_any_ready = any(each.state is EndpointState.READY for each in self.known_endpoints.values())
        if is_any_ready and not is_other_process_serving:
            self._lifecycle.discovery_settled()

    def update_config(self, config: InstanceConfig) -> None:
        """The settings, at the start and as they are from now on.

        A poll may never take longer than a watch may be silent: before its first list it is none yet.
        """
        obligations, limits = config.settings.obligations, config.settings.limits
        self.poll_timeout_ms = min(obligations.poll_within_ms * POLL_PATIENCE_RATIO, discovery_watch.MAX_SILENCE_SECONDS * 1000)
        self.connect_timeout_ms = self.redial_pause_ms = limits.connect_timeout_ms
        if self._is_pushed:
            # What the platform's agent has counts as notified, watch or no watch.
            grace_ms = max(MIN_PACED_GRACE_MS, obligations.drain_grace_ms)
            self.connect_timeout_ms = min(self.connect_timeout_ms, grace_ms * PUSHED_DIAL_RATIO)
            self.redial_pause_ms = min(self.redial_pause_ms, grace_ms * PUSHED_PAUSE_RATIO)

    # Watches

    async def run(self) -> None:
        """One watch at the start, without being asked, where no list is at hand: until it is in, no client is sent here.

        Then one whenever the policy polls; where the list is pushed, always.
        """
        if self._is_pushed or not self._lifecycle.is_discovery_settled:
            self._start_watch()
        while True:
            await self._host.poll_commands.next()
            if not self._watch_task or self._watch_task.done():
                self._start_watch()
            elif self.is_watching:  # it stands already, and all it said has been passed on
                self.events.watch_still_open()

    def _start_watch(self) -> None:
        self._watch_task = self.loop.create_task(self._watch())

    def is_current_task(self) -> bool:
        """Whether the running task is the current watch's, not a former one's."""
        return asyncio.current_task() is self._watch_task

    async def _watch(self) -> None:
        """One watch; its end is a failed poll."""
        self._polls += 1
        watch = DiscoveryWatch(self, self._polls)
        host, port = self.address
        logger.info("poll begins: poll={} discovery={}:{} revision={}", watch.number, host, port, self.revision)
        try:
            reason = await watch.run()
        except Exception as error:  # never the end of the program: the list as known goes on serving
            reason = repr(error)
        self._report_end(watch, reason)
        if not self.is_current_task():
            return  # its successor is on its way, and will say how that went
        self.is_watching = False
        self.use_cached_list()
        self._lifecycle.discovery_settled()
        has_watch_ended = watch.phase is PollPhase.WATCHING and watch.silent_since is None
        self.events.watch_unavailable(has_watch_ended)
        if self._is_pushed:  # the newest: a former one may stand on, and tells nothing of the new place
            self.loop.call_later(self.redial_pause_ms / 1000, self._host.poll_endpoints)

    def _report_end(self, watch: DiscoveryWatch, reason: str) -> None:
        """What the end of a poll or watch tells of the list's age."""
        now, is_current = environment.monotonic_ms(), self.is_current_task()
        logger.info("poll ended: poll={} after_ms={:.0f} reason={!r}", watch.number, now - watch.began_at, reason)
        if watch.silent_since is not None:
            self.events.watch_silent(watch.silent_since)
        elif watch.phase is PollPhase.WATCHING:
            if is_current or not self.is_watching:  # else its successor has told the list meanwhile
                self.events.watch_ended()
        elif is_current:
            self.events.poll_failed(watch.poll_end(now, self.poll_timeout_ms), watch.began_at, watch.tried_at)

    def watch_confirmed(self) -> None:
        """A watch said something, a list or a sign of life."""
        if self.is_current_task():
            self.events.watch_confirmed()
        if self.recorder:
            self.recorder.list_confirmed()

    def use_cached_list(self) -> None:
        """The list has not come in the time there is: the cached one has to do, under rule 3 as ever."""
        if self._held:
            self.apply_list(self._held, is_cached=True)
        if self.known_endpoints:
            self._lifecycle.discovery_settled()

    def update_address(self, address: Address) -> None:
        """Discovery is somewhere else: the whole list is asked for there, since its revisions are its own."""
        if address == self.address:
            return
        logger.info("discovery moves: discovery={}:{}", *address)
        self.address = address
        self.poll_complete_list()

    def poll_complete_list(self) -> None:
        """The whole list is asked for on another watch; the one that stands goes on telling until that has come.

        After several moves it is the one that still stands.
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
        """The program stood still: goes on until what discovery wrote meanwhile is read and taken in."""
        quiet_turns = 0  # in a row: what was read last is yet to be taken in
        for _ in range(MAX_TURNS):
            await asyncio.sleep(0)
            quiet_turns = quiet_turns + 1 if all(is_open_and_idle(sock) for sock in self.open_sockets) else 0
            if quiet_turns > TURNS_UNTIL_TAKEN_IN:
                return

    # Lists

    def list_document(self) -> dict[str, Any]:
        """The list as it is known, in discovery's form."""
        return self._documents.write_list(self.revision or 0, self.known_endpoints, self._pool.addresses)

    def apply_list(self, document: Any, poll: int = 0, is_cached: bool = False) -> bool:
        """A list or what changed in it, as poll number `poll` brought it; whether it was one."""
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
        self._held = None
        for endpoint_id in [each for each in self._pool.addresses if each not in self.known_endpoints]:
            self._pool.set_address(endpoint_id, None)
        _log_list(poll, listed.revision, listed.is_complete, endpoints)
        if is_current and not is_cached:
            self._watch_told_list()
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
            read = self._documents.read_entry(entry, self.known_endpoints)
            if read is None:
                continue
            endpoint = endpoints[read.endpoint.endpoint_id] = read.endpoint
            if endpoint.state is EndpointState.GONE:
                self._pool.set_address(endpoint.endpoint_id, None)
            elif read.address:
                self._pool.set_address(endpoint.endpoint_id, read.address)
        return endpoints

    def _newly_started(self, endpoints: Mapping[str, ListedEndpoint]) -> set[str]:
        """Told while the watch stood, a start is news; what its first document brings may be of any age."""
        if not self.is_watching:
            return set()
        return {
            endpoint_id
            for endpoint_id, endpoint in endpoints.items()
            if endpoint_id not in self.known_endpoints
            or self.known_endpoints[endpoint_id].started_at_unix_ms != endpoint.started_at_unix_ms
        }

    def _watch_told_list(self) -> None:
        if self._former_watch:
            self._former_watch.cancel()
        self._former_watch, self.is_watching = None, True
        self._lifecycle.discovery_settled()


def _log_list(poll: int, revision: int, is_complete: bool, endpoints: Mapping[str, ListedEndpoint]) -> None:
    """One line a list: its source, its revision, and the endpoints that it says are to get nothing new."""
    leavers = [f"{id_}:{each.state.value}" for id_, each in endpoints.items() if each.state is not EndpointState.READY]
    more = f",and {len(leavers) - MAX_LOGGED_LEAVERS} more" if len(leavers) > MAX_LOGGED_LEAVERS else ""
    logger.info(
        "endpoint list taken in: poll={} revision={} scope={} entries={} leaving={}",
        poll or "cached",
        revision,
        "complete" if is_complete else "changes",
        len(endpoints),
        ",".join(leavers[:MAX_LOGGED_LEAVERS]) + more or "none",
    )
