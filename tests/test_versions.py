"""Versions: an order that never guesses, a ledger that is bounded and counts exactly, and what operators are told."""

import asyncio
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import types
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from sloeferry.config.errors import ConfigError
from sloeferry.config.features import DecisionLogFeatures, Features, read_features
from sloeferry.config.settings_reader import build_settings
from sloeferry.decision_log.decision_log import MAX_ENTRIES, DecisionLog
from sloeferry.decision_log.recorder import shared_settings
from sloeferry.decision_log.versions import (
    ListVersion,
    SettingsVersion,
    VersionOrder,
    compare_versions,
    digest_of,
    digest_of_files,
)
from tests.trace import Harbour, Lines, answer, play
from tests.trace import compare as kept

ROOT = pathlib.Path(__file__).parents[1]
VERSION = st.one_of(st.builds(ListVersion, st.integers(1, 3), st.integers(0, 4), st.sampled_from("ab")))


class Orders(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(VERSION, VERSION, VERSION)
    def test_order(self, one, two, three):
        """Turned round it says the opposite; newer than a newer one is newer; nothing is said across two counts."""
        turned = {
            VersionOrder.NEWER: VersionOrder.OLDER,
            VersionOrder.OLDER: VersionOrder.NEWER,
            VersionOrder.SAME: VersionOrder.SAME,
            VersionOrder.NOT_COMPARABLE: VersionOrder.NOT_COMPARABLE,
        }
        self.assertEqual(compare_versions(one, two), turned[compare_versions(two, one)])
        self.assertEqual(compare_versions(one, two) == VersionOrder.SAME, one == two)
        if compare_versions(one, two) == compare_versions(two, three) == VersionOrder.NEWER:
            self.assertEqual(compare_versions(one, three), VersionOrder.NEWER)
        if one.incarnation != two.incarnation:
            self.assertEqual(compare_versions(one, two), VersionOrder.NOT_COMPARABLE)

    def test_shared(self):
        """One version for all proxies that hold the same, whatever each held before: its own place, the order of
        schemes and those that were dropped make no other."""

        def of(*schemes, **more):
            lines = {f"schemes.{at}.{key}": said for at, scheme in enumerate(schemes) for key, said in scheme.items()}
            return build_settings({"schemes.count": len(schemes), **lines, **more})

        a, b, c = ({"name": name, "gain": gain} for name, gain in (("a", 1.0), ("b", 2.0), ("c", 3.0)))
        started, former = of(a, b, ordinal=3, zone=1), of(c, b, a, ordinal=5)
        self.assertEqual(shared_settings(of(a, b, ordinal=5).aligned_with(former).canonical), shared_settings(started.canonical))
        self.assertNotEqual(shared_settings(of(a, c).canonical), shared_settings(started.canonical))
        self.assertNotEqual(shared_settings(of(a, dict(b, gain=9.0)).canonical), shared_settings(started.canonical))

    def test_digests(self):
        self.assertEqual(digest_of({"a": 1, "b": [2, 3]}), digest_of({"b": [2, 3], "a": 1}))
        self.assertNotEqual(digest_of({"a": 1}), digest_of({"a": 2}))
        self.assertEqual(digest_of_files([("a", b"x"), ("b", b"y")]), digest_of_files([("b", b"y"), ("a", b"x")]))
        self.assertNotEqual(digest_of_files([("a", b"xb"), ("b", b"y")]), digest_of_files([("a", b"x"), ("b", b"by")]))
        self.assertEqual(
            compare_versions(SettingsVersion(2, "a"), SettingsVersion(1, "b")), VersionOrder.NEWER
        )  # a roll-back is the newer one


class Ledgers(unittest.TestCase):
    def test_course(self):
        """Settings, lists that go on, back and anew, a refusal, and txns that outlive their settings."""
        lines, ledger = Lines(), DecisionLog(0.0, "program")

        def say(what, now):
            held, acted = ledger.current(now), ledger.acted_within(now, 1e9)
            lines.lines.append(f"{now:6.0f}  {what}: confirmed {held['confirmed_ms']} ms ago, {held['open']} open")
            for kind in ("settings", "lists"):
                lines.lines += [f"          {kind[:4]} {one}" for one in acted[kind]]
            lines.lines += [f"          refused {one}" for one in acted["refused"]]

        def txn(ref):
            return types.SimpleNamespace(request_id=ref)

        ledger.settings_applied(0.0, "s-a", "start")
        ledger.list_applied(10.0, 41, "l-a", "known")
        ledger.request_taken(20.0, txn(1))
        ledger.attempt_sent(20.0)
        say("one txn", 25.0)
        ledger.list_applied(30.0, 42, "l-b", "discovery")
        ledger.settings_applied(40.0, "s-b", "SIGHUP")
        ledger.request_taken(50.0, txn(2))
        ledger.attempt_sent(50.0)
        ledger.request_ended(txn(2), True)
        say("newer ones of both; the first txn keeps its settings", 60.0)
        ledger.refused(70.0, "settings", "no JSON")
        ledger.request_ended(txn(1), True)
        ledger.settings_applied(80.0, "s-a", "SIGHUP")
        say("rolled back: an older digest, a newer generation", 90.0)
        ledger.list_applied(100.0, 42, "l-b", "discovery")
        say("the same list again only confirms", 100.0)
        ledger.list_applied(110.0, 7, "l-c", "discovery")
        say("the count goes back: lost, or a replica that lags", 120.0)
        ledger.list_applied(130.0, 7, "l-d", "discovery")
        say("one revision that says two things", 140.0)
        lines.lines.append(f"of the last 15 ms: {[one['revision'] for one in ledger.acted_within(140.0, 15.0)['lists']]}")
        kept(self, lines, "versions_ledger")

    def test_held_is_not_confirmed(self):
        """A list as last held is nobody's word that it stands: how long this process has been up tells nothing of it."""
        ledger = DecisionLog(0.0, "program")
        ledger.list_applied(10.0, 41, "l-a", "known")
        self.assertIsNone(ledger.current(20.0)["confirmed_ms"])
        ledger.list_applied(30.0, 41, "l-a", "discovery")
        self.assertEqual(ledger.current(40.0)["confirmed_ms"], 10)

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from(["set", "list", "take", "end", "post", "refuse"]), st.integers(0, 9)), max_size=400)
    )
    def test_counts(self, course):
        """Whatever happens it stays bounded, and each txn and posting is counted once, where it belongs."""
        ledger, now, taken, posted, open_ = DecisionLog(0.0, ""), 0.0, 0, 0, set()
        ledger.settings_applied(0.0, "0", "start")
        for what, number in course:
            now += 1.0
            if what == "set":
                ledger.settings_applied(now, str(number), "x")
            elif what == "list":
                ledger.list_applied(now, number, str(number % 3), "x")
            elif what == "take" and now not in open_:
                ledger.request_taken(now, types.SimpleNamespace(request_id=now))
                open_.add(now)
                taken += 1
            elif what == "end" and open_:
                ledger.request_ended(types.SimpleNamespace(request_id=open_.pop()), True)
            elif what == "post" and ledger.lists:
                ledger.attempt_sent(now)
                posted += 1
            elif what == "refuse":
                ledger.refused(now, "settings", "x" * 1000)
        self.assertEqual(sum(one.open_requests for one in ledger.settings), len(open_))
        self.assertLessEqual(len(ledger.refusals), MAX_ENTRIES)
        self.assertLessEqual(sum(not one.open_requests for one in ledger.settings), MAX_ENTRIES)
        if not ledger.dropped:
            self.assertEqual(sum(one.acts for one in ledger.settings), taken)
            self.assertEqual(sum(one.acts for one in ledger.lists), posted)
        self.assertEqual(
            [one.version.generation for one in ledger.settings], sorted(one.version.generation for one in ledger.settings)
        )

    def test_bound(self):
        """A thousand versions cost what MAX_ENTRIES cost; who has open txns is kept."""
        ledger = DecisionLog(0.0, "")
        ledger.settings_applied(0.0, "first", "start")
        ledger.request_taken(0.0, types.SimpleNamespace(request_id=1))
        for at in range(1000):
            ledger.settings_applied(float(at), str(at), "SIGHUP")
            ledger.list_applied(float(at), at, str(at), "discovery")
        self.assertEqual((len(ledger.settings), len(ledger.lists)), (MAX_ENTRIES, MAX_ENTRIES))
        self.assertEqual((ledger.settings[0].version.generation, ledger.settings[-1].version.generation), (1, 1001))
        self.assertLess(len(json.dumps(ledger.acted_within(2000.0, 1e9))), 60_000)


class Told(unittest.TestCase):
    def setUp(self):
        logger.remove()

    async def ops(self, h, call):
        reader, writer = await asyncio.open_connection("127.0.0.1", h.ops)
        writer.write(f"GET {call} HTTP/1.1\r\n\r\n".encode())
        head, _, body = (await reader.read()).decode().partition("\r\n\r\n")
        writer.close()
        said = json.loads(body)
        # What differs from run to run: ages, digests, ports.
        text = re.sub(r'"([a-z]+_ms)": [\d.]+', r'"\1": N', json.dumps(said))
        text = re.sub(r'"(program|digest)": "[0-9a-f]{16}"', r'"\1": "D"', re.sub(r"127\.0\.0\.1:\d+|/\S+/", "X", text))
        h.say(f"{call}: {head.split()[1]} {text}")
        return said

    def test_calls(self):
        """What it holds, by whose word, what was refused and what was done under each; off, there is no such call."""
        with tempfile.TemporaryDirectory() as folder:
            path, file = pathlib.Path(folder, "operator.toml"), pathlib.Path(folder, "config.json")
            path.write_text("[versions]\ntell = true\ncarry = true\n")

            async def story(h):
                await self.ops(h, "/admin/versions")
                if not h.environ:
                    return
                await h.call("safe")
                said = await self.quiet(h)
                for text in (json.dumps(h.told | {"settings": h.told["settings"] | {"step": 2000}}), "{half"):
                    file.write_text(text)
                    os.kill(os.getpid(), signal.SIGHUP)
                    while text == "{half" and not said["refused"] or said["settings"]["generation"] < 2:
                        await asyncio.sleep(0.01)
                        said = await self.quiet(h)
                await h.call("safe")
                h.list(("b", "leaving"), complete=False)
                while (await self.quiet(h))["list"]["revision"] != h.revision:
                    await asyncio.sleep(0.01)
                await self.ops(h, "/admin/versions")
                await self.ops(h, "/admin/acted")
                for since in ("x", "-1", "nan", "0"):
                    await self.ops(h, f"/admin/acted?since={since}")

            on = {"SLOEFERRY_OPERATOR": str(path), "BALANCER_CONFIG": str(file)}
            play(self, story, "versions_told", Harbour({"b": answer()}, ops=True, environ=on), Harbour({"b": answer()}, ops=True))

    async def quiet(self, h):
        before = len(h.lines)
        said = await self.ops(h, "/admin/versions")
        del h.lines[before:]
        return said

    def test_file(self):
        """The operators' file: a fault names its key, and ends the program with one line and 2."""
        lines = Lines()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "operator.toml")
            for text in (
                "[versions]\ntell = 1",
                "[versions]\nshout = true",
                "[version]\ntell = true",
                "versions = 3",
                "[versions",
            ):
                path.write_text(text)
                with self.assertRaises(ConfigError) as caught:
                    read_features(path)
                lines.lines.append(f"{text!r}  ->  {str(caught.exception).replace(folder, '')}")
            path.write_text("")
            self.assertEqual(read_features(path), Features(DecisionLogFeatures(tell=False, bring_up=False, carry=False)))
            self.assertTrue(read_features(ROOT / "deploy" / "operator.toml").versions.tell)
            with self.assertRaises(ConfigError):
                read_features(pathlib.Path(folder, "none"))
        kept(self, lines, "versions_file")

    def test_signal_at_start(self):
        """A SIGHUP that comes while the program starts ends nothing, and the file is read once more."""
        # Until there was a handler, some 0.2 s, it ended the process: the rig's drawn plan 19.
        code = (
            "import runpy, signal, sys; sys.modules['uvloop'] = None\n"
            "try: runpy.run_module('sloeferry', run_name='__main__')\n"
            "except ImportError: print(signal.getsignal(signal.SIGHUP) == signal.SIG_DFL)"
        )
        self.assertEqual(subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True).stdout, "False\n")
        with tempfile.TemporaryDirectory() as folder:
            path, file = pathlib.Path(folder, "operator.toml"), pathlib.Path(folder, "config.json")
            path.write_text("[versions]\ntell = true\n")

            async def story(h):
                said = await self.quiet(h)
                h.say(f"generation {said['settings']['generation']} by {said['settings']['by']}, refused {len(said['refused'])}")

            on = {"SLOEFERRY_OPERATOR": str(path), "BALANCER_CONFIG": str(file)}
            with mock.patch.object(Harbour, "has_pending_reload", True):
                play(self, story, "versions_early", Harbour({"b": answer()}, ops=True, environ=on))

    def test_off(self):
        """What is off is not imported."""
        code = (
            "import sys; from sloeferry.lifecycle import proxy_process, startup; proxy_process._read_features({}); "
            "print([name for name in sys.modules if 'decision_log' in name or 'features' in name])"
        )
        self.assertEqual(subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True).stdout, "[]\n")


if __name__ == "__main__":
    unittest.main()
