"""Errors of connect(2): accepted requests still get a response, and local errors don't count against the peer."""

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
from tests.support.proxy_harness import ScenarioChecker


def test_transient_local_connect_errors(check_scenario: ScenarioChecker):
    """connect(2) fails with local errors a few times.  The request is served, and its backend has no failure recorded."""

    async def scenario(harness: InstrumentedHarness) -> None:
        connect = sockets.connect
        failing = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EINTR]

        async def connect_after_errors(*arguments: Any) -> socket.socket | None:
            if failing:
                raise OSError(failing.pop(), "no")
            return await connect(*arguments)

        with mock.patch("sloeferry.network.sockets.connect", connect_after_errors):
            await harness.request("once")
        failures = harness.dispatcher.policy.table.by_id["b"].consecutive_failures
        harness.record(f"left to fail: {failing}; failures held against it: {failures}")

    check_scenario(scenario, "connect_errors_transient", InstrumentedHarness({"b": response()}))


def test_persistent_local_connect_error(check_scenario: ScenarioChecker):
    """connect(2) keeps failing with a local error.  The request is rejected before half of its time has passed."""

    async def scenario(harness: InstrumentedHarness) -> None:
        with mock.patch("sloeferry.network.sockets.connect", side_effect=OSError(errno.EADDRNOTAVAIL, "no")):
            await harness.request("once")

    check_scenario(scenario, "connect_errors_persistent", InstrumentedHarness({"b": response()}, deadline_ms=400))


@pytest.mark.parametrize("number", [errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_remote_connect_error_is_not_local(number: int):
    """Errors of connect(2) that come from the peer or the network do not count as local errors."""
    assert number not in sockets.LOCAL_CONNECT_ERRORS


def test_poll_without_a_dial_is_not_unreachable():
    """A poll without a dial is not evidence that discovery is unreachable; a poll whose dial failed is."""
    watch = DiscoveryWatch(types.SimpleNamespace(loop=None), 1)
    now = watch.began_at + 10.0
    assert watch.poll_end(now, 2500.0) == PollEnd.NOT_SENT
    watch.phase = PollPhase.DIALED
    assert watch.poll_end(now, 2500.0) == PollEnd.UNREACHABLE
