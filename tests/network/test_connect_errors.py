"""connect(2) that fails: what was taken on is still answered, and nothing is at fault for it that is not."""

import errno
import socket
import types
from typing import Any
from unittest import mock

import pytest

from sloeferry.network import sockets
from sloeferry.network.discovery_watch import DiscoveryWatch, PollPhase
from sloeferry.policy.endpoint_staleness import PollEnd
from tests.support.fake_backends import response
from tests.support.instrumented_harness import InstrumentedHarness
from tests.support.proxy_harness import PlayStory


def test_connect_fails_for_a_while(play_story: PlayStory):
    """connect(2) fails on this machine for a while.  The request is served all the same, and its backend is not at fault."""

    async def story(harness: InstrumentedHarness) -> None:
        connect = sockets.connect
        failing = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EINTR]

        async def connect_at_last(*arguments: Any) -> socket.socket | None:
            if failing:
                raise OSError(failing.pop(), "no")
            return await connect(*arguments)

        with mock.patch("sloeferry.network.sockets.connect", connect_at_last):
            await harness.request("once")
        failures = harness.dispatcher.policy.table.by_id["b"].consecutive_failures
        harness.record(f"left to fail: {failing}; failures held against it: {failures}")

    play_story(story, "system_connect", InstrumentedHarness({"b": response()}))


def test_connect_goes_on_failing(play_story: PlayStory):
    """connect(2) goes on failing.  The request is rejected by half of its time."""

    async def story(harness: InstrumentedHarness) -> None:
        with mock.patch("sloeferry.network.sockets.connect", side_effect=OSError(errno.EADDRNOTAVAIL, "no")):
            await harness.request("once")

    play_story(story, "system_connect_long", InstrumentedHarness({"b": response()}, deadline_ms=400))


@pytest.mark.parametrize("number", [errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_error_of_the_other_side(number: int):
    """What connect(2) says of the other side, or of the way to it, is no lack of this machine's."""
    assert number not in sockets.LOCAL_CONNECT_ERRORS


def test_poll_that_was_not_made():
    """A poll whose connection was not tried is no sign that discovery is out of reach; one that failed is."""
    watch = DiscoveryWatch(types.SimpleNamespace(loop=None), 1)
    now = watch.began_at + 10.0
    assert watch.poll_end(now, 2500.0) == PollEnd.NOT_SENT
    watch.phase = PollPhase.DIALED
    assert watch.poll_end(now, 2500.0) == PollEnd.UNREACHABLE
