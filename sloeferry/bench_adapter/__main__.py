"""Serves the bench on standard input and output: python -m sloeferry.bench_adapter."""

import sys
from typing import BinaryIO

from sloeferry.bench_adapter import protocol
from sloeferry.bench_adapter.adapter import Adapter
from sloeferry.bench_adapter.protocol import ProtocolError


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers each frame of `source`, until it ends; raises ProtocolError."""
    adapter = Adapter()
    length_bytes = protocol.UINT32.size
    while head := source.read(length_bytes):
        if len(head) < length_bytes:
            raise ProtocolError(f"input ends {len(head)} bytes into a frame's length")
        size = protocol.UINT32.unpack(head)[0]
        body = source.read(size)
        if len(body) < size:
            raise ProtocolError(f"input ends {len(body)} bytes into a frame of {size}")
        sink.write(adapter.handle_frame(body))
        sink.flush()


if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ProtocolError as error:
        sys.exit(f"bench_adapter: {error}")
