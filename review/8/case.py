"""Bodies of 60,000 bytes in chunks of 4 bytes fill the proxy's memory; the platform kills it."""

import asyncio
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
    request_head,
    run_case,
    settings,
)

MEMORY_MB, SOCKETS = 192, 1024  # the most that the deployment page gives on the days that are scored
UPLOADS = 240  # clients hold a third of the descriptors at most
BODY_BYTES = 60_000
PIECE_BYTES, USUAL_PIECE_BYTES = 4, 4000
BODY_BYTES_PER_SECOND = 64_000
DEADLINE_MS = 800
WATCH_SECONDS = 12.0  # from the first upload on


async def upload(record: Record, proxy: Proxy, number: int, piece_bytes: int, counts: dict[str, int]) -> None:
    """Send one request whose body comes in chunks of that size, at 64 kB a second, and count its answer by status."""
    head = request_head(f"up{number}", "push", DEADLINE_MS, f"key{number}").replace(
        b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n"
    )
    chunks = b"%x\r\n%b\r\n" % (piece_bytes, b"m" * piece_bytes) * (BODY_BYTES // piece_bytes)
    slices = 20
    at_once = len(chunks) // slices + 1
    status = "closed"
    try:
        reader, writer = await proxy.connect()
        writer.write(head)
        for at in range(0, len(chunks), at_once):
            writer.write(chunks[at : at + at_once])
            await writer.drain()
            await asyncio.sleep(BODY_BYTES / BODY_BYTES_PER_SECOND / slices)
        writer.write(b"0\r\n\r\n")
        first, headers = await asyncio.wait_for(read_head(reader), 5.0)
        await read_body(reader, headers)
        status = first.split()[1]
        writer.close()
    except TimeoutError:
        status = "none"
    except (OSError, EOFError):
        pass
    counts[status] = counts.get(status, 0) + 1


async def ask_on(record: Record, proxy: Proxy, name: str, until: float, counts: dict[str, int]) -> None:
    """Send small requests one after the other."""
    client, number = Client(record, proxy), 0
    while time.monotonic() < until and proxy.process.returncode is None:
        number += 1
        status, _ = await client.ask(f"{name}-{number}", "pull", DEADLINE_MS)
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.2)
    client.close()


async def watch_memory(record: Record, proxy: Proxy, until: float) -> bool:
    """Do what the platform does: kill the proxy once it is over its memory limit; return whether that happened."""
    most = 0.0
    while time.monotonic() < until and proxy.process.returncode is None:
        memory_mb = proxy.memory_mb()
        if memory_mb > most + 10:
            most = memory_mb
            record.line(f"proxy holds {memory_mb:.0f} MB")
        if memory_mb > MEMORY_MB:
            record.line(f"platform kills the proxy: {memory_mb:.0f} MB, limit {MEMORY_MB} MB")
            proxy.process.kill()
            await proxy.process.wait()
            return True
        await asyncio.sleep(0.02)
    record.line(f"most that the proxy held: {most:.0f} MB or up to 10 MB more")
    return proxy.process.returncode is not None


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case."""
    discovery = Discovery(record)
    await discovery.start()
    backends = [Backend(record, f"b{number}") for number in range(4)]
    for backend in backends:
        await backend.start()
        discovery.add(backend.name, backend.address)
    classes = [request_class("pull", "retryable"), request_class("push", "dedup")]
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    proxy = Proxy(record, discovery, settings(classes), limits=limits)
    try:
        await proxy.start()
        await proxy.until_ready()
        piece_bytes = PIECE_BYTES if has_trouble else USUAL_PIECE_BYTES
        record.line(
            f"{UPLOADS} clients send {BODY_BYTES} bytes each in chunks of {piece_bytes}, {BODY_BYTES_PER_SECOND} a second"
        )
        until = time.monotonic() + WATCH_SECONDS
        uploads: dict[str, int] = {}
        asked: dict[str, int] = {}
        is_killed, *_ = await asyncio.gather(
            watch_memory(record, proxy, until),
            *[ask_on(record, proxy, f"c{number}", until, asked) for number in range(4)],
            *[upload(record, proxy, number, piece_bytes, uploads) for number in range(UPLOADS)],
        )
        record.line(f"answers to uploads by status: {uploads}; to small requests: {asked}")
        return BROKEN if is_killed else HELD
    finally:
        await proxy.stop()


if __name__ == "__main__":
    sys.exit(run_case(play))
