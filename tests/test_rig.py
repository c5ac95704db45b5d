"""Tests of fault testing: plan files, judged records, the link relay, and plans with real processes.

With real processes, the correct build keeps the rules in every plan, and builds with a planted fault break them.
"""

import asyncio
import hashlib
import pathlib
import subprocess
import sys
import tempfile
import types
import unittest
from concurrent.futures import ThreadPoolExecutor

from click.testing import CliRunner

from sloeferry.fault_testing import plan as plans
from sloeferry.fault_testing.cli import rig
from sloeferry.fault_testing.event_recorder import EventRecorder, read_events
from sloeferry.fault_testing.fault_actions import ACTIONS, LinkAction
from sloeferry.fault_testing.link_relay import Link, LinkCondition
from sloeferry.fault_testing.placement import FaultTargets
from sloeferry.fault_testing.plan_faults import AnyFault, CutLink
from sloeferry.fault_testing.planted_faults import PLANTED
from sloeferry.fault_testing.verdict import RunResult, judge_run
from sloeferry.policy.start_times import StartTimes
from sloeferry.rehearsal import scenario as scenarios
from sloeferry.stand_ins.processes import free_ports
from tests.support import golden

SMALL_PLAN = """
name = "small"
seconds = 2
[bank]
proxies = 2
[network]
zones = ["a"]
[[nodes]]
count = 2
cold_s = 4
cold_from = 0.5
[[scheme]]
name = "page"
kind = "once-only"
work_ms = 10
[callers]
curve = [[2, 20]]
"""


class PlanFiles(unittest.TestCase):
    def test_shipped_plans_are_valid(self):
        """Every shipped plan can be read and has its file's name, and every planted fault names a shipped plan."""
        for name in plans.shipped_names():
            self.assertEqual(plans.read_plan(name).name, name)
        self.assertLessEqual({fault.plan for fault in PLANTED.values()}, set(plans.shipped_names()))

    def test_generated_plans_follow_from_their_seed(self):
        """The plan of a seed is the same everywhere and must never change: the plan texts have fixed digests."""
        for kind, digest in (
            ("drawn", "583495791073821cc910a82cf2cb8307409d9052df2b492477d4b10a5a23e9c0"),
            ("soak", "dd27eb572230da3e96f85d313293d63fb580484721ee71df23b3beb3c482794c"),
            ("hostile", "7849dde26695515aa4a9bf3567e295057393e043eeb8717c30f81ff2cab8bb1d"),
        ):
            texts = "".join(plans.read_plan_text(f"{kind}-{seed}") for seed in range(1, 31))
            self.assertEqual(hashlib.sha256(texts.encode()).hexdigest(), digest, kind)

    def test_errors_name_the_key(self):
        """An error in a plan names its key; errors on the command line are raised as ScenarioError."""
        recorder = golden.LineRecorder()
        for extra_text in (
            '[[fault]]\nwhat = "flood"\nat = 1',
            '[[fault]]\nwhat = "kill"\nat = 1\nlasts = 9',
            '[[fault]]\nwhat = "cut"\nat = 0\nbetween = "nowhere"',
            '[[fault]]\nwhat = "stop"\nat = 0\nproxies = [2]',
            '[[fault]]\nwhat = "hup"\nat = 0\nfile = "burnt"',
            '[[trouble]]\nwhat = "one-sided"\nat = 0',
            "[rig]\ncallers = 0",
            "[expect]\nservice = 2",
            "clock",
        ):
            with self.assertRaises(scenarios.ScenarioError) as raised:
                plans.parse_plan(SMALL_PLAN + extra_text, "small.toml")
            recorder.lines.append(f"{extra_text.splitlines()[-1]}  ->  {raised.exception}")
        golden.compare(self, recorder, "rig_faults")
        for arguments in (
            ["run", "no-such-plan"],
            ["check", "/no/such/file"],
            ["run", "calm", "--record", "/no/such/folder/x"],
            ["run", "calm", "--plant", "nothing"],
        ):
            self.assertIsInstance(CliRunner().invoke(rig, arguments).exception, scenarios.ScenarioError, arguments)

    def test_resize_scales_load_with_backends(self):
        """Twice the backends get twice the load."""
        resized = plans.resize(plans.read_plan("calm"), 40, 24)
        self.assertEqual((resized.proxies.count, sum(group.count for group in resized.backends)), (40, 24))
        self.assertEqual(resized.clients.load_curve[0][1], 2 * plans.read_plan("calm").clients.load_curve[0][1])

    def test_faults_without_virtual_counterpart_are_listed(self):
        """In virtual time, faults with a counterpart there are converted, and the kinds of the others are listed."""
        scenario, left_out = plans.to_virtual_scenario(plans.read_plan("deaths"))
        self.assertEqual(
            ([fault.__struct_config__.tag for fault in scenario.scenario_faults], left_out), (["proxies-die", "proxies-roll"], [])
        )
        self.assertEqual(plans.to_virtual_scenario(plans.read_plan("links"))[1], ["break", "cut", "hold", "half-open", "delay"])


class StartTimeConversion(unittest.TestCase):
    def test_wrong_clock_does_not_warm_backends(self):
        """Guards against a wall clock that is hours off making a cold backend look warm, or a warm one cold for ever.

        A correct clock that is confirmed changes nothing, and a start time that was once converted stays the same.
        """
        recorder, now = golden.LineRecorder(), 1_000_000.0
        for offset_ms in (0, 3600e3, -3600e3):
            for evidence in ("nothing", "a Date header", "news"):
                start_times = StartTimes(now, now + 5e9 + offset_ms)
                if evidence == "a Date header":
                    start_times.set_discovery_time(now, now + 5e9 - 300.0)
                elif evidence == "news":
                    start_times.started_at(now, "first", now + 5e9 - 700.0, True)
                for endpoint_id, age_ms, is_change in (("old", 50_000.0, False), ("young", 400.0, False), ("new", 400.0, True)):
                    converted_at = start_times.started_at(now, endpoint_id, now + 5e9 - age_ms, is_change)
                    is_same = start_times.started_at(now + 9.0, endpoint_id, now + 5e9 - age_ms, False) == converted_at
                    recorder.lines.append(
                        f"clock off by {offset_ms / 3600e3:g} h, {evidence} confirms it: {endpoint_id}, started {age_ms:g} ms "
                        f"ago, news {is_change}: taken for {now - converted_at:.0f} ms ago, stays {is_same}"
                    )
                start_times.set_discovery_time(now, now + 5e9 - 300.0)
                recorder.lines.append(f"confirmed then: {start_times.confirmed_starts()}")
                recorder.lines.append(f"long ago stays so: {start_times.started_at(now, 'x', 0, True)}")
        golden.compare(self, recorder, "rig_clocks")


class JudgedRecords(unittest.TestCase):
    """Verdicts on hand-written records of a few requests."""

    def judge_events(self, *events):
        """Return the run's record for these events; requests without an end among them get one."""
        plan = plans.parse_plan(SMALL_PLAN, "small")
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "all.jsonl")
            recorder = EventRecorder(plan, 1, path, lambda: 0.0)
            request_count = len(recorder.planned_requests)
            recorder.note(10.0, "begin")
            for event in events:
                recorder.note(*event)
            for number in range(request_count):  # requests that the test does not end
                if not any(event[1] == "ended" and event[2] == number for event in events):
                    recorder.note(13.0, "ended", number, "untaken", 10.0, 1)
            recorder.close()
            path.write_bytes(path.read_bytes() + b'[11.0, 11.0, "post')  # the writing process was killed
            return judge_run(plan, 1, RunResult([path]))

    REQUEST_ID = f"{3:012x}0000"
    REQUEST_EVENTS = (11.0, "asked", REQUEST_ID, "p1", 11.8), (11.0, "sent", REQUEST_ID, 11.8)

    def test_answered_request_keeps_rules(self):
        """A request that runs once and is answered in time is settled and breaks no rule."""
        record = self.judge_events(
            *self.REQUEST_EVENTS,
            (11.01, "posted", "s-0001", "a", self.REQUEST_ID, 11.01),
            (11.01, "ran", "s-0001", self.REQUEST_ID),
            (11.05, "answered", self.REQUEST_ID, 200, True),
            (11.05, "ended", 3, "settled", 11.0, 1),
        )
        self.assertEqual((record["verdict"], record["txns"]["settled"]), ("kept", 1))

    def test_contradicting_events_break_rules(self):
        """Each case has events that break a rule, or a fault that exempts the proxy."""
        recorder = golden.LineRecorder()
        ran = [(11.01, "posted", "s-0001", "a", self.REQUEST_ID, 11.01), (11.01, "ran", "s-0001", self.REQUEST_ID)]
        end = (12.0, "ended", 3, "settled", 11.0, 1)
        for case, *events in (
            (
                "ran twice",
                *ran,
                (11.2, "posted", "s-0000", "a", self.REQUEST_ID, 11.2),
                (11.2, "ran", "s-0000", self.REQUEST_ID),
                end,
            ),
            ("declined and ran", *ran, (11.3, "answered", self.REQUEST_ID, 503, True), end),
            ("posted after its expiry", (11.9, "posted", "s-0001", "a", self.REQUEST_ID, 11.9), end),
            (
                "posted in time, held on its way",
                (11.7, "entered", "nodes/1/1", self.REQUEST_ID, 11.7),
                (11.9, "posted", "s-0001", "a", self.REQUEST_ID, 11.9),
                end,
            ),
            ("told of a drain", (10.5, "told", "p1", "s-0001", "leaving", 0), *ran, end),
            ("no answer", (11.9, "lost", self.REQUEST_ID, "its time was over"), (12.0, "ended", 3, "lost", 11.0, 1)),
            (
                "no answer, its proxy was killed",
                (11.1, "killed", "p1"),
                (11.2, "lost", self.REQUEST_ID, "its connection ended"),
                (12.0, "ended", 3, "lost", 11.0, 1),
            ),
            (
                "no answer, its way was cut",
                (11.1, "apart", "p1", 11.3),
                (11.2, "lost", self.REQUEST_ID, "its connection ended"),
                (12.0, "ended", 3, "lost", 11.0, 1),
            ),
            (
                "fell, and nobody had been told",
                (10.9, "started", "s-0001", 500),
                (11.1, "fell", "s-0001", 0.5, [(11.0, 900, self.REQUEST_ID)]),
                end,
            ),
            (
                "fell, and its proxy had been told",
                (10.9, "started", "s-0001", 500),
                (10.95, "told", "p1", "s-0001", "active", 500),
                (11.1, "fell", "s-0001", 0.5, [(11.0, 900, self.REQUEST_ID)]),
                end,
            ),
            ("measured too late", (11.5, "late", "callers", 900.0), end),
        ):
            record = self.judge_events(*self.REQUEST_EVENTS, *events)
            recorder.lines += [f"{case}: {record['verdict']}", *(f"  {text}" for text in record["void"] + record["failed"])]
            for violation in record["evidence"]:
                recorder.lines += [
                    f"  rule {violation['rule']}: {violation['text']}",
                    *(f"    {event}" for event in violation["events"]),
                ]
        golden.compare(self, recorder, "rig_verdicts")


class LinkRelay(unittest.TestCase):
    def test_each_state_at_both_ends(self):
        """Bytes, resets and refusals of a link in each of its states, as observed at its two ends."""
        recorder = golden.LineRecorder()

        async def check_states():
            loop = asyncio.get_running_loop()
            listen_port, target_port = free_ports("127.0.0.1", 2)
            received = []

            async def echo(reader, writer):
                try:
                    while data := await reader.read(100):
                        received.append(data)
                        writer.write(b"<" + data + b">")
                except OSError:
                    received.append(b"reset")
                except asyncio.CancelledError:
                    pass  # the test is over
                writer.close()

            server = await asyncio.start_server(echo, "127.0.0.1", target_port)
            link = Link(
                loop,
                "nodes/0/0",
                ("127.0.0.1", listen_port),
                ("127.0.0.1", target_port),
                types.SimpleNamespace(note=lambda *_: None),
            )
            await link.open()

            async def send_and_receive(connection, text):
                connection[1].write(text)
                return await receive(connection)

            async def receive(connection):
                try:
                    return repr(await asyncio.wait_for(connection[0].read(100), 0.3))
                except TimeoutError:
                    return "nothing"
                except OSError:
                    return "reset"

            async def connect():
                try:
                    return await asyncio.open_connection("127.0.0.1", listen_port)
                except OSError:
                    return None

            for kind, keys in (
                ("", {}),
                ("hold", {"way": "there"}),
                ("hold", {"way": "back"}),
                ("hold", {"way": "both"}),
                ("delay", {"ms": 20}),
                ("cut", {}),
                ("half-open", {}),
                ("break", {"way": "back", "bytes": 5}),
            ):
                old = await connect()
                recorder.lines.append(f"{kind or 'whole'} {keys}")
                recorder.lines.append(f"  before: {await send_and_receive(old, b'a')}")
                received.clear()
                await link.set_condition(LinkCondition.from_plan(kind, keys))
                recorder.lines.append(f"  kept: {await send_and_receive(old, b'bcd')}; the far end saw {received}")
                received.clear()
                new = await connect()
                recorder.lines.append(
                    f"  new: {await send_and_receive(new, b'e') if new else 'refused'}; the far end saw {received}"
                )
                await link.set_condition(LinkCondition())
                recorder.lines.append(
                    f"  over: kept {await receive(old)}, new {await receive(new) if new else '-'}; the far end saw {received}"
                )
                for connection in (old, new):
                    if connection:
                        connection[1].close()
            server.close()
            link.server.close()

        asyncio.run(check_states())
        golden.compare(self, recorder, "rig_links")

    def test_events_are_merged_in_recording_order(self):
        """Events of several records are ordered by the time of writing, not by loop time, which is the same here."""
        plan = plans.parse_plan(SMALL_PLAN, "small")
        with tempfile.TemporaryDirectory() as folder:
            paths = [pathlib.Path(folder, name) for name in "ab"]
            first, second = (EventRecorder(plan, 1, path, lambda: 0.0) for path in paths)
            for at in range(6):
                (first, second)[at % 2].note(5.0, "n", at)
            first.close()
            second.close()
            self.assertEqual([event[2] for event in read_events(paths)], list(range(6)))

    def test_lag_check_after_close_writes_nothing(self):
        """Guards against a lag check that is due after its record was closed: it writes nothing and schedules no other."""
        with tempfile.TemporaryDirectory() as folder:
            recorder = EventRecorder(plans.parse_plan(SMALL_PLAN, "small"), 1, pathlib.Path(folder, "a"), lambda: 0.0)
            calls = []
            loop = types.SimpleNamespace(time=lambda: 5.0, call_later=lambda *arguments: calls.append(arguments))
            recorder.close()
            recorder.monitor_loop_lag(loop, "nodes", 1.0)
            self.assertEqual(calls, [])


class FaultInjection(unittest.TestCase):
    def test_exemptions_are_recorded_before_relay_command(self):
        """Guards against a lost request that is recorded before the fault that exempts the proxy.

        LinkAction.inject records the fault and the exemption before it sends the condition to the relay.
        """
        for between, exemption in (("callers", "apart"), ("discovery", "unfed")):
            self.assertEqual(self.injection_order(between), ["fault", exemption, "set_condition"])

    @staticmethod
    def injection_order(between):
        """Return the events that a link fault records, and its commands to the relay, in their order."""
        events = []
        fleet = types.SimpleNamespace(
            fault_targets=[FaultTargets([8], [f"{between}/8"])],
            loop=types.SimpleNamespace(time=lambda: 5.0, call_later=lambda *_: None),
            observer=types.SimpleNamespace(note=lambda at, event, *_: events.append(event), proxy_stopped=lambda *_: None),
            relay=types.SimpleNamespace(command=lambda *arguments: events.append(arguments[0])),
        )
        LinkAction(fleet, 0, CutLink(at_seconds=1.0, between=between)).inject()
        return events

    def test_every_fault_has_an_action(self):
        """Every kind of fault in plans has an action that injects it."""
        self.assertEqual(set(ACTIONS), set(AnyFault.__args__))


class Processes(unittest.TestCase):
    """Plans with real proxy processes; two runs at a time, each with its own addresses."""

    CORRECT_BUILD_PLANS = ("zombies", "lists", "links", "deaths", "colds", "doors", "settings", "errors", "cut-answers", "outage")
    # The other planted faults are checked outside this suite with `rig run --plant`, since each takes a whole run.
    PLANTED = ("news-dropped", "late-taken-for-new", "changes-unheard", "whole-as-unwritten")

    @staticmethod
    def run_plan(arguments):
        """Return the exit code and the output of `rig run` with these arguments; a void run is repeated twice at most."""
        for _ in range(3):  # a run is void if its measuring processes got too little CPU time
            completed = subprocess.run(
                [sys.executable, "-m", "sloeferry.cli", "rig", "run", *arguments],
                text=True,
                capture_output=True,
                cwd=pathlib.Path(__file__).parents[1],
            )
            if completed.returncode != 3:
                break
        return completed.returncode, completed.stdout + completed.stderr

    def test_plans(self):
        """The correct build keeps the rules in each plan, and each planted fault breaks the rule that it names."""
        with ThreadPoolExecutor(2) as pool:
            runs = [(name, 0, "rules kept", pool.submit(self.run_plan, [name])) for name in self.CORRECT_BUILD_PLANS]
            runs += [
                (
                    f"{name} planted",
                    1,
                    f"RULES BROKEN: {PLANTED[name].rules}",
                    pool.submit(self.run_plan, [PLANTED[name].plan, "--plant", name]),
                )
                for name in self.PLANTED
            ]
            for name, expected_code, expected_text, run in runs:
                with self.subTest(name):
                    exit_code, text = run.result()
                    self.assertEqual(exit_code, expected_code, text)
                    self.assertIn(expected_text, text)


if __name__ == "__main__":
    unittest.main()
