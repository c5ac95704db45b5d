"""Stand-in discovery: the list of nodes, asked for or watched, which comes late, and at times not at all.

Each proxy is told an address of its own, so that it is known whom a list was written to, also where all proxies
call from one address.
"""

import asyncio
import json

from sloeferry.stand_ins.call_failures import CallFailure, fail
from sloeferry.stand_ins.http_messages import Frames, answer

ALIVE = 2.0  # seconds between empty lines of a watch


class Roster:
    def __init__(self, loop, told, addresses, judge, rng, unix):
        self.loop, self.told, self.addresses, self.judge, self.rng, self.unix = loop, told, addresses, judge, rng, unix
        self.members, self.changes, self.revision = {}, [], 0  # changes: (revision, ident)
        self.servers, self.watches, self.free, self.more = {}, {}, 0.0, 0.0  # servers: proxy -> what it calls
        self.failing = {}  # proxy -> how each of its calls fails (CallFailure)
        self.lists, self.held = {}, {}  # proxy -> the list as it was last told, and its revision
        self.log, self.views = [], {}  # all that was ever published; proxy -> what it is shown instead of the newest
        self.ways = {}  # proxy, node -> host:port of the way between them, where it is not the node's own

    async def start(self):
        for proxy in self.addresses:
            await self.listen(proxy)

    async def listen(self, proxy):
        """Lets that proxy call, from now on."""
        self.servers[proxy] = await self.loop.create_server(lambda: Call(self, proxy), *self.addresses[proxy], backlog=256)

    def out(self):
        """Down: watches end, nobody is let in."""
        for server in self.servers.values():
            server.close()
        self.servers = {}
        for watch in list(self.watches):
            watch.transport.abort()

    async def back(self, further=0):
        """There again, so many ports further on."""
        self.addresses = {proxy: (host, port + further) for proxy, (host, port) in self.addresses.items()}
        if not self.servers:
            await self.start()

    def happened(self, node, phase, late, launched=None):
        """A node has started, drains or is gone; listed after that time."""
        self.loop.call_later(late + self.more, self.publish, node, phase, launched)

    def publish(self, node, phase, launched=None):
        self.revision += 1
        entry = {
            "id": node.ident,
            "host_port": "{}:{}".format(*node.address),
            "locality": node.zone,
            "flavor": node.told.kind,
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": self.members.get(node.ident, {}).get("up_since_ms", 0) if launched is None else round(launched * 1000),
        }
        self.members[node.ident] = entry
        self.changes.append((self.revision, node.ident))
        self.log.append((self.revision, self.loop.time(), entry))
        self.judge.published(node.ident, phase, self.loop.time())
        for watch in list(self.watches):
            late = self.views.get(watch.proxy, (0.0, None))[0]
            self.loop.call_later(late + self.rng.random() * self.told.spread_ms / 1000, watch.tell)

    async def fail_calls(self, proxy, failure):
        """From now on each call of that proxy fails so, and its watches end; with None calls are answered again."""
        if failure is None:
            failure = self.failing.pop(proxy, None)
            if failure is CallFailure.UNREACHABLE and proxy not in self.servers:
                await self.listen(proxy)
            return
        self.failing[proxy] = failure
        if failure is CallFailure.UNREACHABLE and proxy in self.servers:
            self.servers.pop(proxy).close()
        self.hang_up({proxy})

    # Replicas that lag, counts that start anew

    def show(self, proxy, late=0.0, until=None):
        """From now on that proxy is shown the list as it was `late` seconds ago, and nothing after `until`; with neither,
        the newest."""
        if late or until is not None:
            self.views[proxy] = late, until
        else:
            self.views.pop(proxy, None)
            for watch in list(self.watches):
                if watch.proxy == proxy:
                    watch.tell()

    def hang_up(self, proxies):
        """Ends their watches, so that they call again."""
        for watch in list(self.watches):
            if watch.proxy in proxies:
                watch.transport.abort()

    def anew(self):
        """It has lost its count: what stands in the list is its revision 1."""
        self.revision, self.changes, now = 1, [], self.loop.time()
        self.members = {ident: entry for ident, entry in self.members.items() if entry["phase"] != "left"}
        self.log = [(1, now, entry) for entry in self.members.values()]
        self.hang_up(set(self.addresses))

    def newest(self, proxy):
        """The revision that this proxy is shown."""
        if proxy not in self.views:
            return self.revision
        late, until = self.views[proxy]
        until = min(self.loop.time() - late, until if until is not None else float("inf"))
        return max((revision for revision, when, _ in self.log if when <= until), default=0)

    def document(self, since=None, upto=None):
        """All, or what changed after that revision, with the latest word for each; `upto`: as of an older one."""
        members, changes, revision = self.members, self.changes, self.revision
        if upto is not None and upto != revision:
            members, revision = {entry["id"]: entry for at, _, entry in self.log if at <= upto}, upto
            changes = [change for change in changes if change[0] <= upto]
        if since is None:
            entries = [entry for entry in members.values() if entry["phase"] != "left"]
        else:
            idents = dict.fromkeys(ident for at, ident in changes if at > since)
            entries = [members[ident] for ident in idents]
        return {"revision": revision, "complete": since is None, "members": entries}

    def told_to(self, proxy, document):
        """What is written to that proxy; the wire's own record of who has been told what."""
        now, known = self.loop.time(), self.lists.setdefault(proxy, {})
        if self.ways:
            document = document | {
                "members": [
                    entry | {"host_port": self.ways.get((proxy, entry["id"]), entry["host_port"])}
                    for entry in document["members"]
                ]
            }
        self.held[proxy] = document["revision"]
        self.judge.listed(proxy, document["revision"], now)
        if document["complete"]:
            named = {member["id"] for member in document["members"]}
            for ident in [ident for ident in known if ident not in named]:
                del known[ident]
                self.judge.told(proxy, ident, "left", now)
        for entry in document["members"]:
            self.judge.told(proxy, entry["id"], entry["phase"], now, entry["up_since_ms"])
            known[entry["id"]] = entry
            if entry["phase"] == "left":
                del known[entry["id"]]
        return document

    def known_to(self, proxy):
        """What a proxy that starts again is given: the list as it last had it."""
        if proxy not in self.lists:
            return {}
        # With the revision that it had: with the newest it would never be told what it missed.
        return {"revision": self.held[proxy], "complete": True, "members": list(self.lists[proxy].values())}


class Call(asyncio.Protocol):
    def __init__(self, roster, proxy):
        self.roster, self.proxy, self.frames, self.since, self.transport = roster, proxy, Frames(), None, None
        self.beat = None

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, fault):
        self.roster.watches.pop(self, None)
        if self.beat:
            self.beat.cancel()

    def data_received(self, data):
        for line, _, _ in self.frames.feed(data):
            if failure := self.roster.failing.get(self.proxy):
                fail(self.roster.loop, self.transport, failure)
                continue
            path, _, query = line.split(b" ")[1].partition(b"?")
            if path != b"/v1/endpoints":
                self.transport.write(answer(404))
                continue
            # One service for all: calls are worked through in turn.
            roster, now = self.roster, self.roster.loop.time()
            roster.free = max(roster.free, now) + roster.told.call_ms / 1000
            roster.loop.call_later(
                roster.free - now, self.serve, dict(part.partition(b"=")[::2] for part in query.split(b"&") if part)
            )

    def serve(self, query):
        if self.transport.is_closing():
            return
        index, newest = query.get(b"index", b""), self.roster.newest(self.proxy)
        since = int(index) if index.isdigit() and int(index) <= newest else None
        document = self.roster.document(since, newest)
        if query.get(b"stream") != b"1":
            document = self.roster.told_to(self.proxy, document)
            return self.transport.write(answer(200, json.dumps(document).encode()))
        self.transport.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.roster.watches[self] = None
        self.line(document)
        self.beat = self.roster.loop.call_later(ALIVE, self.alive)

    def line(self, document):
        text = json.dumps(self.roster.told_to(self.proxy, document)).encode() + b"\n"
        self.since = document["revision"]
        self.transport.write(b"%x\r\n%b\r\n" % (len(text), text))

    def tell(self):
        newest = self.roster.newest(self.proxy)
        if not self.transport.is_closing() and self.since < newest:
            self.line(self.roster.document(self.since, newest))

    def alive(self):
        if not self.transport.is_closing():
            self.transport.write(b"1\r\n\n\r\n")
            self.beat = self.roster.loop.call_later(ALIVE, self.alive)
