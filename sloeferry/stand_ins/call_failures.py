"""The ways in which calls to stand-in discovery can be made to fail.

They are the failures that the platform's protocol allows: a 503, a reset, a refused connection, a watch that sends nothing,
and a truncated response.
"""

import asyncio
import enum

from sloeferry.stand_ins.http_messages import make_response

LATE_REFUSAL_SECONDS = 1.0  # delay of the 503


class CallFailure(enum.Enum):
    """The way in which each call of a proxy fails; the values are those of plan files."""

    REFUSED = "refused"  # 503 at once, as from an overloaded discovery
    LATE_REFUSED = "late-refused"  # 503 after a delay, as while discovery is down
    RESET = "reset"  # accepted, then reset
    SILENT = "silent"  # accepted, but not answered
    TRUNCATED = "half"  # a truncated list, then the connection is closed
    UNREACHABLE = "unreachable"  # connections are refused

    @property
    def is_reachable(self) -> bool:
        """Return whether the delay `deemed_s`, after which a proxy counts as notified, also runs while calls fail this way."""
        return self not in (CallFailure.LATE_REFUSED, CallFailure.UNREACHABLE)


TRUNCATED_LIST_RESPONSE = (
    b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n" + b'{"revision": 1, "members": [{"id"'[:32] + b"\r\n"
)


def inject_failure(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport, failure: CallFailure) -> None:
    """Make a call whose request has been received fail; a silent failure does nothing."""
    if failure is CallFailure.REFUSED:
        transport.write(make_response(503))
        transport.close()
    elif failure is CallFailure.LATE_REFUSED:
        loop.call_later(LATE_REFUSAL_SECONDS, _send_late_refusal, transport)
    elif failure is CallFailure.TRUNCATED:
        transport.write(TRUNCATED_LIST_RESPONSE)
        transport.close()
    elif failure is not CallFailure.SILENT:
        transport.abort()


def _send_late_refusal(transport: asyncio.Transport) -> None:
    if not transport.is_closing():
        transport.write(make_response(503))
        transport.close()
