"""Receive buffers of one size, used again."""

BUFFER_BYTES = 16384
MAX_FREE_BUFFERS = 256


class BufferPool:
    """The buffers that nobody uses now."""

    def __init__(self):
        self._free: list[bytearray] = []

    def acquire(self) -> bytearray:
        """A buffer, for the caller alone until it is given back."""
        return self._free.pop() if self._free else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Nobody uses that buffer any more."""
        if len(self._free) < MAX_FREE_BUFFERS:
            self._free.append(buffer)
