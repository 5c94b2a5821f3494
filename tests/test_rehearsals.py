"""Whole rehearsals in memory: a bad day violates no rule, runs are reproducible, and the audit detects broken directors."""
import logging
import unittest

from laddergw.lab import script
from laddergw.lab.audit import audit
from laddergw.lab.deployment_model import build_deployment
from laddergw.lab.stage_memory import MemoryStage
from tests import broken

SECONDS = 12.0


def small_deployment(seed, **changes):
    return build_deployment(seed, directors=3, nodes=12, rate=16.0, seconds=SECONDS, **changes)


def run_in_memory(model, events, director=None):
    """Runs a rehearsal; returns its records."""
    stage = MemoryStage(model, events, **({"director_class": director} if director else {}))
    return stage.run()


class BadDayTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_bad_days_violate_no_rule(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                model = small_deployment(seed)
                result = audit(model, run_in_memory(model, script.bad_day(model)))
                self.assertEqual([f"{b.rule}: {b.what}" for b in result.breaks], [])
                self.assertEqual((result.without, result.twice), (0, 0))
                self.assertGreater(result.outcomes["played"], 0.6 * result.plays)

    def test_same_seed_gives_same_records(self):
        model = small_deployment(3)
        first, second = (run_in_memory(model, script.bad_day(model)) for _ in range(2))
        self.assertEqual(first, second)


class BrokenDirectorTest(unittest.TestCase):
    """Guards against an audit that cannot fail: each broken director must violate its rule."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def assert_detected(self, director, rule, make_script, **changes):
        """Asserts that the audit finds a violation of a rule, with its evidence."""
        model = small_deployment(5, **{key: value for key, value in changes.items() if key != "model"})
        model = model._replace(**changes.get("model", {}))
        result = audit(model, run_in_memory(model, make_script(model), director))
        self.assertIn(rule, {b.rule for b in result.breaks})
        self.assertIn("rules-broken", result.line())
        self.assertTrue(all(b.evidence for b in result.breaks))

    def test_missing_answers(self):
        self.assert_detected(broken.NeverAnswers, "answers", lambda model: [], load=1.6)

    def test_two_answers(self):
        self.assert_detected(broken.AnswersTwice, "answers", lambda model: [])

    def test_two_allocations_at_once(self):
        self.assert_detected(broken.SkipsReleases, "once", lambda model: [script.FaultEvent(3_000, "late", node.node, 1_500.0) for node in model.nodes])

    def test_set_ups_after_a_drain_notice(self):
        self.assert_detected(broken.IgnoresDrains, "drains", lambda model: [script.FaultEvent(1_000, "replace", node.node, 8_000.0) for node in model.nodes[:6]])

    def test_overloaded_cold_node(self):
        nodes = tuple(facts._replace(streams=10) for facts in small_deployment(5).nodes)
        self.assert_detected(broken.OverloadsColdNodes, "cold", lambda model: [script.FaultEvent(2_000, "replace", node.node, 500.0) for node in model.nodes[:2]],
                    model={"nodes": nodes, "streams": (10,)})

    def test_rungs_below_the_lowest(self):
        self.assert_detected(broken.PlaysLowestRung, "terms", lambda model: [])

    def test_more_plays_than_seats(self):
        wares = tuple(product._replace(seats=1) for product in small_deployment(5).wares)
        self.assert_detected(broken.IgnoresSeats, "terms", lambda model: [], model={"wares": wares})

    def test_too_many_retries(self):
        self.assert_detected(broken.IgnoresBudgets, "budget",
                    lambda model: [script.FaultEvent(2_000, "errors", node.node, 0.9) for node in model.nodes],
                    model={"budget": (1.0, 0.05, 10_000.0)})


if __name__ == "__main__":
    unittest.main()
