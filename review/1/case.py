"""A second copy of an answer comes some milliseconds late, and a probe is on its way on that connection."""

import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.stand_ins import site
from review.stand_ins.backend import Backend, Connection, Request, response
from review.stand_ins.client import KeptConnections, new_id, request_bytes
from review.stand_ins.discovery import Discovery, entry
from review.stand_ins.testbed import Testbed, has_trouble, play

SECONDS = 90.0
REQUESTS_PER_SECOND = 120.0
ZONES = ("curitiba",) * 2 + ("porto-alegre",) * 6  # of the backends; the proxy is in the first
SPEEDS = {"curitiba": 0.7, "porto-alegre": 1.2}  # of a core: the kind antiga, and rapida
CLASSES = {  # share, deadline in ms, work in seconds
    "linha-ativa": (0.38, 1000, (0.048, 0.087)),
    "lote-atual": (0.31, 1000, (0.054, 0.097)),
    "reanalise": (0.22, 2000, (0.079, 0.140)),
    "auditoria": (0.09, 4000, (0.081, 0.150)),
}
PROBE_SECONDS = 0.00026, 0.00042
SAME_ZONE_SECONDS, CROSS_ZONE_SECONDS = 0.00025, 0.017  # one way; the site has 0.15 to 0.33 ms and 9.5 to 18 ms
SECOND_COPY_SHARE = 0.6
SECOND_COPY_SECONDS = 0.002, 0.0038  # some milliseconds after the answer
LONGEST_SECOND_COPY_SECONDS = 0.004  # one that would be later is left out


class CopyingConnection(Connection):
    """Sends some answers a second time, if nothing else waits on the connection then."""

    def complete(self, request: Request) -> None:
        """Answer, and plan the second copy."""
        data = response(self.body_for(request))
        self.answer(request, data)
        if has_trouble() and random.random() < SECOND_COPY_SHARE:
            self.loop.call_later(random.uniform(*SECOND_COPY_SECONDS), self._send_again, request, data, self.loop.time())

    def _send_again(self, request: Request, data: bytes, answered_at: float) -> None:
        late = self.loop.time() - answered_at
        if self.has_nothing_waiting() and late <= LONGEST_SECOND_COPY_SECONDS:
            self.backend.bed.note(f"{self.backend.name} sends the answer to {request.call_id} again, {late * 1000:.1f} ms late")
            self.send(data)


def work_seconds(request: Request) -> float:
    """Return the work of a request on a core of speed 1."""
    return random.uniform(*CLASSES[request.headers["x-call-class"]][2])


async def case(bed: Testbed) -> list[str]:
    """Return the requests that were answered 200 with what no backend made for them."""
    backends = {}
    for index, zone in enumerate(ZONES):
        backend = Backend(
            f"verificador-{index}",
            bed,
            lambda request, speed=SPEEDS[zone]: work_seconds(request) / speed,
            lambda: random.uniform(*PROBE_SECONDS),
            link_seconds=SAME_ZONE_SECONDS if zone == ZONES[0] else CROSS_ZONE_SECONDS,
            connection_class=CopyingConnection,
        )
        await backend.start()
        backends[backend.name] = backend, zone
    discovery = Discovery(
        [
            entry(name, backend.address, zone, "antiga" if zone == ZONES[0] else "rapida")
            for name, (backend, zone) in backends.items()
        ]
    )
    await discovery.start()
    address, _ = await bed.start_proxy("n1", site.curitiba(instances=10), discovery.address)
    clients = KeptConnections(address)
    breaks: list[str] = []
    counts: dict[int, int] = {}

    async def ask() -> None:
        call_id = new_id()
        bed.note(f"client sends {call_id}")
        class_name = random.choices(list(CLASSES), [share for share, _, _ in CLASSES.values()])[0]
        deadline_ms = CLASSES[class_name][1]
        answer = await clients.ask(request_bytes(call_id, class_name, deadline_ms), deadline_ms / 1000 + 0.5)
        status = answer.status if answer else 0
        counts[status] = counts.get(status, 0) + 1
        bed.note(f"client got {call_id}: {answer.status if answer else 'nothing'} {answer.body if answer else b''!r}")
        if answer and status == 200 and not answer.body.startswith(f"answer to {call_id} by ".encode()):
            breaks.append(f"{call_id} was answered with {answer.body!r}")

    await clients.run_open_loop(ask, REQUESTS_PER_SECOND, SECONDS)
    bed.note(f"answers by status: {counts}")
    bed.note(f"runs: { {name: len(backend.runs) for name, (backend, _) in backends.items()} }")
    return breaks


if __name__ == "__main__":
    play(pathlib.Path(__file__).parent, case)
