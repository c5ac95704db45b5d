"""Rehearsals: the simulated network, scenario files, repeatable records, and the detection of planted faults on the wire."""

import asyncio
import contextlib
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

from sloeferry.environment import PeerState
from sloeferry.lifecycle.state import Lifecycle
from sloeferry.network import protocol
from sloeferry.network.client_connection import ClientConnection
from sloeferry.network.client_state import ClientState
from sloeferry.network.connection_sweeper import ConnectionSweeper
from sloeferry.network.http1 import writer
from sloeferry.network.http1.framing import MessageFraming
from sloeferry.network.listener import Listener
from sloeferry.network.stall_accounting import StallAccounting
from sloeferry.policy.interface import EndpointState
from sloeferry.policy.safety_rules import SafetyRules
from sloeferry.policy.slow_start import SlowStart
from sloeferry.rehearsal import judge, live, simulation
from sloeferry.rehearsal import scenario as scenarios
from sloeferry.rehearsal.arrivals import plan_requests
from sloeferry.rehearsal.cli import rehearse
from sloeferry.rehearsal.faults import FaultInjector
from sloeferry.rehearsal.network import SimulatedHost, SimulatedNetwork
from sloeferry.rehearsal.scenario_faults import ScenarioFault
from sloeferry.rehearsal.simulated_epoll import SimulatedEpoll
from sloeferry.rehearsal.simulated_process import SimulatedProcess
from sloeferry.rehearsal.simulated_socket import WINDOW_BYTES, SimulatedSocket
from sloeferry.rehearsal.virtual_time import START_SECONDS, Scheduler
from tests.support import golden

HERE = pathlib.Path(__file__).parent
MIXED_FAULTS = HERE / "mixed_faults.toml"
TRUNCATION_FAULT = 'what = "cuts"\nat = 7\nlasts = 1\npart = 0.3\nodds = 0.3'


def mixed_faults_scenario(replacements=()):
    """Return the scenario of mixed_faults.toml, with texts replaced: pairs of old and new."""
    text = MIXED_FAULTS.read_text()
    for old, new in replacements:
        assert old in text, old
        text = text.replace(old, new)
    return scenarios.parse_scenario(text, "mixed_faults")


@contextlib.contextmanager
def clients_taken_for_present():
    """Return a context manager in which the proxy takes no client for one that has left, whatever the kernel tells."""
    with (
        mock.patch.object(ClientState, "observe", lambda client: PeerState.IDLE),
        mock.patch.object(ClientState, "was_present_lately", lambda client, *_: True),
    ):
        yield


class TwoHosts(golden.LineRecorder):
    """Two processes on two hosts of a simulated network; records what their sockets observe."""

    def __init__(self, seed=1, **options):
        super().__init__()
        self.scheduler = Scheduler(seed)
        self.network = SimulatedNetwork(self.scheduler, same_zone_seconds=0.001, cross_zone_seconds=0.01, **options)
        self.client, self.server = (
            SimulatedProcess(self.scheduler, SimulatedHost(self.network, ip, zone), ip)
            for ip, zone in (("127.0.0.1", "a"), ("127.0.0.2", "b"))
        )

    def record(self, text):
        self.lines.append(f"{1000 * (self.scheduler.monotonic() - START_SECONDS):9.3f}  {text}")

    def run(self, *coroutines, seconds=30):
        for process, coroutine in coroutines:
            process.create_task(coroutine)
        self.scheduler.run(self.scheduler.now + seconds)
        self.lines += self.scheduler.process_errors
        self.scheduler.close()

    def listener(self, backlog=4, port=80):
        sock = self.network.socket(self.server)
        sock.bind(("127.0.0.2", port))
        sock.listen(backlog)
        return sock

    async def connect(self, process, name, port=80, host="127.0.0.2"):
        sock = self.network.socket(process)
        try:
            await process.sock_connect(sock, (host, port))
            self.record(f"{name} is connected")
            return sock
        except OSError as error:
            self.record(f"{name}: {errno.errorcode[error.errno]}")

    async def read(self, process, sock, name):
        buffer = bytearray(64)
        try:
            count = await process.sock_recv_into(sock, buffer)
            self.record(f"{name} reads {bytes(buffer[:count])!r}")
        except OSError as error:
            self.record(f"{name}: {errno.errorcode[error.errno]}")


class SimulatedNetworkBehaviour(unittest.TestCase):
    """Sockets, epoll and timers of simulated processes."""

    def test_failed_connections_raise_the_errors_of_a_kernel(self):
        """Connections are refused, find the backlog full, race with a close, are reset and are cut off, as in the golden file."""
        hosts = TwoHosts()

        async def script():
            client, server, scheduler = hosts.client, hosts.server, hosts.scheduler
            await hosts.connect(client, "dial to nobody's port")
            listener = hosts.listener(backlog=1)
            one = await hosts.connect(client, "one")
            await client.sock_sendall(one, b"hello")
            other, _ = listener.accept()
            server.create_task(hosts.read(server, other, "the other"))
            await asyncio.sleep(0.05)
            client.create_task(hosts.connect(client, "two"))  # takes the only place in the backlog
            client.create_task(hosts.connect(client, "three"))  # finds the backlog full, and connects on its second attempt
            await asyncio.sleep(0.5)
            two, _ = listener.accept()
            hosts.record("two is accepted")
            await asyncio.sleep(1)
            three, _ = listener.accept()
            hosts.record("three is accepted, on its second attempt")
            two.close()
            three.send(b"unread")
            three.shutdown(1)
            other.send(b"last words")
            other.close()
            await hosts.read(client, one, "one")
            await hosts.read(client, one, "one")
            try:
                await client.sock_sendall(one, b"to a closed end")
                await asyncio.sleep(0.1)
                await client.sock_sendall(one, b"again")
            except OSError as error:
                hosts.record(f"one: {errno.errorcode[error.errno]}")
            listener.close()
            crossing = hosts.network.socket(client)
            second_listener = hosts.listener(port=81)
            connecting = client.create_task(client.sock_connect(crossing, ("127.0.0.2", 81)))
            await asyncio.sleep(0.015)  # it has arrived, and the listener closes before accepting it
            second_listener.close()
            try:
                await connecting
                await hosts.read(client, crossing, "crossing")
            except OSError as error:
                hosts.record(f"crossing: {errno.errorcode[error.errno]}")
            third_listener = hosts.listener(port=82)
            four = await hosts.connect(client, "four", 82)
            five = third_listener.accept()[0]
            server.host.is_cut_off = True
            await client.sock_sendall(four, b"into nothing")
            client.create_task(hosts.connect(client, "six", 82))
            await asyncio.sleep(5)
            hosts.record(
                f"cut off: the other end has {sum(map(len, five.inbox))} bytes, four is {'up' if four.is_established else 'down'}"
            )
            server.host.is_cut_off = False
            server.kill()  # its successor does not know the connections
            await hosts.read(client, four, "four")
            scheduler.current.call_soon(hosts.record, "end")

        hosts.run((hosts.client, script()))
        golden.compare(self, hosts, "rehearsal_network")

    @settings(max_examples=25, deadline=None)
    @given(
        st.lists(st.integers(1, 3 * WINDOW_BYTES // 2), min_size=1, max_size=5),
        st.floats(0, 0.9),
        st.integers(1, 9999),
        st.integers(1, 5),
    )
    def test_bytes_arrive_in_order_within_the_window(self, sizes, probability, buffer_bytes, seed):
        """Bytes arrive complete and in order for any segmentation and buffer size, with at most a window of them unread."""
        hosts, received, max_unread_bytes = TwoHosts(seed, split_probability=probability, jitter_ratio=0.5), bytearray(), 0
        sent = b"".join(bytes([index % 251]) * size for index, size in enumerate(sizes, 1))

        async def send_all():
            sock = hosts.network.socket(hosts.client)
            await hosts.client.sock_connect(sock, ("127.0.0.2", 80))
            await hosts.client.sock_sendall(sock, sent)
            sock.close()

        async def receive_all():
            nonlocal max_unread_bytes
            while True:
                try:
                    sock, _ = listener.accept()
                    break
                except BlockingIOError:
                    await asyncio.sleep(0.01)
            buffer = bytearray(max(buffer_bytes, 512))
            while count := await hosts.server.sock_recv_into(sock, buffer):
                max_unread_bytes = max(max_unread_bytes, sock.peer.bytes_unread_by_peer)
                received.extend(buffer[:count])

        listener = hosts.listener()
        hosts.run((hosts.server, receive_all()), (hosts.client, send_all()), seconds=3000)
        self.assertFalse(hosts.lines)
        self.assertEqual(bytes(received), sent)
        self.assertLessEqual(max_unread_bytes, WINDOW_BYTES)

    def test_epoll_is_one_shot(self):
        """Epoll is one-shot: it reports an event once, and again only after `modify`."""
        hosts = TwoHosts()
        epoll, seen = SimulatedEpoll(hosts.network), []

        async def script():
            listener = hosts.listener()
            one = await hosts.connect(hosts.client, "one")
            other, _ = listener.accept()
            epoll.register(other.fileno(), 1)
            seen.append(epoll.poll(0, 9))
            await hosts.client.sock_sendall(one, b"x")
            await asyncio.sleep(0.1)
            seen.extend([epoll.poll(0, 9), epoll.poll(0, 9)])
            epoll.modify(other.fileno(), 1)
            seen.append(epoll.poll(0, 9))
            seen.append(other.fileno())

        hosts.run((hosts.client, script()))
        fd = seen.pop()
        self.assertEqual(seen, [[], [(fd, 1)], [], [(fd, 1)]])

    def test_timers_of_a_busy_or_paused_process_run_late(self):
        """A process that is busy or paused runs due timers late, and its clock advances within a loop iteration."""
        hosts = TwoHosts()
        hosts.client.costs = {"read": 0.25}

        async def script():
            hosts.record("begins")
            hosts.client.call_later(0.1, hosts.record, "due at 100 ms, while it works")
            hosts.client.spend_cpu("read")
            hosts.record("has worked for 250 ms")
            await asyncio.sleep(1)
            hosts.record("slept for a second")
            hosts.client.call_later(0.1, hosts.record, "due while it was halted for two seconds")
            hosts.scheduler.call_later(0.05, hosts.client.pause, 2)
            await asyncio.sleep(0)

        hosts.run((hosts.client, script()))
        golden.compare(self, hosts, "rehearsal_time")


class ScenarioFiles(unittest.TestCase):
    """Shipped scenarios are valid, and errors in a scenario or an option are reported."""

    def test_shipped_scenarios_are_valid(self):
        """Every shipped scenario is valid and has the name of its file, and every kind of fault has a handler."""
        for name in scenarios.shipped_names():
            self.assertEqual(scenarios.read_scenario(name).name, name)
        handlers = FaultInjector(types.SimpleNamespace(loop=None)).handlers
        self.assertEqual(set(typing.get_args(ScenarioFault)), set(handlers))
        self.assertGreaterEqual(
            set(scenarios.shipped_names()),
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
        large = scenarios.read_scenario("large")
        self.assertGreaterEqual((large.proxies.count, sum(group.count for group in large.backends)), (32, 200))

    def test_errors_name_the_key(self):
        """An error in a scenario names its key, and the command line ends with ScenarioError before a run starts."""
        text, lines = MIXED_FAULTS.read_text(), golden.LineRecorder()
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
            (TRUNCATION_FAULT, TRUNCATION_FAULT.replace("cuts", "waits").replace("odds = 0.3", 'customer = "x"')),
            ('what = "cuts"', 'what = "false-reports"\nshows = "nothing"'),
        ):
            self.assertIn(old, text)
            with self.assertRaises(scenarios.ScenarioError) as caught:
                scenarios.parse_scenario(text.replace(old, new, 1))
            lines.lines.append(f"{new.splitlines()[-1]}  ->  {caught.exception}")
        golden.compare(self, lines, "rehearsal_faults")
        for arguments in (
            ["run", "no-such-thing"],
            ["run", "calm", "--live", "--policy", "random"],
            ["compare", "calm", "--seeds", "x"],
            ["run", "large", "--live"],
            ["run", "nobody", "--record", "/no/such/folder/file"],
        ):
            self.assertIsInstance(CliRunner().invoke(rehearse, arguments).exception, scenarios.ScenarioError, arguments)


class MisleadingFaults(unittest.TestCase):
    """Faults whose cause is easily attributed to the wrong backend, request class or tenant: bounds on service and attempts."""

    # The lowest mean service and the highest mean number of attempts per request.  Without fault attribution,
    # waiting-customer has a service of 0.41 (without AT_FAULT_RATE; at most 0.43 for each of six seeds), and bad-txns needs
    # 1.6 attempts per request, since each error counts against its backend.
    SEEDS = {"waiting-customer": (1, 2, 3)}  # its service varies by 0.04 between runs
    LIMITS = {
        "untrue-reports": (0.96, 1.1),
        "one-sided": (0.93, 1.1),
        "lossy-way": (0.96, 1.1),
        "bad-txns": (0.96, 1.25),
        "waiting-customer": (0.45, 1.0),
    }

    def test_service_and_attempts_stay_within_limits(self):
        """Each scenario keeps the rules and reaches its service with few attempts per request."""
        runs = {
            name: [
                subprocess.Popen(
                    [sys.executable, "-c", Runs.RUN_PROGRAM, name, str(seed)], stdout=subprocess.PIPE, cwd=HERE.parent, text=True
                )
                for seed in self.SEEDS.get(name, (3,))
            ]
            for name in self.LIMITS
        }
        for name, processes in runs.items():
            records = [json.loads(process.communicate()[0]) for process in processes]
            service = statistics.mean(record["service"]["total"] for record in records)
            attempts_per_request = statistics.mean(record["txns"]["postings"] / record["txns"]["asked"] for record in records)
            self.assertGreaterEqual(service, self.LIMITS[name][0], name)
            self.assertLessEqual(attempts_per_request, self.LIMITS[name][1], name)
            for record in records:
                self.assertEqual(sum(record["rules"].values()), 0, record["breaches"])


class Runs(unittest.TestCase):
    """Records of whole runs, in virtual time and live."""

    RUN_PROGRAM = (
        "import json, sys; from sloeferry.rehearsal import scenario as scenarios, simulation; "
        "print(json.dumps(simulation.simulate(scenarios.read_scenario(sys.argv[1]), int(sys.argv[2])), sort_keys=True))"
    )

    def start_run(self, seed, hash_seed):
        return subprocess.Popen(
            [sys.executable, "-c", self.RUN_PROGRAM, str(MIXED_FAULTS), str(seed)],
            stdout=subprocess.PIPE,
            cwd=HERE.parent,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            text=True,
        )

    def test_same_record_for_the_same_seed(self):
        """A seed gives the same record byte for byte with any hash seed, and another seed a different one.

        The rules are kept, and requests have many different outcomes.  Guards against iteration over sets, whose order depends
        on the hash seed.
        """
        runs = [self.start_run(7, "1"), self.start_run(7, "2"), self.start_run(8, "1")]
        one, again, other = (process.communicate()[0] for process in runs)
        self.assertEqual(one, again)
        self.assertNotEqual(one, other)
        record = json.loads(one)
        self.assertFalse(any(record["rules"].values()), record["breaches"])
        self.assertEqual(record["faults"], [])
        txns = record["txns"]
        self.assertEqual(
            txns["asked"],
            sum(txns[outcome] for outcome in ("settled", "declined", "reversed", "lost", "killed", "left", "untaken", "late")),
        )
        self.assertTrue(txns["left"] and txns["declined"] and txns["settled"] > txns["asked"] / 2, txns)

    def test_scenario_without_backends_and_clients_can_be_run(self):
        """A scenario without backends and clients can be run, keeps the rules, and its record can be written and read."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "r.json"
            result = CliRunner().invoke(rehearse, ["run", "nobody", "--seed", "3", "--record", str(path)])
            self.assertEqual(result.exit_code, 0, result.output)
            record = json.loads(path.read_text())
        self.assertLessEqual({"service", "rules", "windows", "txns", "seed", "scenario"}, set(record))
        self.assertEqual((record["seed"], record["scenario"], record["txns"]["asked"]), (3, "nobody", 0))

    def test_end_of_calendar_day_changes_nothing(self):
        """The end of a calendar day during a run does not change the record, since all times are monotonic."""
        plain, late = (
            simulation.simulate(
                mixed_faults_scenario(
                    replacements=[("seconds = 9", f'seconds = 3\nclock = "2026-12-31T{clock}Z"'), *EARLY_FAULTS]
                ),
                5,
            )
            for clock in ("12:00:00", "23:59:58")
        )
        self.assertEqual(plain, late)

    def test_environment_seed_keeps_the_requests(self):
        """Another environment seed keeps the requests, and changes what happens to them."""
        scenario = mixed_faults_scenario(replacements=[("seconds = 9", "seconds = 3"), *EARLY_FAULTS])
        one, other = (simulation.simulate(scenario, 5, environment_seed=environment_seed) for environment_seed in (0, 1))
        self.assertEqual(one["txns"]["asked"], other["txns"]["asked"])
        self.assertEqual([w["asked"] for w in one["windows"]], [w["asked"] for w in other["windows"]])
        self.assertNotEqual(one["world"], other["world"])

    def test_simultaneous_answers_timeouts_and_drains_violate_no_rule(self):
        """Responses, timeouts and drains within one millisecond violate no rule.

        Each request has one answer, no request that must not be repeated runs twice, and nothing is sent after an answer.
        """
        totals = {}
        for seed in range(6):
            record = simulation.simulate(scenarios.read_scenario(HERE / "simultaneous_ends.toml"), seed)
            self.assertEqual((record["breaches"], record["faults"]), ([], []))
            for outcome, count in record["txns"].items():
                totals[outcome] = totals.get(outcome, 0) + count
        self.assertTrue(totals["settled"] and totals["reversed"] and totals["runs_again"], totals)

    def test_live_run_counts_every_request(self):
        """A short live run ends with every request counted and no crash.

        Its service depends on the machine, and is not checked.
        """
        scenario = mixed_faults_scenario(
            replacements=[
                ("seconds = 9", "seconds = 2"),
                ("proxies = 3", "proxies = 2"),
                ("[[9, 70]]", "[[2, 30]]"),
                *EARLY_FAULTS,
            ]
        )
        record = live.run_live(scenario, 1)
        self.assertEqual(record["txns"]["asked"], len(plan_requests(scenario, live.LiveEnvironment(None, 1, "").rng("arrivals"))))
        self.assertEqual(record["rules"]["crash"], 0)


# Replacements by which faults begin at 1 s, for runs that are shorter than mixed_faults.toml.
EARLY_FAULTS = [(f"\nat = {at}\n", "\nat = 1\n") for at in ("2", "3", "4.5", "6", "6.5", "7")]


class PlantedFaults(unittest.TestCase):
    """Faults planted in the proxy are detected on the wire, as violations of the rules that they break."""

    # Changes to mixed_faults.toml that make a planted fault easier to detect.
    MOSTLY_DEDUPLICATED = [("share = 15\nwork_ms = 40\nwindow", "share = 60\nwork_ms = 40\nwindow")]
    LONG_STALLS = [("ms = 400", "ms = 900"), ("every_ms = 900", "every_ms = 1500")]
    COLD_UNDER_LOAD = [("[[9, 70]]", "[[9, 130]]"), ("cold_from = 0.2", "cold_from = 0.03")]

    def violations(self, scenario=None, seed=2, policy="design"):
        record = simulation.simulate(scenario or mixed_faults_scenario(), seed, policy)
        return {rule: count for rule, count in record["rules"].items() if count}, record["breaches"]

    def test_no_violation_without_planted_fault(self):
        """The same scenarios keep every rule without a planted fault."""
        for replacements in ((), self.MOSTLY_DEDUPLICATED, self.LONG_STALLS, self.COLD_UNDER_LOAD):
            self.assertEqual(
                self.violations(
                    mixed_faults_scenario(replacements=replacements),
                    policy="round-robin" if replacements is self.COLD_UNDER_LOAD else "design",
                ),
                ({}, []),
            )

    def test_request_unread_during_a_pause_has_waited_since(self):
        """A request that was unread while the proxy was paused has waited since then.

        Without `StallAccounting._charge_stall` it counts as new, and is sent to a backend past its expiry.
        """
        scenario = scenarios.read_scenario(HERE / "paused_proxies.toml")
        seeds = (2, 4)  # few draws have a request in the right moment
        for seed in seeds:
            self.assertEqual(self.violations(scenario, seed), ({}, []))
        with mock.patch.object(StallAccounting, "_charge_stall", lambda *_: None):
            violations = [self.violations(scenario, seed) for seed in seeds]
        rules, texts = next(each for each in violations if each[0])
        self.assertIn("1", rules, texts)
        self.assertIn("past its expiry", texts[0])

    def test_connection_from_the_backlog_has_waited_since(self):
        """A connection that is accepted late, in a burst, has waited since the backlog was not empty.

        Without `Listener.backlogged_since_ms` its request counts as new, and is answered past its expiry.
        """
        scenario, accept = scenarios.read_scenario(HERE / "connection_burst.toml"), Listener.accept

        def accept_as_new(listener, *limit):
            listener.backlogged_since_ms = None
            accept(listener, *limit)

        self.assertEqual(self.violations(scenario), ({}, []))
        with mock.patch.object(Listener, "accept", accept_as_new):
            rules, texts = self.violations(scenario)
        self.assertIn("1", rules, texts)
        with mock.patch.object(SimulatedSocket, "ms_since_arrival", lambda sock: None):  # a system that does not tell
            self.assertEqual(self.violations(scenario), ({}, []))
            with mock.patch.object(Listener, "accept", accept_as_new):
                rules, texts = self.violations(scenario)
            self.assertIn("1", rules, texts)

    def test_connection_left_in_the_backlog_after_a_pause_has_waited_since(self):
        """A connection that is still in the backlog after a pause has waited as long as those accepted first.

        Without `Listener.stalled_backlog_count` its request counts as new, and is sent to a backend a second past its expiry.
        """
        scenario, accept = scenarios.read_scenario(HERE / "full_connection_table.toml"), Listener.accept

        def accept_as_new(listener, *limit):
            listener.stalled_backlog_count = 0
            accept(listener, *limit)

        self.assertEqual(self.violations(scenario), ({}, []))
        with mock.patch.object(SimulatedSocket, "ms_since_arrival", lambda sock: None):  # a system that does not tell
            self.assertEqual(self.violations(scenario), ({}, []))
        # These clients disconnect at their expiry, and `ClientState`, which is asked before each first byte, also holds
        # the requests back, as does the kernel's word of when they arrived.  Both are disabled too, so that the test depends on
        # `stalled_backlog_count` alone.
        with (
            mock.patch.object(Listener, "accept", accept_as_new),
            mock.patch.object(SimulatedSocket, "ms_since_arrival", lambda sock: None),
            clients_taken_for_present(),
        ):
            rules, texts = self.violations(scenario)
        self.assertIn("1", rules, texts)
        self.assertIn("past its expiry", texts[0])

    def test_no_request_is_sent_long_after_its_client_disconnected(self):
        """No request is sent to a backend later than 0.3 s after its client has disconnected, many of them during a pause.

        Without `ClientState` some are.
        """
        scenario, original_method = scenarios.read_scenario(HERE / "leaving_clients.toml"), judge.Judge.attempt_received

        def count_attempts_after_leaving():
            late_flags = []

            def record_attempt(checker, backend_id, zone, request_id, attempt_began_at):
                client_try = checker.tries[request_id]
                if client_try.planned.leaves_early and not client_try.answered_at:
                    late_flags.append(attempt_began_at > (client_try.sent_at + client_try.deadline) / 2 + 0.3)
                original_method(checker, backend_id, zone, request_id, attempt_began_at)

            with mock.patch.object(judge.Judge, "attempt_received", record_attempt):
                simulation.simulate(scenario, 2)
            return len(late_flags), sum(late_flags)

        attempt_count, late = count_attempts_after_leaving()
        self.assertGreater(attempt_count, 100)
        self.assertEqual(late, 0)
        with clients_taken_for_present():
            self.assertGreater(count_attempts_after_leaving()[1], 0)

    def test_overload_before_notification_of_the_start_is_exempt(self):
        """Overload of a backend in warm-up violates rule 4 only if the work came from proxies that could know of its start."""
        scenario = scenarios.read_scenario(HERE / "start_before_notification.toml")
        record = simulation.simulate(scenario, 3)
        self.assertEqual((record["breaches"], record["nodes"]["fell"]), ([], 1))
        at_once = scenarios.parse_scenario(
            (HERE / "start_before_notification.toml").read_text().replace("add_s = 2", "add_s = 0")
        )
        with mock.patch.object(SlowStart, "may_send", lambda *_: True):
            self.assertEqual(self.violations(scenario, 3, "round-robin")[0], {})
            rules, texts = self.violations(at_once, 3, "round-robin")
        self.assertIn("4", rules, texts)

    def test_quiesced_proxy_that_keeps_its_clients_violates_the_drain_rule(self):
        """A quiesced proxy that keeps its clients, and only reports that it is not ready, violates the drain rule alone."""
        scenario = scenarios.read_scenario("quiesce")
        self.assertEqual(self.violations(scenario), ({}, []))
        with (
            mock.patch.object(Lifecycle, "closes_connections", lambda self: self.is_stopping),
            mock.patch.object(Lifecycle, "may_close_idle", lambda *_: False),
        ):
            self.assertEqual(set(self.violations(scenario)[0]), {"drain"})

    def test_trailer_taken_for_a_header_lowers_service(self):
        """Trailer fields of a chunked body that are taken for headers and counted into the body length lower service.

        Guards against a fault that the proxy once had.
        """

        def on_header(framing, name, value):
            message = framing.message
            message.append_header(name.lower(), value)
            message.body_bytes += len(name) + len(value) + 4

        scenario = scenarios.read_scenario("quiesce")
        self.assertGreater(simulation.simulate(scenario, 2, "design")["service"]["worst_scheme"], 0.95)
        with mock.patch.object(MessageFraming, "on_header", on_header):  # backends wait for bytes that never arrive
            self.assertLess(simulation.simulate(scenario, 2, "design")["service"]["worst_scheme"], 0.8)

    def test_streamed_body_taken_for_a_new_request_violates_a_rule(self):
        """A streamed body that is taken for a new request at its last byte violates a rule.

        Guards against a fault that the proxy once had.
        """
        scenario, original_method = scenarios.read_scenario("bulk"), MessageFraming.on_message_complete

        def complete_as_unstreamed(framing):
            framing.message.is_streamed = False
            original_method(framing)

        self.assertEqual(self.violations(scenario), ({}, []))
        with mock.patch.object(MessageFraming, "on_message_complete", complete_as_unstreamed):
            rules, texts = self.violations(scenario)
        self.assertTrue(rules, texts)

    def test_second_response_violates_rule_1(self):
        """A second response to every 50th write of the proxy violates rule 1."""
        send, count = ClientConnection.send, [0]

        async def send_twice(connection, data):
            count[0] += 1
            await send(connection, data * 2 if count[0] % 50 == 0 and b" 200 " in data else data)

        with mock.patch.object(ClientConnection, "send", send_twice):
            rules, texts = self.violations()
        self.assertIn("1", rules, texts)

    def test_missing_response_violates_rule_1(self):
        """Dropping every 50th write of the proxy to a client violates rule 1."""
        send, count = ClientConnection.send, [0]

        async def send_most(connection, data):
            count[0] += 1
            if count[0] % 50:
                await send(connection, data)

        with mock.patch.object(ClientConnection, "send", send_most):
            rules, texts = self.violations()
        self.assertIn("1", rules, texts)

    def test_replaced_response_body_violates_rule_1(self):
        """A response with a body that no backend sent violates rule 1."""
        original_response = writer.response

        def replaced_response(status, body=b"", headers=(), keep_alive=True):
            return original_response(status, b"0" * len(body), headers, keep_alive)

        with mock.patch.object(writer, "response", replaced_response):
            rules, texts = self.violations()
        self.assertIn("1", rules, texts)

    def test_repeat_of_a_request_that_may_have_run_violates_rule_2(self):
        """Sending a once-only request again that may have run violates rule 2."""

        def may_always_attempt(rules, request, now, instead_of=None):
            return not request.is_answered and now < request.deadline and len(request.attempts) < 4

        with (
            mock.patch.object(SafetyRules, "may_attempt", may_always_attempt),
            mock.patch.object(SafetyRules, "would_deduplicate", lambda *_: True),
        ):
            rules, texts = self.violations()
        self.assertIn("2", rules, texts)

    def test_repeat_outside_the_deduplication_group_violates_rule_2(self):
        """Sending a deduplicated request that may have run to a backend outside its deduplication group violates rule 2."""
        with mock.patch.object(SafetyRules, "would_deduplicate", lambda *_: True):
            rules, texts = self.violations(mixed_faults_scenario(replacements=self.MOSTLY_DEDUPLICATED))
        self.assertIn("2", rules, texts)

    def test_rejection_of_a_request_that_may_have_run_violates_rule_2(self):
        """Rejecting requests that may have run violates rule 2."""

        def reject_always(rules, request, retry_after_ms=0.0):
            if not request.is_answered:
                rules._host.reject(request.request_id, retry_after_ms)

        with mock.patch.object(SafetyRules, "answer_unserved", reject_always):
            rules, texts = self.violations(mixed_faults_scenario(replacements=self.LONG_STALLS))
        self.assertIn("2", rules, texts)

    def test_request_to_a_draining_backend_violates_rule_3(self):
        """Taking a draining backend for a ready one violates rule 3."""
        with mock.patch.dict(protocol.ENDPOINT_STATES, leaving=EndpointState.READY):
            rules, texts = self.violations()
        self.assertIn("3", rules, texts)

    def test_overload_in_warm_up_violates_rule_4(self):
        """Sending without slow start to backends that warm up violates rule 4."""
        with mock.patch.object(SlowStart, "may_send", lambda *_: True):
            rules, texts = self.violations(mixed_faults_scenario(replacements=self.COLD_UNDER_LOAD), policy="round-robin")
        self.assertIn("4", rules, texts)

    def test_proxy_process_that_ends_by_itself_is_a_crash(self):
        """A proxy process that ends is a crash, whether by the end of a permanent task or by `sys.exit`."""
        for method, exit_code in (("sweep", 3), ("check_loop_and_requests", None)):

            async def end_process(self, exit_code=exit_code):
                await asyncio.sleep(1)
                if exit_code:
                    sys.exit(exit_code)

            with mock.patch.object(ConnectionSweeper, method, end_process):
                rules, texts = self.violations(
                    mixed_faults_scenario(
                        replacements=[("seconds = 9", "seconds = 2"), ("proxies-roll", "proxies-stop"), *EARLY_FAULTS]
                    )
                )
            self.assertIn("crash", rules, texts)


if __name__ == "__main__":
    unittest.main()
