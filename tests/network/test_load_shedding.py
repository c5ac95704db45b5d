"""Load shedding on loopback."""

import asyncio
from unittest import mock

from sloeferry.policy.overload_control import OverloadController
from tests.support.fake_backends import Script, response
from tests.support.proxy_harness import READY_REQUEST, PlayStory, ProxyHarness, run_story

REQUEST_HEAD = "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c1\r\nX-Call-Class: once\r\nX-Caller: acme\r\nX-Budget-Ms: 3000\r\n"


def test_shedding_on_loopback(play_story: PlayStory):
    """While load is shed, plain requests and such with bodies in pieces are rejected with a Retry-After, unparsed ones too.  What
    is no good request still gets its 4xx, and /ready is answered.  Afterwards all is served on the connections that were kept."""

    async def story(harness: ProxyHarness) -> None:
        with (
            mock.patch.object(OverloadController, "record_loop_lag"),
            mock.patch.object(OverloadController, "is_shedding", lambda self: True),
            mock.patch.object(OverloadController, "available_slots", lambda self: 1),
        ):
            kept = await harness.connect()
            with mock.patch.object(OverloadController, "rejection_delay_ms", lambda *_: 250.0):
                await harness.request("safe", connection=kept)
                await harness.request("once", "a body", kept)
                in_pieces = await harness.connect()
                in_pieces[1].write((REQUEST_HEAD + "Content-Length: 6\r\n\r\nin ").encode())
                await asyncio.sleep(0.02)
                await harness.send("two", in_pieces)
                await harness.send(REQUEST_HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
                await harness.send(REQUEST_HEAD + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab")
                await harness.request("safe", X_Call_Class="unheard")
                await harness.send(READY_REQUEST)
            harness.record("-- let in")
            await harness.request("once", "a body", kept)
        harness.record("-- open")
        await harness.request("safe", connection=kept)
        await harness.request("once", "a body", in_pieces)

    play_story(story, "door_shut", ProxyHarness({"b": response()}, retry_after=True))


def attempts_in_flight() -> int:
    """How many attempts the proxy in this loop carries out."""
    return sum("Exchange.run" in repr(task.get_coro()) for task in asyncio.all_tasks())


def test_commands_while_an_attempt_is_out():
    """Whatever is commanded while an attempt is out with its client's own task is carried out all the same: a hedged request
    where the first attempt is silent.  Each request is answered once."""
    is_next_silent = False

    def script(number: int) -> Script:
        nonlocal is_next_silent
        if is_next_silent:
            is_next_silent = False
            return None
        return response()

    async def story(harness: ProxyHarness) -> None:
        nonlocal is_next_silent
        for _ in range(4):  # so that it knows how long responses take
            await harness.request("safe")
        harness.record("-- the next is met by silence")
        is_next_silent = True
        await harness.request("safe")
        harness.record(f"answered, {attempts_in_flight()} postings left out")

    harness = ProxyHarness({"b": script, "c": script}, second_copies=True, probing=True)
    run_story(story, harness)
    received = [line for line in harness.lines if line.startswith("client gets")]
    assert len(received) == 5
    assert received[-1] in ("client gets: 200 done", "client gets: 503 ", "client gets: 504 "), received
