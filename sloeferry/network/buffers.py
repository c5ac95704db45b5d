"""Receive buffers of one size, used again."""

BUFFER_BYTES = 16384
MAX_KEPT_BUFFERS = 256


class Buffers:
    """The buffers that nobody uses now."""

    def __init__(self):
        self._free: list[bytearray] = []

    def take(self) -> bytearray:
        """A buffer, for the caller alone until it is given back."""
        return self._free.pop() if self._free else bytearray(BUFFER_BYTES)

    def give(self, buffer: bytearray) -> None:
        """Nobody uses that buffer any more."""
        if len(self._free) < MAX_KEPT_BUFFERS:
            self._free.append(buffer)
