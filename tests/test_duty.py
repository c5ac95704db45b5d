"""What operators do with a proxy that serves: the drain, other settings, a process that takes over.

Nothing here is decided by how long anything takes."""

import asyncio
import dataclasses
import json
import os
import re
import signal
import socket
import sys
import tempfile
import unittest
from unittest import mock

import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from sloeferry.config.errors import ConfigError
from sloeferry.config.instance import read_instance_config
from sloeferry.config.settings import Idempotency
from sloeferry.lifecycle.snapshot import restore_snapshot, take_snapshot
from sloeferry.lifecycle.snapshot_store import SnapshotError, SnapshotStore
from sloeferry.lifecycle.state import CLOSE_IDLE_AFTER_MS, Lifecycle
from sloeferry.policy.interface import AttemptOutcome, EndpointState
from tests.trace import Harbour, Lines, Printer, answer, compare, play

IDEMPOTENCY_WORDS = {
    Idempotency.IDEMPOTENT: "repeatable",
    Idempotency.DEDUPLICATED: "referenced",
    Idempotency.NON_IDEMPOTENT: "once-only",
}


class Duties(unittest.TestCase):
    def test_each_state(self):
        """Whatever comes in whatever order, what is said of it: one line a step."""
        out = Lines()
        steps = {
            "list": Lifecycle.list_arrived,
            "quiesce": lambda d: d.drain(0.0),
            "resume": Lifecycle.resume,
            "sigterm": Lifecycle.stop,
            "another serves": lambda d: setattr(d, "other_ready_processes", 1),
            "it ends": lambda d: setattr(d, "other_ready_processes", 0),
        }
        for way in (
            "list",
            "quiesce resume",
            "list quiesce quiesce resume resume",
            "list quiesce sigterm resume",
            "list quiesce, another serves, it ends, resume",
            "list, another serves, sigterm",
            "another serves, list, sigterm, it ends",
            "sigterm list",
        ):
            duty = Lifecycle()
            out.lines.append(f"-- {way}")
            for step in way.split(", ") if "," in way else way.split():
                for one in [step] if step in steps else step.split():
                    said = steps[one](duty)
                    out.lines.append(
                        f"{one}: {'' if said is None else 'yes ' if said else 'no '}{duty.state(3)}, {duty.state(0)};"
                        f" front {duty.answers_ready()}, operators {duty.is_ready()}, takes in {duty.accepts_connections()}"
                    )
        compare(self, out, "duty_states")

    @settings(max_examples=200, deadline=None)
    @given(st.lists(st.sampled_from(["list", "quiesce", "resume", "leave", "mate", "alone"]), max_size=12))
    def test_never_at_odds(self, steps):
        duty = Lifecycle()
        for step in steps:
            {
                "list": duty.list_arrived,
                "quiesce": lambda: duty.drain(5.0),
                "resume": duty.resume,
                "leave": duty.stop,
                "mate": lambda: setattr(duty, "other_ready_processes", 1),
                "alone": lambda: setattr(duty, "other_ready_processes", 0),
            }[step]()
            self.assertEqual(duty.is_ready(), duty.state(1) == "serving")
            self.assertFalse(duty.is_ready() and duty.closes_connections())
            self.assertTrue(duty.accepts_connections() or duty.other_ready_processes, "somebody takes clients in")
            self.assertFalse(duty.may_close_idle(5.0 + CLOSE_IDLE_AFTER_MS - 1))


class Settings(unittest.TestCase):
    """A file that replaces the one before."""

    FORMER = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "ops": "127.0.0.1:3",
        "seed": "1",
        "limits": {"sockets": 256},
        "settings": {
            "schemes": [
                {"name": "a", "idempotency": "retryable", "expiry": 800000, "sla_time": 300000},
                {
                    "name": "b",
                    "idempotency": "dedup",
                    "expiry": 700000,
                    "sla_time": 300000,
                    "group": "all",
                    "dedup_window": 5000000,
                },
            ],
            "tenants": [{"name": "t", "share": 1.0}],
            "limits": {"most_postings": 3},
        },
    }

    def read(self, told, former=None):
        with tempfile.NamedTemporaryFile("w") as file:
            file.write(told if isinstance(told, str) else json.dumps(told))
            file.flush()
            try:
                return read_instance_config({"BALANCER_CONFIG": file.name}, former)
            except ConfigError as fault:
                return str(fault).replace(file.name, "FILE")

    def test_turned_down_whole(self):
        former, out = self.read(self.FORMER), Lines()
        text = json.dumps(self.FORMER)
        for cut in (0, 1, len(text) // 2, len(text) - 1):
            out.lines.append(f"{cut} bytes of it: {re.sub(r':.*', '', self.read(text[:cut], former).partition(' is ')[2])}")
        gone = object()
        for path, said in (
            [
                (path, gone)
                for path in (
                    "listen",
                    "ops",
                    "settings",
                    "settings.schemes",
                    "settings.schemes.1.expiry",
                    "settings.schemes.0.name",
                    "settings.limits",
                    "settings.limits.most_postings",
                    "settings.schemes.1.dedup_window",
                )
            ]
            + [("settings.schemes.0.expiry", said) for said in (0, -1, "soon", "800000", True, None, [], 1e400)]
            + [("settings.limits.most_postings", said) for said in (0, -2, 1.5, "3", None)]
            + [("settings.schemes.1.name", "a"), ("settings.tenants", [])]
        ):
            told = json.loads(text)
            node, *way = told, *path.split(".")
            for step in way[:-1]:
                node = node[int(step) if isinstance(node, list) else step]
            if said is gone:
                del node[way[-1]]
            else:
                node[way[-1]] = said
            found = self.read(told, former)
            out.lines.append(
                f"{path} {'left out' if said is gone else repr(said)}: {found if isinstance(found, str) else 'taken'}"
            )
        compare(self, out, "settings_turned_down")

    def test_places(self):
        """Who was there keeps his place, who comes stands behind, who is gone keeps his for those still open."""
        former, told = self.read(self.FORMER), json.loads(json.dumps(self.FORMER))
        schemes = told["settings"]["schemes"]
        schemes[:] = [dict(schemes[0], name="c"), dict(schemes[1], expiry=600000)]
        told["settings"]["tenants"].insert(0, {"name": "s", "share": 2.0})
        second = self.read(told, former)
        schemes[:] = [dict(schemes[0], name="a", idempotency="fragile")]
        third = self.read(told, second)
        out = Lines()
        for berth in (former, second, third):
            out.lines.append(
                f"{berth.settings.class_indexes()} {berth.settings.tenant_indexes()} "
                + " ".join(
                    f"{at}:{one.name}/{one.deadline_ms:.0f}/{IDEMPOTENCY_WORDS[one.idempotency]}"
                    for at, one in enumerate(berth.settings.request_classes)
                )
            )
        compare(self, out, "settings_places")


class Desks(unittest.TestCase):
    def setUp(self):
        logger.remove()

    async def ops(self, h, text, quiet=False):
        reader, writer = await asyncio.open_connection("127.0.0.1", h.ops)
        writer.write(text.encode())
        got = (await reader.read()).decode()
        writer.close()
        said = re.search(r'"(?:state|error)": ?"[^"]*"', got)
        if not quiet:
            h.say(f"operators: {text.splitlines()[0] if text else ''}: {' '.join(got.split()[1:2])} {said and said[0]}")
        return got

    def test_calls(self):
        """One answer to each call; who says nothing, or half a call, keeps nobody out."""

        async def story(h):
            for call in (
                "GET /admin/health",
                "POST /admin/health",
                "GET /admin/nothing",
                "GET /admin/guard",
                "POST /admin/resume",
                "GET http://x/admin/health",
                "GET /admin/health?x=1",
                "BREW /admin/health",
            ):
                await self.ops(h, call + " HTTP/1.1\r\nHost: x\r\n\r\n")
            await self.ops(h, "POST /admin/resume HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}")
            await self.ops(h, "nonsense\r\n\r\n")
            silent = [await asyncio.open_connection("127.0.0.1", h.ops) for _ in range(60)]
            for _, writer in silent[::2]:
                writer.write(b"GET /admin/hea")
            await self.ops(h, "GET /admin/health HTTP/1.1\r\n\r\n")
            h.say(f"beside {len(silent)} that say nothing or half a call")
            for _, writer in silent:
                writer.close()

        play(self, story, "desk_calls", Harbour({"b": answer()}, ops=True))

    def test_drain(self):
        """Told to quiesce, it says no, serves who comes and lets go of all; resumed, it keeps them again."""

        async def story(h):
            idle, used = await h.open(), await h.open()
            for connection in (idle, used):
                await h.call("safe", connection=connection)
            with mock.patch("sloeferry.lifecycle.state.CLOSE_IDLE_AFTER_MS", 0.0):
                await self.ops(h, "POST /admin/quiesce HTTP/1.1\r\n\r\n")
                await h.ask("GET /ready HTTP/1.1\r\n\r\n")
                h.say(f"the idle ones end: {await idle[0].read() == b''}, {await used[0].read() == b''}")
            late = await h.open()
            await h.call("safe", connection=late)
            h.say(f"its connection ends: {await late[0].read() == b''}")
            await self.ops(h, "GET /admin/health HTTP/1.1\r\n\r\n")
            await self.ops(h, "POST /admin/resume HTTP/1.1\r\n\r\n")
            await h.ask("GET /ready HTTP/1.1\r\n\r\n")
            again = await h.open()
            for _ in range(2):
                await h.call("safe", connection=again)

        play(self, story, "desk_drain", Harbour({"b": answer()}, ops=True))

    def test_settings_while_serving(self):
        """SIGHUP adds a scheme and drops another: who is open under it is answered, who comes is refused."""
        held = asyncio.Event()

        async def story(h):
            with tempfile.NamedTemporaryFile("w") as file, mock.patch.dict(os.environ, BALANCER_CONFIG=file.name):

                async def replaced(told):
                    file.truncate(0)
                    file.seek(0)
                    file.write(json.dumps(told))
                    file.flush()
                    os.kill(os.getpid(), signal.SIGHUP)
                    await asyncio.sleep(0.05)

                slow = asyncio.get_running_loop().create_task(h.call("once"))
                while not h.asked:
                    await asyncio.sleep(0.01)
                told = json.loads(json.dumps(h.told))
                schemes = told["settings"]["schemes"]
                schemes[2] = dict(schemes[0], name="new")
                bad = json.loads(json.dumps(told))
                bad["settings"]["limits"]["most_postings"] = 0
                await replaced(bad)
                await h.call("new", Idempotency_Key=None)
                await replaced(told)
                await h.call("new", X_Call_Id="c2")
                await h.call("once", X_Call_Id="c3")
                held.set()
                await slow

        play(self, story, "settings_while_serving", Harbour({"b": lambda n: held if n == 1 else answer()}))


def read_snapshot(store, now):
    """The list and what was learned, or why there is none."""
    try:
        return tuple(store.read(now))
    except SnapshotError as error:
        return str(error)


class Handovers(unittest.TestCase):
    def test_folder(self):
        """Who lives is seen by a lock, however he ended; a snapshot is whole, of this proxy and of now, or none."""
        out = Lines()
        with tempfile.TemporaryDirectory() as path:
            first, second, other = SnapshotStore(path, "n", "s"), SnapshotStore(path, "n", "s"), SnapshotStore(path, "m", "s")
            second.show(True)
            out.lines.append(f"others: {tuple(first.neighbours())}, {tuple(second.neighbours())}, {tuple(other.neighbours())}")
            os.close(second._lock_fd)  # it was killed: nothing is tidied up
            out.lines.append(f"after one was killed: {tuple(first.neighbours())}")
            out.lines.append(f"nothing yet: {read_snapshot(first, 0.0)}")
            first.write(100.0, {"revision": 1}, {"x": [1.5]})
            third = SnapshotStore(path, "n", "s")
            for now in (200.0, 99.0, 1e6):
                out.lines.append(f"at {now:.0f}: {read_snapshot(third, now)}")
            with mock.patch.object(third, "_boot_id", "another"):
                out.lines.append(f"at 200, the machine started anew: {read_snapshot(third, 200.0)}")
            file = f"{third.path}/snapshot"
            with open(file, "rb") as opened:
                whole = opened.read()
            for name, text in (
                ("cut", whole[:-1]),
                ("changed", whole.replace(b"1.5", b"2.5")),
                ("empty", b""),
                ("of another", whole.replace(b'"n"', b'"k"')),
            ):
                with open(file, "wb") as opened:
                    opened.write(text)
                out.lines.append(f"{name}: {read_snapshot(third, 200.0)}")
            out.lines.append(f"no number: {third.write(1.0, {}, {'x': float('nan')})}")
            for folder in (first, third, other):
                folder.close()
        compare(self, out, "handover_folder")

    def test_memory(self):
        """What was learned goes over; what is not as it should be changes nothing."""

        def learned():
            host = Printer()
            host.list(("a",), ("b",), ("c",))
            for ref in range(60):
                host.take(ref)
                ident = [line.split()[-1] for line in host.lines if f"post {ref}/0" in line][0]
                host.until(host.now + 20.0)
                host.end(ref, 0, AttemptOutcome.SERVED, 0, took=200.0 if ident == "a" else 40.0)
            return host

        def figures(proxy):
            return [round(s.typical_ms(), 3) for s in proxy.classes.all] + [round(b.slowdown, 3) for b in proxy.table.ready]

        former, fresh, out = learned(), Printer(), Lines()
        fresh.list(("a",), ("b",), ("c",))
        for host in (former, fresh):
            settings = host.policy.settings
            named = [dataclasses.replace(one, name=f"s{at}") for at, one in enumerate(settings.request_classes)]
            host.policy.settings = dataclasses.replace(settings, request_classes=tuple(named))
        said = json.loads(json.dumps(take_snapshot(former.policy), allow_nan=False))
        before = figures(fresh.policy)
        for bad in (
            dict(said, curve=[]),
            dict(said, gap="x"),
            {k: v for k, v in said.items() if k != "spread"},
            dict(said, backends={"a": dict(said["backends"]["a"], sent=[["x", 1]])}),
            dict(said, spread=[-1.0] * 22),
        ):
            with self.assertRaises((ValueError, KeyError, TypeError)):
                restore_snapshot(fresh.policy, bad)
            self.assertEqual(figures(fresh.policy), before)
        restore_snapshot(fresh.policy, said)
        out.lines.append(f"before {before}")
        out.lines.append(
            f"learned {figures(former.policy)}, taken over the same: {figures(former.policy) == figures(fresh.policy)}"
        )
        compare(self, out, "handover_memory")

    def test_divided(self):
        """Rule 4 while two processes are one proxy: each keeps to half of what the cold backend gets."""
        out = Lines()
        for processes in (1, 2):
            host = Printer(
                obligations__cold=10000.0,
                obligations__cold_from=0.5,
                obligations__fall=1500.0,
                obligations__fall_multiple=3.0,
                limits__probing=True,
            )
            host.policy.fleet.process_count = processes
            host.list(("a", 0, EndpointState.READY, 1.0))
            cold, sent = host.policy.table.by_id["a"], 0
            while host.policy.slow_start.may_send(cold, 1000.0, 50.0):
                cold.recent_sends.append((1000.0, 50.0))
                sent += 1
            out.lines.append(f"{processes}: {sent} at once")
        compare(self, out, "handover_divided")

    def test_two_processes(self):
        """The second takes over on the inherited socket while the first serves: each request is answered, the first
        one ends by itself, and a third that never gets ready changes nothing."""

        async def day():
            h = Harbour({"b": answer()})
            async with h:
                with tempfile.TemporaryDirectory() as tmp, socket.create_server(("127.0.0.1", 0)) as sock:
                    port, h.port = sock.getsockname()[1], sock.getsockname()[1]
                    ops = [await h.listen(None) for _ in range(3)]

                    async def started(at):
                        told = dict(h.told, listen=f"127.0.0.1:{port}", ops=f"127.0.0.1:{ops[at]}")
                        with open(f"{tmp}/config{at}", "w") as file:
                            json.dump(told, file)
                        process = await asyncio.create_subprocess_exec(
                            sys.executable,
                            "-m",
                            "sloeferry",
                            pass_fds=[sock.fileno()],
                            stderr=asyncio.subprocess.DEVNULL,
                            env={"BALANCER_CONFIG": f"{tmp}/config{at}", "TMPDIR": tmp, "BALANCER_LISTEN_FD": str(sock.fileno())},
                        )
                        while "200 OK" not in await health(at):
                            await asyncio.sleep(0.02)
                        return process

                    async def health(at, call="GET /admin/health"):
                        try:
                            reader, writer = await asyncio.open_connection("127.0.0.1", ops[at])
                        except OSError:
                            return ""
                        writer.write(f"{call} HTTP/1.1\r\n\r\n".encode())
                        got = (await reader.read()).decode()
                        writer.close()
                        return got

                    first = await started(0)
                    await h.call("safe")
                    kept = await h.open()
                    await h.call("safe", connection=kept)
                    second = await started(1)
                    h.say("the second is ready")
                    first.terminate()
                    while "200 OK" in await health(0):  # a signal and a request cross on their ways
                        await asyncio.sleep(0.01)
                    await h.call("safe", connection=kept)
                    h.say(f"the kept connection ends: {await kept[0].read() == b''}")
                    await h.ask("GET /ready HTTP/1.1\r\n\r\n")
                    h.say(f"the first ends: {await first.wait()}")
                    await h.call("safe")
                    third = await started(2)
                    h.say(f"quiesced beside another: {'200 OK' in await health(1, 'POST /admin/quiesce')}")
                    await h.ask("GET /ready HTTP/1.1\r\n\r\n")
                    third.kill()
                    await third.wait()
                    while '"quie' not in (said := await health(1)):
                        await asyncio.sleep(0.02)
                    h.say(f"the other is killed: {'503' in said}")
                    while "503" not in await h.ask("GET /ready HTTP/1.1\r\n\r\n", quiet=True):
                        await asyncio.sleep(0.02)
                    h.say("it takes clients in again, and says no")
                    second.terminate()
                    h.say(f"the second ends: {await second.wait()}")
            return h

        logger.remove()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            h = runner.run(asyncio.wait_for(day(), 60))
        # Which of its connections a backend has been asked on depends on which process asks.
        h.lines = [re.sub(r"backend 1, connection \d+", "backend", line) for line in h.lines]
        compare(self, h, "handover_two")


if __name__ == "__main__":
    unittest.main()
