"""The descriptors of clients: which connections keep one where they are short."""

import asyncio
from unittest import mock

from tests.support.fake_backends import response
from tests.support.proxy_harness import READY_REQUEST, PlayStory, ProxyHarness

POLL_INTERVAL_SECONDS = 0.05  # between two looks at what has ended


def test_clients_that_ask_once_and_stay(play_story: PlayStory):
    """Clients that ask once and keep their connection leave three quarters of the descriptors to others, oldest first."""

    async def story(harness: ProxyHarness) -> None:
        with mock.patch("sloeferry.network.connection_sweeper.SHORT_IDLE_TIMEOUT_SECONDS", 60.0):
            first = await harness.connect()
            await harness.send(READY_REQUEST, first)
            others = [await harness.connect() for _ in range(11)]
            for connection in others:
                await harness.send(READY_REQUEST, connection, is_recorded=False)
            harness.record(f"the first one ends: {await first[0].read() == b''}")

    play_story(story, "sockets_ask_once", ProxyHarness({"b": response()}, descriptors=64))


def test_client_whose_first_request_is_slow(play_story: PlayStory):
    """Beside many clients that have had a response and stay, one whose first request is slow to come keeps its place."""

    async def story(harness: ProxyHarness) -> None:
        slow = await harness.connect()
        for _ in range(14):
            await harness.send(READY_REQUEST, await harness.connect(), is_recorded=False)
        while not any(reader.at_eof() for reader, _ in harness.client_connections[1:]):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        for _ in range(6):  # all descriptors are taken by then
            await harness.request("safe")
        await harness.request("safe", connection=slow)

    play_story(story, "sockets_never_asked", ProxyHarness({"b": response()}, descriptors=64))


def test_crowd_of_silent_connections(play_story: PlayStory):
    """200 connections that say nothing cost no kept connection to a backend, and clients that ask get in."""

    async def story(harness: ProxyHarness) -> None:
        await harness.request("safe")
        crowd = [await harness.connect() for _ in range(200)]
        await harness.request("safe")
        harness.record(f"{len(crowd)} connections that say nothing")

    play_story(story, "sockets_crowd", ProxyHarness({"b": response()}, descriptors=64))


def test_idle_connections_give_way(play_story: PlayStory):
    """All descriptors are taken.  Idle connections give way to those that ask."""

    async def story(harness: ProxyHarness) -> None:
        idle = [await harness.connect() for _ in range(30)]
        while not any(reader.at_eof() for reader, _ in idle):
            await harness.connect()  # until those that came first have been idle for long enough
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        for _ in range(3):
            await harness.request("safe")
        harness.record(f"some idle ones were ended: {any(reader.at_eof() for reader, _ in idle)}")

    play_story(story, "sockets_full_table", ProxyHarness({"b": response()}, descriptors=64))
