"""The list and its watches where two events cross: each order is forced by what discovery has written or seen."""

import asyncio
import contextlib
import json
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from sloeferry.network import sockets
from sloeferry.network.json_stream import JsonStream
from sloeferry.policy.interface import EndpointState
from tests.test_crossings import Crossing, Opened, until
from tests.trace import answer, play


class Watches(Crossing):
    STREAM = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["list", "nested", "text", "nonsense", "3", "{ no", '{"a": [']),
                st.sampled_from([None, 0, 1, 4, "\t"]),
                st.sampled_from(["\n", "\r\n", "\n\n", " \n"]),
            ),
            max_size=6,
        ),
        st.lists(st.integers(0, 4000), max_size=8),
    )
    def test_any_layout(self, said, cuts):
        """Objects come out whole and in order whatever white space stands in them and wherever their bytes are cut;
        what can't be read takes none of them along, once another one follows it."""
        kinds = {
            "list": {"revision": 3, "members": [{"id": "b", "x": [1, {}, []]}, {}]},
            "nested": {"a": {"b": {}}},
            "text": {"id": 'a "}\\" { b', "umlaut": "ü}{", "n": None},
        }
        text, wanted, bad = "", [], 0
        for kind, indent, end in said:
            if kind in kinds:
                wanted.append(kinds[kind])
                text += json.dumps(kinds[kind], indent=indent, ensure_ascii=False) + end
            else:
                bad += 1
                text += kind + "\n"
        # The last one that can't be read shows by what follows.
        wanted += [kinds["list"], kinds["nested"]]
        text += "".join(json.dumps(kind) + "\n" for kind in wanted[-2:])
        data, found = text.encode(), []
        values, at = JsonStream(), 0
        for cut in [*sorted(min(cut, len(data)) for cut in cuts), len(data)]:
            found += values.feed(data[at:cut])
            at = cut
        self.assertEqual([value for value in found if value is not None], wanted)
        self.assertEqual((values.pending, found.count(None)), ("", bad))

    def test_any_one_cut(self):
        """An object over many lines, in two pieces cut at each byte in turn, with what looks like an object's end and the
        next one's beginning in a string: neither it nor what follows is dropped."""
        told = [{"id": 'a "}\\" { b', "umlaut": "ü}{", "n": None}, {"revision": 3, "members": [{"id": "b"}, {}]}]
        data = "".join(json.dumps(value, indent=1, ensure_ascii=False) + "\n" for value in told).encode()
        for cut in range(len(data)):
            values = JsonStream()
            self.assertEqual(values.feed(data[:cut]) + values.feed(data[cut:]), told, cut)

    def test_indented(self):
        """A drain told over many lines, in pieces, is a drain; so is one of an entry that else can't be read; a list
        that its end cuts short is said."""

        async def story(h):
            await h.call("safe")
            out = json.dumps({"revision": 5, "complete": False, "members": h.members(("b", "leaving"))}, indent=2)
            for at in range(0, len(out), 40):
                h.watches[0].write(b"%x\r\n%b\r\n" % (len(out[at : at + 40]), out[at : at + 40].encode()))
            h.tell("")
            await until(lambda: h.discovery.known["b"].state is EndpointState.DRAINING or h.discovery.revision == 99)
            await h.call("safe")
            h.list("b", complete=False)
            await until(lambda: h.discovery.known["b"].state is EndpointState.READY)
            entry = dict(h.members(("b", "leaving"))[0], host_port="nowhere")
            h.tell(json.dumps({"revision": 7, "complete": False, "members": [entry]}))
            await until(lambda: h.discovery.revision == 7)
            await h.call("safe")
            said = []
            logger.add(lambda message: said.append(message.record["message"]), level="WARNING")
            h.tell('{"revision": 8, "complete": true, "members": [')
            h.watches[0].write(b"0\r\n\r\n")
            await until(lambda: not h.discovery.open_sockets)
            h.say(f"said: {said}")

        play(self, story, "crossing_indented", Opened({"b": answer()}))

    def test_silent_from_the_start(self):
        """With a list that may be old for long a watch that never tells its own is given up as soon as another: no
        head, half a head, no list, half a list.  What it missed counts as told like any silent one's."""
        half = b'2f\r\n{"revision": 7, "complete": true, "members": [\n\r\n'
        moods = [b"", b"HTTP/1.1 200 OK\r\nTransf", self.STREAM, self.STREAM + half]

        said = []

        async def story(h):
            await until(lambda: len(h.calls) > len(moods) and h.discovery.is_watching)
            h.say(f"{len(h.calls)} calls, {len(said)} silent")
            await h.call("safe")

        h = Opened({"b": answer()}, ask_in=400000)
        h.moods = list(moods)
        with (
            mock.patch("sloeferry.dispatch.endpoint_events.EndpointEvents.watch_silent", lambda events, by: said.append(by)),
            mock.patch("sloeferry.network.discovery_watch.SILENT_SECONDS", 0.05),
            mock.patch("sloeferry.policy.endpoint_polling.LONGEST_BACKOFF_BASE_MS", 50.0),
        ):
            play(self, story, "crossing_silent", h)

    def test_blank_lines_and_no_list(self):
        """Signs of life are no list, and none while half a list is out."""

        async def story(h):
            async def beat():
                while True:
                    for writer in h.writers:
                        with contextlib.suppress(Exception):
                            writer.write(b"1\r\n\n\r\n")
                    await asyncio.sleep(0.01)

            beats = asyncio.ensure_future(beat())
            await until(lambda: h.discovery.is_watching)
            beats.cancel()
            h.say(f"{len(h.calls)} calls")

        h = Opened({"b": answer()}, ask_in=400000)
        h.moods = [
            self.STREAM + b"1\r\n\n\r\n",
            self.STREAM + b"3\r\nno\n\r\n",
            self.STREAM + b'1c\r\n{"revision": 7, "members":\n\r\n',
        ]
        with (
            mock.patch("sloeferry.network.discovery_watch.SILENT_SECONDS", 0.05),
            mock.patch("sloeferry.policy.endpoint_polling.LONGEST_BACKOFF_BASE_MS", 50.0),
        ):
            play(self, story, "crossing_blank", h)

    def test_a_silent_watch_says_so(self):
        """The watch falls silent, also the former one, with its successor not standing yet: what it missed counts."""

        async def story(h):
            said = []
            with (
                mock.patch.object(h.dispatcher.endpoint_events, "watch_silent", said.append),
                mock.patch("sloeferry.network.discovery_watch.SILENT_SECONDS", 0.05),
            ):
                h.list("b", complete=False)
                await until(lambda: said)
                h.say(f"the watch: {len(said)} silent")
                await until(lambda: len(h.calls) > 1 and h.discovery.is_watching)
                h.moods = [b""] * 99
                h.discovery.poll_anew()  # as after a move
                h.watches[-1].write(b"1\r\n\n\r\n")
                await until(lambda: len(said) > 1)
                h.say(f"the former one: {len(said)} silent")

        with mock.patch("sloeferry.policy.endpoint_polling.LONGEST_BACKOFF_BASE_MS", 50.0):
            play(self, story, "crossing_said_silent", Opened({"b": answer()}, ask_in=400000))

    def test_dials_until_it_is_through(self):
        """A watch fell silent, and no connection comes up: it goes on dialling, without the pauses of failed calls."""

        async def story(h):
            failed, dials, dial, h.discovery.patience_ms = [], [], sockets.connect, 50.0
            events = h.dispatcher.endpoint_events
            report = events.poll_is_due

            def poll_is_due(has_watch_ended):
                if not has_watch_ended:
                    failed.append(len(dials))
                report(has_watch_ended)

            async def cut(loop, address, patience):
                dials.append(address)
                return None if len(dials) < 60 else await dial(loop, address, patience)

            with (
                mock.patch.object(events, "poll_is_due", poll_is_due),
                mock.patch("sloeferry.network.sockets.connect", cut),
                mock.patch("sloeferry.network.discovery_watch.SILENT_SECONDS", 0.05),
            ):
                h.list("b", complete=False)
                await until(lambda: len(h.calls) == 2 and h.discovery.is_watching)
            h.say(f"failed calls, by dials before them: {failed}")

        with mock.patch("sloeferry.policy.endpoint_polling.LONGEST_BACKOFF_BASE_MS", 50.0):
            play(self, story, "crossing_dials", Opened({"b": answer()}, ask_in=400000, dial_timeout=5000))

    def test_pushed_and_a_new_process(self):
        """Where changes come unasked, what was told while no process was there binds the new one from its first moment:
        a list as last held names a backend that has drained since.  It says yes, and sends, with the list in hand."""

        class Pushed(Opened):
            async def discovery(self, reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                await self.refused.wait()
                writer.write(Watches.STREAM)
                self.watches[:] = [writer]
                self.list(("b", "leaving"), "c")

            async def ask(self, text, connection=None, quiet=False):
                came = await super().ask(text, connection, quiet)
                if "503" in came:
                    self.refused.set()
                return came

        h = Pushed({"b": answer("of b"), "c": answer("of c")}, known=["b", "c"], more={"discovery": "automatic"})
        h.refused = asyncio.Event()
        play(self, lambda h: h.call("safe"), "crossing_pushed", h)

    def test_pushed_and_a_watch_reset(self):
        """What the agent gets counts as told, watch or no watch: a dial that fails, the pause behind a watch's end and
        the one behind a dial are over within the grace of a drain."""

        async def story(h):
            sleeps, dials, wait = [], [], asyncio.sleep

            async def sleep(seconds):
                sleeps.append(seconds)
                await wait(0)

            async def dial(loop, address, patience):
                dials.append(patience)

            loop, late = h.discovery.loop, mock.Mock(wraps=h.discovery.loop)
            late.call_later = lambda seconds, *what: (sleeps.append(seconds), loop.call_later(seconds, *what))
            h.discovery.loop = late
            with (
                mock.patch("sloeferry.network.discovery_watch.asyncio.sleep", sleep),
                mock.patch("sloeferry.network.sockets.connect", dial),
            ):
                h.watches[0].close()
                await until(lambda: len(dials) > 3)
            grace = h.dispatcher.policy.settings.obligations.drain_grace_ms
            h.say(f"a dial and two pauses within the grace of a drain: {dials[0] + 2000 * max(sleeps) <= grace}")

        play(
            self,
            story,
            "crossing_pushed_reset",
            Opened({"b": answer()}, more={"discovery": "automatic", "obligations": {"drain_grace": 250000}}),
        )

    def test_pushed_and_a_former_watch(self):
        """Where changes come unasked, after a move: the new watch fails, the former one stands on.  The new place is
        called again all the same; what the agent there has counts as told."""

        async def story(h):
            h.moods = [b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"]
            h.discovery.poll_anew()
            await until(lambda: len(h.calls) == 3 and h.discovery.is_watching)
            await until(lambda: len(h.discovery.open_sockets) == 1)  # the former one ends a turn of the loop later
            h.say(f"{len(h.calls)} calls, {len(h.discovery.open_sockets)} watches")

        with mock.patch("sloeferry.network.discovery_watch.SILENT_SECONDS", 60.0):  # the former one is not to end by itself
            play(self, story, "crossing_pushed_former", Opened({"b": answer()}, more={"discovery": "automatic"}))

    def test_discovery_begins_anew(self):
        """Discovery has lost its versions: the call after ours' is accepted, and brings nothing, or is turned down.  The
        next one asks for the whole list."""

        async def story(h):
            for mood in (
                self.STREAM + b"1\r\n\n\r\n",
                b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
                b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
            ):
                h.moods, there = [mood], len(h.calls)
                for watch in h.watches:
                    watch.close()
                h.watches.clear()
                await until(lambda: len(h.calls) == there + 2 and h.discovery.is_watching)
                h.say(f"calls after {mood[9:12].decode()}: {h.calls[there:]}")

        with (
            mock.patch("sloeferry.network.discovery_watch.SILENT_SECONDS", 0.3),
            mock.patch("sloeferry.policy.endpoint_polling.LONGEST_BACKOFF_BASE_MS", 50.0),
        ):
            play(self, story, "crossing_anew", Opened({"b": answer()}, ask_in=400000))

    def test_standstill_with_a_former_watch(self):
        """After a standstill the former watch's news are read, too, before anything is sent, however long they are."""

        async def story(h):
            h.moods = [b""] * 9
            h.discovery.poll_anew()
            await until(lambda: len(h.calls) == 2)
            pad = [dict(line, id=f"x{n}", phase="leaving") for n in range(900) for line in h.members("b")]
            h.tell(json.dumps({"revision": 9, "complete": False, "members": pad + h.members(("b", "leaving"))}))
            await asyncio.sleep(0)  # it is written; of its 150 KB a turn reads 16
            h.dispatcher.loop_monitor.last_turn -= 1e6
            await h.dispatcher.loop_turned()
            h.say(f"known of b: {h.discovery.known['b'].state.value}")

        play(self, story, "crossing_former", Opened({"b": answer()}))

    def test_unnamed_zones(self):
        """Zones that the settings don't name are not one zone: a referenced txn's copy may go to its own alone."""

        async def story(h):
            members = [dict(line, locality=zone) for line, zone in zip(h.members("b", "c", "b"), ("p", "q", "p"))]
            members[2]["id"] = "d"
            h.tell(json.dumps({"revision": 5, "complete": True, "members": members}))
            await until(lambda: "d" in h.discovery.known)
            zone = {ident: line[1] for ident, line in h.discovery.known.items()}
            h.say(f"b and c are of one zone: {zone['b'] == zone['c']}, b and d: {zone['b'] == zone['d']}")
            h.say(f"whichever a proxy met first: {zone['b']}, {zone['c']}")  # versions.py digests these lines

        play(self, story, "crossing_zones", Opened({"b": answer(), "c": answer()}))


if __name__ == "__main__":
    unittest.main()
