"""The ramp at nodes that have just started holds for the sum over all directors: the very module, many of it, on one virtual clock."""
import unittest

from tests.cold_fleet import Case, Fleet

CASES = {
    "twenty": Case(20), "thirty": Case(30), "thirty, told late": Case(30, told=4_000.0), "half of them restart": Case(30, restarts=0.5),
    "some see six times the others' requests": Case(30, skew=6.0, told=4_000.0, restarts=0.5), "a rush": Case(30, rate=8.0, burst=3.0),
    "small nodes": Case(20, streams=10.0), "a large allowance": Case(30, streams=120.0, multiple=4.0),
    "a long span": Case(20, warm_ms=5_000.0, fall_ms=2_000.0), "three": Case(3, rate=30.0),
    "dead ones come back, told late": Case(30, dead=4_000.0, told=4_000.0),
}
SEEDS = 1


class ColdFleet(unittest.TestCase):
    def test_no_span_holds_more_than_chance_explains(self):
        """Over N, what the settings allow in the span, only 2 roots of N and 2 more are chance. Without numbers for the directors' turns
        a rush went over it in 4 of 10 plays, small nodes in 4 of 10, thirty directors in 1 of 10."""
        for name, case in CASES.items():
            for seed in range(SEEDS):
                with self.subTest(name, seed=seed):
                    play = Fleet(case, seed).run()
                    self.assertLessEqual(play.excess(), 0.0)
                    self.assertGreater(play.used(), 0.05)        # a ramp that sends nothing holds too, and helps nobody

    def test_the_count_sees_a_fleet_without_its_ramp(self):
        """The judge itself: directors that take every cold node for warm are seen."""
        play = Fleet(Case(20, warm_ms=12_000.0), 0)
        for controller in play.controllers:
            controller.candidates.ramp_allows = lambda now, node: True
        self.assertGreater(play.run().excess(), 0.0)


if __name__ == "__main__":
    unittest.main()
