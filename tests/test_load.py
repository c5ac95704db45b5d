"""The load tool: plans are the same for the same seed, counts add up, and a short play ends with every txn counted."""

import unittest

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.cli import main
from sloeferry.load_testing import cases, play, step
from sloeferry.load_testing import plan as p
from sloeferry.load_testing import tally as t
from sloeferry.load_testing.cli import load


class Plans(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.lists(st.tuples(st.floats(0.1, 3), st.floats(0, 300)), min_size=1, max_size=4), st.integers(0, 99))
    def test_arrivals(self, curve, seed):
        """In order, within the curve, the same anew, and the same after a trip through JSON."""
        one = p.Plan(tuple(curve), seed)
        said = list(p.arrivals(one))
        self.assertEqual(said, list(p.arrivals(p.Plan.of_json(one.as_json()))))
        self.assertEqual([a.at for a in said], sorted(a.at for a in said))
        self.assertTrue(all(0 <= a.at < one.seconds() + 1e-9 for a in said))
        parts = [one.part(at, 3) for at in range(3)]
        self.assertEqual(sum(part.habits.connections for part in parts), one.habits.connections)
        self.assertAlmostEqual(sum(part.curve[0][1] for part in parts), one.curve[0][1])

    def test_curve(self):
        self.assertEqual(p.parse_curve("2:500,0.5:1500"), ((2.0, 500.0), (0.5, 1500.0)))
        for text in ("", "2", "x:1", "0:5", "1:-1", "1:nan,", "99999:1"):
            with self.assertRaises(p.LoadPlanError, msg=text):
                p.parse_curve(text)

    def test_cases(self):
        """Every hard case can be laid, and lasts as long as it says."""
        for name, case in cases.CASES.items():
            plan, rig = case.make(1000.0, p.Plan(((1.0, 0.0),)), play.Rig())
            self.assertAlmostEqual(plan.seconds(), case.length, msg=name)
            self.assertLess(case.ended, plan.seconds())


class Tallies(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.lists(st.tuples(st.floats(0, 9.9), st.sampled_from(t.KINDS), st.floats(0, 5)), max_size=60))
    def test_parts(self, ends):
        """Workers' parts added up are the whole."""
        whole, sum_ = t.Tally(), t.Tally()
        for half in (ends[::2], ends[1::2]):
            part = t.Tally()
            for at, kind, gain in half:
                part.count(at, kind, gain)
                whole.count(at, kind, gain)
                part.time(kind, gain)
                whole.time(kind, gain)
            sum_.add(part.as_json())
        self.assertEqual(whole.by_second, sum_.by_second)
        self.assertEqual(whole.offered(), len(ends))
        self.assertAlmostEqual(whole.worth[0], sum_.worth[0])
        self.assertEqual(whole.answers.get_total_count(), sum_.answers.get_total_count())

    def test_recovered(self):
        tally = t.Tally()
        for at, good in enumerate((1, 1, 0, 0, 1, 1)):
            tally.count(at, t.INTIME if good else t.LATE)
            tally.count(at, t.REFUSED)
        self.assertEqual(tally.recovered(2.0), 2.0)
        self.assertEqual(tally.recovered(4.0), 0.0)
        tally.count(6, t.LOST)
        self.assertIsNone(tally.recovered(2.0))

    def test_rows(self):
        rows = [
            (1.0, [{"in_time": 100, "cpu_us": 50}], [{"in_time": 50, "cpu_us": 100}]),
            (4.0, [{"in_time": 90, "cpu_us": 30}], [{"in_time": 0, "cpu_us": 60}]),
        ]
        self.assertEqual(step.held(rows), {1.0: 1.0, 4.0: 0.9})
        self.assertEqual(step.ratios(rows, "cpu_us"), {1.0: (0.5, 0.5, 0.5), 4.0: (0.5, 0.5, 0.5)})
        self.assertEqual(step.ratios(rows, "in_time"), {1.0: (2.0, 2.0, 2.0)})


class Played(unittest.TestCase):
    def test_short(self):
        """A real daemon, stand-ins and callers: every txn drawn is counted once, and some are served.  How many in
        time is no matter here."""
        plan = p.Plan(((1.5, 40.0),), 3, habits=p.Habits(refused=0.1, fresh=0.2))
        said = play.play(plan, play.Rig(workers=1, backends=3, cores=None))
        ends = sum(n for kinds in said["by_second"].values() for n in kinds.values())
        self.assertEqual(ends, len(list(p.arrivals(plan.part(0, 1)))))
        self.assertGreater(said["backends"]["served"], 0)
        self.assertEqual(said["twice"], 0)
        self.assertGreater(said["cpu_us"], 0)

    def test_command_line(self):
        """Bad input gets one line that names the option, and exit 2."""
        main.add_command(load)
        for words, name in (
            (["load", "run", "--curve", "x"], "--curve"),
            (["load", "step", "--factors", "a"], "--factors"),
            (["load", "run", "--target", "10.0.0.1:80"], "--target"),
        ):
            said = CliRunner().invoke(main, words)
            self.assertIsInstance(said.exception, p.LoadPlanError, words)
            self.assertIn(name, str(said.exception))
        for words in (["load", "case", "nothing", "--saturation", "5"], ["check-config", "/nowhere"]):
            self.assertEqual(CliRunner().invoke(main, words).exit_code, 2)


if __name__ == "__main__":
    unittest.main()
