"""Discovery comes back after an outage and has too many callers; a drain that it has by then is not acted on."""

import asyncio
import sys
import time

from stand_ins import (
    BROKEN,
    HELD,
    Backend,
    Client,
    CouldNotRunError,
    Discovery,
    Proxy,
    Record,
    request_class,
    response,
    run_case,
    settings,
)

BEFORE_SECONDS = 3.0
OUTAGE_SECONDS = 5.0  # the page: 8 s
DRAIN_AFTER_SECONDS = 0.2  # from the return of discovery
CALL_SECONDS = 1.0  # a call that has waited so long for its turn fails (`timeout_ms` of the site)
CROWD_SECONDS = 10.0  # from the return of discovery; then the test ends
TOLD_AFTER_SECONDS = 6.0  # at the latest, from when discovery has a change and can be reached
GRACE_SECONDS = 0.25 + 0.05  # of a drain, and the slack on sockets
DEADLINE_MS = 800
CLIENTS = 4


class CrowdedDiscovery(Discovery):
    """Discovery that works through calls in turn; while it is crowded, calls fail as they have waited too long."""

    is_crowded = False

    async def call(self, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a call, unless too many others are before it."""
        if not self.is_crowded:
            await super().call(path, reader, writer)
            return
        self.record.line(f"discovery takes the call {path}, others are before it")
        await asyncio.sleep(CALL_SECONDS)
        if not self.is_crowded:
            await super().call(path, reader, writer)
            return
        self.record.line(f"discovery ends the call {path}, which has waited {CALL_SECONDS} s, with 503")
        writer.write(response(503))

    def go_down(self) -> None:
        """End watches, refuse calls."""
        self.record.line("discovery goes down")
        self.stop_listening()
        self.reset_connections()

    async def come_back(self, is_crowded: bool) -> None:
        """Take calls again at the same address."""
        self.is_crowded = is_crowded
        await self.start(int(self.address.rpartition(":")[2]))
        self.record.line(f"discovery is back and takes calls{', with too many callers' if is_crowded else ''}")


async def ask_on(client: Client, name: str, until: float) -> None:
    """Send requests one after the other."""
    number = 0
    while time.monotonic() < until:
        number += 1
        await client.ask(f"{name}-{number}", "pull", DEADLINE_MS)
        await asyncio.sleep(0.05)
    client.close()


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case."""
    discovery = CrowdedDiscovery(record)
    await discovery.start()
    backends = [Backend(record, f"b{number}") for number in range(4)]
    for backend in backends:
        await backend.start()
        discovery.add(backend.name, backend.address)
    proxy = Proxy(record, discovery, settings([request_class("pull", "retryable"), request_class("push", "dedup")]))
    leaving = backends[0]
    try:
        await proxy.start()
        await proxy.until_ready()
        ends = time.monotonic() + BEFORE_SECONDS + OUTAGE_SECONDS + CROWD_SECONDS
        clients = [asyncio.create_task(ask_on(Client(record, proxy), f"c{number}", ends)) for number in range(CLIENTS)]
        await asyncio.sleep(BEFORE_SECONDS)
        if not leaving.ran:
            raise CouldNotRunError(f"{leaving.name} got no request before the outage")
        if has_trouble:
            discovery.go_down()
        await asyncio.sleep(OUTAGE_SECONDS)
        if has_trouble:
            await discovery.come_back(is_crowded=True)
        await asyncio.sleep(DRAIN_AFTER_SECONDS)
        discovery.set_phase(leaving.name, "leaving")
        told_at = time.monotonic() + TOLD_AFTER_SECONDS
        await asyncio.gather(*clients)
        last_at = told_at + GRACE_SECONDS
        late = [request_id for at, request_id in leaving.ran if at > last_at]
        last = max(at for at, _ in leaving.ran) - last_at
        record.line(f"told {TOLD_AFTER_SECONDS} s after discovery had the drain; requests may begin {GRACE_SECONDS} s more")
        record.line(
            f"{leaving.name} got {len(late)} requests after that, the last one {last:+.2f} s from it: {' '.join(late[:40])}"
        )
        return BROKEN if late else HELD
    finally:
        await proxy.stop()


if __name__ == "__main__":
    sys.exit(run_case(play))
