"""Experiments: what a comparison finds and does not, files, resuming, runs that fail, and one real pair."""
import os
import shutil
import tempfile
import unittest

import numpy as np

from laddergw.lab import experiment as lab
from laddergw.lab.compare import ALIKE, BETTER, OPEN, WORSE, compare
from laddergw.lab.experiment import Experiment, Job, Results, Variant
from laddergw.terms.sexpr import FileRejected

FILE = """(experiment "e" (days calm deaths) (seeds 1 4) (measure service) (matters 0.02) (seconds 4) (nodes 6) (directors 2) (rate 6)
  (variant "as it is") (variant "other" (planners 1)))"""


def days(seed, regression, noise=0.02, pairs=24):
    """Services of pairs: days differ much from each other, variants of one day little."""
    chance = np.random.default_rng(seed)
    first = chance.uniform(0.4, 0.95, pairs)
    return first, first - regression + chance.normal(0, noise, pairs)


def stub(variant, job, changes, tree):
    """A run that is none: service by seed, a little worse for one variant, and one that fails."""
    if job == Job("worse", "calm", 3):
        return {"failed": "broke off"}
    return {"service": 0.8 + job.seed % 7 / 50 - (0.05 if variant.name == "worse" else 0.0), "seed": job.seed}


class Compared(unittest.TestCase):
    def test_a_planted_regression_is_found_and_none_is_not(self):
        """Three hundredths of service, twenty times with it and twenty without, each looked at once."""
        found = [compare(*days(seed, 0.03), 0.99, seed, 0.02).verdict for seed in range(20)]
        self.assertEqual(found, [WORSE] * 20)
        found = [compare(*days(100 + seed, 0.0), 0.99, seed, 0.02).verdict for seed in range(20)]
        self.assertTrue(set(found) <= {ALIKE, OPEN} and found.count(ALIKE) >= 18, found)
        self.assertEqual(compare(*days(5, -0.05), 0.95, 1, 0.01).verdict, BETTER)

    def test_intervals_hold_what_they_say(self):
        """Of 300 intervals at nine tenths, at least nine tenths hold the truth, less what chance takes."""
        held = sum(one.low <= -0.01 <= one.high for one in (compare(*days(seed, 0.01, 0.05, 16), 0.9, seed, 0.0) for seed in range(300)))
        self.assertGreaterEqual(held, 255)

    def test_looking_often_costs(self):
        one, often = (compare(*days(3, 0.0), 0.95, 1, 0.0, looks) for looks in (1, 10))
        self.assertTrue(often.low < one.low and often.high > one.high)
        self.assertEqual(compare([0.5] * 5, [0.1] * 5, 0.95, 1, 0.0).verdict, OPEN)
        with self.assertRaises(ValueError):
            compare([1.0], [1.0, 2.0], 0.95, 1, 0.0)


class Played(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)
        self.told = []

    def made(self, **more):
        variants = (Variant("first", 0, None, None, {}), Variant("worse", 0, None, None, {}), Variant("same", 0, None, None, {}))
        return Experiment("e", ("calm", "crowd"), (1, 10), "service", 0.01, 0.95, variants, {})._replace(**more)

    def results(self):
        return Results(os.path.join(self.folder, "r.db"))

    def test_decided_early_and_resumed(self):
        experiment, results = self.made(), self.results()
        found = lab.run(experiment, results, self.told.append, 2, play=stub)
        self.assertEqual((found["worse"].verdict, found["same"].verdict), (WORSE, ALIKE))
        self.assertIn("decided: what is left is not played", self.told)
        played = len(results.all("e"))
        self.assertLess(played, 60)
        self.told.clear()
        again = lab.run(self.made(seeds=(1, 12)), self.results(), self.told.append, 2, play=stub)
        self.assertEqual((again["worse"].mean, len(results.all("e"))), (found["worse"].mean, played))
        self.assertIn(f"{played} runs are here already", self.told[0])

    def test_runs_that_fail_are_told_and_no_pair(self):
        results = self.results()
        lab.run(self.made(seeds=(1, 4), matters=0.0), results, self.told.append, 2, play=stub)
        self.assertTrue(any("worse, calm, seed 3: broke off" in line for line in self.told))
        first, second = lab.paired(self.made(seeds=(1, 4)), results.all("e"), "worse")
        self.assertEqual((len(first), len(second)), (7, 7))

    def test_files(self):
        path = os.path.join(self.folder, "e.scm")
        for text, told in ((FILE.replace("deaths", "nights"), "no day 'nights'"), (FILE.replace('(variant "other" (planners 1))', ""), "two at least"),
                           (FILE.replace("(planners 1)", '(limits "none.limits")'), "no file 'none.limits'"), (FILE.replace("service", "luck"), "luck is not one of"),
                           (FILE.replace("1 4", "4 1"), "a first and a last"), (FILE.replace("(matters", "(mattters"), "is not known here")):
            with open(path, "w") as stream:
                stream.write(text)
            with self.subTest(told), self.assertRaisesRegex(FileRejected, told):
                lab.read_file(path)

    def test_a_real_pair(self):
        path = os.path.join(self.folder, "e.scm")
        with open(path, "w") as stream:
            stream.write(FILE.replace("calm deaths", "deaths").replace("1 4", "1 1"))
        results = self.results()
        lab.run(lab.read_file(path), results, self.told.append, 2)
        found = results.all("e")
        self.assertEqual(set(found), {Job("as it is", "deaths", 1), Job("other", "deaths", 1)})
        self.assertTrue(all("failed" not in told and told["rules"] == 0 and told["plays"] > 10 for told in found.values()), found)
        self.assertEqual(lab.one_run(Variant("x", 0, "/none", None, {}), Job("x", "calm", 1), {}, None)["failed"][:17], "FileNotFoundError")


if __name__ == "__main__":
    unittest.main()
