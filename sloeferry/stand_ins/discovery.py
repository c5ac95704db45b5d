"""Stand-in discovery: the list of backends, polled or watched, which comes late, and at times not at all.

Each proxy has an address of its own to call, so that it is known whom a list was written to, also where all proxies call
from one address.
"""

import asyncio
import json
from collections.abc import Collection, Mapping
from random import Random
from typing import TYPE_CHECKING

from sloeferry.stand_ins.backend_list import BackendList, Document, Entry, ListView, make_backend_entry, with_addresses
from sloeferry.stand_ins.call_failures import CallFailure, fail
from sloeferry.stand_ins.effect_log import EffectLog
from sloeferry.stand_ins.http_messages import Message, MessageReader, make_response
from sloeferry.stand_ins.wire_protocol import ENDPOINTS_PATH, BackendState

if TYPE_CHECKING:
    from sloeferry.rehearsal.scenario_tables import DiscoverySettings
    from sloeferry.stand_ins.backends import StandInBackend

KEEP_ALIVE_SECONDS = 2.0  # between empty lines of a watch
LISTEN_BACKLOG = 256
WATCH_HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY_LINE = b"1\r\n\n\r\n"


class StandInDiscovery:
    """One service for all proxies; `addresses` is what each proxy calls."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: "DiscoverySettings",
        addresses: Mapping[str, tuple[str, int]],
        effect_log: EffectLog,
        rng: Random,
    ):
        self.loop = loop
        self.addresses = dict(addresses)
        self.backend_list = BackendList()
        self.watches: dict[DiscoveryCall, None] = {}  # a set in the order of their coming
        self.failures: dict[str, CallFailure] = {}  # by proxy: how each of its calls fails
        self.extra_delay_seconds = 0.0  # until a change is listed
        self._settings = settings
        self._effect_log = effect_log
        self._rng = rng
        self._servers: dict[str, asyncio.AbstractServer] = {}  # by proxy
        self._busy_until = 0.0
        self._link_addresses: dict[str, dict[str, str]] = {}  # by proxy and backend: host:port of a link between them
        self._views: dict[str, ListView] = {}  # by proxy
        self._sent_entries: dict[str, dict[str, Entry]] = {}  # by proxy: the list as it was last sent
        self._sent_revision: dict[str, int] = {}

    # Up and down

    async def start(self) -> None:
        """Lets all proxies call."""
        for proxy in self.addresses:
            await self._listen(proxy)

    async def _listen(self, proxy: str) -> None:
        self._servers[proxy] = await self.loop.create_server(
            lambda: DiscoveryCall(self, proxy), *self.addresses[proxy], backlog=LISTEN_BACKLOG
        )

    def stop(self) -> None:
        """Watches end, nobody is let in."""
        for server in self._servers.values():
            server.close()
        self._servers = {}
        for watch in list(self.watches):
            watch.abort()

    async def restart(self, port_offset: int = 0) -> None:
        """There again, so many ports further on."""
        self.addresses = {proxy: (host, port + port_offset) for proxy, (host, port) in self.addresses.items()}
        if not self._servers:
            await self.start()

    async def fail_calls(self, proxy: str, failure: CallFailure | None) -> None:
        """From now on each call of that proxy fails so, and its watches end; with None calls are answered again."""
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
        """Ends their watches, so that they call again."""
        for watch in list(self.watches):
            if watch.proxy in proxies:
                watch.abort()

    def reset_revisions(self) -> None:
        """It has lost its count of revisions: what stands in the list is its revision 1."""
        self.backend_list.reset_revisions(self.loop.time())
        self.end_watches(set(self.addresses))

    # Changes

    def publish_later(
        self, backend: "StandInBackend", state: BackendState, delay_seconds: float, started_at: float | None = None
    ) -> None:
        """As `publish`, after that time and the extra delay that a fault of discovery sets."""
        self.loop.call_later(delay_seconds + self.extra_delay_seconds, self.publish, backend, state, started_at)

    def publish(self, backend: "StandInBackend", state: str, started_at: float | None = None) -> None:
        """A backend has started (Unix time, seconds), drains or is gone: listed, and sent to those who watch."""
        backend_id = backend.backend_id
        started_at_ms = self.backend_list.started_at_ms(backend_id) if started_at is None else round(started_at * 1000)
        entry = make_backend_entry(backend_id, backend.address, backend.zone, backend.settings.machine_kind, state, started_at_ms)
        now = self.loop.time()
        self.backend_list.publish(entry, now)
        self._effect_log.state_published(backend_id, state, now)
        for watch in list(self.watches):
            view = self._views.get(watch.proxy)
            delay_seconds = view.delay_seconds if view else 0.0
            spread_seconds = self._rng.random() * self._settings.notification_spread_ms / 1000
            self.loop.call_later(delay_seconds + spread_seconds, watch.send_changes)

    # What a proxy is shown

    def set_link_address(self, proxy: str, backend_id: str, address: str) -> None:
        """That proxy is shown this address (host:port) in place of the backend's own."""
        self._link_addresses.setdefault(proxy, {})[backend_id] = address

    def show_older_list(self, proxy: str, delay_seconds: float = 0.0, until: float | None = None) -> None:
        """From now on that proxy is shown the list as it was so long ago, and nothing after `until`."""
        self._views[proxy] = ListView(delay_seconds) if until is None else ListView(delay_seconds, until)

    def show_newest_list(self, proxy: str, sends_missed_changes: bool = True) -> None:
        """From now on that proxy is shown the list as it is.

        Its watch is sent the changes that it missed, unless `sends_missed_changes` is False.
        """
        self._views.pop(proxy, None)
        if not sends_missed_changes:
            return
        for watch in list(self.watches):
            if watch.proxy == proxy:
                watch.send_changes()

    def visible_revision(self, proxy: str) -> int:
        """The newest revision that this proxy is shown."""
        view = self._views.get(proxy)
        if view is None:
            return self.backend_list.revision
        return self.backend_list.revision_at(min(self.loop.time() - view.delay_seconds, view.until))

    def document_for(self, proxy: str, since: int | None) -> Document:
        """What is written to that proxy next, and the record of it."""
        document = self.backend_list.document(since, self.visible_revision(proxy))
        if proxy in self._link_addresses:
            document = with_addresses(document, self._link_addresses[proxy])
        self._record_sent(proxy, document)
        return document

    def _record_sent(self, proxy: str, document: Document) -> None:
        now = self.loop.time()
        sent = self._sent_entries.setdefault(proxy, {})
        self._sent_revision[proxy] = document["revision"]
        self._effect_log.list_sent(proxy, document["revision"], now)
        if document["complete"]:
            listed = {entry["id"] for entry in document["members"]}
            for backend_id in [backend_id for backend_id in sent if backend_id not in listed]:
                del sent[backend_id]
                self._effect_log.proxy_notified(proxy, backend_id, BackendState.GONE, now)
        for entry in document["members"]:
            backend_id = entry["id"]
            self._effect_log.proxy_notified(proxy, backend_id, entry["phase"], now, entry["up_since_ms"])
            sent[backend_id] = entry
            if entry["phase"] == BackendState.GONE:
                del sent[backend_id]

    def last_sent_list(self, proxy: str) -> Document:
        """What a proxy that starts again is given: the list as it last had it."""
        if proxy not in self._sent_entries:
            return {}
        # With the revision that it had: with the newest it would never be told what it missed.
        entries = list(self._sent_entries[proxy].values())
        return {"revision": self._sent_revision[proxy], "complete": True, "members": entries}

    def reserve_turn(self) -> float:
        """Queues one poll behind those that are being served; seconds until it is answered."""
        now = self.loop.time()
        self._busy_until = max(self._busy_until, now) + self._settings.call_ms / 1000
        return self._busy_until - now


class DiscoveryCall(asyncio.Protocol):
    """A proxy's connection: it polls, or watches."""

    def __init__(self, discovery: StandInDiscovery, proxy: str):
        self.proxy = proxy
        self._discovery = discovery
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None
        self._sent_revision = 0
        self._keep_alive_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """As asyncio calls it."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """As asyncio calls it."""
        self._discovery.watches.pop(self, None)
        if self._keep_alive_timer:
            self._keep_alive_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """As asyncio calls it."""
        for message in self._reader.feed(data):
            self._take(message)

    def _take(self, message: Message) -> None:
        discovery = self._discovery
        if failure := discovery.failures.get(self.proxy):
            fail(discovery.loop, self._transport, failure)
            return
        path, _, query = message.first_line.split(b" ")[1].partition(b"?")
        if path != ENDPOINTS_PATH:
            self._transport.write(make_response(404))
            return
        parameters = dict(part.partition(b"=")[::2] for part in query.split(b"&") if part)
        discovery.loop.call_later(discovery.reserve_turn(), self._serve, parameters)

    def _serve(self, parameters: Mapping[bytes, bytes]) -> None:
        if self._transport.is_closing():
            return
        discovery = self._discovery
        index = parameters.get(b"index", b"")
        is_known = index.isdigit() and int(index) <= discovery.visible_revision(self.proxy)
        since = int(index) if is_known else None
        if parameters.get(b"stream") != b"1":
            document = discovery.document_for(self.proxy, since)
            self._transport.write(make_response(200, json.dumps(document).encode()))
            return
        self._transport.write(WATCH_HEAD)
        discovery.watches[self] = None
        self._send_line(since)
        self._keep_alive_timer = discovery.loop.call_later(KEEP_ALIVE_SECONDS, self._keep_alive)

    def _send_line(self, since: int | None) -> None:
        document = self._discovery.document_for(self.proxy, since)
        line = json.dumps(document).encode() + b"\n"
        self._sent_revision = document["revision"]
        self._transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    def send_changes(self) -> None:
        """Sends what a watch has not been sent yet, if there is any."""
        is_behind = self._sent_revision < self._discovery.visible_revision(self.proxy)
        if not self._transport.is_closing() and is_behind:
            self._send_line(self._sent_revision)

    def abort(self) -> None:
        """Resets it."""
        self._transport.abort()

    def _keep_alive(self) -> None:
        if not self._transport.is_closing():
            self._transport.write(EMPTY_LINE)
            self._keep_alive_timer = self._discovery.loop.call_later(KEEP_ALIVE_SECONDS, self._keep_alive)
