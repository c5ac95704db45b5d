"""System calls that fail for a moment: what was taken on is still answered, and nothing is blamed for it that is not."""

import errno
import types
from unittest import mock

from sloeferry.network import sockets
from sloeferry.network.discovery_watch import DiscoveryWatch, PollPhase
from sloeferry.policy.endpoint_staleness import PollEnd
from tests.test_crossings import Crossing, Opened
from tests.trace import answer, play


class Connect(Crossing):
    def test_no_connection_can_be_made(self):
        """Connect fails on this machine for a while: the request is served all the same, and its backend not blamed."""

        async def story(h):
            dial, failing = sockets.connect, [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EINTR]

            async def dialled(*what):
                if failing:
                    raise OSError(failing.pop(), "no")
                return await dial(*what)

            with mock.patch("sloeferry.network.sockets.connect", dialled):
                await h.call("once")
            h.say(
                f"left to fail: {failing}; failures held against it: {h.dispatcher.policy.table.by_id['b'].consecutive_failures}"
            )

        play(self, story, "system_connect", Opened({"b": answer()}))

    def test_none_for_long(self):
        """It goes on failing: the request is refused by half of its time."""

        async def story(h):
            async def dialled(*what):
                raise OSError(errno.EADDRNOTAVAIL, "no")

            with mock.patch("sloeferry.network.sockets.connect", dialled):
                await h.call("once")

        play(self, story, "system_connect_long", Opened({"b": answer()}, expiry=400))

    def test_whose_fault_it_is(self):
        """What connect(2) says of the other side, or of the way to it, is no want of this machine's."""
        for number in (errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET):
            self.assertNotIn(number, sockets.LOCAL_CONNECT_ERRORS)
        watch = DiscoveryWatch(types.SimpleNamespace(loop=None), 1)
        now = watch.began_at + 10.0
        self.assertEqual(watch.poll_end(now, 2500.0), PollEnd.NOT_MADE)
        watch.phase = PollPhase.DIALED
        self.assertEqual(watch.poll_end(now, 2500.0), PollEnd.UNREACHABLE)
