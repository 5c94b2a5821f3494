"""A short soak: trials of a few fixed seeds with real processes, judged by every rule."""

import contextlib
import io
import pathlib
import sys
import tempfile
import unittest

import typer

from laddergw.cli import rehearse_soak
from laddergw.lab.soak import plan
from laddergw.lab.soak.messages import SETTINGS
from laddergw.lab.soak.result import play_plan
from laddergw.lab.soak.terms import DEFAULT_TERMS

# Each has restarts, drains and an outage of the change log, and takes about 12 s; the last one has
# a vanished machine, a cut, a restart and a product that is keyed by cell, and takes 20 s.
SEEDS = 14, 25, 40, 7
# Share of the requests of a plan, without its crowds, that have to be played: a fleet that refuses
# every viewer would keep every rule.
MIN_PLAYED_SHARE = 0.2


class SoakTest(unittest.TestCase):
    """Trials of real directors, and the input that the command rejects."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def test_seeds_keep_every_rule(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                drawn = plan.draw(seed, len(DEFAULT_TERMS.products))
                result = play_plan(drawn, DEFAULT_TERMS, SETTINGS, str(self.folder / str(seed)))
                self.assertTrue(result.judged, f"its own lag was {result.lag_ms} ms")
                self.assertEqual(result.breaks, [], "\n\n".join(result.stories))
                self.assertGreater(result.played, MIN_PLAYED_SHARE * drawn.rate * drawn.seconds)
                print(
                    f"soak seed {seed}: {result.asked} plays, {result.played} played, "
                    f"lag {result.lag_ms} ms",
                    file=sys.stderr,
                )

    def test_bad_input_is_one_line_and_exit_code_2(self):
        wrong = self.folder / "wrong.json"
        wrong.write_text("{}")
        absent = self.folder / "nothing.json"
        for seeds, plan_file, config in (
            ("x", None, None),
            ("9-3", None, None),
            ("1", wrong, None),
            ("1", absent, None),
            ("1", None, wrong),
            ("1", None, absent),
        ):
            with (
                self.subTest(seeds=seeds, plan=plan_file, config=config),
                contextlib.redirect_stderr(io.StringIO()) as stderr,
            ):
                with self.assertRaises(typer.Exit) as ended:
                    rehearse_soak.soak(seeds, plan_file, plan.Sizes(), config, None, None, 1, None)
                self.assertEqual(
                    (ended.exception.exit_code, stderr.getvalue().count("\n")),
                    (rehearse_soak.EXIT_NOT_RUN, 1),
                )


if __name__ == "__main__":
    unittest.main()
