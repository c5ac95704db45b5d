"""Serves the bench on standard input and output: `python -m sloeferry.bench_adapter`."""

import sys
from typing import BinaryIO

from sloeferry.bench_adapter import protocol
from sloeferry.bench_adapter.adapter import Adapter
from sloeferry.bench_adapter.protocol import ProtocolError


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each frame of `source` until it ends; raise ProtocolError on malformed input."""
    adapter = Adapter()
    length_bytes = protocol.UINT32.size
    while length_field := source.read(length_bytes):
        if len(length_field) < length_bytes:
            raise ProtocolError(f"input ends {len(length_field)} bytes into a frame's length")
        size = protocol.UINT32.unpack(length_field)[0]
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
