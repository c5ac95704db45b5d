"""Pools receive buffers of two sizes."""

BUFFER_BYTES = 16384  # for the rest of a body
SMALL_BUFFER_BYTES = 1024  # for a head: a connection holds it while it waits, and few pipelined requests fit into it
MAX_FREE_BYTES = 1 << 22


class BufferPool:
    """The free receive buffers."""

    def __init__(self, max_free_bytes: int = MAX_FREE_BYTES):
        self._max_free_bytes = max_free_bytes
        self._free_bytes = 0
        self._free: dict[int, list[bytearray]] = {BUFFER_BYTES: [], SMALL_BUFFER_BYTES: []}  # by size

    def acquire(self, size: int = BUFFER_BYTES) -> bytearray:
        """Return a buffer of one of the two sizes for exclusive use until it is released."""
        free = self._free[size]
        if not free:
            return bytearray(size)
        self._free_bytes -= size
        return free.pop()

    def release(self, buffer: bytearray) -> None:
        """Return the buffer to the pool, or drop it if the pool is full."""
        size = len(buffer)
        if self._free_bytes + size <= self._max_free_bytes:
            self._free_bytes += size
            self._free[size].append(buffer)
