"""Lists are pushed: a watch ends instead of telling a drain, and the proxy goes on sending while its next call waits."""

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
    run_case,
    settings,
)

BEFORE_SECONDS = 3.0
CALL_SECONDS = 1.5  # that a call waits for its turn
AFTER_SECONDS = 4.0
GRACE_SECONDS = 0.4 + 0.05  # of a drain at stock-accra, and the slack on sockets
DEADLINE_MS = 1000
CLIENTS = 4


class SlowDiscovery(Discovery):
    """Discovery that works through calls in turn, and ends watches instead of telling."""

    wait_seconds = 0.0

    async def call(self, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a call once its turn has come."""
        if self.wait_seconds:
            self.record.line(f"discovery takes the call {path}, others are before it")
            await asyncio.sleep(self.wait_seconds)
        await super().call(path, reader, writer)

    def end_watches(self) -> None:
        """End all watches in an orderly way."""
        for writer in list(self.streams):
            self.record.line("discovery ends a watch")
            writer.write(b"0\r\n\r\n")
            writer.close()


def stock_accra_settings() -> dict:
    """Return settings like those of stock-accra."""
    return settings(
        [request_class("shelf-view", "retryable", 800, 2500), request_class("count-set", "retryable", 400, 1000)],
        discovery="automatic",
        load_info={"via": "answers", "fields": ["inflight"]},
        limits={
            "cancel": True,
            "conn_idle": 30_000_000,
            "dial_timeout": 100_000,
            "most_postings": 5,
            "probing": False,
            "retry_after": True,
            "second_copies": True,
        },
        obligations={
            "cold": 19_000_000,
            "cold_from": 0.15,
            "drain_grace": 400_000,
            "fall": 1_000_000,
            "fall_multiple": 3.0,
            "must_ask_in": 10_000_000,
        },
    )


async def ask_on(client: Client, name: str, until: float) -> None:
    """Send requests one after the other."""
    number = 0
    while time.monotonic() < until:
        number += 1
        await client.ask(f"{name}-{number}", "count-set", DEADLINE_MS)
        await asyncio.sleep(0.03)
    client.close()


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case."""
    discovery = SlowDiscovery(record)
    await discovery.start()
    backends = [Backend(record, f"b{number}") for number in range(4)]
    for backend in backends:
        await backend.start()
        discovery.add(backend.name, backend.address)
    proxy = Proxy(record, discovery, stock_accra_settings())
    leaving = backends[0]
    try:
        await proxy.start()
        await proxy.until_ready()
        ends = time.monotonic() + BEFORE_SECONDS + AFTER_SECONDS
        clients = [asyncio.create_task(ask_on(Client(record, proxy), f"c{number}", ends)) for number in range(CLIENTS)]
        await asyncio.sleep(BEFORE_SECONDS)
        if not leaving.ran:
            raise CouldNotRunError(f"{leaving.name} got no request before the drain")
        if has_trouble:
            discovery.wait_seconds = CALL_SECONDS
            discovery.end_watches()
        discovery.set_phase(leaving.name, "leaving")
        last_at = time.monotonic() + GRACE_SECONDS
        await asyncio.gather(*clients)
        late = [request_id for at, request_id in leaving.ran if at > last_at]
        last = max(at for at, _ in leaving.ran) - last_at
        record.line(f"requests to {leaving.name} may begin for {GRACE_SECONDS} s after discovery's agent has the drain")
        record.line(
            f"{leaving.name} got {len(late)} requests after that, the last one {last:+.2f} s from it: {' '.join(late[:40])}"
        )
        return BROKEN if late else HELD
    finally:
        await proxy.stop()


if __name__ == "__main__":
    sys.exit(run_case(play))
