"""What operators do with a proxy that serves: the drain, other settings, a process that takes over.

Nothing here is decided by how long anything takes."""

import asyncio
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
from loguru import logger

from sloeferry.config.settings import Idempotency
from sloeferry.lifecycle.snapshot_store import SnapshotError
from sloeferry.policy.interface import EndpointState
from tests.trace import Harbour, Lines, Printer, answer, compare, play

IDEMPOTENCY_WORDS = {
    Idempotency.IDEMPOTENT: "repeatable",
    Idempotency.DEDUPLICATED: "referenced",
    Idempotency.NON_IDEMPOTENT: "once-only",
}


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
