"""A client that reads a long answer at 100 kB a second is cut off before its end."""

import asyncio
import contextlib
import socket
import sys
import time

from stand_ins import (
    BROKEN,
    HELD,
    Backend,
    CouldNotRunError,
    Discovery,
    Headers,
    Proxy,
    Record,
    request_class,
    request_head,
    run_case,
    settings,
)

ANSWER_BYTES = 5_000_000  # 32 MB at most by the page
READ_BYTES_PER_SECOND = 100_000  # above the 64 kB a second of the page
READS_PER_SECOND = 10
DEADLINE_MS = 800
HEAD_END = b"\r\n\r\n"


class LongAnswers(Backend):
    """A backend whose answers are long; it writes them as fast as they are taken."""

    def body_for(self, request_id: str) -> bytes:
        """Return a body that depends on the request in all of its length."""
        line = f"{request_id} layer\n".encode()
        return line * (ANSWER_BYTES // len(line))

    async def answer(self, request_id: str, headers: Headers, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Work, then write the whole answer."""
        await asyncio.sleep(self.work_seconds)
        answer = self.body_for(request_id)
        self.record.line(f"{self.name} ran {request_id} and begins its answer of {len(answer)} bytes")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer))
        for at in range(0, len(answer), 65536):
            writer.write(answer[at : at + 65536])
            await writer.drain()
        self.record.line(f"{self.name} has written all of the answer to {request_id}")


async def fetch(record: Record, proxy: Proxy, request_id: str, bytes_per_second: float) -> bytes:
    """Send a request, read its answer evenly at that rate, and return the body as far as it came."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", proxy.port))
        await loop.sock_sendall(sock, request_head(request_id, "pull", DEADLINE_MS))
        record.line(f"client sends {request_id}")
        received, length, began, next_line = bytearray(), None, time.monotonic(), 500_000
        with contextlib.suppress(OSError):
            while length is None or len(received) < length:
                data = await loop.sock_recv(sock, max(1, int(bytes_per_second / READS_PER_SECOND)))
                if not data:
                    record.line(f"client reads the end of the connection of {request_id}")
                    break
                received += data
                if length is None and HEAD_END in received:
                    head, _, _ = bytes(received).partition(HEAD_END)
                    lengths = [
                        int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")
                    ]
                    length = len(head) + len(HEAD_END) + (lengths[0] if lengths else 0)
                    record.line(f"client has the head of {request_id}: {head.splitlines()[0]!r}, {lengths}")
                if len(received) >= next_line:
                    record.line(f"client has read {len(received)} bytes of {request_id}")
                    next_line += 500_000
                await asyncio.sleep(began + len(received) / bytes_per_second - time.monotonic())
    record.line(f"client is done with {request_id}: {len(received)} of {length} bytes in {time.monotonic() - began:.1f} s")
    return bytes(received).partition(HEAD_END)[2]


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case."""
    discovery = Discovery(record)
    await discovery.start()
    backends = [LongAnswers(record, f"b{number}") for number in range(2)]
    for backend in backends:
        await backend.start()
        discovery.add(backend.name, backend.address)
    classes = [request_class("pull", "retryable"), request_class("push", "dedup")]
    proxy = Proxy(record, discovery, settings(classes))
    try:
        await proxy.start()
        await proxy.until_ready()
        quick = await fetch(record, proxy, "quick-1", 1e9)
        if quick != backends[0].body_for("quick-1"):
            raise CouldNotRunError("a client that reads at full speed does not get its answer")
        body = await fetch(record, proxy, "slow-1", READ_BYTES_PER_SECOND if has_trouble else 1e9)
        is_whole = body == backends[0].body_for("slow-1")
        record.line(
            f"the answer to slow-1 is {'whole' if is_whole else 'not whole'}, the proxy's exit: {proxy.process.returncode}"
        )
        return HELD if is_whole else BROKEN
    finally:
        await proxy.stop()


if __name__ == "__main__":
    sys.exit(run_case(play))
