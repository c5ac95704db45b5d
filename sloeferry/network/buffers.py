"""Pools receive buffers of one size."""

BUFFER_BYTES = 16384
MAX_FREE_BUFFERS = 256


class BufferPool:
    """The free receive buffers."""

    def __init__(self):
        self._free: list[bytearray] = []

    def acquire(self) -> bytearray:
        """Return a buffer for exclusive use until it is released."""
        return self._free.pop() if self._free else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Return the buffer to the pool, or drop it if the pool is full."""
        if len(self._free) < MAX_FREE_BUFFERS:
            self._free.append(buffer)
