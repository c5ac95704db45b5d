"""A response body that is forwarded while it is received, as messages and replies know it."""

from collections.abc import Awaitable, Callable
from typing import Protocol


class StreamedBody(Protocol):
    """The rest of a response body; it holds the backend connection until its end."""

    endpoint_id: str
    forwarded_bytes: int

    def framing(self, is_http10: bool) -> list[bytes]:
        """Return the header lines for its framing; none if it ends with the connection."""

    async def forward(self, send: Callable[[bytes], Awaitable[None]], is_http10: bool) -> None:
        """Send the whole body; raise BodyInterruptedError if the backend connection fails."""

    def has_stalled(self, now: float) -> bool:
        """Return whether the backend has sent nothing for too long; `now` is in seconds."""

    def close(self) -> None:
        """Discard the rest and close the backend connection."""
