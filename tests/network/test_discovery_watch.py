"""Watches as another event comes: each order is forced by what discovery has written or seen."""

import asyncio
import contextlib
import json
import socket
from collections.abc import Iterator
from typing import Any
from unittest import mock

from loguru import logger

from sloeferry.network import sockets
from sloeferry.policy.interface import EndpointState
from tests.support.fake_backends import response
from tests.support.fake_discovery import STREAM_HEAD
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import ScenarioChecker

BLANK_LINE = b"1\r\n\n\r\n"  # a chunk of it: a sign of life
LIST_MAY_BE_OLD_MS = 400_000


@contextlib.contextmanager
def impatient(silent_seconds: float) -> Iterator[None]:
    """A watch is silent after that time, and polls back off shortly."""
    with (
        mock.patch("sloeferry.network.discovery_watch.MAX_SILENCE_SECONDS", silent_seconds),
        mock.patch("sloeferry.policy.endpoint_polling.MAX_BACKOFF_BASE_MS", 50.0),
    ):
        yield


def list_document(revision: int, members: list[dict[str, Any]], is_complete: bool = False, indent: int | None = None) -> str:
    """A list, or a change of it, as discovery writes it."""
    return json.dumps({"revision": revision, "complete": is_complete, "members": members}, indent=indent)


def test_indented(check_scenario: ScenarioChecker):
    """A drain told over many lines, in pieces, is a drain; so is one of an entry that else cannot be read; a list that its end
    cuts short is logged."""

    async def scenario(harness: InstrumentedHarness) -> None:
        discovery, client = harness.discovery, harness.discovery_client
        await harness.request("safe")
        text = list_document(5, discovery.endpoint_entries(("b", "leaving")), indent=2)
        for at in range(0, len(text), 40):
            piece = text[at : at + 40].encode()
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

    check_scenario(scenario, "crossing_indented", InstrumentedHarness({"b": response()}))


def test_silent_from_the_start(check_scenario: ScenarioChecker):
    """With a list that may be old for long, a watch that never tells its own is given up as soon as another: no head, half a
    head, no list, half a list.  What it missed counts as notified like any silent one's."""
    half_a_list = b'2f\r\n{"revision": 7, "complete": true, "members": [\n\r\n'
    watches = [b"", b"HTTP/1.1 200 OK\r\nTransf", STREAM_HEAD, STREAM_HEAD + half_a_list]
    silent_since: list[float] = []

    async def scenario(harness: InstrumentedHarness) -> None:
        polls = harness.discovery.polls
        await wait_until(lambda: len(polls) > len(watches) and harness.discovery_client.is_watching)
        harness.record(f"{len(polls)} calls, {len(silent_since)} silent")
        await harness.request("safe")

    harness = InstrumentedHarness({"b": response()}, poll_within_ms=LIST_MAY_BE_OLD_MS)
    harness.discovery.scripted_responses = list(watches)
    watch_silent = "sloeferry.dispatch.endpoint_events.EndpointEvents.watch_silent"
    with mock.patch(watch_silent, lambda events, since: silent_since.append(since)), impatient(0.05):
        check_scenario(scenario, "crossing_silent", harness)


def test_blank_lines_and_no_list(check_scenario: ScenarioChecker):
    """Signs of life are no list, and none while half a list is out."""

    async def give_signs_of_life(harness: InstrumentedHarness) -> None:
        while True:
            for writer in harness.discovery.scripted_writers:
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write(BLANK_LINE)
            await asyncio.sleep(0.01)

    async def scenario(harness: InstrumentedHarness) -> None:
        task = asyncio.ensure_future(give_signs_of_life(harness))
        await wait_until(lambda: harness.discovery_client.is_watching)
        assert not task.done()
        task.cancel()
        harness.record(f"{len(harness.discovery.polls)} calls")

    harness = InstrumentedHarness({"b": response()}, poll_within_ms=LIST_MAY_BE_OLD_MS)
    harness.discovery.scripted_responses = [
        STREAM_HEAD + BLANK_LINE,
        STREAM_HEAD + b"3\r\nno\n\r\n",
        STREAM_HEAD + b'1c\r\n{"revision": 7, "members":\n\r\n',
    ]
    with impatient(0.05):
        check_scenario(scenario, "crossing_blank", harness)


def test_silent_watch_is_reported(check_scenario: ScenarioChecker):
    """The watch falls silent, also the former one, with its successor not standing yet.  What it missed counts."""

    async def scenario(harness: InstrumentedHarness) -> None:
        discovery, client = harness.discovery, harness.discovery_client
        with mock.patch.object(harness.dispatcher.endpoint_events, "watch_silent") as watch_silent, impatient(0.05):
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
        check_scenario(
            scenario, "crossing_said_silent", InstrumentedHarness({"b": response()}, poll_within_ms=LIST_MAY_BE_OLD_MS)
        )


def test_connects_until_it_is_through(check_scenario: ScenarioChecker):
    """A watch fell silent, and no connection comes up.  It goes on connecting, without the backoff of failed polls."""

    async def scenario(harness: InstrumentedHarness) -> None:
        client, events = harness.discovery_client, harness.dispatcher.endpoint_events
        client.poll_timeout_ms = 50.0
        connect, watch_unavailable = sockets.connect, events.watch_unavailable
        tries: list[tuple[str, int]] = []
        failed_polls: list[int] = []  # the tries before each

        def count_failed_poll(has_watch_ended: bool) -> None:
            if not has_watch_ended:
                failed_polls.append(len(tries))
            watch_unavailable(has_watch_ended)

        async def connect_at_last(loop: Any, address: tuple[str, int], patience: float) -> socket.socket | None:
            tries.append(address)
            return None if len(tries) < 60 else await connect(loop, address, patience)

        with (
            mock.patch.object(events, "watch_unavailable", count_failed_poll),
            mock.patch("sloeferry.network.sockets.connect", connect_at_last),
            mock.patch("sloeferry.network.discovery_watch.MAX_SILENCE_SECONDS", 0.05),
        ):
            harness.discovery.publish_endpoints("b", is_complete=False)
            await wait_until(lambda: len(harness.discovery.polls) == 2 and client.is_watching)
        harness.record(f"failed calls, by dials before them: {failed_polls}")

    harness = InstrumentedHarness({"b": response()}, poll_within_ms=LIST_MAY_BE_OLD_MS, dial_timeout=5000)
    with mock.patch("sloeferry.policy.endpoint_polling.MAX_BACKOFF_BASE_MS", 50.0):
        check_scenario(scenario, "crossing_dials", harness)


def test_discovery_begins_anew(check_scenario: ScenarioChecker):
    """Discovery has lost its revisions.  The poll after this proxy's revision is accepted and brings nothing, or is rejected.
    The next one asks for the complete list."""

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

    with impatient(0.3):
        check_scenario(scenario, "crossing_anew", InstrumentedHarness({"b": response()}, poll_within_ms=LIST_MAY_BE_OLD_MS))


def test_stall_with_a_former_watch(check_scenario: ScenarioChecker):
    """After a stall the former watch's events are read, too, before anything is sent, however long they are."""

    async def scenario(harness: InstrumentedHarness) -> None:
        discovery, monitor = harness.discovery, harness.dispatcher.loop_monitor
        discovery.scripted_responses = [b""] * 9
        harness.discovery_client.poll_complete_list()
        await wait_until(lambda: len(discovery.polls) == 2)
        [document] = discovery.endpoint_entries("b")
        others = [dict(document, id=f"x{index}", phase="leaving") for index in range(900)]
        discovery.push(list_document(9, others + discovery.endpoint_entries(("b", "leaving"))))
        await asyncio.sleep(0)  # it is written; of its 150 KB a turn reads 16
        monitor.last_iteration_at -= 1e6
        await harness.dispatcher.record_loop_iteration()
        harness.record(f"known of b: {harness.discovery_client.known_endpoints['b'].state.value}")

    check_scenario(scenario, "crossing_former", InstrumentedHarness({"b": response()}))


def test_unnamed_zones(check_scenario: ScenarioChecker):
    """Zones that the settings do not name are not one zone: a deduplicated request's retry may go to its own alone."""

    async def scenario(harness: InstrumentedHarness) -> None:
        documents = harness.discovery.endpoint_entries("b", "c", "b")
        members = [dict(document, locality=zone) for document, zone in zip(documents, "pqp", strict=True)]
        members[2]["id"] = "d"
        harness.discovery.push(list_document(5, members, is_complete=True))
        await wait_until(lambda: "d" in harness.discovery_client.known_endpoints)
        known = harness.discovery_client.known_endpoints
        zones = {endpoint_id: entry[1] for endpoint_id, entry in known.items()}
        harness.record(f"b and c are of one zone: {zones['b'] == zones['c']}, b and d: {zones['b'] == zones['d']}")
        # decision_log/versions.py digests these entries.
        harness.record(f"whichever a proxy met first: {zones['b']}, {zones['c']}")

    check_scenario(scenario, "crossing_zones", InstrumentedHarness({"b": response(), "c": response()}))
