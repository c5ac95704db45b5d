"""The rehearsal kit: its network, the same record for the same seed, and a judge that convicts planted faults."""

import asyncio
import errno
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import types
import typing
import unittest
from unittest import mock

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.lifecycle.state import Lifecycle
from sloeferry.network import protocol
from sloeferry.network.client_connection import ClientConnection
from sloeferry.network.connection_sweeper import ConnectionSweeper
from sloeferry.network.http1 import writer
from sloeferry.network.http1.framing import MessageFraming
from sloeferry.network.listener import Listener
from sloeferry.network.stall_accounting import StallAccounting
from sloeferry.policy.interface import EndpointState
from sloeferry.policy.safety_rules import SafetyRules
from sloeferry.policy.slow_start import SlowStart
from sloeferry.rehearsal import judge, live, simulation
from sloeferry.rehearsal import scenario as s
from sloeferry.rehearsal.arrivals import plan_requests
from sloeferry.rehearsal.cli import rehearse
from sloeferry.rehearsal.faults import FaultInjector
from sloeferry.rehearsal.network import SimulatedHost, SimulatedNetwork
from sloeferry.rehearsal.scenario_faults import ScenarioFault
from sloeferry.rehearsal.simulated_epoll import SimulatedEpoll
from sloeferry.rehearsal.simulated_process import SimulatedProcess
from sloeferry.rehearsal.simulated_socket import WINDOW_BYTES
from sloeferry.rehearsal.virtual_time import START_SECONDS, Scheduler
from tests.support import golden as trace

HERE = pathlib.Path(__file__).parent
SQUALL = HERE / "squall.toml"
CUTS = 'what = "cuts"\nat = 7\nlasts = 1\npart = 0.3\nodds = 0.3'


def squall(lines=()):
    """The tests' day, with some lines changed: `old` -> `new`."""
    text = SQUALL.read_text()
    for old, new in lines:
        assert old in text, old
        text = text.replace(old, new)
    return s.parse_scenario(text, "squall")


class Quay(trace.LineRecorder):
    """Two hosts on a network, a script on each; what they see is written down."""

    def __init__(self, seed=1, **net):
        super().__init__()
        self.scheduler = Scheduler(seed)
        self.net = SimulatedNetwork(self.scheduler, same_zone_seconds=0.001, cross_zone_seconds=0.01, **net)
        self.here, self.there = (
            SimulatedProcess(self.scheduler, SimulatedHost(self.net, ip, zone), ip)
            for ip, zone in (("127.0.0.1", "a"), ("127.0.0.2", "b"))
        )

    def say(self, text):
        self.lines.append(f"{1000 * (self.scheduler.monotonic() - START_SECONDS):9.3f}  {text}")

    def run(self, *works, seconds=30):
        for process, work in works:
            process.create_task(work)
        self.scheduler.run(self.scheduler.now + seconds)
        self.lines += self.scheduler.process_errors
        self.scheduler.close()

    def listener(self, most=4, port=80):
        sock = self.net.socket(self.there)
        sock.bind(("127.0.0.2", port))
        sock.listen(most)
        return sock

    async def dial(self, process, name, port=80, host="127.0.0.2"):
        sock = self.net.socket(process)
        try:
            await process.sock_connect(sock, (host, port))
            self.say(f"{name} is connected")
            return sock
        except OSError as fault:
            self.say(f"{name}: {errno.errorcode[fault.errno]}")

    async def read(self, process, sock, name):
        buffer = bytearray(64)
        try:
            n = await process.sock_recv_into(sock, buffer)
            self.say(f"{name} reads {bytes(buffer[:n])!r}")
        except OSError as fault:
            self.say(f"{name}: {errno.errorcode[fault.errno]}")


class Network(unittest.TestCase):
    def test_bites(self):
        """What goes wrong with connections, as a kept trace: refused, full, crossed, reset, cut off."""
        quay = Quay()

        async def course():
            here, there, scheduler = quay.here, quay.there, quay.scheduler
            await quay.dial(here, "dial to nobody's port")
            listener = quay.listener(most=1)
            one = await quay.dial(here, "one")
            await here.sock_sendall(one, b"hello")
            other, _ = listener.accept()
            there.create_task(quay.read(there, other, "the other"))
            await asyncio.sleep(0.05)
            here.create_task(quay.dial(here, "two"))  # it takes the only place
            here.create_task(quay.dial(here, "three"))  # finds the table full
            await asyncio.sleep(0.5)
            two, _ = listener.accept()
            quay.say("two is accepted")
            await asyncio.sleep(1)
            three, _ = listener.accept()
            quay.say("three is accepted, on its second attempt")
            two.close()
            three.send(b"unread")
            three.shutdown(1)
            other.send(b"last words")
            other.close()
            await quay.read(here, one, "one")
            await quay.read(here, one, "one")
            try:
                await here.sock_sendall(one, b"to a closed end")
                await asyncio.sleep(0.1)
                await here.sock_sendall(one, b"again")
            except OSError as fault:
                quay.say(f"one: {errno.errorcode[fault.errno]}")
            listener.close()
            crossing = quay.net.socket(here)
            again = quay.listener(port=81)
            dial = here.create_task(here.sock_connect(crossing, ("127.0.0.2", 81)))
            await asyncio.sleep(0.015)  # it has arrived, and the listener closes before anybody took it
            again.close()
            try:
                await dial
                await quay.read(here, crossing, "crossing")
            except OSError as fault:
                quay.say(f"crossing: {errno.errorcode[fault.errno]}")
            third = quay.listener(port=82)
            four = await quay.dial(here, "four", 82)
            five = third.accept()[0]
            there.host.is_cut_off = True
            await here.sock_sendall(four, b"into nothing")
            here.create_task(quay.dial(here, "six", 82))
            await asyncio.sleep(5)
            quay.say(
                f"cut off: the other end has {sum(map(len, five.inbox))} bytes, four is {'up' if four.is_established else 'down'}"
            )
            there.host.is_cut_off = False
            there.kill()  # it comes back as a new process, which knows of no connection
            await quay.read(here, four, "four")
            scheduler.current.call_soon(quay.say, "end")

        quay.run((quay.here, course()))
        trace.compare(self, quay, "rehearsal_network")

    @settings(max_examples=25, deadline=None)
    @given(
        st.lists(st.integers(1, 3 * WINDOW_BYTES // 2), min_size=1, max_size=5),
        st.floats(0, 0.9),
        st.integers(1, 9999),
        st.integers(1, 5),
    )
    def test_bytes(self, sizes, pieces, room, seed):
        """Whatever the pieces and the reader's room, what arrives is what was sent, in order, and no more than
        a window of it is ever under way."""
        quay, got, most = Quay(seed, split_probability=pieces, jitter_ratio=0.5), bytearray(), 0
        sent = b"".join(bytes([at % 251]) * size for at, size in enumerate(sizes, 1))

        async def give():
            sock = quay.net.socket(quay.here)
            await quay.here.sock_connect(sock, ("127.0.0.2", 80))
            await quay.here.sock_sendall(sock, sent)
            sock.close()

        async def take():
            nonlocal most
            while True:
                try:
                    sock, _ = listener.accept()
                    break
                except BlockingIOError:
                    await asyncio.sleep(0.01)
            buffer = bytearray(max(room, 512))
            while n := await quay.there.sock_recv_into(sock, buffer):
                most = max(most, sock.peer.unread_bytes)
                got.extend(buffer[:n])

        listener = quay.listener()
        quay.run((quay.there, take()), (quay.here, give()), seconds=3000)
        self.assertFalse(quay.lines)
        self.assertEqual(bytes(got), sent)
        self.assertLessEqual(most, WINDOW_BYTES)

    def test_epoll(self):
        """One-shot: said once for what is there, and again only once it is armed again."""
        quay = Quay()
        epoll, seen = SimulatedEpoll(quay.net), []

        async def course():
            listener = quay.listener()
            one = await quay.dial(quay.here, "one")
            other, _ = listener.accept()
            epoll.register(other.fileno(), 1)
            seen.append(epoll.poll(0, 9))
            await quay.here.sock_sendall(one, b"x")
            await asyncio.sleep(0.1)
            seen.extend([epoll.poll(0, 9), epoll.poll(0, 9)])
            epoll.modify(other.fileno(), 1)
            seen.append(epoll.poll(0, 9))
            seen.append(other.fileno())

        quay.run((quay.here, course()))
        fd = seen.pop()
        self.assertEqual(seen, [[], [(fd, 1)], [], [(fd, 1)]])

    def test_time(self):
        """A process that works, or gets no time, runs what is due later; its clock goes on within a pass."""
        quay = Quay()
        quay.here.costs = {"read": 0.25}

        async def course():
            quay.say("begins")
            quay.here.call_later(0.1, quay.say, "due at 100 ms, while it works")
            quay.here.spend_cpu("read")
            quay.say("has worked for 250 ms")
            await asyncio.sleep(1)
            quay.say("slept for a second")
            quay.here.call_later(0.1, quay.say, "due while it was halted for two seconds")
            quay.scheduler.call_later(0.05, quay.here.pause, 2)
            await asyncio.sleep(0)

        quay.run((quay.here, course()))
        trace.compare(self, quay, "rehearsal_time")


class Scenarios(unittest.TestCase):
    def test_shipped(self):
        """Every shipped scenario can be read, is called as its file, and every trouble has its part."""
        for name in s.shipped_names():
            self.assertEqual(s.read_scenario(name).name, name)
        handlers = FaultInjector(types.SimpleNamespace(loop=None)).handlers
        self.assertEqual(set(typing.get_args(ScenarioFault)), set(handlers))
        self.assertGreaterEqual(
            set(s.shipped_names()),
            set(
                [
                    "calm",
                    "stalls",
                    "cold-return",
                    "rolling-deploy",
                    "long-queues",
                    "stalls-during-drain",
                    "never-retries",
                    "proxies-die",
                    "discovery-out",
                    "overload",
                    "storm",
                    "large",
                ]
            ),
        )
        large = s.read_scenario("large")
        self.assertGreaterEqual((large.proxies.count, sum(n.count for n in large.backends)), (32, 200))

    def test_faults(self):
        """A fault names its key, and the command line ends with it and nothing started."""
        text, lines = SQUALL.read_text(), trace.LineRecorder()
        for old, new in (
            ("seconds = 9", "seconds = -1"),
            ("proxies = 3", "proxies = 3\nspeed = 2"),
            ("proxies = 3", 'proxies = "3"'),
            ('what = "stall"', 'what = "storm"'),
            ("window_ms = 10000", "window_ms = 0"),
            ('zones = ["a", "b"]', 'zones = ["a", "a"]'),
            ("at = 7", "at = 70"),
            ("at = 7", 'at = 7\nzone = "c"'),
            ("[callers]", "[callers"),
            ("clients = 12", "clients = 12\npatience = [0.9, 0.5]"),
            ("seconds = 9", 'seconds = 9\nclock = "noon"'),
            ('what = "cuts"', 'what = "lossy-way"'),
            (CUTS, CUTS.replace("cuts", "waits").replace("odds = 0.3", 'customer = "x"')),
            ('what = "cuts"', 'what = "false-reports"\nshows = "nothing"'),
        ):
            self.assertIn(old, text)
            with self.assertRaises(s.ScenarioError) as caught:
                s.parse_scenario(text.replace(old, new, 1))
            lines.lines.append(f"{new.splitlines()[-1]}  ->  {caught.exception}")
        trace.compare(self, lines, "rehearsal_faults")
        for words in (
            ["run", "no-such-thing"],
            ["run", "calm", "--live", "--policy", "random"],
            ["compare", "calm", "--seeds", "x"],
            ["run", "large", "--live"],
            ["run", "nobody", "--record", "/no/such/folder/file"],
        ):
            self.assertIsInstance(CliRunner().invoke(rehearse, words).exception, s.ScenarioError, words)


class Blames(unittest.TestCase):
    """Troubles in which a wrong one is blamed easily, each held to the judge's figures of the text that met it."""

    # Service at the least, postings a txn at the most, as the mean of the seeds.  Without the defences: waiting-customer
    # 0.41 (without Board.DRAG; no seed of six over 0.43), bad-txns 1.6 postings a txn (each error its backend's).
    SEEDS = {"waiting-customer": (1, 2, 3)}  # one play of it swings by 0.04
    FLOORS = {
        "untrue-reports": (0.96, 1.1),
        "one-sided": (0.93, 1.1),
        "lossy-way": (0.96, 1.1),
        "bad-txns": (0.96, 1.25),
        "waiting-customer": (0.45, 1.0),
    }

    def test_floors(self):
        plays = {
            name: [
                subprocess.Popen(
                    [sys.executable, "-c", Plays.RUN, name, str(seed)], stdout=subprocess.PIPE, cwd=HERE.parent, text=True
                )
                for seed in self.SEEDS.get(name, (3,))
            ]
            for name in self.FLOORS
        }
        for name, processes in plays.items():
            records = [json.loads(process.communicate()[0]) for process in processes]
            service = statistics.mean(record["service"]["total"] for record in records)
            postings = statistics.mean(record["txns"]["postings"] / record["txns"]["asked"] for record in records)
            self.assertGreaterEqual(service, self.FLOORS[name][0], name)
            self.assertLessEqual(postings, self.FLOORS[name][1], name)
            for record in records:
                self.assertEqual(sum(record["rules"].values()), 0, record["breaches"])


class Plays(unittest.TestCase):
    RUN = (
        "import json, sys; from sloeferry.rehearsal import scenario as s, simulation; "
        "print(json.dumps(simulation.simulate(s.read_scenario(sys.argv[1]), int(sys.argv[2])), sort_keys=True))"
    )

    def start(self, seed, hashes):
        return subprocess.Popen(
            [sys.executable, "-c", self.RUN, str(SQUALL), str(seed)],
            stdout=subprocess.PIPE,
            cwd=HERE.parent,
            env={**os.environ, "PYTHONHASHSEED": hashes},
            text=True,
        )

    def test_same_anew(self):
        """For one seed the same record, byte by byte, whatever the hash seed; another seed's differs.  The rules
        are kept, and every kind of trouble was there."""
        # Guards against sets gone through in their order (net/clients.py, net/discovery.py did).
        plays = [self.start(7, "1"), self.start(7, "2"), self.start(8, "1")]
        one, again, other = (process.communicate()[0] for process in plays)
        self.assertEqual(one, again)
        self.assertNotEqual(one, other)
        record = json.loads(one)
        self.assertFalse(any(record["rules"].values()), record["breaches"])
        self.assertEqual(record["faults"], [])
        txns = record["txns"]
        self.assertEqual(
            txns["asked"],
            sum(txns[how] for how in ("settled", "declined", "reversed", "lost", "killed", "left", "untaken", "late")),
        )
        self.assertTrue(txns["left"] and txns["declined"] and txns["settled"] > txns["asked"] / 2, txns)

    def test_nobody(self):
        """An empty bank plays, keeps the rules, and its record can be written and read."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "r.json"
            said = CliRunner().invoke(rehearse, ["run", "nobody", "--seed", "3", "--record", str(path)])
            self.assertEqual(said.exit_code, 0, said.output)
            record = json.loads(path.read_text())
        self.assertLessEqual({"service", "rules", "windows", "txns", "seed", "scenario"}, set(record))
        self.assertEqual((record["seed"], record["scenario"], record["txns"]["asked"]), (3, "nobody", 0))

    def test_day_ends(self):
        """A calendar day that ends in the middle changes nothing: times are monotonic."""
        plain, late = (
            simulation.simulate(squall(lines=[("seconds = 9", f'seconds = 3\nclock = "2026-12-31T{clock}Z"'), *EARLY]), 5)
            for clock in ("12:00:00", "23:59:58")
        )
        self.assertEqual(plain, late)

    def test_other_luck(self):
        """Another draw of chance on the same day: the same txns are asked, other things come of them."""
        told = squall(lines=[("seconds = 9", "seconds = 3"), *EARLY])
        one, other = (simulation.simulate(told, 5, environment_seed=environment_seed) for environment_seed in (0, 1))
        self.assertEqual(one["txns"]["asked"], other["txns"]["asked"])
        self.assertEqual([w["asked"] for w in one["windows"]], [w["asked"] for w in other["windows"]])
        self.assertNotEqual(one["world"], other["world"])

    def test_one_moment(self):
        """Answers, time-outs and drains within one millisecond: one answer each, nothing twice, nothing after."""
        hows = {}
        for seed in range(6):
            record = simulation.simulate(s.read_scenario(HERE / "instant.toml"), seed)
            self.assertEqual((record["breaches"], record["faults"]), ([], []))
            for how, count in record["txns"].items():
                hows[how] = hows.get(how, 0) + count
        self.assertTrue(hows["settled"] and hows["reversed"] and hows["runs_again"], hows)

    def test_live(self):
        """A short play with real daemons ends, with every txn counted; how it went is the machine's affair."""
        told = squall(lines=[("seconds = 9", "seconds = 2"), ("proxies = 3", "proxies = 2"), ("[[9, 70]]", "[[2, 30]]"), *EARLY])
        record = live.run_live(told, 1)
        self.assertEqual(record["txns"]["asked"], len(plan_requests(told, live.LiveEnvironment(None, 1, "").rng("arrivals"))))
        self.assertEqual(record["rules"]["crash"], 0)


# A play that is over before most troubles come.
EARLY = [(f"\nat = {at}\n", "\nat = 1\n") for at in ("2", "3", "4.5", "6", "6.5", "7")]


class Convicts(unittest.TestCase):
    """A fault planted in the daemon is found on the wire, under the rule that it breaks."""

    # Days on which a planted fault shows better than on the plain one.
    REFERENCED = [("share = 15\nwork_ms = 40\nwindow", "share = 60\nwork_ms = 40\nwindow")]
    LONG_STALLS = [("ms = 400", "ms = 900"), ("every_ms = 900", "every_ms = 1500")]
    COLD = [("[[9, 70]]", "[[9, 130]]"), ("cold_from = 0.2", "cold_from = 0.03")]

    def broken(self, told=None, seed=2, policy="design"):
        record = simulation.simulate(told or squall(), seed, policy)
        return {rule: count for rule, count in record["rules"].items() if count}, record["breaches"]

    def test_innocent(self):
        """Without a planted fault the same days keep every rule: it is the fault that is found."""
        for lines in ((), self.REFERENCED, self.LONG_STALLS, self.COLD):
            self.assertEqual(self.broken(squall(lines=lines), policy="round-robin" if lines is self.COLD else "design"), ({}, []))

    def test_stood_still(self):
        """Guards Clients.stood: what lay unread while the proxy got no time is not new.  Taken for new it was sent
        on past its expiry."""
        told = s.read_scenario(HERE / "standstill.toml")
        self.assertEqual(self.broken(told), ({}, []))
        with mock.patch.object(StallAccounting, "_charge_stall", lambda *_: None):
            rules, texts = self.broken(told)
        self.assertIn("1", rules, texts)
        self.assertIn("past its expiry", texts[0])

    def test_crowd_outside(self):
        """Guards Guest.outside: of a crowd the last are let in late, and their time runs from when they asked.  Taken
        for new they were answered past their expiry."""
        told, accept = s.read_scenario(HERE / "crowd.toml"), Listener.accept

        def forgets(door, *most):
            door.backlogged_since_ms = None
            accept(door, *most)

        self.assertEqual(self.broken(told), ({}, []))
        with mock.patch.object(Listener, "accept", forgets):
            rules, texts = self.broken(told)
        self.assertIn("1", rules, texts)

    def test_full_after_a_stop(self):
        """Guards Clients.stalled: whoever found no place after a standstill is let in later, and has waited as long as the
        others.  Taken for new it was sent on a second past its expiry."""
        told, accept = s.read_scenario(HERE / "full.toml"), Listener.accept

        def forgets(door, *most):
            door.stalled_backlog_count = 0
            accept(door, *most)

        self.assertEqual(self.broken(told), ({}, []))
        # These callers leave at their expiry, and a look at that before each first byte holds the same requests back: it
        # is taken out too, or this would no longer show what `stalled` alone keeps.
        with (
            mock.patch.object(Listener, "accept", forgets),
            mock.patch.object(ClientConnection, "has_client_left", lambda connection: connection.is_closed),
        ):
            rules, texts = self.broken(told)
        self.assertIn("1", rules, texts)
        self.assertIn("past its expiry", texts[0])

    def test_clients_that_leave(self):
        """Guards Facade.goes_on: of clients that leave in bursts, many while their proxy stands still, none has its
        request sent on 0.3 s after that."""
        told, posted = s.read_scenario(HERE / "leavers.toml"), judge.Judge.attempt_received

        def sent_on():
            found = []

            def noted(judged, node, zone, ident, since):
                one = judged.tries[ident]
                if one.planned.leaves_early and not one.answered_at:
                    found.append(since > (one.sent_at + one.deadline) / 2 + 0.3)
                posted(judged, node, zone, ident, since)

            with mock.patch.object(judge.Judge, "attempt_received", noted):
                simulation.simulate(told, 2)
            return len(found), sum(found)

        of, late = sent_on()
        self.assertGreater(of, 100)
        self.assertEqual(late, 0)
        with mock.patch.object(ClientConnection, "has_client_left", lambda connection: connection.is_closed):
            self.assertGreater(sent_on()[1], 0)

    def test_untold(self):
        """A cold node falls over, whoever sent to it; rule 4 is broken by those who could know that it was cold."""
        told = s.read_scenario(HERE / "untold.toml")
        record = simulation.simulate(told, 3)
        self.assertEqual((record["breaches"], record["nodes"]["fell"]), ([], 1))
        at_once = s.parse_scenario((HERE / "untold.toml").read_text().replace("add_s = 2", "add_s = 0"))
        with mock.patch.object(SlowStart, "may_send", lambda *_: True):
            self.assertEqual(self.broken(told, 3, "round-robin")[0], {})
            rules, texts = self.broken(at_once, 3, "round-robin")
        self.assertIn("4", rules, texts)

    def test_keeps_its_clients(self):
        """Told to quiesce, it goes on as ever, but for its answer to those who ask whether it is ready."""
        told = s.read_scenario("quiesce")
        self.assertEqual(self.broken(told), ({}, []))
        with (
            mock.patch.object(Lifecycle, "closes_connections", lambda self: self.is_stopping),
            mock.patch.object(Lifecycle, "may_close_idle", lambda *_: False),
        ):
            self.assertEqual(set(self.broken(told)[0]), {"drain"})

    def test_trailer_for_a_header(self):
        """Fields behind a chunked body are taken for headers, and counted into its length, as they once were."""

        def on_header(framing, name, value):
            message = framing.message
            message.headers.append((name.lower(), value))
            message.single_headers[name.lower()] = value
            message.body_bytes += len(name) + len(value) + 4

        told = s.read_scenario("quiesce")
        self.assertGreater(simulation.simulate(told, 2, "design")["service"]["worst_scheme"], 0.95)
        with mock.patch.object(MessageFraming, "on_header", on_header):  # nodes wait for bytes that never come
            self.assertLess(simulation.simulate(told, 2, "design")["service"]["worst_scheme"], 0.8)

    def test_sent_twice(self):
        """A body that flowed is taken for a new request once its last byte has come, as it once was."""
        told, complete = s.read_scenario("bulk"), MessageFraming.on_message_complete

        def again(framing):
            framing.message.is_streamed = False
            complete(framing)

        self.assertEqual(self.broken(told), ({}, []))
        with mock.patch.object(MessageFraming, "on_message_complete", again):
            rules, texts = self.broken(told)
        self.assertTrue(rules, texts)

    def test_answered_twice(self):
        send, count = ClientConnection.send, [0]

        async def twice(guest, data):
            count[0] += 1
            await send(guest, data * 2 if count[0] % 50 == 0 and b" 200 " in data else data)

        with mock.patch.object(ClientConnection, "send", twice):
            rules, texts = self.broken()
        self.assertIn("1", rules, texts)

    def test_never_answered(self):
        send, count = ClientConnection.send, [0]

        async def silent(guest, data):
            count[0] += 1
            if count[0] % 50:
                await send(guest, data)

        with mock.patch.object(ClientConnection, "send", silent):
            rules, texts = self.broken()
        self.assertIn("1", rules, texts)

    def test_made_up(self):
        """Served with what no node made for it."""
        answer = writer.response

        def other(status, body=b"", headers=(), keep_alive=True):
            return answer(status, b"0" * len(body), headers, keep_alive)

        with mock.patch.object(writer, "response", other):
            rules, texts = self.broken()
        self.assertIn("1", rules, texts)

    def test_pushed_again(self):
        """A once-only txn that may have run is sent again."""

        def may_post(rules, txn, now, instead=None):
            return not txn.is_answered and now < txn.deadline and len(txn.attempts) < 4

        with (
            mock.patch.object(SafetyRules, "may_attempt", may_post),
            mock.patch.object(SafetyRules, "would_deduplicate", lambda *_: True),
        ):
            rules, texts = self.broken()
        self.assertIn("2", rules, texts)

    def test_out_of_its_group(self):
        """A referenced txn that may have run is sent where its repeats are not known."""
        with mock.patch.object(SafetyRules, "would_deduplicate", lambda *_: True):
            rules, texts = self.broken(squall(lines=self.REFERENCED))
        self.assertIn("2", rules, texts)

    def test_declined_and_ran(self):
        def finish(rules, txn, pause=0.0):
            if not txn.is_answered:
                rules._host.reject(txn.request_id, pause)

        with mock.patch.object(SafetyRules, "answer_unserved", finish):
            rules, texts = self.broken(squall(lines=self.LONG_STALLS))
        self.assertIn("2", rules, texts)

    def test_sent_to_one_that_drains(self):
        with mock.patch.dict(protocol.ENDPOINT_STATES, leaving=EndpointState.READY):
            rules, texts = self.broken()
        self.assertIn("3", rules, texts)

    def test_cold_one_flooded(self):
        with mock.patch.object(SlowStart, "may_send", lambda *_: True):
            rules, texts = self.broken(squall(lines=self.COLD), policy="round-robin")
        self.assertIn("4", rules, texts)

    def test_crash(self):
        """A program that ends, be it by a part that should never end or by its own will."""
        for part, code in (("sweep", 3), ("check_loop_and_requests", None)):

            async def ends(self, code=code):
                await asyncio.sleep(1)
                if code:
                    sys.exit(code)

            with mock.patch.object(ConnectionSweeper, part, ends):
                rules, texts = self.broken(
                    squall(lines=[("seconds = 9", "seconds = 2"), ("proxies-roll", "proxies-stop"), *EARLY])
                )
            self.assertIn("crash", rules, texts)


if __name__ == "__main__":
    unittest.main()
