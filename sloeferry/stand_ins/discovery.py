"""Stand-in discovery: serves the endpoint list to polls and watches, with delays and injected failures.

Each proxy calls an address of its own, which identifies the proxy even where all proxies have the same source address.
"""

import asyncio
import json
from collections.abc import Collection, Mapping
from random import Random
from typing import TYPE_CHECKING

from sloeferry.stand_ins.backend_list import BackendEntry, BackendList, ListDocument, ListView, make_backend_entry, with_addresses
from sloeferry.stand_ins.call_failures import CallFailure, inject_failure
from sloeferry.stand_ins.http_messages import Message, MessageReader, make_response
from sloeferry.stand_ins.run_observer import RunObserver
from sloeferry.stand_ins.transports import reset
from sloeferry.stand_ins.wire_protocol import ENDPOINTS_PATH, BackendState

if TYPE_CHECKING:
    from sloeferry.rehearsal.scenario_tables import DiscoverySettings
    from sloeferry.stand_ins.backends import StandInBackend

KEEP_ALIVE_INTERVAL_SECONDS = 2.0  # of the empty lines of a watch
LISTEN_BACKLOG = 256
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY_LINE_CHUNK = b"1\r\n\n\r\n"


class StandInDiscovery:
    """The discovery service of all proxies; `addresses` holds the address that each proxy calls."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: "DiscoverySettings",
        addresses: Mapping[str, tuple[str, int]],
        observer: RunObserver,
        rng: Random,
    ):
        self.loop = loop
        self.addresses = dict(addresses)
        self.backend_list = BackendList()
        self.watches: dict[DiscoveryConnection, None] = {}  # an ordered set
        self.failures: dict[str, CallFailure] = {}  # by proxy: the way in which each of its calls fails
        self.extra_delay_seconds = 0.0  # added to the delay after which a change is listed
        self._settings = settings
        self._observer = observer
        self._rng = rng
        self._servers: dict[str, asyncio.AbstractServer] = {}  # by proxy
        self._busy_until = 0.0
        self._link_addresses: dict[str, dict[str, str]] = {}  # by proxy and backend: host:port of the relay between them
        self._views: dict[str, ListView] = {}  # by proxy
        self._sent_entries: dict[str, dict[str, BackendEntry]] = {}  # by proxy: the entries that it was last sent, by backend
        self._sent_revision: dict[str, int] = {}

    # Availability

    async def start(self) -> None:
        """Listen on the addresses of all proxies."""
        for proxy in self.addresses:
            await self._listen(proxy)

    async def _listen(self, proxy: str) -> None:
        self._servers[proxy] = await self.loop.create_server(
            lambda: DiscoveryConnection(self, proxy), *self.addresses[proxy], backlog=LISTEN_BACKLOG
        )

    def stop(self) -> None:
        """Stop listening and reset all watches."""
        for server in self._servers.values():
            server.close()
        self._servers = {}
        for watch in list(self.watches):
            watch.abort()

    async def restart(self, port_offset: int = 0) -> None:
        """Listen again, with all port numbers increased by `port_offset`."""
        self.addresses = {proxy: (host, port + port_offset) for proxy, (host, port) in self.addresses.items()}
        if not self._servers:
            await self.start()

    async def fail_calls(self, proxy: str, failure: CallFailure | None) -> None:
        """Make all calls of a proxy fail in a given way and end its watches; with None answer its calls again."""
        if failure is None:
            failure = self.failures.pop(proxy, None)
            if failure is CallFailure.UNREACHABLE and proxy not in self._servers:
                await self._listen(proxy)
            return
        self.failures[proxy] = failure
        if failure is CallFailure.UNREACHABLE and proxy in self._servers:
            self._servers.pop(proxy).close()
        self.end_watches({proxy})

    def end_watches(self, proxies: Collection[str]) -> None:
        """Reset the watches of the given proxies, so that they reconnect."""
        for watch in list(self.watches):
            if watch.proxy in proxies:
                watch.abort()

    def reset_revisions(self) -> None:
        """Restart the revision count: the current list becomes revision 1, and all watches end."""
        self.backend_list.reset_revisions(self.loop.time())
        self.end_watches(set(self.addresses))

    # Changes

    def publish_later(
        self, backend: "StandInBackend", state: BackendState, delay_seconds: float, started_at: float | None = None
    ) -> None:
        """Call `publish` after a delay, plus the extra delay that a discovery fault has set."""
        self.loop.call_later(delay_seconds + self.extra_delay_seconds, self.publish, backend, state, started_at)

    def publish(self, backend: "StandInBackend", state: str, started_at: float | None = None) -> None:
        """List the state of a backend and notify the watches; `started_at` is Unix time in seconds, None keeps the listed one."""
        backend_id = backend.backend_id
        started_at_ms = self.backend_list.started_at_ms(backend_id) if started_at is None else round(started_at * 1000)
        entry = make_backend_entry(backend_id, backend.address, backend.zone, backend.settings.machine_kind, state, started_at_ms)
        now = self.loop.time()
        self.backend_list.publish(entry, now)
        self._observer.state_published(backend_id, state, now)
        for watch in list(self.watches):
            view = self._views.get(watch.proxy)
            delay_seconds = view.delay_seconds if view else 0.0
            spread_seconds = self._rng.random() * self._settings.notification_spread_ms / 1000
            self.loop.call_later(delay_seconds + spread_seconds, watch.send_changes)

    # Views of the list by proxy

    def set_link_address(self, proxy: str, backend_id: str, address: str) -> None:
        """Show a proxy this address (host:port) in place of the backend's own."""
        self._link_addresses.setdefault(proxy, {})[backend_id] = address

    def show_older_list(self, proxy: str, delay_seconds: float = 0.0, until: float | None = None) -> None:
        """From now on show a proxy the list as it was `delay_seconds` ago, without changes published after `until`."""
        self._views[proxy] = ListView(delay_seconds) if until is None else ListView(delay_seconds, until)

    def show_newest_list(self, proxy: str, sends_missed_changes: bool = True) -> None:
        """From now on show a proxy the current list.

        Its watches are sent the changes that they missed, unless `sends_missed_changes` is False.
        """
        self._views.pop(proxy, None)
        if not sends_missed_changes:
            return
        for watch in list(self.watches):
            if watch.proxy == proxy:
                watch.send_changes()

    def visible_revision(self, proxy: str) -> int:
        """Return the newest revision that a proxy is shown."""
        view = self._views.get(proxy)
        if view is None:
            return self.backend_list.revision
        return self.backend_list.revision_at(min(self.loop.time() - view.delay_seconds, view.until))

    def document_for(self, proxy: str, since: int | None) -> ListDocument:
        """Return the document to send to a proxy, and record it as sent."""
        document = self.backend_list.document(since, self.visible_revision(proxy))
        if proxy in self._link_addresses:
            document = with_addresses(document, self._link_addresses[proxy])
        self._record_sent(proxy, document)
        return document

    def _record_sent(self, proxy: str, document: ListDocument) -> None:
        now = self.loop.time()
        sent = self._sent_entries.setdefault(proxy, {})
        self._sent_revision[proxy] = document["revision"]
        self._observer.list_sent(proxy, document["revision"], now)
        if document["complete"]:
            listed = {entry["id"] for entry in document["members"]}
            for backend_id in [backend_id for backend_id in sent if backend_id not in listed]:
                del sent[backend_id]
                self._observer.proxy_notified(proxy, backend_id, BackendState.GONE, now)
        for entry in document["members"]:
            backend_id = entry["id"]
            self._observer.proxy_notified(proxy, backend_id, entry["phase"], now, entry["up_since_ms"])
            sent[backend_id] = entry
            if entry["phase"] == BackendState.GONE:
                del sent[backend_id]

    def last_sent_list(self, proxy: str) -> ListDocument:
        """Return the list as a proxy was last sent it, to start the proxy's next process with; empty if it was sent none."""
        if proxy not in self._sent_entries:
            return {}
        # The revision is the one that the proxy had: with the newest one it would never be sent the changes that it missed.
        entries = list(self._sent_entries[proxy].values())
        return {"revision": self._sent_revision[proxy], "complete": True, "members": entries}

    def enqueue_call(self) -> float:
        """Queue one call behind those in progress; return the time in seconds until it is answered."""
        now = self.loop.time()
        self._busy_until = max(self._busy_until, now) + self._settings.call_ms / 1000
        return self._busy_until - now


class DiscoveryConnection(asyncio.Protocol):
    """One connection of a proxy, for polls or for a watch."""

    def __init__(self, discovery: StandInDiscovery, proxy: str):
        self.proxy = proxy
        self._discovery = discovery
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None
        self._sent_revision = 0
        self._keep_alive_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport; called by the event loop."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """End the watch, if it is one; called by the event loop."""
        self._discovery.watches.pop(self, None)
        if self._keep_alive_timer:
            self._keep_alive_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Handle each complete request; called by the event loop."""
        for message in self._reader.feed(data):
            self._handle_request(message)

    def _handle_request(self, message: Message) -> None:
        discovery = self._discovery
        if failure := discovery.failures.get(self.proxy):
            inject_failure(discovery.loop, self._transport, failure)
            return
        path, _, query = message.first_line.split(b" ")[1].partition(b"?")
        if path != ENDPOINTS_PATH:
            self._transport.write(make_response(404))
            return
        parameters = dict(part.partition(b"=")[::2] for part in query.split(b"&") if part)
        discovery.loop.call_later(discovery.enqueue_call(), self._answer, parameters)

    def _answer(self, parameters: Mapping[bytes, bytes]) -> None:
        if self._transport.is_closing():
            return
        discovery = self._discovery
        index = parameters.get(b"index", b"")
        is_known_revision = index.isdigit() and int(index) <= discovery.visible_revision(self.proxy)
        since = int(index) if is_known_revision else None
        if parameters.get(b"stream") != b"1":
            document = discovery.document_for(self.proxy, since)
            self._transport.write(make_response(200, json.dumps(document).encode()))
            return
        self._transport.write(WATCH_RESPONSE_HEAD)
        discovery.watches[self] = None
        self._send_document(since)
        self._keep_alive_timer = discovery.loop.call_later(KEEP_ALIVE_INTERVAL_SECONDS, self._send_keep_alive)

    def _send_document(self, since: int | None) -> None:
        document = self._discovery.document_for(self.proxy, since)
        line = json.dumps(document).encode() + b"\n"
        self._sent_revision = document["revision"]
        self._transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    def send_changes(self) -> None:
        """Send the changes that the watch has not been sent yet, if any."""
        is_behind = self._sent_revision < self._discovery.visible_revision(self.proxy)
        if not self._transport.is_closing() and is_behind:
            self._send_document(self._sent_revision)

    def abort(self) -> None:
        """Reset the connection."""
        reset(self._transport)

    def _send_keep_alive(self) -> None:
        if not self._transport.is_closing():
            self._transport.write(EMPTY_LINE_CHUNK)
            self._keep_alive_timer = self._discovery.loop.call_later(KEEP_ALIVE_INTERVAL_SECONDS, self._send_keep_alive)
