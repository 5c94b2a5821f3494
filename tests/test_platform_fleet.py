"""Many real processes of the platform's director during faults: what passed on their sockets is judged by every term."""
import sys
import unittest

from laddergw.lab.soak.judge import judge
from laddergw.lab.soak.judge_cold import cold_start_excess
from laddergw.lab.soak.terms import DEFAULT_TERMS, Product
from laddergw.lab.soak.trial import Trial

DIRECTORS, NODES, RATE, SECONDS, SEED = 12, 12, 120.0, 11.0, 34
TERMS = DEFAULT_TERMS._replace(products=(Product("guide", 0.6, 4_000.0, False), Product("paid", 0.4, 3_000.0, True)))


def replace(names, successors, drain_ms=1_500.0):
    """Returns a step: nodes drain, cold successors take their places, and the old processes end."""
    def act(trial):
        trial.log.publish(*(trial.nodes[name].list_entry("DRAINING") for name in names))
        trial.log.publish(*(trial.add_node(new, trial.nodes[old].cell, True).list_entry("SERVING") for old, new in zip(names, successors)))
        trial.loop.call_later(drain_ms, lambda: trial.log.publish(*(trial.nodes[name].list_entry("DELETED") for name in names)))
        trial.loop.call_later(drain_ms + 300.0, lambda: [trial.nodes[name].die() for name in names])
    return act


def each(numbers, act):
    """Returns a step: acts on those of the directors that take plays."""
    return lambda trial: [act(trial.directors[number]) for number in numbers if trial.directors[number].accepts_plays]


BAD_DAY = [
    (1_000.0, replace([f"s{n}" for n in range(6)], [f"s{n}" for n in range(12, 18)])),
    (1_500.0, each((0, 1), lambda director: director.stop())),
    (2_500.0, each((2, 3), lambda director: director.stop())),
    (2_700.0, lambda trial: [trial.nodes[name].reset() for name in ("s6", "s7", "s12")]),
    (3_500.0, each((4, 5, 6), lambda director: director.kill())),
    (4_000.0, lambda trial: trial.log.go_down()),
    (4_200.0, lambda trial: trial.nodes["s8"].hang()),
    (5_700.0, lambda trial: trial.nodes["s8"].resume()),
    (4_500.0, replace(("s9",), ("s18",), 6_000.0)),
    (5_000.0, each((7,), lambda director: director.freeze(600.0))),
    (5_500.0, lambda trial: [trial.nodes[name].reset() for name in ("s10", "s13", "s14")]),
    (6_500.0, lambda trial: trial.log.come_back()),
    (7_000.0, each((8, 9, 10), lambda director: director.stop())),
    (7_500.0, lambda trial: trial.nodes["s11"].die()),
    (8_000.0, each((11,), lambda director: director.kill())),
]


class Fleets(unittest.TestCase):
    def test_a_bad_day(self):
        """A rollout, restarts and kills of directors, the change log away, connections reset, a node that hangs and one that dies."""
        records = Trial(DIRECTORS, NODES, RATE, SECONDS, BAD_DAY, SEED, terms=TERMS).run()
        self.assertEqual(judge(records, TERMS), [])
        whats = [what for _, what, _ in records]
        played = sum(facts["answer"] == "plays" for _, what, facts in records if what == "answered")
        self.assertGreater(played, 0.4 * whats.count("asked"))       # a fleet that refuses everybody would keep every term
        self.assertGreater(whats.count("left"), 20)
        self.assertGreaterEqual(whats.count("director ready"), DIRECTORS + 9)
        print(f"bad day: asked {whats.count('asked')}, played {played}, left {whats.count('left')}, cut {whats.count('cut')}, set-ups {whats.count('arrived')}, "
              f"most at a cold node over chance {cold_start_excess(records, TERMS):.1f}", file=sys.stderr)


if __name__ == "__main__":
    unittest.main()
