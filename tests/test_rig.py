"""The rig: plans are checked, records are judged, links do what they are told, and with real processes the true build
keeps every plan while a build with one wrong line is convicted."""

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
from sloeferry.rehearsal import scenario as s
from sloeferry.stand_ins.processes import free_ports
from tests.support import golden as trace

SMALL = """
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


class Plans(unittest.TestCase):
    def test_shipped(self):
        for name in plans.shipped_names():
            self.assertEqual(plans.read_plan(name).name, name)
        self.assertLessEqual({one.plan for one in PLANTED.values()}, set(plans.shipped_names()))

    def test_drawn(self):
        """A seed stands for the same plan everywhere: the texts of some, byte for byte as they were first drawn."""
        for kind, digest in (
            ("drawn", "583495791073821cc910a82cf2cb8307409d9052df2b492477d4b10a5a23e9c0"),
            ("soak", "dd27eb572230da3e96f85d313293d63fb580484721ee71df23b3beb3c482794c"),
        ):
            texts = "".join(plans.read_plan_text(f"{kind}-{seed}") for seed in range(1, 31))
            self.assertEqual(hashlib.sha256(texts.encode()).hexdigest(), digest, kind)

    def test_faults(self):
        """A fault names its key; the command line ends with one line."""
        lines = trace.LineRecorder()
        for more in (
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
            with self.assertRaises(s.ScenarioError) as caught:
                plans.parse_plan(SMALL + more, "small.toml")
            lines.lines.append(f"{more.splitlines()[-1]}  ->  {caught.exception}")
        trace.compare(self, lines, "rig_faults")
        for words in (
            ["run", "no-such-plan"],
            ["check", "/no/such/file"],
            ["run", "calm", "--record", "/no/such/folder/x"],
            ["run", "calm", "--plant", "nothing"],
        ):
            self.assertIsInstance(CliRunner().invoke(rig, words).exception, s.ScenarioError, words)

    def test_altered(self):
        told = plans.resize(plans.read_plan("calm"), 40, 24)
        self.assertEqual((told.proxies.count, sum(n.count for n in told.backends)), (40, 24))
        self.assertEqual(told.clients.load_curve[0][1], 2 * plans.read_plan("calm").clients.load_curve[0][1])

    def test_twin(self):
        """The same plan in virtual time: what has its part there is played, the rest is named."""
        scenario, without = plans.to_virtual_scenario(plans.read_plan("deaths"))
        self.assertEqual(
            ([t.__struct_config__.tag for t in scenario.scenario_faults], without), (["proxies-die", "proxies-roll"], [])
        )
        self.assertEqual(plans.to_virtual_scenario(plans.read_plan("links"))[1], ["break", "cut", "hold", "half-open", "delay"])


class Clocks(unittest.TestCase):
    def test_starts(self):
        """Guards StartTimes: a wall clock that is hours off makes no cold backend pass for warm, nor any cold for
        ever; a right one that something confirms changes nothing, and what was told once stays."""
        lines, now = trace.LineRecorder(), 1_000_000.0
        for off in (0, 3600e3, -3600e3):
            for confirmed in ("nothing", "a Date header", "news"):
                starts = StartTimes(now, now + 5e9 + off)
                if confirmed == "a Date header":
                    starts.set_discovery_time(now, now + 5e9 - 300.0)
                elif confirmed == "news":
                    starts.started_at(now, "first", now + 5e9 - 700.0, True)
                for endpoint_id, ago, news in (("old", 50_000.0, False), ("young", 400.0, False), ("new", 400.0, True)):
                    at = starts.started_at(now, endpoint_id, now + 5e9 - ago, news)
                    same = starts.started_at(now + 9.0, endpoint_id, now + 5e9 - ago, False) == at
                    lines.lines.append(
                        f"clock off by {off / 3600e3:g} h, {confirmed} confirms it: {endpoint_id}, started {ago:g} ms "
                        f"ago, news {news}: taken for {now - at:.0f} ms ago, stays {same}"
                    )
                starts.set_discovery_time(now, now + 5e9 - 300.0)
                lines.lines.append(f"confirmed then: {starts.confirmed_starts()}")
                lines.lines.append(f"long ago stays so: {starts.started_at(now, 'x', 0, True)}")
        trace.compare(self, lines, "rig_clocks")


class Verdicts(unittest.TestCase):
    """Records written by hand: what several processes saw of a few txns, and what the judge makes of it."""

    def judged(self, *events):
        plan = plans.parse_plan(SMALL, "small")
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "all.jsonl")
            recorder = EventRecorder(plan, 1, path, lambda: 0.0)
            numbers = len(recorder.planned_requests)
            recorder.note(10.0, "begin")
            for event in events:
                recorder.note(*event)
            for number in range(numbers):  # whoever has no other end
                if not any(event[1] == "ended" and event[2] == number for event in events):
                    recorder.note(13.0, "ended", number, "untaken", 10.0, 1)
            recorder.close()
            path.write_bytes(path.read_bytes() + b'[11.0, 11.0, "post')  # its writer was killed
            return judge_run(plan, 1, RunResult([path]))

    REQUEST_ID = f"{3:012x}0000"
    ASKED = (11.0, "asked", REQUEST_ID, "p1", 11.8), (11.0, "sent", REQUEST_ID, 11.8)

    def test_kept(self):
        said = self.judged(
            *self.ASKED,
            (11.01, "posted", "s-0001", "a", self.REQUEST_ID, 11.01),
            (11.01, "ran", "s-0001", self.REQUEST_ID),
            (11.05, "answered", self.REQUEST_ID, 200, True),
            (11.05, "ended", 3, "settled", 11.0, 1),
        )
        self.assertEqual((said["verdict"], said["txns"]["settled"]), ("kept", 1))

    def test_broken(self):
        """Each with the two records that contradict each other."""
        lines = trace.LineRecorder()
        ran = [(11.01, "posted", "s-0001", "a", self.REQUEST_ID, 11.01), (11.01, "ran", "s-0001", self.REQUEST_ID)]
        end = (12.0, "ended", 3, "settled", 11.0, 1)
        for what, *events in (
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
            said = self.judged(*self.ASKED, *events)
            lines.lines += [f"{what}: {said['verdict']}", *(f"  {text}" for text in said["void"] + said["failed"])]
            for one in said["evidence"]:
                lines.lines += [f"  rule {one['rule']}: {one['text']}", *(f"    {event}" for event in one["events"])]
        trace.compare(self, lines, "rig_verdicts")


class Links(unittest.TestCase):
    def test_states(self):
        """What a link does in each of its states, as its two ends see it."""
        lines = trace.LineRecorder()

        async def day():
            loop = asyncio.get_running_loop()
            one, two = free_ports("127.0.0.1", 2)
            seen = []

            async def echo(reader, writer):
                try:
                    while data := await reader.read(100):
                        seen.append(data)
                        writer.write(b"<" + data + b">")
                except OSError:
                    seen.append(b"reset")
                except asyncio.CancelledError:
                    pass  # the test is over
                writer.close()

            server = await asyncio.start_server(echo, "127.0.0.1", two)
            link = Link(loop, "nodes/0/0", ("127.0.0.1", one), ("127.0.0.1", two), types.SimpleNamespace(note=lambda *_: None))
            await link.open()

            async def ask(connection, text):
                connection[1].write(text)
                return await hear(connection)

            async def hear(connection):
                try:
                    return repr(await asyncio.wait_for(connection[0].read(100), 0.3))
                except TimeoutError:
                    return "nothing"
                except OSError:
                    return "reset"

            async def dial():
                try:
                    return await asyncio.open_connection("127.0.0.1", one)
                except OSError:
                    return None

            for what, told in (
                ("", {}),
                ("hold", {"way": "there"}),
                ("hold", {"way": "back"}),
                ("hold", {"way": "both"}),
                ("delay", {"ms": 20}),
                ("cut", {}),
                ("half-open", {}),
                ("break", {"way": "back", "bytes": 5}),
            ):
                kept = await dial()
                lines.lines.append(f"{what or 'whole'} {told}")
                lines.lines.append(f"  before: {await ask(kept, b'a')}")
                seen.clear()
                await link.set_condition(LinkCondition.from_plan(what, told))
                lines.lines.append(f"  kept: {await ask(kept, b'bcd')}; the far end saw {seen}")
                seen.clear()
                new = await dial()
                lines.lines.append(f"  new: {await ask(new, b'e') if new else 'refused'}; the far end saw {seen}")
                await link.set_condition(LinkCondition())
                lines.lines.append(
                    f"  over: kept {await hear(kept)}, new {await hear(new) if new else '-'}; the far end saw {seen}"
                )
                for connection in (kept, new):
                    if connection:
                        connection[1].close()
            server.close()
            link.server.close()

        asyncio.run(day())
        trace.compare(self, lines, "rig_links")

    def test_records(self):
        """Events of several records in the order they were written, whatever their own loops' times were."""
        plan = plans.parse_plan(SMALL, "small")
        with tempfile.TemporaryDirectory() as folder:
            paths = [pathlib.Path(folder, name) for name in "ab"]
            one, other = (EventRecorder(plan, 1, path, lambda: 0.0) for path in paths)
            for at in range(6):
                (one, other)[at % 2].note(5.0, "n", at)
            one.close()
            other.close()
            self.assertEqual([event[2] for event in read_events(paths)], list(range(6)))

    def test_beat_after_the_end(self):
        """A look at how late the process runs that comes due after its record is closed writes nothing, and is the last."""
        with tempfile.TemporaryDirectory() as folder:
            recorder = EventRecorder(plans.parse_plan(SMALL, "small"), 1, pathlib.Path(folder, "a"), lambda: 0.0)
            calls = []
            loop = types.SimpleNamespace(time=lambda: 5.0, call_later=lambda *what: calls.append(what))
            recorder.close()
            recorder.monitor_loop_lag(loop, "nodes", 1.0)
            self.assertEqual(calls, [])


class Strikes(unittest.TestCase):
    def test_written_down_first(self):
        """Guards LinkAction.strike: what a link's fault excuses stands in the record before the relay hears of the fault."""
        for between, excuse in (("callers", "apart"), ("discovery", "unfed")):
            self.assertEqual(self.recorded(between), ["fault", excuse, "set_condition"])

    @staticmethod
    def recorded(between):
        """The events that are recorded as a link's fault strikes, and the relay's commands, in their order."""
        found = []
        fleet = types.SimpleNamespace(
            fault_targets=[FaultTargets([8], [f"{between}/8"])],
            loop=types.SimpleNamespace(time=lambda: 5.0, call_later=lambda *_: None),
            judge=types.SimpleNamespace(note=lambda at, event, *_: found.append(event), proxy_stopped=lambda *_: None),
            relay=types.SimpleNamespace(command=lambda *words: found.append(words[0])),
        )
        LinkAction(fleet, 0, CutLink(at_seconds=1.0, between=between)).inject()
        return found

    def test_each_fault_has_an_action(self):
        self.assertEqual(set(ACTIONS), set(AnyFault.__args__))


class Processes(unittest.TestCase):
    """Real proxies, each a process; two plays side by side, each with its own addresses."""

    TRUE = ("zombies", "lists", "links", "deaths", "colds", "doors", "settings", "errors", "cut-answers", "outage")
    # The rest of what can be planted is convicted by `rig run --plant`, outside: each takes a play.
    PLANTED = ("news-dropped", "late-taken-for-new", "changes-unheard", "whole-as-unwritten")

    @staticmethod
    def play(words):
        for _ in range(3):  # a play whose measuring processes got no time is none
            done = subprocess.run(
                [sys.executable, "-m", "sloeferry.cli", "rig", "run", *words],
                text=True,
                capture_output=True,
                cwd=pathlib.Path(__file__).parents[1],
            )
            if done.returncode != 3:
                break
        return done.returncode, done.stdout + done.stderr

    def test_plans(self):
        with ThreadPoolExecutor(2) as pool:
            plays = [(name, 0, "rules kept", pool.submit(self.play, [name])) for name in self.TRUE]
            plays += [
                (
                    f"{name} planted",
                    1,
                    f"RULES BROKEN: {PLANTED[name].rules}",
                    pool.submit(self.play, [PLANTED[name].plan, "--plant", name]),
                )
                for name in self.PLANTED
            ]
            for name, code, words, play in plays:
                with self.subTest(name):
                    said, text = play.result()
                    self.assertEqual(said, code, text)
                    self.assertIn(words, text)


if __name__ == "__main__":
    unittest.main()
