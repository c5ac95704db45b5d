"""Tests of the fleet audit and bring-up with real proxy processes, and of malformed answers and invalid input."""

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
from sloeferry.stand_ins.run_observer import RunObserver
from tests.support.golden import LineRecorder, compare

ROOT = pathlib.Path(__file__).parents[1]
REQUEST_CLASSES = [platform.request_class_settings("pull", "repeatable", 300, 800, 1.0)]


class FleetAuditTest(unittest.TestCase):
    """Ten proxies with one discovery; each proxy that misses a change of the list or of the settings has a different fault."""

    NAMES = [f"p{index}" for index in range(10)]

    def write_config(self, index, latency_objective_ms=300, **options):
        settings = platform.proxy_settings(
            [dict(REQUEST_CLASSES[0], sla_time=latency_objective_ms * 1000)],
            [],
            instance_count=len(self.NAMES),
            ordinal=index,
            zones=["a", "b"],
            machine_kinds=["m"],
        )
        path = pathlib.Path(self.folder, f"p{index}.json")
        path.write_text(
            json.dumps(
                platform.instance_config(
                    f"p{index}",
                    ("127.0.0.1", self.ports[index]),
                    options.pop("discovery", self.discovery_addresses[f"p{index}"]),
                    settings,
                    seed=index,
                    admin=("127.0.0.1", self.admin_ports[index]),
                    **options,
                )
            )
        )
        return path

    def start_proxy(self, index, **options):
        self.processes[index] = processes.start(self.write_config(index, **options), SLOEFERRY_OPERATOR=str(self.operator_file))

    async def wait_until(self, is_met):
        """Wait until a condition holds, instead of for a fixed time."""
        for _ in range(1500):
            if await is_met():
                return
            await asyncio.sleep(0.02)
        self.fail("the condition was not met in time")

    async def has_versions(self, index, **expected):
        document = await request_json(("127.0.0.1", self.admin_ports[index]), "/admin/versions")
        if isinstance(document, NoAnswer):
            return False
        held = {
            "revision": (document["list"] or {}).get("revision"),
            "generation": document["settings"]["generation"],
            "refused": len(document["refused"]),
        }
        return all(held[key] == value for key, value in expected.items())

    async def run_scenario(self):
        loop, count = asyncio.get_running_loop(), len(self.NAMES)
        ports = processes.free_ports("127.0.0.1", 3 * count + 2)
        self.ports, self.admin_ports = ports[:count], ports[count : 2 * count]
        self.discovery_addresses = {name: ("127.0.0.1", ports[2 * count + index]) for index, name in enumerate(self.NAMES)}
        stand_in_discovery = StandInDiscovery(
            loop,
            types.SimpleNamespace(call_ms=0.0, notification_spread_ms=0.0),
            self.discovery_addresses,
            RunObserver(),
            Random(1),
        )
        backends = [
            types.SimpleNamespace(
                backend_id=f"s{index}", address=("127.0.0.1", 1), zone="a", settings=types.SimpleNamespace(machine_kind="m")
            )
            for index in range(3)
        ]
        for backend in backends:
            stand_in_discovery.publish(backend, "active", 0.0)
        await stand_in_discovery.start()
        link = Link(
            loop,
            "discovery/4",
            ("127.0.0.1", ports[-1]),
            self.discovery_addresses["p4"],
            types.SimpleNamespace(note=lambda *_: None),
        )
        await link.open()
        malformed_server = await asyncio.start_server(self.send_truncated_answer, "127.0.0.1", ports[-2])
        for index in range(count):
            self.start_proxy(index, **({"discovery": ("127.0.0.1", ports[-1])} if index == 4 else {}))
        for index in range(count):
            await self.wait_until(lambda index=index: self.has_versions(index, revision=3))
        # List and settings change, while faults keep some proxies from receiving the change.
        cached_list = stand_in_discovery.last_sent_list("p8")
        self.processes[8].kill()
        self.processes[8].wait()
        await link.set_condition(LinkCondition(LinkState.HOLD))
        stand_in_discovery.show_older_list("p7", until=loop.time())
        processes.send_signal(self.processes[2], signal.SIGSTOP)
        processes.send_signal(self.processes[3], signal.SIGKILL)
        self.processes[3].wait()
        stand_in_discovery.publish(backends[0], "leaving")
        for index in (0, 1, 4, 6, 7, 9):
            path = self.write_config(
                index, latency_objective_ms=400, **({"discovery": ("127.0.0.1", ports[-1])} if index == 4 else {})
            )
            if index == 6:
                path.write_text(path.read_text()[:200])
            processes.send_signal(self.processes[index], signal.SIGHUP)
        self.write_config(5, latency_objective_ms=400)  # without a SIGHUP
        self.start_proxy(8, latency_objective_ms=400, known_list=cached_list, discovery=("127.0.0.1", 1))
        for index in (0, 1, 9):
            await self.wait_until(lambda index=index: self.has_versions(index, revision=4, generation=2))
        await self.wait_until(lambda: self.has_versions(6, revision=4, refused=1))
        await self.wait_until(lambda: self.has_versions(7, revision=3, generation=2))
        await self.wait_until(lambda: self.has_versions(5, revision=4, generation=1))
        await self.wait_until(lambda: self.has_versions(8, revision=3))

        async def is_cut_off():  # the audit reports a proxy as cut off after 5 s without data from discovery
            document = await request_json(("127.0.0.1", self.admin_ports[4]), "/admin/versions")
            return not isinstance(document, NoAnswer) and document["confirmed_ms"] > 5200

        await self.wait_until(is_cut_off)
        lines = [f'discovery = "127.0.0.1:{self.discovery_addresses["p0"][1]}"']
        for index, name in enumerate([*self.NAMES[:9], "somebody", "babbler"]):
            lines.append(f'[[proxy]]\nname = "{name}"\nat = "127.0.0.1:{[*self.admin_ports, ports[-2]][index]}"')
        path = pathlib.Path(self.folder, "fleet.toml")
        path.write_text("\n".join(lines))
        before = await self.run_fleet_command("audit", path)
        # Some faults end, then the remaining stragglers are brought up.
        stand_in_discovery.show_newest_list("p7")
        stand_in_discovery.show_older_list("p5", until=loop.time())
        stand_in_discovery.publish(backends[1], "leaving")
        self.write_config(6, latency_objective_ms=400)
        for index in (0, 1, 7, 9):
            await self.wait_until(lambda index=index: self.has_versions(index, revision=5))
        # The watch of p5 has missed a change, which only a poll or a new watch delivers.
        stand_in_discovery.show_newest_list("p5", sends_missed_changes=False)
        after = await self.run_fleet_command("bring-up", path, "--pace", "0.05", "--patience", "2")
        malformed_server.close()
        stand_in_discovery.stop()
        link.server.close()
        return before, after

    async def run_fleet_command(self, name, path, *arguments):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sloeferry.cli",
            "fleet",
            name,
            "--fleet",
            str(path),
            "--json",
            *arguments,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        output = (await process.communicate())[0]
        return process.returncode, json.loads(output)

    async def send_truncated_answer(self, reader, writer):
        await reader.read(100)
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{"name": "babb')
        writer.close()

    def test_audit_names_the_cause_of_each_straggler(self):
        """The audit reports the cause of each straggler, and proxies that do not answer as unknown instead of current."""
        self.processes, lines = {}, LineRecorder()
        with tempfile.TemporaryDirectory() as self.folder:
            self.operator_file = pathlib.Path(self.folder, "operator.toml")
            self.operator_file.write_text("[versions]\ntell = true\nbring_up = true\n")
            try:
                results = asyncio.run(self.run_scenario())
            finally:
                for process in self.processes.values():
                    processes.send_signal(process, signal.SIGKILL)
                    process.wait()
        for exit_status, record in results:
            lines.lines.append(
                f"exit {exit_status}, newest list {record['newest']['list']}, by discovery {record['newest']['by_discovery']}: "
                f"{record['current']} current, {record['straggler']} behind, {record['unknown']} unknown"
            )
            lines.lines += sorted(f"told {sent['name']}: {sent['step']}: {sent['answer']}" for sent in record.get("calls", ()))
            lines.lines += [f"{row['name']}: {row['state']} {row.get('behind', '')} {row['cause']}" for row in record["rows"]]
        compare(self, lines, "fleet_causes")


class AuditInputTest(unittest.TestCase):
    def test_malformed_answers_are_rejected_with_a_reason(self):
        lines = LineRecorder()
        for data in (
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
            lines.lines.append(f"{data!r}  ->  {parse_answer(data)}")
        compare(self, lines, "fleet_answers")

    def test_invalid_fleet_files_and_since_values_are_usage_errors(self):
        lines = LineRecorder()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "fleet.toml")
            entry = '[[proxy]]\nname = "a"\nat = "127.0.0.1:1"\n'
            for text in (
                "",
                "[proxy",
                'discovery = "nowhere"\n' + entry,
                entry + entry.replace('"a"', '"b"'),
                entry.replace("at =", "port ="),
                "proxies = 3\n" + entry,
                entry.replace("127.0.0.1:1", "127.0.0.1:0"),
            ):
                path.write_text(text)
                with self.assertRaises(UsageError) as caught:
                    read_fleet_config(path)
                lines.lines.append(f"{text!r}  ->  {str(caught.exception).replace(folder, '')}")
            path.write_text(entry)
            for arguments in (["--since", "-5"], ["--since", "1e12"], ["--since", "nan"]):
                error = CliRunner().invoke(fleet, ["audit", "--fleet", str(path), *arguments]).exception
                self.assertIsInstance(error, UsageError, arguments)
                lines.lines.append(f"{' '.join(arguments)}  ->  {error}")
            self.assertIsInstance(CliRunner().invoke(fleet, ["audit", "--fleet", folder + "/none"]).exception, UsageError)
            result = CliRunner().invoke(fleet, ["audit", "--fleet", str(path)])  # no proxy listens there
            self.assertEqual(result.exit_code, 3, result.output)
        compare(self, lines, "fleet_usage_errors")

    def test_audit_reports_contradicting_lists_and_counts_acts_after_the_bound(self):
        """Two proxies hold different contents of the same list revision, a third one acts on an old revision."""

        def make_answer(name, list_digest, revision=5, acts=(), settings="s"):
            entry = {"generation": 1, "digest": settings, "by": "start", "heard_ms": 90_000.0, "acts": 3, "last_ms": 10.0}
            lists = [
                {
                    "incarnation": 1,
                    "revision": old_revision,
                    "digest": "x",
                    "by": "discovery",
                    "heard_ms": heard_ms,
                    "acts": count,
                    "last_ms": last_ms,
                }
                for old_revision, heard_ms, count, last_ms in acts
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

        proxies = tuple(ProxyAddress(name, ("127.0.0.1", index + 1)) for index, name in enumerate("abc"))
        answers = [make_answer("a", "x"), make_answer("b", "y"), make_answer("c", "z", 4, [(4, 60_000.0, 7, 1_000.0)])]
        record = audit_fleet(FleetConfig(proxies, None), FleetAnswers(answers, None), 6000.0).as_json()
        self.assertEqual([contradiction["revision"] for contradiction in record["contradictions"]], [5])
        self.assertEqual([row["state"] for row in record["rows"]], ["current", "current", "straggler"])
        # Seven attempts under revision 4, and the one that its newest entry counts, at least 14 s after the bound.
        self.assertEqual((record["acts_after_bound"], record["exit"]), (8, 1))
        self.assertEqual(record["rows"][2]["cause"], "told nothing newer")


if __name__ == "__main__":
    unittest.main()
