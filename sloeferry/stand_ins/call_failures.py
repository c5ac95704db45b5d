"""The ways in which a call for the list of backends fails, as the stand-in discovery plays them.

The protocol names them: a call that fails ends with 503 or a reset, connections are refused, watches fall silent, and
answers may not come whole.
"""

import asyncio
import enum

from sloeferry.stand_ins.http_messages import make_response

LATE_REFUSAL_SECONDS = 1.0  # that a call waits in vain before discovery ends it


class CallFailure(enum.Enum):
    """How each call of a proxy ends.  The value is the word that plans use."""

    REFUSED = "refused"  # 503 at once: discovery is there, and has no time
    LATE_REFUSED = "late-refused"  # 503 after a wait, as while discovery is down
    RESET = "reset"  # let in, and reset
    SILENT = "silent"  # let in, and no answer
    HALF = "half"  # half a list, then the end
    UNREACHABLE = "unreachable"  # no connection comes up

    @property
    def is_reachable(self) -> bool:
        """Whether discovery counts as reachable meanwhile: if so, what it has to tell counts as told in time."""
        return self not in (CallFailure.LATE_REFUSED, CallFailure.UNREACHABLE)


HALF_A_LIST = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n" + b'{"revision": 1, "members": [{"id"'[:32] + b"\r\n"


def fail(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport, failure: CallFailure) -> None:
    """Ends a call whose request has come, or leaves it without an answer."""
    if failure is CallFailure.REFUSED:
        transport.write(make_response(503))
        transport.close()
    elif failure is CallFailure.LATE_REFUSED:
        loop.call_later(LATE_REFUSAL_SECONDS, _refuse_late, transport)
    elif failure is CallFailure.HALF:
        transport.write(HALF_A_LIST)
        transport.close()
    elif failure is not CallFailure.SILENT:
        transport.abort()


def _refuse_late(transport: asyncio.Transport) -> None:
    if not transport.is_closing():
        transport.write(make_response(503))
        transport.close()
