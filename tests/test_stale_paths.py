"""Each path by which a request or probe reaches a backend, with the list gone stale on the way: nothing is sent.

However the list went stale (tests/test_staleness.py has each way), the paths read one deadline; here it is brought forward.
"""

import asyncio
from unittest import mock

from sloeferry.dispatch.send_guard import Refusal
from sloeferry.network import sockets
from tests.test_crossings import Crossing, Opened, until
from tests.trace import answer, play


def make_stale(h):
    """The list counts as stale from now on."""
    h.dispatcher.endpoint_events.staleness.usable_until = 0.0


class Paths(Crossing):
    def test_first_attempt(self):
        """A request comes when the list is stale already: refused at once."""

        async def story(h):
            make_stale(h)
            await h.call("safe")
            h.say(f"refused for a stale list: {h.dispatcher.guard.refusals[Refusal.LIST_STALE] > 0}")

        play(self, story, "stale_first", Opened({"b": answer()}))

    def test_after_a_dial(self):
        """It goes stale while the backend is dialled."""

        async def story(h):
            dial = sockets.connect

            async def slow(*what):
                sock = await dial(*what)
                make_stale(h)
                return sock

            with mock.patch("sloeferry.network.sockets.connect", slow):
                await h.call("once")
            h.say(f"asked {h.asked}, refused {h.dispatcher.guard.refusals[Refusal.LIST_STALE] > 0}")

        play(self, story, "stale_dial", Opened({"b": answer()}))

    def test_after_a_wait(self):
        """It goes stale as the attempt waits right before its first byte, as after a standstill."""

        async def story(h):
            with h.before_first_byte() as gate:
                call = asyncio.ensure_future(h.call("once"))
                await gate.held.wait()
                make_stale(h)
                gate.opened.set()
                await call
            h.say(f"asked {h.asked}")

        play(self, story, "stale_wait", Opened({"b": answer()}))

    def test_retry(self):
        """It goes stale as the first attempt is out, which fails: no other one, though it would be safe."""

        async def story(h):
            def failing(number):
                make_stale(h)
                return answer("no", 503, "X-Rejected: 1")

            h.scripts = dict.fromkeys(h.scripts, failing)
            for name in h.scripts:
                h.hooks[name] = failing
            await h.call("safe")
            h.say(f"asked {h.asked}")

        class Hooked(Opened):
            hooks: dict = {}

            async def backend(self, name, script, reader, writer):
                await super().backend(name, lambda number: self.hooks[name](number), reader, writer)

        play(self, story, "stale_retry", Hooked({"b": answer(), "c": answer()}))

    def test_upload(self):
        """It goes stale before the first byte of a body that flows."""

        async def story(h):
            with h.before_first_byte() as gate:
                call = asyncio.ensure_future(h.call("once", body="x" * 200_000))
                await gate.held.wait()
                make_stale(h)
                gate.opened.set()
                await call
            h.say(f"asked {h.asked}")

        play(self, story, "stale_upload", Opened({"b": answer()}))

    def test_probe(self):
        """A probe was ordered, and the list goes stale before it is written."""

        async def story(h):
            ended = []
            report = h.dispatcher.health_check_ended
            with mock.patch.object(h.dispatcher, "health_check_ended", lambda *what: (ended.append(what), report(*what))):
                make_stale(h)
                h.dispatcher.host.send_health_check("b")
                await until(lambda: ended)
            h.say(f"asked {h.asked}")

        play(self, story, "stale_probe", Opened({"b": answer()}, probing=True))

    def test_hedge(self):
        """A second copy is due beside an attempt that is out: none is begun by a stale list."""

        async def story(h):
            call = asyncio.ensure_future(h.call("safe"))
            await until(lambda: h.asked)
            make_stale(h)
            policy, request = h.dispatcher.policy, next(iter(h.dispatcher.policy.requests.by_id.values()))
            policy.table.candidates_chosen_at = -1e9
            now = request.attempts[0].overdue_at + 1
            h.dispatcher.policy.retries._review(now, request, request.attempts[0], True)
            h.say(f"attempts {len(request.attempts)}, asked {h.asked}")
            h.held.set()
            await call

        h = Opened({"b": None, "c": None}, second_copies=True)
        h.held = asyncio.Event()
        h.scripts = dict.fromkeys(h.scripts, h.held)
        play(self, story, "stale_hedge", h)
