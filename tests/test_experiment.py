"""Experiments: what a comparison finds, invalid files, resuming, failed runs, and one pair of real runs."""
import os
import shutil
import tempfile
import unittest

import numpy as np

from laddergw.lab import experiment as experiments
from laddergw.lab.compare import ALIKE, BETTER, OPEN, WORSE, compare
from laddergw.lab.experiment import Experiment, Job, Results, Variant
from laddergw.terms.sexpr import FileRejected

EXPERIMENT_FILE = """(experiment "e" (days calm deaths) (seeds 1 4) (measure service) (matters 0.02) (seconds 4) (nodes 6) (directors 2) (rate 6)
  (variant "as it is") (variant "other" (planners 1)))"""


def draw_services(seed, regression, noise=0.02, pairs=24):
    """Services of pairs of runs: days differ much from each other, variants of one day little."""
    generator = np.random.default_rng(seed)
    first = generator.uniform(0.4, 0.95, pairs)
    return first, first - regression + generator.normal(0, noise, pairs)


def stub_run(variant, job, changes, checkout_path):
    """Stands in for a run: service by seed, slightly worse for one variant; one run fails."""
    if job == Job("worse", "calm", 3):
        return {"failed": "broke off"}
    return {"service": 0.8 + job.seed % 7 / 50 - (0.05 if variant.name == "worse" else 0.0), "seed": job.seed}


class CompareTest(unittest.TestCase):
    def test_a_regression_is_found_and_no_difference_is_not(self):
        """A loss of 0.03 of service, in twenty comparisons with it and twenty without, each evaluated once."""
        found = [compare(*draw_services(seed, 0.03), 0.99, seed, 0.02).verdict for seed in range(20)]
        self.assertEqual(found, [WORSE] * 20)
        found = [compare(*draw_services(100 + seed, 0.0), 0.99, seed, 0.02).verdict for seed in range(20)]
        self.assertTrue(set(found) <= {ALIKE, OPEN} and found.count(ALIKE) >= 18, found)
        self.assertEqual(compare(*draw_services(5, -0.05), 0.95, 1, 0.01).verdict, BETTER)

    def test_intervals_cover_the_true_difference(self):
        """Of 300 intervals at 90%, nine tenths contain the true difference, minus a margin for chance."""
        covered = sum(one.low <= -0.01 <= one.high for one in (compare(*draw_services(seed, 0.01, 0.05, 16), 0.9, seed, 0.0) for seed in range(300)))
        self.assertGreaterEqual(covered, 255)

    def test_more_looks_widen_the_interval(self):
        single_look, ten_looks = (compare(*draw_services(3, 0.0), 0.95, 1, 0.0, looks) for looks in (1, 10))
        self.assertTrue(ten_looks.low < single_look.low and ten_looks.high > single_look.high)
        self.assertEqual(compare([0.5] * 5, [0.1] * 5, 0.95, 1, 0.0).verdict, OPEN)
        with self.assertRaises(ValueError):
            compare([1.0], [1.0, 2.0], 0.95, 1, 0.0)


class RunTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)
        self.reports = []

    def make_experiment(self, **more):
        variants = (Variant("first", 0, None, None, {}), Variant("worse", 0, None, None, {}), Variant("same", 0, None, None, {}))
        return Experiment("e", ("calm", "crowd"), (1, 10), "service", 0.01, 0.95, variants, {})._replace(**more)

    def open_results(self):
        return Results(os.path.join(self.folder, "r.db"))

    def test_stops_once_decided_and_resumes(self):
        experiment, results = self.make_experiment(), self.open_results()
        found = experiments.run(experiment, results, self.reports.append, 2, run_job=stub_run)
        self.assertEqual((found["worse"].verdict, found["same"].verdict), (WORSE, ALIKE))
        self.assertIn("decided: the remaining runs are skipped", self.reports)
        run_count = len(results.load_all("e"))
        self.assertLess(run_count, 60)
        self.reports.clear()
        again = experiments.run(self.make_experiment(seeds=(1, 12)), self.open_results(), self.reports.append, 2, run_job=stub_run)
        self.assertEqual((again["worse"].mean, len(results.load_all("e"))), (found["worse"].mean, run_count))
        self.assertIn(f"{run_count} runs are stored already", self.reports[0])

    def test_failed_runs_are_reported_and_left_out_of_pairs(self):
        results = self.open_results()
        experiments.run(self.make_experiment(seeds=(1, 4), matters=0.0), results, self.reports.append, 2, run_job=stub_run)
        self.assertTrue(any("worse, calm, seed 3: broke off" in line for line in self.reports))
        first, second = experiments.paired_measures(self.make_experiment(seeds=(1, 4)), results.load_all("e"), "worse")
        self.assertEqual((len(first), len(second)), (7, 7))

    def test_invalid_files_are_rejected(self):
        path = os.path.join(self.folder, "e.scm")
        for text, message in ((EXPERIMENT_FILE.replace("deaths", "nights"), "no day 'nights'"), (EXPERIMENT_FILE.replace('(variant "other" (planners 1))', ""), "two at least"),
                           (EXPERIMENT_FILE.replace("(planners 1)", '(limits "none.limits")'), "no file 'none.limits'"), (EXPERIMENT_FILE.replace("service", "luck"), "luck is not one of"),
                           (EXPERIMENT_FILE.replace("1 4", "4 1"), "a first and a last"), (EXPERIMENT_FILE.replace("(matters", "(mattters"), "is not known here")):
            with open(path, "w") as stream:
                stream.write(text)
            with self.subTest(message), self.assertRaisesRegex(FileRejected, message):
                experiments.read_file(path)

    def test_a_pair_of_real_runs(self):
        path = os.path.join(self.folder, "e.scm")
        with open(path, "w") as stream:
            stream.write(EXPERIMENT_FILE.replace("calm deaths", "deaths").replace("1 4", "1 1"))
        results = self.open_results()
        experiments.run(experiments.read_file(path), results, self.reports.append, 2)
        found = results.load_all("e")
        self.assertEqual(set(found), {Job("as it is", "deaths", 1), Job("other", "deaths", 1)})
        self.assertTrue(all("failed" not in measures and measures["rules"] == 0 and measures["plays"] > 10 for measures in found.values()), found)
        self.assertEqual(experiments.run_in_process(Variant("x", 0, "/none", None, {}), Job("x", "calm", 1), {}, None)["failed"][:17], "FileNotFoundError")


if __name__ == "__main__":
    unittest.main()
