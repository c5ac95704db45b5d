"""How fast a peer reads or writes a body, and where it pauses or stops."""

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class Pace:
    """An even pace with one pause.

    `pause_after_bytes`: after so many bytes the peer pauses once, for `pause_seconds`; for ever by default.
    """

    bytes_per_second: float = inf
    pause_after_bytes: float = inf
    pause_seconds: float = inf

    def seconds_until(self, byte_count: int) -> float:
        """Return after which time since the begin of a body more than `byte_count` bytes may be moved; inf: never."""
        pause_seconds = self.pause_seconds if byte_count >= self.pause_after_bytes else 0.0
        return byte_count / self.bytes_per_second + pause_seconds


FULL_SPEED = Pace()
