"""Some answers are over 64 KiB, in chunks, and their backends write them slowly and to the end."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.stand_ins import site
from review.stand_ins.backend import Backend, Connection, Request
from review.stand_ins.client import KeptConnections, new_id, request_bytes
from review.stand_ins.discovery import Discovery, entry
from review.stand_ins.testbed import Testbed, has_trouble, play

SECONDS = 30.0
REQUESTS_PER_SECOND = 20.0
LONG_EVERY = 10  # requests, of which one has a long answer
BUDGET_MS = 800  # the deadline of the class
BACKENDS = 12
FIRST_BYTE_SECONDS = 0.073, 0.109  # the work of a pull
PIECE_BYTES, PIECES = 2048, 80  # 160 KiB
PIECE_SECONDS = PIECE_BYTES / 65536 if has_trouble() else 0.0  # 64 KiB a second
CLIENT_SECONDS = 15.0  # how long a client goes on reading; a whole answer takes under 3 s


class SlowConnection(Connection):
    """Writes an answer piece by piece, each as one chunk, in even steps and without a pause."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        super().connection_made(transport)
        self.is_lost = False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the proxy has closed the connection."""
        self.is_lost = True

    def complete(self, request: Request) -> None:
        """Answer a request that has run."""
        if int(request.call_id, 16) % LONG_EVERY:
            super().complete(request)
            return
        self.task = self.loop.create_task(self._answer_slowly(request))

    async def _answer_slowly(self, request: Request) -> None:
        note = self.backend.bed.note
        began_at = time.monotonic()
        self.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        note(f"{self.backend.name} begins to answer {request.call_id}")
        for at in range(PIECES):
            self.send(b"%x\r\n%b\r\n" % (PIECE_BYTES, piece(request.call_id)))
            await asyncio.sleep(max(0.0, began_at + (at + 1) * PIECE_SECONDS - time.monotonic()))
            if self.is_lost:
                note(f"{self.backend.name} was cut off after {at + 1} of {PIECES} pieces for {request.call_id}")
                CUT_OFF.add(request.call_id)
                return
        self.answer(request, b"0\r\n\r\n")
        note(f"{self.backend.name} has answered {request.call_id}")


CUT_OFF: set[str] = set()


def piece(call_id: str) -> bytes:
    """Return one piece of the answer to a request."""
    return call_id.encode() * (PIECE_BYTES // len(call_id))


async def case(bed: Testbed) -> list[str]:
    """Return the requests whose answer was cut off although their backend still gave it."""
    backends = [
        Backend(f"node-{index}", bed, lambda _: random.uniform(*FIRST_BYTE_SECONDS), connection_class=SlowConnection)
        for index in range(BACKENDS)
    ]
    for backend in backends:
        await backend.start()
    discovery = Discovery([entry(each.name, each.address, "north-bend", "small-a") for each in backends])
    await discovery.start()
    address, _ = await bed.start_proxy("n1", site.cascade(instances=4), discovery.address)
    clients = KeptConnections(address)
    failed: dict[str, str] = {}

    async def ask() -> None:
        call_id = new_id()
        bed.note(f"client sends {call_id}")
        sent_at = time.monotonic()
        answer = await clients.ask(request_bytes(call_id, "pull", BUDGET_MS), CLIENT_SECONDS)
        took = time.monotonic() - sent_at
        seen = f"{answer.status} with {len(answer.body)} bytes" if answer else "no whole answer"
        bed.note(f"client got {call_id}: {seen} after {took:.3f} s")
        if answer is None or answer.status != 200:
            failed[call_id] = f"{seen} after {took:.3f} s"

    await clients.run_open_loop(ask, REQUESTS_PER_SECOND, SECONDS)
    await asyncio.sleep(1.0)  # the backends notice the end of their connections a little later
    return [
        f"{call_id}: cut off while its backend still gave the answer; its client got {seen}"
        for call_id, seen in failed.items()
        if call_id in CUT_OFF
    ]


if __name__ == "__main__":
    play(pathlib.Path(__file__).parent, case)
