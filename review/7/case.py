"""A hedged request whose slow answer brings an unreadable load report shifts all later answers on its client's connection."""

import asyncio
import random
import sys
import time

from stand_ins import (
    BROKEN,
    HELD,
    Backend,
    Client,
    Discovery,
    Proxy,
    Record,
    read_body,
    read_head,
    request_class,
    response,
    run_case,
    settings,
)

BACKENDS, CLIENTS = 4, 6
BEFORE_SECONDS, TROUBLE_SECONDS = 3.0, 60.0
STALL_SECONDS = 0.28  # the page: 80 to 290 ms
PAUSE_SECONDS = 0.6  # between two stalls, each of one backend in turn: each stands still every 3.5 s
AFTER_STALL_SECONDS = 0.02
DEADLINE_MS = 800
UNREADABLE_REPORT = '{"inflight":%s,"queue":0,"util":0.5}' % ("9" * 400)


class Stalling(Backend):
    """A backend that stands still at times, and then answers with a load report that can't be read."""

    def __init__(self, record: Record, name: str):
        super().__init__(record, name)
        self._goes_on = asyncio.Event()
        self._goes_on.set()
        self._has_stalled = False

    async def stall(self) -> None:
        """Stand still; what was held meanwhile is answered with an unreadable load report."""
        self.record.line(f"{self.name} stands still")
        self._goes_on.clear()
        self._has_stalled = True
        await asyncio.sleep(STALL_SECONDS)
        self._goes_on.set()
        self.record.line(f"{self.name} goes on")
        await asyncio.sleep(AFTER_STALL_SECONDS)
        self._has_stalled = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve requests and probes until the connection ends."""
        while True:
            first, headers = await read_head(reader)
            await read_body(reader, headers)
            await self._goes_on.wait()
            if first.split()[1] in ("/health", "/status/load"):
                writer.write(response(200, self.report().encode()))
                continue
            request_id = headers.get("x-call-id", "")
            self.inflight += 1
            await asyncio.sleep(self.work_seconds)
            await self._goes_on.wait()
            self.inflight -= 1
            self.record.line(f"{self.name} ran and answers {request_id}{', unreadable load report' if self._has_stalled else ''}")
            report = UNREADABLE_REPORT if self._has_stalled else self.report()
            writer.write(response(200, self.body_for(request_id), f"X-Load-Report: {report}"))


async def ask_on(record: Record, proxy: Proxy, name: str, until: float, counts: dict[str, int]) -> None:
    """Send requests one after the other on one connection, and count the answers by status, and the wrong ones."""
    client, number = Client(record, proxy), 0
    while time.monotonic() < until:
        number += 1
        request_id = f"{name}-{number}"
        status, answer = await client.ask(request_id, "pull", DEADLINE_MS)
        if status == "200" and answer != f"made for {request_id}".encode():
            status = "wrong"
            record.line(f"WRONG: {request_id} got {answer!r}")
        counts[status] = counts.get(status, 0) + 1
    client.close()


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case."""
    discovery = Discovery(record)
    await discovery.start()
    backends = [Stalling(record, f"b{number}") for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
        discovery.add(backend.name, backend.address)
    proxy = Proxy(record, discovery, settings([request_class("pull", "retryable"), request_class("push", "dedup")]))
    counts: dict[str, int] = {}
    try:
        await proxy.start()
        await proxy.until_ready()
        until = time.monotonic() + BEFORE_SECONDS + TROUBLE_SECONDS
        clients = [asyncio.create_task(ask_on(record, proxy, f"c{number}", until, counts)) for number in range(CLIENTS)]
        await asyncio.sleep(BEFORE_SECONDS)
        turns = random.Random(3)
        while has_trouble and time.monotonic() < until - 1.0:
            await turns.choice(backends).stall()
            await asyncio.sleep(PAUSE_SECONDS)
        await asyncio.gather(*clients)
        record.line(f"answers by status, and answers with what was made for another request ('wrong'): {counts}")
        return BROKEN if counts.get("wrong") else HELD
    finally:
        await proxy.stop()


if __name__ == "__main__":
    sys.exit(run_case(play))
