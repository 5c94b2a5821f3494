"""Scenario files: reading, the named days, and shrinking of failing scripts."""
import logging
import unittest

from laddergw.lab import audit, scenario_file, shrink
from laddergw.lab.script import KINDS, FaultEvent
from laddergw.lab.stage_memory import MemoryStage
from laddergw.terms.sexpr import FileRejected

REJECTED = {
    "holds (day": "(night)", "says: is missing": '(day "a")', "is not known here; seconds?": '(day "a" (says "x") (secnds 5))', "is given twice": '(day "a" (says "x")) (day "a" (says "y"))',
    "'hum' is none of still": '(day "a" (says "x") (nodes-fault hum (at 1) (for 2) (part 0.1)))', "part: is missing": '(day "a" (says "x") (nodes-die (at 1)))',
    "at: is missing": '(day "a" (says "x") (nodes-die (part 0.1)))', "one figure, or two from low to high": '(day "a" (says "x") (list-out (at 9 4) (for 2)))',
    "in groups of 3, not 2": '(day "a" (says "x") (crowd (burst 1 2)))', "a stray value": '(day "a" (says "x") (nodes-die soon (at 1) (part 0.1)))',
    "out of range": '(day "a" (says "x") (crowd (impatient 3)))', "nodes: 1.5 is not a whole number": '(day "a" (says "x") (nodes 1.5))'}


class ScenarioFileTest(unittest.TestCase):
    def test_faults_are_reported_with_their_places(self):
        for message, text in REJECTED.items():
            with self.subTest(message), self.assertRaises(FileRejected) as caught:
                scenario_file.read(text, "d.scm")
            self.assertIn(message, str(caught.exception))
            self.assertTrue(all(fault.place.line == 1 for fault in caught.exception.faults))

    def test_named_days(self):
        days = scenario_file.named_days()
        self.assertGreaterEqual(len(days), 25)
        for day in days.values():
            self.assertGreater(len(day.says), 20)
            for seed in 1, 2:
                model = scenario_file.deployment_of(day, seed)
                script = scenario_file.script_of(day, model)
                self.assertEqual(script, scenario_file.script_of(day, model))
                self.assertTrue(all(event.kind in KINDS and 0 <= event.at <= 1_000 * model.crowd.seconds + 20_000 for event in script))
                self.assertEqual(script, shrink.prune(script))
        self.assertNotEqual(*(scenario_file.script_of(days["everything"], scenario_file.deployment_of(days["everything"], seed)) for seed in (1, 2)))

    def test_script_and_deployment_of_a_day(self):
        day = scenario_file.read('(day "d" (says "a") (rate 9) (seconds 8) (nodes 6) (directors 2) (crowd (shape 0 1 4 2 8 1) (burst 2 3 4) (hot 1 2 0.5 3) (impatient 0.5))'
                           '(nodes-die (at 2 3) (back 1) (part 0.3)) (list-lag (at 1) (ms 400) (for 3)) (directors-frozen (at 4) (for 2) (part 0.5)))')["d"]
        model = scenario_file.deployment_of(day, 4, directors=3)
        self.assertEqual((model.directors, len(model.nodes), model.crowd.rate, model.crowd.bursts, model.crowd.hot, model.crowd.impatient),
                         (3, 6, 9, ((2, 3, 4),), ((1, 2, 0.5, 3),), 0.5))
        script = scenario_file.script_of(day, model)
        self.assertEqual([event.kind for event in script], ["list-lag", "die", "die", "return", "return", "freeze", "freeze", "list-lag"])
        self.assertTrue(all(2_000 <= event.at <= 3_000 for event in script if event.kind == "die"))

    def test_small_days_violate_no_rule(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        days = scenario_file.named_days()
        for name in ("all-stand-still", "directors-freeze", "everything"):
            model = scenario_file.deployment_of(days[name], 3, nodes=8, directors=2, rate=6)
            result = audit.audit(model, MemoryStage(model, scenario_file.script_of(days[name], model)).run())
            self.assertEqual((result.without, result.twice, result.breaks), (0, 0, []), name)


class ShrinkTest(unittest.TestCase):
    def test_events_that_matter_remain(self):
        script = [FaultEvent(float(at), "die", at) for at in range(60)]
        essential = {7, 31, 52}
        found = shrink.shrink(script, lambda candidate: essential <= {event.who for event in candidate})
        self.assertEqual({event.who for event in found.script}, essential)
        self.assertLess(found.played, 120)

    def test_bounded_and_without_orphans(self):
        script = [FaultEvent(1.0, "kill", 0), FaultEvent(2.0, "start", 0), FaultEvent(3.0, "list-out"), FaultEvent(4.0, "list-back"), FaultEvent(5.0, "die", 1)]
        found = shrink.shrink(script, lambda candidate: any(event.kind == "start" for event in candidate))
        self.assertEqual([event.kind for event in found.script], ["kill", "start"])
        self.assertEqual(shrink.shrink(script * 20, lambda candidate: True, max_runs=3).played, 3)


if __name__ == "__main__":
    unittest.main()
