"""A crowd that never finishes its requests: true requests behind it are answered long after their time."""

import asyncio
import contextlib
import sys
import time

from stand_ins import (
    BROKEN,
    HELD,
    Backend,
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

MEMORY_MB, SOCKETS = 96, 512  # halved, as on the days with a crowd
CROWD, CROWD_PROCESSES = 1200, 2  # with what is accepted at once no more than the listen queue of 1,024 holds
HALF_REQUEST = b"POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: "
BEFORE_SECONDS, CROWD_SECONDS, AFTER_SECONDS = 2.0, 8.0, 2.0
DEADLINE_MS = 800
LATEST_SECONDS = 0.8 + 0.5 + 0.05  # its time, half a second, and the slack on sockets
WAIT_SECONDS = 4.0
TRUE_REQUESTS_PER_SECOND = 20


async def stay_half_done(port: int, ends: float) -> None:
    """Connect, send half a request, and stay until the proxy ends the connection."""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(HALF_REQUEST)
        async with asyncio.timeout(max(0.0, ends - time.monotonic())):
            await reader.read()
        writer.close()


async def crowd(port: int, count: int) -> None:
    """Be a part of the crowd."""
    ends = time.monotonic() + CROWD_SECONDS
    await asyncio.gather(*[stay_half_done(port, ends) for _ in range(count)])


async def ask(record: Record, proxy: Proxy, request_id: str, lost: list[str]) -> None:
    """Send a true request on a new connection; its time runs from its last byte."""
    status = "closed unread or reset"
    sent_at = time.monotonic()
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            reader, writer = await proxy.connect()
            sent_at = time.monotonic()
            writer.write(request_head(request_id, "pull", DEADLINE_MS))
            first, headers = await read_head(reader)
            await read_body(reader, headers)
            status = first.split()[1]
            writer.close()
    except TimeoutError:
        status = "none"
    except (OSError, EOFError):  # under a crowd a new connection may be shut unread
        pass
    took = time.monotonic() - sent_at
    is_lost = status == "none" or status.isdigit() and took > LATEST_SECONDS
    if is_lost:
        lost.append(request_id)
    record.line(f"client has {status} for {request_id} {took:.2f} s after its last byte{', LOST' if is_lost else ''}")


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
    lost: list[str] = []
    crowds = []
    try:
        await proxy.start()
        await proxy.until_ready()
        began, asked = time.monotonic(), []
        while (now := time.monotonic() - began) < BEFORE_SECONDS + CROWD_SECONDS + AFTER_SECONDS:
            if has_trouble and not crowds and now > BEFORE_SECONDS:
                record.line(f"a crowd of {CROWD} connects and sends half a request each")
                for _ in range(CROWD_PROCESSES):
                    arguments = (__file__, "crowd", str(proxy.port), str(CROWD // CROWD_PROCESSES))
                    crowds.append(await asyncio.create_subprocess_exec(sys.executable, *arguments))
            asked.append(asyncio.create_task(ask(record, proxy, f"q{len(asked)}", lost)))
            await asyncio.sleep(1 / TRUE_REQUESTS_PER_SECOND)
        await asyncio.gather(*asked)
        record.line(
            f"{len(lost)} of {len(asked)} requests were answered later than {LATEST_SECONDS} s, or never: {' '.join(lost)}"
        )
        return BROKEN if lost else HELD
    finally:
        for process in crowds:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        await proxy.stop()


if __name__ == "__main__":
    if sys.argv[1:2] == ["crowd"]:
        asyncio.run(crowd(int(sys.argv[2]), int(sys.argv[3])))
    else:
        sys.exit(run_case(play))
