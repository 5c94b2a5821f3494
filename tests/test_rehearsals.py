"""Whole rehearsals in memory: rules kept on a bad day, the same run twice, and broken directors caught by the audit."""
import logging
import unittest

from laddergw.lab import script
from laddergw.lab.audit import audit
from laddergw.lab.deployment_model import build_deployment
from laddergw.lab.stage_memory import MemoryStage
from tests import broken

SECONDS = 12.0


def small(seed, **changes):
    return build_deployment(seed, directors=3, nodes=12, rate=16.0, seconds=SECONDS, **changes)


def perform(the_plant, the_script, director=None):
    stage = MemoryStage(the_plant, the_script, **({"director_class": director} if director else {}))
    return stage.run()


class BadDay(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_rules_are_kept_on_bad_days(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                the_plant = small(seed)
                judged = audit(the_plant, perform(the_plant, script.bad_day(the_plant)))
                self.assertEqual([f"{b.rule}: {b.what}" for b in judged.breaks], [])
                self.assertEqual((judged.without, judged.twice), (0, 0))
                self.assertGreater(judged.outcomes["played"], 0.6 * judged.plays)

    def test_the_same_seed_gives_the_same_run(self):
        the_plant = small(3)
        first, second = (perform(the_plant, script.bad_day(the_plant)) for _ in range(2))
        self.assertEqual(first, second)


class BrokenDirectors(unittest.TestCase):
    """An audit that cannot fail proves nothing: each broken director must be caught by its rule."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def caught(self, director, rule, the_script, **changes):
        the_plant = small(5, **{key: value for key, value in changes.items() if key != "plan"})
        the_plant = the_plant._replace(**changes.get("plan", {}))
        judged = audit(the_plant, perform(the_plant, the_script(the_plant), director))
        self.assertIn(rule, {b.rule for b in judged.breaks})
        self.assertIn("rules-broken", judged.line())
        self.assertTrue(all(b.evidence for b in judged.breaks))

    def test_viewers_left_without_an_answer(self):
        self.caught(broken.NeverAnswers, "answers", lambda p: [], load=1.6)

    def test_two_answers(self):
        self.caught(broken.AnswersTwice, "answers", lambda p: [])

    def test_two_allocations_out(self):
        self.caught(broken.SkipsReleases, "once", lambda p: [script.FaultEvent(3_000, "late", node.node, 1_500.0) for node in p.nodes])

    def test_set_ups_after_a_drain_was_told(self):
        self.caught(broken.IgnoresDrains, "drains", lambda p: [script.FaultEvent(1_000, "replace", node.node, 8_000.0) for node in p.nodes[:6]])

    def test_a_cold_node_pushed_over(self):
        nodes = tuple(facts._replace(streams=10) for facts in small(5).nodes)
        self.caught(broken.OverloadsColdNodes, "cold", lambda p: [script.FaultEvent(2_000, "replace", node.node, 500.0) for node in p.nodes[:2]],
                    plan={"nodes": nodes, "streams": (10,)})

    def test_rungs_under_the_floor(self):
        self.caught(broken.PlaysLowestRung, "terms", lambda p: [])

    def test_more_plays_than_seats(self):
        wares = tuple(w._replace(seats=1) for w in small(5).wares)
        self.caught(broken.IgnoresSeats, "terms", lambda p: [], plan={"wares": wares})

    def test_too_many_further_allocations(self):
        self.caught(broken.IgnoresBudgets, "budget",
                    lambda p: [script.FaultEvent(2_000, "errors", node.node, 0.9) for node in p.nodes],
                    plan={"budget": (1.0, 0.05, 10_000.0)})


if __name__ == "__main__":
    unittest.main()
