"""The fleet's audit: real proxies, each with another fault, and what the audit says of each; and what is no answer."""

import asyncio
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import types
import unittest
from random import Random

from click.testing import CliRunner

from sloeferry.errors import UsageError
from sloeferry.fault_testing.link_relay import Link, LinkCondition, LinkState
from sloeferry.fleet.admin_client import NoAnswer, parse_answer, request_json
from sloeferry.fleet.audit import audit_fleet
from sloeferry.fleet.cli import fleet
from sloeferry.fleet.fleet_config import FleetConfig, ProxyAddress, read_fleet_config
from sloeferry.fleet.fleet_query import FleetAnswers, ProxyAnswer
from sloeferry.stand_ins import platform, processes
from sloeferry.stand_ins.discovery import StandInDiscovery
from sloeferry.stand_ins.effect_log import EffectLog
from tests.support.golden import LineRecorder, compare

ROOT = pathlib.Path(__file__).parents[1]
SCHEMES = [platform.request_class_settings("pull", "repeatable", 300, 800, 1.0)]


class Harm(unittest.TestCase):
    """Eleven processes of the program, one discovery, a fault each."""

    NAMES = [f"p{at}" for at in range(10)]

    def write(self, at, sla=300, **more):
        settings = platform.proxy_settings(
            [dict(SCHEMES[0], sla_time=sla * 1000)],
            [],
            instance_count=len(self.NAMES),
            ordinal=at,
            zones=["a", "b"],
            machine_kinds=["m"],
        )
        path = pathlib.Path(self.folder, f"p{at}.json")
        path.write_text(
            json.dumps(
                platform.instance_config(
                    f"p{at}",
                    ("127.0.0.1", self.ports[at]),
                    more.pop("discovery", self.lists[f"p{at}"]),
                    settings,
                    seed=at,
                    admin=("127.0.0.1", self.ops[at]),
                    **more,
                )
            )
        )
        return path

    def start(self, at, **more):
        self.processes[at] = processes.start(self.write(at, **more), SLOEFERRY_OPERATOR=str(self.operators))

    async def until(self, met):
        """Waits for a state, not for a time."""
        for _ in range(1500):
            if await met():
                return
            await asyncio.sleep(0.02)
        self.fail("it never came to that")

    async def holds(self, at, **what):
        said = await request_json(("127.0.0.1", self.ops[at]), "/admin/versions")
        if isinstance(said, NoAnswer):
            return False
        held = {
            "revision": (said["list"] or {}).get("revision"),
            "generation": said["settings"]["generation"],
            "refused": len(said["refused"]),
        }
        return all(held[key] == value for key, value in what.items())

    async def course(self):
        loop, count = asyncio.get_running_loop(), len(self.NAMES)
        ports = processes.free_ports("127.0.0.1", 3 * count + 2)
        self.ports, self.ops = ports[:count], ports[count : 2 * count]
        self.lists = {name: ("127.0.0.1", ports[2 * count + at]) for at, name in enumerate(self.NAMES)}
        roster = StandInDiscovery(
            loop, types.SimpleNamespace(call_ms=0.0, notification_spread_ms=0.0), self.lists, EffectLog(), Random(1)
        )
        nodes = [
            types.SimpleNamespace(
                backend_id=f"s{at}", address=("127.0.0.1", 1), zone="a", settings=types.SimpleNamespace(machine_kind="m")
            )
            for at in range(3)
        ]
        for node in nodes:
            roster.publish(node, "active", 0.0)
        await roster.start()
        link = Link(loop, "discovery/4", ("127.0.0.1", ports[-1]), self.lists["p4"], types.SimpleNamespace(note=lambda *_: None))
        await link.open()
        garbage = await asyncio.start_server(self.babble, "127.0.0.1", ports[-2])
        for at in range(count):
            self.start(at, **({"discovery": ("127.0.0.1", ports[-1])} if at == 4 else {}))
        for at in range(count):
            await self.until(lambda at=at: self.holds(at, revision=3))
        # The change, and what keeps some from it.
        known = roster.last_sent_list("p8")
        self.processes[8].kill()
        self.processes[8].wait()
        await link.set_condition(LinkCondition(LinkState.HOLD))
        roster.show_older_list("p7", until=loop.time())
        processes.send_signal(self.processes[2], signal.SIGSTOP)
        processes.send_signal(self.processes[3], signal.SIGKILL)
        self.processes[3].wait()
        roster.publish(nodes[0], "leaving")
        for at in (0, 1, 4, 6, 7, 9):
            path = self.write(at, sla=400, **({"discovery": ("127.0.0.1", ports[-1])} if at == 4 else {}))
            if at == 6:
                path.write_text(path.read_text()[:200])
            processes.send_signal(self.processes[at], signal.SIGHUP)
        self.write(5, sla=400)  # its SIGHUP is lost
        self.start(8, sla=400, known_list=known, discovery=("127.0.0.1", 1))
        for at in (0, 1, 9):
            await self.until(lambda at=at: self.holds(at, revision=4, generation=2))
        await self.until(lambda: self.holds(6, revision=4, refused=1))
        await self.until(lambda: self.holds(7, revision=3, generation=2))
        await self.until(lambda: self.holds(5, revision=4, generation=1))
        await self.until(lambda: self.holds(8, revision=3))

        async def silent():  # as long as the audit takes to call it cut off
            said = await request_json(("127.0.0.1", self.ops[4]), "/admin/versions")
            return not isinstance(said, NoAnswer) and said["confirmed_ms"] > 5200

        await self.until(silent)
        lines = [f'discovery = "127.0.0.1:{self.lists["p0"][1]}"']
        for at, name in enumerate([*self.NAMES[:9], "somebody", "babbler"]):
            lines.append(f'[[proxy]]\nname = "{name}"\nat = "127.0.0.1:{[*self.ops, ports[-2]][at]}"')
        path = pathlib.Path(self.folder, "fleet.toml")
        path.write_text("\n".join(lines))
        before = await self.verb("audit", path)
        # What kept some from it goes; then who lags is brought up.
        roster.show_newest_list("p7")
        roster.show_older_list("p5", until=loop.time())
        roster.publish(nodes[1], "leaving")
        self.write(6, sla=400)
        for at in (0, 1, 7, 9):
            await self.until(lambda at=at: self.holds(at, revision=5))
        roster.show_newest_list("p5", sends_missed_changes=False)  # its watch has missed a change, and only a new one brings it
        after = await self.verb("bring-up", path, "--pace", "0.05", "--patience", "2")
        garbage.close()
        roster.stop()
        link.server.close()
        return before, after

    async def verb(self, name, path, *words):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sloeferry.cli",
            "fleet",
            name,
            "--fleet",
            str(path),
            "--json",
            *words,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        text = (await process.communicate())[0]
        return process.returncode, json.loads(text)

    async def babble(self, reader, writer):
        await reader.read(100)
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{"name": "babb')
        writer.close()

    def test_causes(self):
        """Each straggler has its cause; who does not answer is unknown, never fine."""
        self.processes, lines = {}, LineRecorder()
        with tempfile.TemporaryDirectory() as self.folder:
            self.operators = pathlib.Path(self.folder, "operator.toml")
            self.operators.write_text("[versions]\ntell = true\nbring_up = true\n")
            try:
                both = asyncio.run(self.course())
            finally:
                for process in self.processes.values():
                    processes.send_signal(process, signal.SIGKILL)
                    process.wait()
        for code, said in both:
            lines.lines.append(
                f"exit {code}, newest list {said['newest']['list']}, by discovery {said['newest']['by_discovery']}: "
                f"{said['current']} current, {said['straggler']} behind, {said['unknown']} unknown"
            )
            lines.lines += sorted(f"told {one['name']}: {one['step']}: {one['answer']}" for one in said.get("calls", ()))
            lines.lines += [f"{row['name']}: {row['state']} {row.get('behind', '')} {row['cause']}" for row in said["rows"]]
        compare(self, lines, "fleet_causes")


class Answers(unittest.TestCase):
    def test_no_answers(self):
        """What is no answer is unknown, with a word why."""
        lines = LineRecorder()
        for said in (
            b"",
            b"nonsense",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{",
            b"HTTP/1.1 200 OK\r\n\r\n{}",
            b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull",
            b"SSH-2.0-x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        ):
            lines.lines.append(f"{said!r}  ->  {parse_answer(said)}")
        compare(self, lines, "fleet_answers")

    def test_bad_input(self):
        lines = LineRecorder()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "fleet.toml")
            one = '[[proxy]]\nname = "a"\nat = "127.0.0.1:1"\n'
            for text in (
                "",
                "[proxy",
                'discovery = "nowhere"\n' + one,
                one + one.replace('"a"', '"b"'),
                one.replace("at =", "port ="),
                "proxies = 3\n" + one,
                one.replace("127.0.0.1:1", "127.0.0.1:0"),
            ):
                path.write_text(text)
                with self.assertRaises(UsageError) as caught:
                    read_fleet_config(path)
                lines.lines.append(f"{text!r}  ->  {str(caught.exception).replace(folder, '')}")
            path.write_text(one)
            for words in (["--since", "-5"], ["--since", "1e12"], ["--since", "nan"]):
                fault = CliRunner().invoke(fleet, ["audit", "--fleet", str(path), *words]).exception
                self.assertIsInstance(fault, UsageError, words)
                lines.lines.append(f"{' '.join(words)}  ->  {fault}")
            self.assertIsInstance(CliRunner().invoke(fleet, ["audit", "--fleet", folder + "/none"]).exception, UsageError)
            said = CliRunner().invoke(fleet, ["audit", "--fleet", str(path)])  # nobody there
            self.assertEqual(said.exit_code, 3, said.output)
        compare(self, lines, "fleet_faults")

    def test_contradiction(self):
        """Two that hold one revision and do not hold the same are shown side by side; acts on the old one are counted."""

        def told(name, list_digest, revision=5, acts=(), settings="s"):
            entry = {"generation": 1, "digest": settings, "by": "start", "heard_ms": 90_000.0, "acts": 3, "last_ms": 10.0}
            lists = [
                {
                    "incarnation": 1,
                    "revision": at,
                    "digest": "x",
                    "by": "discovery",
                    "heard_ms": heard,
                    "acts": done,
                    "last_ms": last,
                }
                for at, heard, done, last in acts
            ]
            held = {"incarnation": 1, "revision": revision, "digest": list_digest, "by": "discovery at d:1", "heard_ms": 20_000.0}
            return ProxyAnswer(
                {
                    "name": name,
                    "program": "p",
                    "up_ms": 90_000,
                    "settings": entry,
                    "list": held,
                    "confirmed_ms": 10,
                    "open": 0,
                    "refused": [],
                },
                {"settings": [entry], "lists": [*lists, held | {"acts": 1, "last_ms": 5.0}], "refused": []},
            )

        proxies = tuple(ProxyAddress(name, ("127.0.0.1", at + 1)) for at, name in enumerate("abc"))
        answers = [told("a", "x"), told("b", "y"), told("c", "z", 4, [(4, 60_000.0, 7, 1_000.0)])]
        said = audit_fleet(FleetConfig(proxies, None), FleetAnswers(answers, None), 6000.0).as_json()
        self.assertEqual([one["revision"] for one in said["contradictions"]], [5])
        self.assertEqual([row["state"] for row in said["rows"]], ["current", "current", "straggler"])
        # Seven postings on revision 4, and the one that its newest entry counts, 14 s and more after the bound.
        self.assertEqual((said["acts_after_bound"], said["exit"]), (8, 1))
        self.assertEqual(said["rows"][2]["cause"], "told nothing newer")


if __name__ == "__main__":
    unittest.main()
