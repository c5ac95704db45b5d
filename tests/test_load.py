"""Load tool: plans depend only on their seed, outcome counts add up, and a short run counts every request once."""

import unittest

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.cli import main
from sloeferry.load_testing.cli import load
from sloeferry.load_testing.deployment import Deployment
from sloeferry.load_testing.figures import LoadFigures, ProxyFigures
from sloeferry.load_testing.load_run import run_load
from sloeferry.load_testing.outcomes import Outcome, OutcomeCounts
from sloeferry.load_testing.overload_cases import OVERLOAD_CASES
from sloeferry.load_testing.plan import ClientProfile, LoadPlan, LoadPlanError, arrivals, parse_curve
from sloeferry.load_testing.step_report import StepRuns, goodput_to_best_ratios, ratios_to_earlier_revision


def figures(in_time, cpu_us):
    """Return the figures of a run with the given goodput and CPU time per request."""
    proxies = ProxyFigures(cpu_us, cpu_us, 0.0, 0.0, 0.0, 0.0, undecided=0)
    return LoadFigures(in_time, {Outcome.IN_TIME: in_time}, OutcomeCounts(), 0.0, proxies)


class LoadPlanTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.lists(st.tuples(st.floats(0.1, 3), st.floats(0, 300)), min_size=1, max_size=4), st.integers(0, 99))
    def test_arrivals_are_reproducible_and_split_among_workers(self, curve, seed):
        """Arrivals are in order, within the curve, and the same when generated again from the plan's JSON form.

        The workers' parts of the plan add up to its connections and its rate.
        """
        plan = LoadPlan(tuple(curve), seed)
        drawn = list(arrivals(plan))
        self.assertEqual(drawn, list(arrivals(LoadPlan.from_json(plan.as_json()))))
        self.assertEqual([each.at_seconds for each in drawn], sorted(each.at_seconds for each in drawn))
        self.assertTrue(all(0 <= each.at_seconds < plan.duration_seconds() + 1e-9 for each in drawn))
        parts = [plan.for_worker(worker, 3) for worker in range(3)]
        self.assertEqual(sum(part.clients.max_connections for part in parts), plan.clients.max_connections)
        self.assertAlmostEqual(sum(part.curve[0][1] for part in parts), plan.curve[0][1])

    def test_curve_is_parsed_or_rejected(self):
        self.assertEqual(parse_curve("2:500,0.5:1500"), ((2.0, 500.0), (0.5, 1500.0)))
        for text in ("", "2", "x:1", "0:5", "1:-1", "1:nan,", "99999:1"):
            with self.assertRaises(LoadPlanError, msg=text):
                parse_curve(text)

    def test_overload_cases_build_plans_of_their_duration(self):
        """Every overload case builds a plan of its duration, and its disruption ends before the run."""
        for name, case in OVERLOAD_CASES.items():
            plan, _ = case.build(1000.0, LoadPlan(((1.0, 0.0),)), Deployment())
            self.assertAlmostEqual(plan.duration_seconds(), case.duration_seconds, msg=name)
            self.assertLess(case.disruption_ends_seconds, plan.duration_seconds())


class OutcomeCountsTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.lists(st.tuples(st.floats(0, 9.9), st.sampled_from(Outcome), st.floats(0, 5)), max_size=60))
    def test_parts_of_workers_add_up(self, outcomes):
        """The merged parts of several workers equal the counts of the whole run."""
        whole, merged = OutcomeCounts(), OutcomeCounts()
        for half in (outcomes[::2], outcomes[1::2]):
            part = OutcomeCounts()
            for due_seconds, outcome, weight in half:
                part.count(due_seconds, outcome, weight)
                whole.count(due_seconds, outcome, weight)
                part.record_time(outcome, weight)
                whole.record_time(outcome, weight)
            merged.merge(part.as_json())
        self.assertEqual(whole.by_second, merged.by_second)
        self.assertEqual(whole.offered(), len(outcomes))
        self.assertAlmostEqual(whole.weight_in_time, merged.weight_in_time)
        self.assertEqual(whole.served_times.get_total_count(), merged.served_times.get_total_count())

    def test_recovery_lasts_until_the_last_degraded_second(self):
        counts = OutcomeCounts()
        for second, is_in_time in enumerate((1, 1, 0, 0, 1, 1)):
            counts.count(second, Outcome.IN_TIME if is_in_time else Outcome.LATE)
            counts.count(second, Outcome.INVALID)
        self.assertEqual(counts.recovery_seconds(2.0), 2.0)
        self.assertEqual(counts.recovery_seconds(4.0), 0.0)
        counts.count(6, Outcome.LOST)
        self.assertIsNone(counts.recovery_seconds(2.0))

    def test_factors_without_a_baseline_have_no_ratio(self):
        rows = [
            StepRuns(1.0, [figures(in_time=100, cpu_us=50)], [figures(in_time=50, cpu_us=100)]),
            StepRuns(4.0, [figures(in_time=90, cpu_us=30)], [figures(in_time=0, cpu_us=60)]),
        ]
        self.assertEqual(goodput_to_best_ratios(rows), {1.0: 1.0, 4.0: 0.9})
        cpu_ratios = ratios_to_earlier_revision(rows, lambda each: each.cpu_us_per_request)
        self.assertEqual(cpu_ratios, {1.0: (0.5, 0.5, 0.5), 4.0: (0.5, 0.5, 0.5)})
        goodput_ratios = ratios_to_earlier_revision(rows, lambda each: each.in_time_per_second)
        self.assertEqual(goodput_ratios, {1.0: (2.0, 2.0, 2.0)})


class LoadCommandTest(unittest.TestCase):
    def test_short_run_counts_every_request_once(self):
        """With a real proxy, stand-ins and clients, every generated request is counted once and some are served.

        How many are served in time depends on the machine and is not checked.
        """
        plan = LoadPlan(((1.5, 40.0),), 3, clients=ClientProfile(invalid_ratio=0.1, new_connection_ratio=0.2))
        record = run_load(plan, Deployment(worker_count=1, backend_count=3, cpu_share=None)).as_json()
        outcome_count = sum(count for counts in record["by_second"].values() for count in counts.values())
        self.assertEqual(outcome_count, len(list(arrivals(plan.for_worker(0, 1)))))
        self.assertGreater(record["backends"]["served"], 0)
        self.assertEqual(record["twice"], 0)
        self.assertGreater(record["cpu_us"], 0)

    def test_invalid_options_are_reported(self):
        """Invalid options raise an error that names the option, or exit with status 2."""
        main.add_command(load)
        for arguments, option in (
            (["load", "run", "--curve", "x"], "--curve"),
            (["load", "step", "--factors", "a"], "--factors"),
            (["load", "run", "--target", "10.0.0.1:80"], "--target"),
        ):
            result = CliRunner().invoke(main, arguments)
            self.assertIsInstance(result.exception, LoadPlanError, arguments)
            self.assertIn(option, str(result.exception))
        for arguments in (["load", "case", "nothing", "--saturation", "5"], ["check-config", "/nowhere"]):
            self.assertEqual(CliRunner().invoke(main, arguments).exit_code, 2)


if __name__ == "__main__":
    unittest.main()
