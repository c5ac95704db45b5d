"""A proxy is killed and comes back while discovery has too many callers, and a backend begins to drain."""

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

REQUESTS_PER_SECOND = 60.0  # of each proxy
BUDGET_MS = 800  # the deadline of the class
BACKENDS = 12
WORK_SECONDS = 0.02, 0.03
KILL_SECONDS, DRAIN_SECONDS, END_SECONDS = 4.0, 2.0, 22.0  # from the start; after the restart; from the start
TOLD_SECONDS = 6.0  # a change counts as told this long after discovery had it and could be reached
GRACE_SECONDS = 0.25 + 0.05  # drain_grace, and 50 ms for sockets
DRAINING = "node-0"


class NotingConnection(Connection):
    """Notes when the first byte of each request came."""

    def begin(self, request: Request) -> None:
        """Begin a request."""
        if request.call_id:
            ARRIVALS.append((self.first_byte_at, self.backend.name, request.call_id))
        super().begin(request)


ARRIVALS: list[tuple[float, str, str]] = []


async def case(bed: Testbed) -> list[str]:
    """Return the requests that went to the draining backend after the grace."""
    backends = [
        Backend(f"node-{index}", bed, lambda _: random.uniform(*WORK_SECONDS), connection_class=NotingConnection)
        for index in range(BACKENDS)
    ]
    for backend in backends:
        await backend.start()
    discovery = Discovery([entry(each.name, each.address, "north-bend", "small-a") for each in backends])
    await discovery.start()
    known = discovery.whole()
    address, process = await bed.start_proxy("n1", site.cascade(instances=4), discovery.address)
    other_address, _ = await bed.start_proxy("n2", site.cascade(instances=4, ordinal=1), discovery.address)
    senders: dict[str, str] = {}

    def clients_of(name: str, proxy: tuple[str, int]) -> asyncio.Task:
        clients = KeptConnections(proxy)

        async def ask() -> None:
            call_id = new_id()
            senders[call_id] = name
            bed.note(f"client of {name} sends {call_id}")
            answer = await clients.ask(request_bytes(call_id, "pull", BUDGET_MS), BUDGET_MS / 1000 + 0.5)
            bed.note(f"client of {name} got {call_id}: {answer.status if answer else 'nothing'}")

        return asyncio.create_task(clients.run_open_loop(ask, REQUESTS_PER_SECOND, END_SECONDS - bed.now()))

    others = clients_of("n2", other_address)
    await asyncio.sleep(KILL_SECONDS)
    bed.kill(process)
    bed.note("n1 is killed")
    discovery.is_crowded = has_trouble()
    await bed.start_proxy("n1", site.cascade(instances=4), discovery.address, known, address)
    own = clients_of("n1", address)
    await asyncio.sleep(DRAIN_SECONDS)
    changed_at = time.monotonic()
    await discovery.change(DRAINING, "leaving")
    bed.note(f"discovery has that {DRAINING} is leaving, and tells it on the open watch of n2")
    await asyncio.gather(own, others)
    bed.note(f"discovery turned away {discovery.failed_calls} calls of n1, each after {discovery.call_timeout_seconds} s")
    breaks = []
    for at, name, call_id in ARRIVALS:
        if name == DRAINING and at > changed_at:
            late = at - changed_at
            bed.note(f"{name} got {call_id} from {senders[call_id]} {late:.3f} s after the change")
            if late > TOLD_SECONDS + GRACE_SECONDS:
                breaks.append(f"{call_id} of {senders[call_id]} went to {name} {late:.3f} s after the change")
    return breaks


if __name__ == "__main__":
    play(pathlib.Path(__file__).parent, case)
