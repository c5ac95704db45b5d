"""The one helper of the tests: a host that prints every decision, peers on loopback that print what they see,
and the comparison with a kept trace."""

import asyncio
import contextlib
import difflib
import functools
import json
import os
import pathlib
import re
import tempfile

import uvloop

from sloeferry.config.instance import read_instance_config
from sloeferry.config.settings_reader import build_settings
from sloeferry.lifecycle.proxy_process import serve
from sloeferry.network import connection_pool
from sloeferry.policy.endpoint_staleness import StalenessLimits
from sloeferry.policy.interface import AttemptOutcome, EndpointEntry, EndpointState, ListScope
from sloeferry.policy.policy import Policy

SETTLED = connection_pool.SECOND_RESPONSE_SECONDS  # as it is outside the tests
SCHEMES = [("retryable", "all"), ("dedup", "zone"), ("fragile", "all")]


class Lines:
    """A trace that a test writes down by itself."""

    def __init__(self):
        self.lines = []


class Printer:
    """A host that writes each action down, at the time of the test's own clock."""

    def __init__(self, **more):
        self.lines, self.now, self.wakes, self.sent = [], 0.0, [], {}
        seed, limits = more.pop("seed", 7), more.pop("limits", StalenessLimits())
        told = {
            "schemes.count": len(SCHEMES),
            "instances": 1,
            "step": 1.0,
            "limits.most_postings": 4,
            "limits.cancel": True,
            "load_info.fields": "inflight",
            "load_info.via": "answers",
        }
        for at, (kind, group) in enumerate(SCHEMES):
            told.update(
                {
                    f"schemes.{at}.{name}": value
                    for name, value in (
                        ("idempotency", kind),
                        ("group", group),
                        ("sla_time", 700.0),
                        ("expiry", 1000.0),
                        ("gain", 1.0),
                        ("dedup_window", 300.0),
                    )
                }
            )
        told.update({name.replace("__", "."): value for name, value in more.items()})
        self.policy = Policy(self, 0.0, seed, build_settings(told), limits)

    def say(self, text):
        self.lines.append(f"{self.now:7.1f}  {text}")

    def send_attempt(self, ref, backend):
        seq = self.sent[ref] = self.sent.get(ref, -1) + 1
        self.say(f"post {ref}/{seq} to {backend}")

    def cancel_attempt(self, ref, seq):
        self.say(f"withdraw {ref}/{seq}")

    def reject(self, ref, pause):
        self.say(f"decline {ref}, again after {pause:.0f}")

    def fail(self, ref):
        self.say(f"reverse {ref}")

    def send_health_check(self, backend):
        self.say(f"probe {backend}")

    def poll_endpoints(self):
        self.say("watch")

    def schedule_wakeup(self, at, token):
        self.wakes.append((at, token))

    def until(self, now):
        """Let the clock run, with every timer that falls due."""
        while self.wakes and min(self.wakes)[0] <= now:
            at, token = min(self.wakes)
            self.wakes.remove((at, token))
            self.now = max(self.now, at)
            self.policy.timer_fired(self.now, token)
        self.now = now

    def list(self, *lines, scope=ListScope.COMPLETE):
        """Lines: name, then zone, standing and launched where they matter."""
        full = [tuple(line) + (0, EndpointState.READY, 0.0)[len(line) - 1 :] for line in lines]
        self.policy.endpoints_listed(self.now, scope, [EndpointEntry(n, z, 0, z, s, at) for n, z, s, at in full])

    def take(self, ref, scheme=0, left=1000.0, **more):
        self.say(f"   txn {ref} of scheme {scheme}")
        self.policy.request_arrived(self.now, ref, scheme, more.get("tenant", 0), 0, left, None, more.get("repeat", False))

    def report(self, name, inflight):
        """What an answer to a probe brings."""
        self.policy.health_check_ended(self.now, name, AttemptOutcome.SERVED, 0.5, (inflight,))

    def end(self, ref, seq, how, inflight=None, answered=None, took=50.0):
        self.say(f"   {ref}/{seq} ends: {NAMES[how]}" + ("" if inflight is None else f", reports {inflight}"))
        self.policy.attempt_ended(
            self.now,
            ref,
            seq,
            how,
            how == AttemptOutcome.SERVED if answered is None else answered,
            took,
            () if inflight is None else (inflight,),
        )


WORDS = ["settled", "erred", "turned_away", "late", "unreached", "cut", "withdrawn", "never_sent", "unknown"]
NAMES = dict(zip(AttemptOutcome, WORDS, strict=True))


def compare(test, printer, name):
    """The trace must read as the one kept in tests/kept; people read that one."""
    kept = (pathlib.Path(__file__).parent / "kept" / name).read_text().splitlines()
    diff = list(difflib.unified_diff(kept, printer.lines, "kept", "now", lineterm=""))
    test.assertFalse(diff, "\n" + "\n".join(diff))


def play(test, story, name, *harbours):
    """One story with each harbour; one kept trace of all."""
    lines = []

    async def day(harbour):
        async with harbour:
            await story(harbour)

    for harbour in harbours:
        harbour.lines = lines
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(asyncio.wait_for(day(harbour), 60))
    compare(test, harbour, name)


class Harbour:
    """The real proxy on loopback between a client, backends and a discovery that the test plays.

    What the peers see is written down in `lines`, as the decisions are by Printer.
    """

    SETTLED = 0.0  # seconds until a connection is used again
    has_pending_reload = False  # a SIGHUP came before the proxy could act on it
    SCHEMES = [("safe", "retryable"), ("keyed", "dedup"), ("once", "fragile")]

    def __init__(self, backends, known=None, sockets=256, expiry=3000, ask_in=4000, more=None, ops=False, environ=(), **limits):
        self.lines, self.scripts, self.servers = [], backends, []
        self.known, self.sockets, self.expiry, self.limits, self.ops = known, sockets, expiry, limits, ops
        self.ask_in, self.more = ask_in, more or {}  # further settings
        self.environ = dict(environ)  # beside this process's own
        self.revision, self.watches, self.writers, self.ports, self.count = 1, [], [], {}, {}
        self.shown, self.asked, self.calls, self.moods, self.show_head = {}, 0, [], [], False
        self.connections = []  # of the client

    def say(self, text):
        self.lines.append(text)

    async def __aenter__(self):
        for name, script in self.scripts.items():
            if name in self.ports:  # another harbour's: two proxies before the same backends
                continue
            self.ports[name] = await self.listen(functools.partial(self.backend, name, script))
        discovery = await self.listen(self.discovery)
        self.port = await self.listen(None)  # any that is free
        times = {"expiry": self.expiry * 1000, "sla_time": self.expiry * 900, "dedup_window": 30000000}
        settings = {
            "schemes": [{"name": n, "idempotency": kind, **times} for n, kind in self.SCHEMES],
            "tenants": [{"name": "acme"}],
            "discovery": "subscribe",
            "zones": ["a"],
            "kinds": ["m"],
            "load_info": {"via": "answers", "fields": ["inflight"]},
            "obligations": {"must_ask_in": self.ask_in * 1000},
            "instances": 1,
            "ordinal": 0,
            "zone": 0,
            "limits": {"most_postings": 3, "dial_timeout": 250000, "conn_idle": 10000000, **self.limits},
            **self.more,
        }
        # Which of its connections a backend is asked on must not hang on how long the call before took.
        connection_pool.SECOND_RESPONSE_SECONDS = self.SETTLED
        told = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "7",
            "limits": {"sockets": self.sockets},
            "settings": settings,
        }
        self.told = told
        if self.ops:
            self.ops = await self.listen(None)
            told["ops"] = f"127.0.0.1:{self.ops}"
        if self.known:
            told["known"] = {"revision": 0, "complete": True, "members": self.members(*self.known)}
        with tempfile.NamedTemporaryFile("w") as file:
            json.dump(told, file)
            file.flush()
            berth = read_instance_config({"BALANCER_CONFIG": file.name})
        self.policy = asyncio.get_running_loop().create_task(
            serve(
                berth,
                {**os.environ, **self.environ} if self.environ else os.environ,
                has_pending_reload=lambda: self.has_pending_reload,
            )
        )
        while "200" not in await self.ask("GET /ready HTTP/1.1\r\n\r\n", quiet=True):
            if self.policy.done():  # it will never be ready: its own exception says why
                self.policy.result()
                raise AssertionError("the proxy ended before it was ready")
            await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *_):
        self.policy.cancel()
        await asyncio.wait([self.policy])
        connection_pool.SECOND_RESPONSE_SECONDS = SETTLED
        for end in (*self.servers, *self.writers, *self.watches):
            end.close()
        await asyncio.sleep(0.01)  # for the peers to see their connections end

    async def listen(self, answer):
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        if answer:
            self.servers.append(server)
        else:
            server.close()
        return port

    # What the peers do

    def members(self, *lines):
        """Lines: name or (name, phase); no such backend: a port where nobody listens."""
        lines = [line if isinstance(line, tuple) else (line, "active") for line in lines]
        return [
            {
                "id": name,
                "host_port": f"127.0.0.1:{self.ports.get(name, 1)}",
                "locality": "a",
                "flavor": "m",
                "cell": 0,
                "phase": phase,
                "size": 1.0,
                "up_since_ms": 0,
            }
            for name, phase in lines
        ]

    def tell(self, text):
        """One line to all watches."""
        for writer in self.watches:
            if writer.is_closing():
                continue
            writer.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text.encode()))

    def list(self, *lines, complete=True):
        self.revision += 1
        self.tell(json.dumps({"revision": self.revision, "complete": complete, "members": self.members(*lines)}))

    async def discovery(self, reader, writer):
        self.calls.append((await reader.readuntil(b"\r\n\r\n")).decode().splitlines()[0])
        if self.known:
            return writer.close()  # this one is down
        if self.moods:
            writer.write(self.moods.pop(0))
            return self.writers.append(writer)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)
        self.list(*self.scripts)

    async def backend(self, name, script, reader, writer):
        """A script says what to write for the nth request of all: b"" closes, None is silence, an event a wait."""
        self.writers.append(writer)
        shown = self.shown.setdefault(name, f"backend {len(self.shown) + 1}")  # in the order they are met
        connection = self.count[name] = self.count.get(name, 0) + 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode(errors="replace")
                size = re.search(r"(?i)content-length: (\d+)", head)
                body = (await reader.readexactly(int(size[1]))).decode() if size else ""
                kept = sorted(
                    line
                    for line in head.split("\r\n")[1:]
                    if line.lower().startswith(("x-call-id", "idempotency"))
                    or self.show_head
                    and line
                    and not line.lower().startswith("x-budget")
                )
                self.say(f"  {shown}, connection {connection}: {head.splitlines()[0]}  {body} {kept}")
                self.asked += 1
                what = script(self.asked) if callable(script) else script
                if isinstance(what, asyncio.Event):
                    await what.wait()
                    what = answer("late")
                if what is not None:
                    writer.write(what)
                    if not what or b"Connection: close" in what:
                        return writer.close()

    async def open(self):
        connection = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(connection[1])
        self.connections.append(connection)
        return connection

    async def ask(self, text, connection=None, quiet=False):
        """One request, on a connection of its own unless one is given: what comes back, in a line."""
        try:
            reader, writer = connection or await self.open()
            writer.write(text if isinstance(text, bytes) else text.encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            size = int(re.search(r"(?i)content-length: (\d+)", head)[1])
            body = (await reader.readexactly(size)).decode()
            told = re.findall(r"(?i)connection: close|retry-after.*\d", head)
            came = " ".join([head.split()[1], body[:40], *told])
        except (OSError, asyncio.IncompleteReadError) as fault:
            came = "closed without a word" if isinstance(fault, asyncio.IncompleteReadError) else "reset"
        if not connection and came != "reset":
            writer.close()
        if not quiet:
            self.say(f"client gets: {came}")
        return came

    async def call(self, scheme="safe", body="", connection=None, **headers):
        """A well-formed request, with some headers changed (None: left out)."""
        self.say(f"client asks: {scheme} {body[:40]}")
        said = {
            "Host": "backend.local",
            "X-Call-Id": "c1",
            "X-Call-Class": scheme,
            "X-Caller": "acme",
            "X-Budget-Ms": str(self.expiry),
            "Idempotency-Key": None if scheme == "safe" else "k1",
            "Content-Length": len(body) if body else None,
        }
        said.update({name.replace("_", "-"): value for name, value in headers.items()})
        lines = [
            f"{'GET' if scheme == 'safe' else 'POST'} /api?q=1 HTTP/1.1",
            *(f"{name}: {value}" for name, value in said.items() if value is not None),
        ]
        return await self.ask("\r\n".join(lines) + "\r\n\r\n" + body, connection)


def answer(body="done", status=200, *headers):
    return "\r\n".join([f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", body]).encode()
