"""What operators do to a proxy, measured on loopback: calls under load, processes replaced in a row, long answers read
slowly, connections that only wait.

One process plays backends, discovery and clients; the daemons are the real ones.  Every part ends by itself.  Figures
are of this machine and of stand-ins that answer at once.
"""

import asyncio
import contextlib
import json
import os
import re
import socket
import statistics
import tempfile
from time import monotonic

from sloeferry.load_testing.plan import LoadPlanError, Plan
from sloeferry.load_testing.proxies import settings
from sloeferry.stand_ins import platform, processes
from sloeferry.stand_ins.processes import memory_mb

REPORT = b'{"inflight":1,"queue":0,"util":0.1}'
LONG = 32 << 20  # bytes of a long answer
READY = 10.0  # seconds that a daemon may take until it is ready
SLOW = 65536  # bytes a second that a slow reader takes


class Yard:
    """Backends that answer at once, discovery, and daemons on one listening socket."""

    def __init__(self, folder, backends=12, sockets=1024, memory=192):
        self.folder, self.count, self.sockets, self.memory, self.made = folder, backends, sockets, memory, 0
        self.sock, self.processes, self.servers = socket.create_server(("127.0.0.1", 0), backlog=1024), [], []
        self.port = self.sock.getsockname()[1]

    async def __aenter__(self):
        ports = [await self.serve(self.backend) for _ in range(self.count)]
        self.members = [
            {
                "id": f"b{at}",
                "host_port": f"127.0.0.1:{port}",
                "locality": "a",
                "flavor": "m",
                "cell": 0,
                "phase": "active",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for at, port in enumerate(ports)
        ]
        self.roster = await self.serve(self.discovery)
        return self

    async def __aexit__(self, *_):
        for process, _ in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for server in self.servers:
            server.close()
        self.sock.close()

    async def serve(self, answer):
        self.servers.append(await asyncio.start_server(answer, "127.0.0.1", 0))
        return self.servers[-1].sockets[0].getsockname()[1]

    async def backend(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET /status"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(REPORT), REPORT))
                    continue
                size = LONG if b"/long" in head[:40] else 64
                writer.write(b"HTTP/1.1 200 OK\r\nX-Load-Report: %b\r\nContent-Length: %d\r\n\r\n" % (REPORT, size))
                for at in range(0, size, 65536):
                    writer.write(b"x" * min(65536, size - at))
                    await writer.drain()
        writer.close()

    async def discovery(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        text = json.dumps({"revision": 1, "complete": True, "members": self.members}).encode()
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\n\r\n" % (len(text) + 1, text))
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while not writer.is_closing():
                await asyncio.sleep(1.0)
                writer.write(b"1\r\n\n\r\n")

    async def start(self):
        """A daemon that serves; its process and its operators' port."""
        self.made += 1
        with socket.create_server(("127.0.0.1", 0)) as free:
            ops = free.getsockname()[1]
        path = f"{self.folder}/config{self.made}.json"
        with open(path, "w") as file:
            json.dump(
                platform.instance_config(
                    "n0",
                    ("127.0.0.1", self.port),
                    ("127.0.0.1", self.roster),
                    settings(Plan(((1.0, 1.0),)), 0, 1),
                    seed=self.made,
                    max_sockets=self.sockets,
                    memory_mb=self.memory,
                    admin=("127.0.0.1", ops),
                ),
                file,
            )
        process = processes.start(path, fds=[self.sock.fileno()], TMPDIR=self.folder, BALANCER_LISTEN_FD=str(self.sock.fileno()))
        self.processes.append((process, ops))
        until = monotonic() + READY
        while monotonic() < until:
            if b" 200 " in await self.call(ops):
                return process, ops
            await asyncio.sleep(0.02)
        raise LoadPlanError(f"a daemon was not ready in {READY:.0f} s")

    async def call(self, ops, name=b"GET /admin/health"):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", ops)
            writer.write(name + b" HTTP/1.1\r\n\r\n")
            said = await reader.read()
            writer.close()
            return said
        except OSError:
            return b""


class Clients:
    """Closed-loop clients that keep connections; what became of each request."""

    def __init__(self, yard, count, pause=0.0):
        self.yard, self.count, self.pause, self.over = yard, count, pause, False
        self.ends, self.number = [], 0  # (when, how, ms)

    async def __aenter__(self):
        self.tasks = [asyncio.get_running_loop().create_task(self.one()) for _ in range(self.count)]
        return self

    async def __aexit__(self, *_):
        self.over = True
        await asyncio.gather(*self.tasks)

    async def one(self):
        connection, kept = None, False
        while not self.over:
            self.number += 1
            began, number = monotonic(), self.number
            try:
                if connection is None:
                    connection, kept = await asyncio.open_connection("127.0.0.1", self.yard.port), False
                reader, writer = connection
                writer.write(
                    b"GET /small HTTP/1.1\r\nHost: x\r\nX-Call-Id: s%x\r\nX-Call-Class: pull\r\nX-Caller: grid-ops\r\n"
                    b"X-Budget-Ms: 400\r\n\r\n" % number
                )
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(re.search(rb"(?i)content-length: (\d+)", head)[1]))
                how, kept = head.split()[1].decode(), True
                if b"connection: close" in head.lower():
                    writer.close()
                    connection = None
            except (OSError, asyncio.IncompleteReadError):
                how = "crossed" if kept else "turned back"  # a kept connection that ended: asked once more
                connection = None
            self.ends.append((monotonic(), how, 1000 * (monotonic() - began)))
            if self.pause:
                await asyncio.sleep(self.pause)

    def figures(self, since=0.0, until=1e18):
        ends = [(how, took) for at, how, took in self.ends if since <= at < until]
        served = sorted(took for how, took in ends if how == "200")
        counts = {how: sum(one == how for one, _ in ends) for how in sorted({how for how, _ in ends})}
        return counts, served and statistics.median(served), served and served[int(len(served) * 0.99)]


async def calls(folder, count=1000, silent=200, clients=256):
    """Operators' calls beside silent callers, at a daemon that has far more to do than it can."""
    async with Yard(folder) as yard:
        process, ops = await yard.start()
        async with Clients(yard, clients):
            await asyncio.sleep(1.0)
            mute, took, wrong = [], [], 0
            for at in range(count):
                if at % 5 == 0 and len(mute) < silent:
                    mute.append(await asyncio.open_connection("127.0.0.1", ops))
                    if at % 10 == 0:
                        mute[-1][1].write(b"GET /admin/hea")
                began = monotonic()
                wrong += b" 200 " not in await yard.call(ops)
                took.append(1000 * (monotonic() - began))
            for _, writer in mute:
                writer.close()
    return {"calls": count, "wrong": wrong, "median_ms": statistics.median(took), "worst_ms": max(took)}


async def handovers(folder, rounds=20, clients=40, pause=0.05):
    """One process replaced by the next, again and again, under steady load."""
    async with Yard(folder) as yard:
        process, _ = await yard.start()
        async with Clients(yard, clients, pause) as load:
            await asyncio.sleep(3.0)
            calm, ready, ends, after = load.figures(monotonic() - 2.0), [], [], []
            for _ in range(rounds):
                began = monotonic()
                other, _ = await yard.start()
                ready.append(monotonic() - began)
                process.terminate()
                changed = monotonic()
                while process.poll() is None:
                    await asyncio.sleep(0.02)
                ends.append(monotonic() - changed)
                await asyncio.sleep(max(0.0, changed + 1.0 - monotonic()))
                after.append(load.figures(changed, changed + 1.0))
                process = other
            counts = load.figures()[0]
    return {
        "rounds": rounds,
        "ready_s": max(ready),
        "left_s": max(ends),
        "ends": counts,
        "p99_before_ms": calm[2],
        "p99_first_second_ms": max(p99 for _, _, p99 in after),
        "median_before_ms": calm[1],
        "median_first_second_ms": max(middle for _, middle, _ in after),
    }


async def long_answers(folder, count=64, seconds=12.0):
    """Answers of 32 MB read at 64 kB a second each, beside small txns."""
    async with Yard(folder) as yard:
        process, _ = await yard.start()
        async with Clients(yard, 20, 0.05) as load:
            await asyncio.sleep(2.0)
            before, begun = load.figures(monotonic() - 1.5), monotonic()
            got = await asyncio.gather(*(slowly(yard, at, seconds) for at in range(count)))
            beside, peak = load.figures(begun), memory_mb(process.pid, "VmHWM")
    return {
        "answers": count,
        "least_bytes": min(got),
        "most_bytes": max(got),
        "peak_mb": peak,
        "p99_before_ms": before[2],
        "p99_beside_ms": beside[2],
        "ends_beside": beside[0],
    }


async def slowly(yard, number, seconds):
    reader, writer = await asyncio.open_connection("127.0.0.1", yard.port, limit=SLOW)
    writer.write(
        b"GET /long HTTP/1.1\r\nHost: x\r\nX-Call-Id: l%x\r\nX-Call-Class: pull\r\nX-Caller: grid-ops\r\n"
        b"X-Budget-Ms: 400\r\n\r\n" % number
    )
    got, until = 0, monotonic() + seconds
    while monotonic() < until and (data := await reader.read(SLOW // 4)):
        got += len(data)
        await asyncio.sleep(0.25)
    writer.transport.abort()
    return got


async def waiting(folder, count=400):
    """What a connection costs that says nothing, or half a head: resident bytes of the daemon, and descriptors."""
    async with Yard(folder) as yard:
        process, _ = await yard.start()
        async with Clients(yard, 4, 0.01):
            await asyncio.sleep(1.0)
        said = {}
        for name, text in (("silent", b""), ("half", b"GET /small HTTP/1.1\r\nHost: x\r\nX-Call-Id: ")):
            before, held = (memory_mb(process.pid), len(os.listdir(f"/proc/{process.pid}/fd"))), []
            for _ in range(count):
                held.append(await asyncio.open_connection("127.0.0.1", yard.port))
                held[-1][1].write(text)
            await asyncio.sleep(0.5)
            said[name] = {
                "bytes": (memory_mb(process.pid) - before[0]) * (1 << 20) / count,
                "descriptors": (len(os.listdir(f"/proc/{process.pid}/fd")) - before[1]) / count,
            }
            for _, writer in held:
                writer.transport.abort()
            await asyncio.sleep(0.5)
    return said


PARTS = {"calls": calls, "handovers": handovers, "long-answers": long_answers, "waiting": waiting}


def measure(name):
    """One part's figures, as a map."""
    with tempfile.TemporaryDirectory(prefix="sloeferry-day-") as folder:
        return asyncio.run(PARTS[name](folder))
