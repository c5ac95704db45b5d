"""What a proxy does when too much comes: the door's decisions, the lobby, and both on loopback."""

import asyncio
import socket
import types
import unittest
from unittest import mock

import uvloop
from loguru import logger

from sloeferry.network.admission_queue import AdmissionQueue
from sloeferry.network.buffers import Buffers
from sloeferry.network.deadline_timers import DeadlineTimers
from sloeferry.policy import overload_control as overload
from tests.trace import Harbour, Lines, Printer, answer, compare

TWO = {"tenants.count": 2, "tenants.0.share": 3.0, "tenants.1.share": 1.0, "limits.retry_after": True, "schemes.2.gain": 5.0}


def door(**more):
    """A door in a module of its own; the schemes have an SLA time of 700 ms, the third one the most gain."""
    host = Printer(**{name.replace(".", "__"): value for name, value in (TWO | more).items()})
    one = overload.OverloadController(host.policy)
    host.policy.extensions.install(one)
    return one, host


def pressed(one, now, ended=60):
    """One window in which all beats are late and so many txns are served."""
    one.ended_in_window = ended
    for _ in range(20):
        now += one.beat_interval_ms
        one.beat(now, one.beat_interval_ms * 2)
    return now


class Alarming(unittest.TestCase):
    def test_alarms(self):
        """One timer for all: what was called off never rings, the others do in the order of their times."""
        now, timers, rung = [0.0], [], []

        def call_at(at, do):
            timers.append([at, do])
            return types.SimpleNamespace(cancel=lambda entry=timers[-1]: entry in timers and timers.remove(entry))

        loop = types.SimpleNamespace(time=lambda: now[0], call_at=call_at)
        alarms = DeadlineTimers(loop)

        def task(name):
            return types.SimpleNamespace(cancel=lambda: rung.append((name, round(now[0], 3))))

        kept = [alarms.set(at, task(at)) for at in (0.5, 0.1, 0.3, 0.2, 0.9)]
        kept[2].cancel()
        kept[4].cancel()
        while timers:
            self.assertEqual(len(timers), 1)
            now[0], do = timers.pop()
            do()
        self.assertEqual([name for name, _ in rung], [0.1, 0.2, 0.5])
        self.assertEqual([alarm.has_expired for alarm in kept], [True, True, False, True, False])


class Lobbies(unittest.TestCase):
    def test_newest_first(self):
        """Those with a request go on, the newest first, as far as there is room; what has waited for too long is
        turned away, each with one read and one write; what is not plain goes on and is read as ever."""
        calls, out = [], Lines()

        class ClientConnection:
            def __init__(self, name):
                self.name, self.is_queued_once, self.waiting_since = name, False, 0.0
                self.is_new, self.rejection_delay_ms = True, 5.0
                self.ours, self.theirs = socket.socketpair()
                self.ours.setblocking(False)
                self.sock = types.SimpleNamespace(
                    fileno=self.ours.fileno,
                    recv_into=lambda b: calls.append("read") or self.ours.recv_into(b),
                    send=lambda data: calls.append("write") or self.ours.send(data),
                )
                self.stream = types.SimpleNamespace(feed=lambda buffer, n: calls.append(f"{name} is parsed"))

            def reject_unparsed(self, buffer, n, has_waited):
                return has_waited and bytes(buffer[:n]).startswith(b"plain")

        async def story():
            loop, room, open_, budget = asyncio.get_running_loop(), [0], [False], [True]
            gate = types.SimpleNamespace(
                is_shedding=lambda: not open_[0],
                free_places=lambda: room[0],
                queue_patience_ms=0.0,
                max_wait_ms=1e9,
                may_reject=lambda now: budget[0],
                note_queued=lambda n: None,
            )
            lobby = AdmissionQueue(loop, gate, Buffers())
            guests = [ClientConnection(name) for name in "abcdef"]
            gates = {guest.name: lobby.park(guest) for guest in guests}
            lobby._timer.cancel()

            def look(what):
                lobby._look()
                if lobby._timer:
                    lobby._timer.cancel()
                on = "".join(sorted(name for name, one in gates.items() if one.done()))
                out.lines.append(f"{what}: gone on {on or '-'}; {', '.join(calls) or 'no call'}")
                calls.clear()

            gate.queue_patience_ms = 1e9
            for guest in guests[:3]:
                guest.theirs.send(b"plain")
                look(f"{guest.name} asks, no room")
            room[0] = 1
            look("room for one")
            room[0], gate.queue_patience_ms = 0, -1.0
            look("the others have waited for too long")
            out.lines.append(f"b has {guests[1].theirs.recv(99)!r}")
            guests[3].theirs.send(b"odd")
            look("d asks for something odd")
            lobby.leave(guests[4])
            guests[1].theirs.send(b"plain")
            look("e has gone, b asks again")
            budget[0] = False
            guests[0].theirs.send(b"plain")
            look("a asks again, nothing left to turn it away with")
            gate.max_wait_ms = -1.0
            look("its time is nearly over")
            open_[0] = True
            look("the door is open")
            for guest in guests:
                guest.ours.close()
                guest.theirs.close()
            lobby._epoll.close()

        def retry_after(delay_ms):
            return [(b"Retry-After", b"%d" % delay_ms)]

        with (
            mock.patch("sloeferry.network.client_replies.retry_after", retry_after),
            asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
        ):
            runner.run(story())
        compare(self, out, "lobby")


class Shut(unittest.TestCase):
    def test_on_loopback(self):
        """With the door shut: plain requests and such with bodies in pieces are declined with word when to come
        back, unparsed ones too; what is no good request still gets its 4xx; /ready is answered; open again, all
        is served on the connections that were kept."""
        logger.remove()
        harbour = Harbour({"b": answer()}, retry_after=True)
        head = "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c1\r\nX-Call-Class: once\r\nX-Caller: acme\r\nX-Budget-Ms: 3000\r\n"

        async def story(h):
            with (
                mock.patch.object(overload.OverloadController, "beat"),
                mock.patch.object(overload.OverloadController, "is_shedding", lambda self: True),
                mock.patch.object(overload.OverloadController, "free_places", lambda self: 1),
            ):
                stay = mock.patch.object(overload.OverloadController, "rejection_delay_ms", lambda *_: 250.0)
                kept = await h.open()
                stay.start()
                await h.call("safe", connection=kept)
                await h.call("once", "a body", kept)
                pieces = await h.open()
                pieces[1].write((head + "Content-Length: 6\r\n\r\nin ").encode())
                await asyncio.sleep(0.02)
                await h.ask("two", pieces)
                await h.ask(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
                await h.ask(head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab")
                await h.call("safe", X_Call_Class="unheard")
                await h.ask("GET /ready HTTP/1.1\r\n\r\n")
                stay.stop()
                h.say("-- let in")
                await h.call("once", "a body", kept)
            h.say("-- open")
            await h.call("safe", connection=kept)
            await h.call("once", "a body", pieces)

        async def day():
            async with harbour:
                await story(harbour)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(asyncio.wait_for(day(), 60))
        compare(self, harbour, "door_shut")

    def test_orders_while_out(self):
        """Whatever is ordered while a posting is out with its client's own task is carried out all the same: a
        second posting where the first is silent; a client that leaves; and each txn is answered once."""
        logger.remove()
        asked = []

        async def story(h):
            for at in range(4):  # so that it knows how long answers take
                await h.call("safe")
            h.say("-- the next is met by silence")
            asked.append(True)
            await h.call("safe")
            h.say(f"answered, {len(h.proxy_tasks())} postings left out")

        def script(n):
            if asked:
                asked.clear()
                return None
            return answer()

        harbour = Harbour({"b": script, "c": script}, second_copies=True, probing=True, expiry=3000)
        harbour.proxy_tasks = lambda: [t for t in asyncio.all_tasks() if "Exchange.run" in repr(t.get_coro())]

        async def day():
            async with harbour:
                await story(harbour)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(asyncio.wait_for(day(), 60))
        got = [line for line in harbour.lines if line.startswith("client gets")]
        self.assertEqual(len(got), 5)
        self.assertTrue(got[-1] in ("client gets: 200 done", "client gets: 503 ", "client gets: 504 "), got)


if __name__ == "__main__":
    unittest.main()
