"""Races between a watch and another event; each order is forced by what discovery has written or received."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Iterator
from typing import Any
from unittest import mock

import pytest
from loguru import logger

from sloeferry.network import sockets
from sloeferry.policy.interface import EndpointState
from tests.support.fake_backends import response
from tests.support.fake_discovery import STREAM_HEAD
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import ScenarioChecker, run_scenario

BLANK_LINE = b"1\r\n\n\r\n"  # a chunk that contains a keep-alive line
MAX_LIST_AGE_MS = 400_000  # so long that no poll is due because of the list's age


@contextlib.contextmanager
def short_silence(silent_seconds: float) -> Iterator[None]:
    """Set the time after which a watch counts as silent, and shorten the backoff of polls."""
    with (
        mock.patch("sloeferry.network.discovery_watch.MAX_SILENCE_SECONDS", silent_seconds),
        mock.patch("sloeferry.policy.endpoint_polling.MAX_BACKOFF_BASE_MS", 50.0),
    ):
        yield


def list_document(revision: int, members: list[dict[str, Any]], is_complete: bool = False, indent: int | None = None) -> str:
    """Return a list document, complete or with changes, as discovery writes it."""
    return json.dumps({"revision": revision, "complete": is_complete, "members": members}, indent=indent)


def test_documents_over_several_lines(check_scenario: ScenarioChecker):
    """A drain is recognized in a document over many lines that arrives in pieces, and in an entry with an unreadable address.

    A list that is truncated by the end of the response is logged.
    """

    async def scenario(harness: InstrumentedHarness) -> None:
        discovery, client = harness.discovery, harness.discovery_client
        await harness.request("safe")
        text = list_document(5, discovery.endpoint_entries(("b", "leaving")), indent=2)
        for offset in range(0, len(text), 40):
            piece = text[offset : offset + 40].encode()
            discovery.watches[0].write(b"%x\r\n%b\r\n" % (len(piece), piece))
        discovery.push("")
        await wait_until(lambda: client.known_endpoints["b"].state is EndpointState.DRAINING or client.revision == 99)
        await harness.request("safe")
        discovery.publish_endpoints("b", is_complete=False)
        await wait_until(lambda: client.known_endpoints["b"].state is EndpointState.READY)
        [entry] = discovery.endpoint_entries(("b", "leaving"))
        discovery.push(list_document(7, [dict(entry, host_port="nowhere")]))
        await wait_until(lambda: client.revision == 7)
        await harness.request("safe")
        warnings: list[str] = []
        logger.add(lambda message: warnings.append(message.record["message"]), level="WARNING")
        discovery.push('{"revision": 8, "complete": true, "members": [')
        discovery.watches[0].write(b"0\r\n\r\n")
        await wait_until(lambda: not client.open_sockets)
        harness.record(f"said: {warnings}")

    check_scenario(scenario, "watch_multiline_documents", InstrumentedHarness({"b": response()}))


def test_watch_without_list_is_given_up(check_scenario: ScenarioChecker):
    """A watch that never sends its list is given up after the time that any silent watch has, even if the list may be old.

    Discovery sends nothing, half a head, a head without a list, or half a list.  Each end is reported as that of a silent watch,
    since changes that it missed count as notified.
    """
    half_a_list = b'2f\r\n{"revision": 7, "complete": true, "members": [\n\r\n'
    watches = [b"", b"HTTP/1.1 200 OK\r\nTransf", STREAM_HEAD, STREAM_HEAD + half_a_list]
    silent_since: list[float] = []

    async def scenario(harness: InstrumentedHarness) -> None:
        polls = harness.discovery.polls
        await wait_until(lambda: len(polls) > len(watches) and harness.discovery_client.is_watching)
        harness.record(f"{len(polls)} calls, {len(silent_since)} silent")
        await harness.request("safe")

    harness = InstrumentedHarness({"b": response()}, poll_within_ms=MAX_LIST_AGE_MS)
    harness.discovery.scripted_responses = list(watches)
    watch_silent = "sloeferry.dispatch.endpoint_events.EndpointEvents.watch_silent"
    with mock.patch(watch_silent, lambda events, since: silent_since.append(since)), short_silence(0.05):
        check_scenario(scenario, "watch_silent_from_start", harness)


def test_keepalive_lines_are_no_list(check_scenario: ScenarioChecker):
    """Keep-alive lines do not replace the list, and they do not count in the middle of a list."""

    async def send_keepalive_lines(harness: InstrumentedHarness) -> None:
        while True:
            for writer in harness.discovery.scripted_writers:
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write(BLANK_LINE)
            await asyncio.sleep(0.01)

    async def scenario(harness: InstrumentedHarness) -> None:
        task = asyncio.ensure_future(send_keepalive_lines(harness))
        await wait_until(lambda: harness.discovery_client.is_watching)
        assert not task.done()
        task.cancel()
        harness.record(f"{len(harness.discovery.polls)} calls")

    harness = InstrumentedHarness({"b": response()}, poll_within_ms=MAX_LIST_AGE_MS)
    harness.discovery.scripted_responses = [
        STREAM_HEAD + BLANK_LINE,
        STREAM_HEAD + b"3\r\nno\n\r\n",
        STREAM_HEAD + b'1c\r\n{"revision": 7, "members":\n\r\n',
    ]
    with short_silence(0.05):
        check_scenario(scenario, "watch_keepalive_without_list", harness)


def test_silent_watch_is_reported(check_scenario: ScenarioChecker):
    """A silent watch is reported, and so is a silent former watch while the new one has no list yet.

    Changes that it missed count as notified.
    """

    async def scenario(harness: InstrumentedHarness) -> None:
        discovery, client = harness.discovery, harness.discovery_client
        with mock.patch.object(harness.dispatcher.endpoint_events, "watch_silent") as watch_silent, short_silence(0.05):
            discovery.publish_endpoints("b", is_complete=False)
            await wait_until(lambda: watch_silent.called)
            harness.record(f"the watch: {watch_silent.call_count} silent")
            await wait_until(lambda: len(discovery.polls) > 1 and client.is_watching)
            discovery.scripted_responses = [b""] * 99
            client.poll_complete_list()  # as after a move
            discovery.watches[-1].write(BLANK_LINE)
            await wait_until(lambda: watch_silent.call_count > 1)
            harness.record(f"the former one: {watch_silent.call_count} silent")

    with mock.patch("sloeferry.policy.endpoint_polling.MAX_BACKOFF_BASE_MS", 50.0):
        check_scenario(scenario, "watch_silence_reported", InstrumentedHarness({"b": response()}, poll_within_ms=MAX_LIST_AGE_MS))


def test_dials_until_connected_after_silent_watch(check_scenario: ScenarioChecker):
    """After a silent watch no connection is established.  One poll keeps dialing, without the backoff of failed polls."""

    async def scenario(harness: InstrumentedHarness) -> None:
        client, events = harness.discovery_client, harness.dispatcher.endpoint_events
        client.poll_timeout_ms = 50.0
        connect, watch_unavailable = sockets.connect, events.watch_unavailable
        dials: list[tuple[str, int]] = []
        failed_polls: list[int] = []  # the number of dials before each

        def count_failed_poll(has_watch_ended: bool) -> None:
            if not has_watch_ended:
                failed_polls.append(len(dials))
            watch_unavailable(has_watch_ended)

        async def connect_after_failures(loop: Any, address: tuple[str, int], timeout_ms: float) -> socket.socket | None:
            dials.append(address)
            return None if len(dials) < 60 else await connect(loop, address, timeout_ms)

        with (
            mock.patch.object(events, "watch_unavailable", count_failed_poll),
            mock.patch("sloeferry.network.sockets.connect", connect_after_failures),
            mock.patch("sloeferry.network.discovery_watch.MAX_SILENCE_SECONDS", 0.05),
        ):
            harness.discovery.publish_endpoints("b", is_complete=False)
            await wait_until(lambda: len(harness.discovery.polls) == 2 and client.is_watching)
        harness.record(f"failed calls, by dials before them: {failed_polls}")

    harness = InstrumentedHarness({"b": response()}, poll_within_ms=MAX_LIST_AGE_MS, dial_timeout=5000)
    with mock.patch("sloeferry.policy.endpoint_polling.MAX_BACKOFF_BASE_MS", 50.0):
        check_scenario(scenario, "watch_dials_until_connected", harness)


def test_discovery_loses_its_revisions(check_scenario: ScenarioChecker):
    """Discovery has lost its revisions, so a poll from the known revision is accepted without a list, or is rejected.

    The next poll requests the complete list.
    """

    async def scenario(harness: InstrumentedHarness) -> None:
        discovery, client = harness.discovery, harness.discovery_client
        for answer in (
            STREAM_HEAD + BLANK_LINE,
            b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        ):
            discovery.scripted_responses = [answer]
            count = len(discovery.polls)
            for watch in discovery.watches:
                watch.close()
            discovery.watches.clear()
            await wait_until(lambda count=count: len(discovery.polls) == count + 2 and client.is_watching)
            harness.record(f"calls after {answer[9:12].decode()}: {discovery.polls[count:]}")

    with short_silence(0.3):
        check_scenario(scenario, "watch_revisions_lost", InstrumentedHarness({"b": response()}, poll_within_ms=MAX_LIST_AGE_MS))


def test_former_watch_is_read_after_stall(check_scenario: ScenarioChecker):
    """After a stall, changes on the former watch are read completely, too, before anything is sent."""

    async def scenario(harness: InstrumentedHarness) -> None:
        discovery, monitor = harness.discovery, harness.dispatcher.loop_monitor
        discovery.scripted_responses = [b""] * 9
        harness.discovery_client.poll_complete_list()
        await wait_until(lambda: len(discovery.polls) == 2)
        [document] = discovery.endpoint_entries("b")
        others = [dict(document, id=f"x{index}", phase="leaving") for index in range(900)]
        discovery.push(list_document(9, others + discovery.endpoint_entries(("b", "leaving"))))
        await asyncio.sleep(0)  # the document of 150 KB is written; one loop iteration reads 16 KB
        monitor.last_iteration_at -= 1e6
        await harness.dispatcher.record_loop_iteration()
        harness.record(f"known of b: {harness.discovery_client.known_endpoints['b'].state.value}")

    check_scenario(scenario, "watch_former_after_stall", InstrumentedHarness({"b": response()}))


def test_unknown_zones_are_distinct(check_scenario: ScenarioChecker):
    """Zones that the settings do not contain are distinct: a deduplicated request may be retried only within its own zone."""

    async def scenario(harness: InstrumentedHarness) -> None:
        documents = harness.discovery.endpoint_entries("b", "c", "b")
        members = [dict(document, locality=zone) for document, zone in zip(documents, "pqp", strict=True)]
        members[2]["id"] = "d"
        harness.discovery.push(list_document(5, members, is_complete=True))
        await wait_until(lambda: "d" in harness.discovery_client.known_endpoints)
        known = harness.discovery_client.known_endpoints
        zones = {endpoint_id: entry[1] for endpoint_id, entry in known.items()}
        harness.record(f"b and c are of one zone: {zones['b'] == zones['c']}, b and d: {zones['b'] == zones['d']}")
        # decision_log/versions.py computes a digest of these entries, which must not depend on their order of arrival.
        harness.record(f"whichever a proxy met first: {zones['b']}, {zones['c']}")

    check_scenario(scenario, "watch_unknown_zones", InstrumentedHarness({"b": response(), "c": response()}))


@pytest.mark.parametrize("is_reset", [True, False], ids=["reset", "orderly end"])
def test_reset_of_a_watch_is_told_from_its_end(is_reset: bool):
    """Guards against taking a crowded discovery for one that is down: only a watch that was reset is a sign of an outage."""

    async def scenario(harness: InstrumentedHarness) -> None:
        events = harness.dispatcher.endpoint_events
        with mock.patch.object(events, "watch_ended", wraps=events.watch_ended) as ended:
            writer = harness.discovery.watches[0]
            if is_reset:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
            else:
                writer.close()
            await wait_until(lambda: ended.called)
        ended.assert_called_once_with(is_reset)

    run_scenario(scenario, InstrumentedHarness({"b": response()}, poll_within_ms=MAX_LIST_AGE_MS))
