"""Two events that cross: each order is forced by what a peer has seen or by a hook at the await in question, none by
waiting for a while.  `docs/crossings.md` names the pair of each test."""

import asyncio
import contextlib
import json
import os
import re
import select
import signal
import socket
import tempfile
import types
import unittest
from unittest import mock

from loguru import logger

from sloeferry.config.settings import build_settings
from sloeferry.dispatch.attempt_end import AttemptEnd
from sloeferry.lifecycle.proxy_process import ProxyProcess
from sloeferry.network import admin_server, listener, sockets
from sloeferry.network.backend_connection import BackendConnection
from sloeferry.network.buffers import Buffers
from sloeferry.network.client_connection import ClientConnection
from sloeferry.network.connection_pool import ConnectionPool
from sloeferry.network.deadline_timers import DeadlineTimers
from sloeferry.network.descriptor_budget import DescriptorBudget
from sloeferry.network.exchange import Exchange, ExchangePlan
from sloeferry.network.request_carrier import RequestCarrier
from sloeferry.policy.interface import EndpointState
from tests.trace import Harbour, answer, play

NEVER = 3600.0  # seconds: of a look that is not to come in a test


def left(sock):
    """Whether the machine knows that the other side has ended its sending."""
    look = select.poll()
    look.register(sock, select.POLLRDHUP)
    return bool(look.poll(0))


async def until(true):
    while not true():
        await asyncio.sleep(0.001)


class Gate:
    """A hook that holds whoever comes to it until it is opened; `held` says that somebody is there."""

    def __init__(self):
        self.held, self.opened = asyncio.Event(), asyncio.Event()

    async def passed(self):
        self.held.set()
        await self.opened.wait()


class Opened(Harbour):
    """A harbour whose proxy's parts can be reached; its backends write down each head as it comes."""

    async def __aenter__(self):
        def kept(*arguments):
            process = ProxyProcess(*arguments)
            self.dispatcher, self.clients, self.pool = process.dispatcher, process.clients, process.pool
            self.discovery = process.discovery
            return process

        with mock.patch("sloeferry.lifecycle.proxy_process.ProxyProcess", kept):
            return await super().__aenter__()

    def head(self, ident="c0", scheme="safe", more="", size=0):
        return (
            f"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: {ident}\r\nX-Call-Class: {scheme}\r\nX-Caller: acme\r\n"
            f"X-Budget-Ms: {self.expiry}\r\nContent-Length: {size}\r\n{more}\r\n"
        ).encode()

    async def sent(self, data):
        """A client that has sent this: its socket, and its guest once it is let in."""
        sock = socket.create_connection(("127.0.0.1", self.port))
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_sendall(sock, data)
        name = sock.getsockname()

        def guest():
            return next((one for one in self.clients.connections if one.sock.getpeername() == name), None)

        return sock, guest

    async def gets(self, sock, most):
        """Writes down the first so many bytes of what that client gets next."""
        self.say(f"client gets: {(await asyncio.get_running_loop().sock_recv(sock, 999))[:most]!r}")

    async def told_to_end(self):
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: self.clients.lifecycle.is_stopping)

    @staticmethod
    async def leaves(sock, there, end=socket.socket.close):
        """That client goes, and the machine knows; its guest does not look."""
        end(sock)
        await until(lambda: left(there.sock))

    @contextlib.contextmanager
    def before_first_byte(self):
        """A gate right before each first byte, as where the list is caught up with after a standstill."""
        gate = Gate()

        def turned():
            gate.held.set()
            return None if gate.opened.is_set() else asyncio.ensure_future(gate.opened.wait())

        with mock.patch.object(self.dispatcher, "loop_turned", turned):
            yield gate

    def figures(self):
        """What may be left behind of a txn."""
        own = {b.endpoint_id: b.own_in_flight for b in self.dispatcher.policy.table.by_id.values()}
        return (
            f"errands {len(self.dispatcher.requests)}, txns {len(self.dispatcher.policy.requests.by_id)}, open ids "
            f"{len(self.clients.open_requests)}, out {own}"
        )


class Unseen(Opened):
    """Its backends write nothing down: in which order they are asked is left to time."""

    def say(self, text):
        if not text.startswith("  "):
            super().say(text)


class Crossing(unittest.TestCase):
    def setUp(self):
        logger.remove()


class Leaving(Crossing):
    """A client leaves while its request waits.  The look that comes every 10 ms is put off for good: what is shown
    is what is known right before the first byte."""

    def play(self, story, name, *harbours, **more):
        async def told(h):
            await h.call("safe", X_Call_Id="before")
            await story(h)
            await h.call("safe", X_Call_Id="after")
            await until(lambda: not h.dispatcher.requests)
            h.say(h.figures())

        with mock.patch("sloeferry.network.stall_accounting.LOOP_TICK_SECONDS", NEVER):
            play(self, told, name, *(harbours or [Opened({"b": answer()})]), **more)

    def test_before_first_byte(self):
        """Held right before its first byte, as after a standstill: a client that closed, that closed behind a further
        byte or half a request, that reset, or that only ended its sending."""

        def reset(sock):
            sockets.reset_on_close(sock)
            sock.close()

        async def story(h):
            for more, end in (
                (b"", socket.socket.close),
                (b"x", socket.socket.close),
                (h.head("c9")[:30], socket.socket.close),
                (h.head("c9"), reset),
                (b"", lambda sock: sock.shutdown(socket.SHUT_WR)),
                (None, None),
            ):
                with h.before_first_byte() as gate:
                    sock, guest = await h.sent(h.head() + (more or b""))
                    await gate.held.wait()
                    there = guest()
                    if end:
                        await h.leaves(sock, there, end)
                    h.say(f"-- behind it {more!r}, then {'it leaves' if end else 'it stays'}")
                    gate.opened.set()
                    await until(lambda: not h.dispatcher.requests)
                sock.close()
                await until(lambda: there not in h.clients.connections)

        self.play(story, "crossing_first_byte")

    def test_while_dialled(self):
        """Its backend's connection is still coming up."""

        async def story(h):
            gate, dial = Gate(), sockets.connect

            async def slow(*what):
                await gate.passed()
                return await dial(*what)

            for link in list(h.pool.idle["b"]):
                link.close()
            with mock.patch("sloeferry.network.sockets.connect", slow):
                sock, guest = await h.sent(h.head() + b"x")
                await gate.held.wait()
                await h.leaves(sock, guest())
                gate.opened.set()
                await until(lambda: not h.dispatcher.requests)

        self.play(story, "crossing_dial")

    def test_door_shut(self):
        """Unread, while the door is shut; with what it sent comes the end."""

        async def story(h):
            h.dispatcher.overload.limit = 0.0
            sock, guest = await h.sent(h.head() + b"x")
            await until(lambda: h.clients.admission_queue.waiting)
            there = guest()
            await h.leaves(sock, there)
            h.dispatcher.overload.limit = float("inf")
            await until(lambda: there not in h.clients.connections)

        self.play(story, "crossing_door")

    def test_full_table_and_handover(self):
        """Behind the listener: no seat is free; another process takes clients in, and ends."""

        async def story(h):
            for why in ("no seat", "another process's turn"):
                most, h.clients.budget.limit = h.clients.budget.limit, 0 if why == "no seat" else h.clients.budget.limit
                if why != "no seat":
                    h.clients.listener.pause()
                sock, _ = await h.sent(h.head() + b"x")
                sock.close()
                h.say(f"-- {why}")
                guests = len(h.clients.connections)
                h.clients.budget.limit = most
                if why != "no seat":
                    h.clients.listener.open()
                other = await h.open()  # let in behind the one that has left
                await until(lambda: h.clients.connections and len(h.clients.connections) <= guests + 1)
                await h.call("safe", X_Call_Id="c1", connection=other)

        self.play(story, "crossing_listener")

    def test_read_ahead(self):
        """Two requests in one go, then the end: the second is not begun once the first is given up."""
        held = asyncio.Event()

        async def story(h):
            sock, guest = await h.sent(h.head("c1") + h.head("c2"))
            await until(lambda: h.asked == 2)
            there = guest()
            await h.leaves(sock, there)
            held.set()
            await until(lambda: there not in h.clients.connections)

        self.play(story, "crossing_ahead", Opened({"b": lambda n: held if n == 2 else answer()}))

    def test_body_half_come(self):
        """A body that flows, not begun yet, its client gone half way: not one byte goes out."""

        async def story(h):
            with h.before_first_byte() as gate:
                sock, guest = await h.sent(h.head(size=200000) + b"x" * 100000)
                await gate.held.wait()
                out = []
                await h.leaves(sock, guest())
                with mock.patch.object(
                    BackendConnection, "finish", lambda link, keep_alive: (out.append(keep_alive), link.close())
                ):
                    gate.opened.set()
                    await until(lambda: not h.dispatcher.requests)
                h.say(f"a connection untouched: {out}")

        self.play(story, "crossing_body")

    def test_further_attempt(self):
        """Its posting ends without an answer after the client has left: no other is begun."""
        held = asyncio.Event()

        async def cut(h):
            sock, guest = await h.sent(h.head() + b"x")
            await until(lambda: h.asked == 2)
            await h.leaves(sock, guest())
            held.set()
            await until(lambda: not h.dispatcher.requests)

        class Cut(Opened):
            def say(self, text):  # which of the two is asked first is left to how long the first answer took
                super().say(re.sub(r"backend \d, connection \d", "a backend", text))

        def script(n):
            return held if n == 2 else answer()

        h = Cut({"b": script, "c": script})
        with mock.patch("tests.trace.answer", lambda *what: answer("no", 500) if what == ("late",) else answer(*what)):
            self.play(cut, "crossing_further", h)

    def test_again_under_its_id(self):
        """It leaves unnoticed and comes again under the id that it left; one that is there still keeps its id."""
        held = asyncio.Event()

        async def story(h):
            sock, guest = await h.sent(h.head() + b"x")
            await until(lambda: h.asked == 2)
            there = guest()
            await h.call("safe", X_Call_Id="c0")
            await h.leaves(sock, there)
            await h.call("safe", X_Call_Id="c0")
            held.set()

        self.play(story, "crossing_same_id", Opened({"b": lambda n: held if n == 2 else answer()}))


class Ending(Crossing):
    """Connections that end from this side."""

    def test_ended_while_its_task_posts(self):
        """A body's client gives nothing more and is ended by the sweep, while its own task carries the posting; one is
        ended with an order that nobody has begun: nothing of either is left behind."""

        async def story(h):
            with mock.patch("sloeferry.network.connection_sweeper.READ_SECONDS", 0.1):
                sock, guest = await h.sent(h.head(size=200000) + b"x" * 100000)
                await until(lambda: guest() and guest().receiving_body_since)
                there = guest()
                await until(lambda: there not in h.clients.connections)
            await until(lambda: not h.dispatcher.requests)
            h.say(f"in its body: {h.figures()}")
            sock.close()
            gate = Gate()
            with mock.patch.object(RequestCarrier, "carry", lambda *_: gate.passed()):
                sock, guest = await h.sent(h.head())
                await gate.held.wait()  # taken, and its posting ordered
                there = guest()
                there.close()
                await asyncio.wait([there.task])
            h.say(f"with an order: {h.figures()}")
            sock.close()

        play(self, story, "crossing_ended", Opened({"b": answer()}))

    def test_hurried_while_it_writes(self):
        """Half a request's time is over just as it is told to go on: the word is not broken off, and its rest counts."""

        async def story(h):
            gate, send = Gate(), ClientConnection.send

            async def slow(guest, data):
                if b"100" in data:
                    await gate.passed()
                await send(guest, data)

            with mock.patch.object(ClientConnection, "send", slow):
                sock, guest = await h.sent(h.head(more="Expect: 100-continue\r\n", size=4))
                await gate.held.wait()
                guest().time_out_request()
                gate.opened.set()
                await h.gets(sock, 999)
                with contextlib.suppress(OSError):
                    await asyncio.get_running_loop().sock_sendall(sock, b"body")
                await h.gets(sock, 15)
                sock.close()

        play(self, story, "crossing_hurried", Opened({"b": answer()}))

    def test_answer_over_unread_bytes(self):
        """A client that wants its connection closed sent more behind its request, and reads slowly: closed over what
        is unread the connection would be reset, and the rest of the answer lost."""

        async def story(h):
            gate, send, loop, got = Gate(), ClientConnection.send, asyncio.get_running_loop(), b""

            async def slow(guest, data):
                await gate.passed()
                await send(guest, data)

            with mock.patch.object(ClientConnection, "send", slow):
                sock, guest = await h.sent(h.head(more="Connection: close\r\n"))
                await gate.held.wait()
                there = guest()
                await loop.sock_sendall(sock, b"more")
                gate.opened.set()
                await until(lambda: there.is_closed or h.clients.lingering)
            with contextlib.suppress(OSError):
                while data := await loop.sock_recv(sock, 4096):
                    got += data
                    await asyncio.sleep(0)
            sock.close()
            h.say(f"client gets all: {got.endswith(b'x' * 900000)}")

        play(self, story, "crossing_unread", Opened({"b": answer("x" * 900000)}))

    def test_sigterm_with_a_full_table(self):
        """SIGTERM while all seats are taken and one more has connected and asked: it is let in, not reset."""
        held = asyncio.Event()

        async def story(h):
            h.clients.budget.limit = 1
            await until(lambda: not h.clients.connections)
            busy = asyncio.ensure_future(h.ask(h.head("c1"), quiet=True))
            await until(lambda: h.asked)
            sock, _ = await h.sent(h.head("last"))
            with (
                mock.patch("sloeferry.network.client_shutdown.NEW_CONNECTION_SECONDS", 0.02),
                mock.patch("sloeferry.network.client_shutdown.LAST_REQUEST_SECONDS", 0.02),
            ):
                os.kill(os.getpid(), signal.SIGTERM)
                accept, tries = h.clients.listener.accept, []
                with mock.patch.object(h.clients.listener, "accept", lambda *most: (tries.append(most), accept(*most))[1]):
                    await until(lambda: (listener.BACKLOG,) in tries)  # the last time that it lets anybody in
                    held.set()
                    await busy
                    with contextlib.suppress(OSError):
                        await h.gets(sock, 15)
                    await h.policy
            sock.close()
            h.say("the program has ended")

        play(self, story, "crossing_sigterm_full", Unseen({"b": lambda n: held}, sockets=64))

    def test_operators_answer_is_not_held_back(self):
        """An operators' answer behind a 100 Continue, its caller's bytes unread: the machine holds no small write back,
        or it would go with the close."""

        async def story(h):
            serve, found = admin_server.AdminServer._serve, []

            def served(there, sock):
                found.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) > 0)
                return serve(there, sock)

            with mock.patch.object(admin_server.AdminServer, "_serve", served):
                reader, writer = await asyncio.open_connection("127.0.0.1", h.ops)
                writer.write(b"POST /admin/resume HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
                h.say(f"caller gets: {await reader.readline()}")
                writer.write(b"xGET")
                h.say(f"caller gets: {(await reader.read()).splitlines()[1]}, sent at once: {found}")
                writer.close()

        play(self, story, "crossing_operators", Opened({"b": answer()}, ops=True))

    def test_turned_out_half_way(self):
        """Half a request, and its seat is needed, or the rest of its body stays out: told so, since its last byte may be
        on its way.  What has its answer under way is not told another."""

        async def story(h):
            await until(lambda: not h.clients.connections)
            h.clients.budget.limit = 1
            with mock.patch("sloeferry.network.descriptor_budget.DescriptorBudget.PARTIAL_SECONDS", 0.0):
                sock, guest = await h.sent(h.head("c1", size=4) + b"bo")
                await until(lambda: guest() in h.clients.budget.partial)
                await h.call("safe", X_Call_Id="c2")
                await h.gets(sock, 28)
                sock.close()
            h.clients.budget.limit = 9
            with mock.patch("sloeferry.network.connection_sweeper.READ_SECONDS", 0.1):
                sock, guest = await h.sent(h.head("c3", size=200000) + b"x" * 100000)
                await h.gets(sock, 28)
            sock.close()

        play(self, story, "crossing_turned_out", Opened({"b": answer()}))

    def test_read_ahead_and_sigterm(self):
        """SIGTERM while a txn is out and the next request of its connection has been read: it is taken, and answered;
        the connection ends behind that."""
        held = asyncio.Event()

        async def story(h):
            loop = asyncio.get_running_loop()
            sock, guest = await h.sent(h.head("c1") + h.head("c2"))
            await until(lambda: h.asked)
            await h.told_to_end()
            held.set()
            came = b""
            while more := await loop.sock_recv(sock, 999):
                came += more
            sock.close()
            h.say(f"client gets: {re.findall(rb'HTTP.*|Connection.*', came)}")

        play(self, story, "crossing_ahead_sigterm", Opened({"b": lambda n: held if n == 1 else answer()}))

    def test_last_byte_long_after_sigterm(self):
        """Its last byte comes when SIGKILL may come before its time is over: it has its answer by then, also where its
        body flows."""

        async def story(h):
            halves = []
            for size in (4, 200000):
                sock, guest = await h.sent(h.head(f"c{size}", size=size) + b"x" * (size - 1))
                await until(lambda: guest() and guest().stream.has_begun)
                halves.append(sock)
            await until(lambda: h.dispatcher.requests)
            budgets, take, whole = [], h.dispatcher.accept_request, h.dispatcher.body_received
            with (
                mock.patch("sloeferry.network.client_shutdown.KILL_SECONDS", -h.expiry / 2000),
                mock.patch.object(h.dispatcher, "accept_request", lambda *what: (budgets.append(what[2]), take(*what))[1]),
                mock.patch.object(h.dispatcher, "body_received", lambda *what: (budgets.append(what[1]), whole(*what))),
            ):
                await h.told_to_end()
                for sock in halves:
                    sock.send(b"x")
                    await h.gets(sock, 15)
                    sock.close()
            h.say(f"in half of their time: {[budget <= h.expiry / 2 for budget in budgets]}")

        play(self, story, "crossing_killed", Unseen({"b": answer()}))

    def test_gone_as_it_is_let_in(self):
        """Its socket is spoilt as it is taken from the listener: its seat is free again, and the next one is let in."""

        async def story(h):
            await until(lambda: not h.clients.connections)
            option, spoilt = socket.socket.setsockopt, []

            def setsockopt(sock, *what):
                if not spoilt and sock.getsockname()[1] == h.port:
                    spoilt.append(sock)
                    raise OSError(22, "Invalid argument")
                option(sock, *what)

            with mock.patch.object(socket.socket, "setsockopt", setsockopt):
                sock = socket.create_connection(("127.0.0.1", h.port))
                await until(lambda: spoilt)
                await h.call("safe")
            sock.close()
            h.connections[-1][1].close()
            await until(lambda: not h.clients.connections)
            h.say(f"seats taken: {h.clients.budget.taken}")

        play(self, story, "crossing_let_in", Opened({"b": answer()}))

    def test_hurried_as_its_last_byte_comes(self):
        """Half a request's time is over, and its last byte is there: a final answer, and nothing was sent on."""

        async def story(h):
            sock, guest = await h.sent(h.head(size=4) + b"bod")
            await until(lambda: guest() and guest().stream.message.body_bytes == 3 and guest()._is_reading)
            there = guest()
            sock.send(b"y")
            select.select([there.sock], [], [])  # it is there, and not read: not one turn of the loop in between
            there.time_out_request()
            await h.gets(sock, 28)
            sock.close()

        play(self, story, "crossing_last_byte", Opened({"b": answer()}))

    def test_signals_together_and_a_shut_door(self):
        """SIGTERM twice and SIGHUP in one moment, the door shut and a request parked there unread: it is answered, and
        the program ends."""

        async def story(h):
            with tempfile.NamedTemporaryFile("w") as file, mock.patch.dict(os.environ, BALANCER_CONFIG=file.name):
                json.dump(h.told, file)
                file.flush()
                h.dispatcher.overload.limit = 0.0
                sock, _ = await h.sent(h.head())
                await until(lambda: h.clients.admission_queue.waiting)
                for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                    os.kill(os.getpid(), number)
                await h.gets(sock, 15)
                await h.policy
                sock.close()
            h.say("the program has ended")

        play(self, story, "crossing_signals", Opened({"b": answer()}))

    def test_two_cancels_and_an_answer(self):
        """Given up twice in one turn of the loop, with the answer there but not read: it may have run, its connection is
        not kept, and the next posting gets its own answer."""

        async def story(h):
            told = types.SimpleNamespace(loop_turned=lambda: None)
            loop = asyncio.get_running_loop()
            pool = ConnectionPool(loop, build_settings({"schemes.count": 1}), DescriptorBudget(9), Buffers())
            pool.set_address("b", ("127.0.0.1", h.ports["b"]))

            def exchange(request):
                plan = ExchangePlan("b", 1e12, may_begin=lambda: True, make_request=lambda: request)
                return Exchange(plan, told, pool, DeadlineTimers(loop)).run()

            socks, dial = [], sockets.connect

            async def dialled(*what):
                socks.append(await dial(*what))
                return socks[-1]

            with mock.patch("sloeferry.network.sockets.connect", dialled):
                task = loop.create_task(exchange(b"GET /x HTTP/1.1\r\n\r\n"))
                await until(lambda: h.asked == 1)
                h.writers[-1].write(answer("first"))
                while not select.select(socks, [], [], 0)[0]:
                    pass  # not one turn of the loop in between
                task.cancel()
                task.cancel()
                ended = await task
                why = list(AttemptEnd).index(ended.end)
                h.say(f"reached {ended.progress}, why {why}, answer {ended.response}, kept {len(pool.idle.get('b', ()))}")
                ended = await exchange(b"GET /y HTTP/1.1\r\n\r\n")
                h.say(f"the next one's: {ended.response.body()}, seats {pool.budget.taken}")

        play(self, story, "crossing_cancels", Opened({"b": lambda n: None if n == 1 else answer("second")}))

    def test_moved_while_dialled(self):
        """A backend is listed elsewhere while its connection comes up: that address may be another's by now."""

        async def story(h):
            gate, dial = Gate(), sockets.connect

            async def slow(*what):
                sock = await dial(*what)
                if not gate.held.is_set():
                    await gate.passed()
                return sock

            with mock.patch("sloeferry.network.sockets.connect", slow):
                asked = asyncio.ensure_future(h.call("once"))
                await gate.held.wait()
                h.pool.set_address("b", ("127.0.0.1", h.ports["c"]))
                gate.opened.set()
                await asked

        play(self, story, "crossing_moved", Opened({"b": answer("from b"), "c": answer("from c")}, known=None))


class Posting(Crossing):
    def test_window_ends_while_dialled(self):
        """A referenced txn's second posting is dialled as the window in which a repeat is known ends: not begun."""

        async def story(h):
            gate, dial = Gate(), sockets.connect

            async def slow(*what):
                if h.asked:
                    await gate.passed()
                return await dial(*what)

            with mock.patch("sloeferry.network.sockets.connect", slow):
                asked = asyncio.ensure_future(h.call("keyed"))
                await gate.held.wait()
                [txn] = h.dispatcher.policy.requests.by_id.values()
                txn.attempts[0].sent_at -= 2 * txn.request_class.deduplication_window_ms
                gate.opened.set()
                await asked
            h.say(h.figures().partition(", out")[0])

        play(self, story, "crossing_window", Opened({"b": b"", "c": b""}))

    def test_given_up_while_it_pulls(self):
        """Its posting is withdrawn as the next piece of its body is waited for: the wait is forgotten with it, or the
        sweep would end the answer under way 3 s later."""

        async def story(h):
            sock, guest = await h.sent(h.head(size=200000) + b"x" * 100000)
            await until(lambda: guest() and guest().receiving_body_since)
            there = guest()
            h.dispatcher.cancel_attempt(there.carrier.context.request_id, 0)
            await until(lambda: not h.dispatcher.requests)
            h.say(f"its body is waited for still: {bool(there.receiving_body_since)}")
            sock.close()

        play(self, story, "crossing_pull", Opened({"b": answer()}))

    def test_new_at_the_same_address(self):
        """A backend is told to leave, vanishes, and another is listed at its address: it is none of the former's."""

        async def story(h):
            await h.call("safe")
            h.list(("b", "leaving"))
            await until(lambda: h.discovery.known["b"].state is EndpointState.DRAINING)
            await h.call("safe")
            h.ports["new"] = h.ports["b"]
            h.list("new")
            await until(lambda: "new" in h.discovery.known)
            await h.call("safe")
            h.say(f"kept connections of {list(h.pool.idle)}; known {list(h.dispatcher.policy.table.by_id)}")

        play(self, story, "crossing_new", Opened({"b": answer()}, expiry=300))

    def test_given_up_behind_a_cut(self):
        """A backend reads nothing, as behind a cut; its txn is given up and answered; then the cut is over.  What the
        machine still held of the request does not reach the backend any more."""

        async def story(h):
            loop = asyncio.get_running_loop()
            with socket.socket() as cut:
                cut.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                cut.bind(("127.0.0.1", 0))
                cut.listen()
                cut.setblocking(False)
                h.ports["cut"] = cut.getsockname()[1]
                h.list("cut")
                await until(lambda: "cut" in h.discovery.known and "b" not in h.discovery.known)
                asked = asyncio.ensure_future(h.ask(h.head(scheme="once", size=60000) + b"x" * 60000, quiet=True))
                sock, _ = await loop.sock_accept(cut)
                h.say(f"client gets: {await asked}")
                came = 0
                with contextlib.suppress(ConnectionResetError):
                    while more := await loop.sock_recv(sock, 99999):
                        came += len(more)
                sock.close()
                h.say(f"then the backend gets all of it: {came > 60000}")

        play(self, story, "crossing_cut", Opened({"b": answer()}, expiry=400))

    def test_second_answer(self):
        """A connection just used rests before the next txn goes out on it: a second answer of its backend, on its way
        still, would pass for that one's.  Also the first of a process, which nothing has warned.  Given up meanwhile,
        the connection is kept."""

        async def story(h):
            await h.call("safe", X_Call_Id="c1")
            [link], first, sleep, gate = h.pool.idle["b"], h.writers[-1], asyncio.sleep, None
            with mock.patch("asyncio.sleep", lambda seconds: gate.passed() if seconds > 1 else sleep(seconds)):
                gate = Gate()
                asked = asyncio.ensure_future(h.call("safe", X_Call_Id="c2"))
                await until(lambda: gate.held.is_set() or h.asked == 2)  # it rests, or it went out
                first.write(answer("again"))
                await until(lambda: link.sock.fileno() < 0 or not sockets.is_quiet(link.sock))
                gate.opened.set()
                await asked
                gate = Gate()
                sock, guest = await h.sent(h.head("c3"))
                await until(lambda: gate.held.is_set() or h.asked == 3)
                guest().task.cancel()  # it carries its posting itself
                gate.opened.set()
                await until(lambda: not h.dispatcher.requests)
            h.say(f"kept: {len(h.pool.idle['b'])}")
            sock.close()

        class Unsettled(Opened):
            SETTLED = NEVER

        play(self, story, "crossing_second", Unsettled({"b": lambda n: answer(f"answer {n}")}))


class Renewed(Crossing):
    def test_between_head_and_last_byte(self):
        """SIGHUP between a request's head and its last byte makes its scheme a referenced one, or drops it: it came
        without a key, and is turned away unsent."""

        async def story(h):
            with tempfile.NamedTemporaryFile("w") as file, mock.patch.dict(os.environ, BALANCER_CONFIG=file.name):
                first = await h.sent(h.head(size=4) + b"bo")
                second = await h.sent(h.head("c1", "once", size=4) + b"bo")
                third = await h.sent(h.head("c2", "keyed", "Idempotency-Key: k\r\n", size=4) + b"bo")
                await until(lambda: all(one[1]() and one[1]().stream.message.target for one in (first, second, third)))
                told = json.loads(json.dumps(h.told))
                told["settings"]["schemes"] = [dict(told["settings"]["schemes"][1], name=name) for name in ("safe", "keyed")]
                json.dump(told, file)
                file.flush()
                os.kill(os.getpid(), signal.SIGHUP)
                await until(lambda: h.clients.intake.class_count == 2)
                for sock, _ in (first, second, third):
                    await asyncio.get_running_loop().sock_sendall(sock, b"dy")
                    await h.gets(sock, 28)
                    sock.close()

        play(self, story, "crossing_renewed", Opened({"b": answer()}))


if __name__ == "__main__":
    unittest.main()
