"""The judge of releases: each end of what stood has its release in time."""

import unittest

from laddergw.lab.soak.judge import judge
from laddergw.lab.soak.terms import DEFAULT_TERMS as TERMS
from tests.soak_records import GOOD, JudgeTest, answered, arrived, asked, at


class JudgedReleases(JudgeTest):
    """Records just inside and just outside of each time."""

    def stood(self, *more, text="from a"):
        """A session that stands at node a from 100 ms on, asked for on a connection that stays
        open.
        """
        return [
            asked(0, "8"),
            arrived(20, "8"),
            at(90, "made", session="8", node="a", text="from a"),
            at(100, "answered", session="8", answer="plays", text=text, lag=0.0),
            *more,
        ]

    def ended(self, when, what="ended by its node"):
        return at(when, what, session="8", node="a", lag=0.0)

    def test_an_answer_that_no_node_made_is_seen(self):
        self.broken(
            *self.stood(at(600, "released", session="8"), text="from"), part="no media node made"
        )

    def test_a_release_comes_within_a_second_of_its_end(self):
        over_, end = (
            self.ended(500, "release acknowledged"),
            at(9_000, "told", node="z", state="SERVING"),
        )
        self.assertEqual(
            judge([*GOOD, *self.stood(over_, at(1_549, "released", session="8"), end)], TERMS), []
        )
        self.broken(*self.stood(over_, at(1_551, "released", session="8"), end), part="51 ms late")
        self.broken(*self.stood(over_, end), part="told never")
        self.broken(*self.stood(self.ended(500, "torn down"), end), part="told never")

    def test_an_end_of_which_nobody_could_tell_is_found_within_eight_seconds(self):
        died, end = self.ended(500, "died with it"), at(19_000, "told", node="z", state="SERVING")
        self.assertEqual(
            judge([*GOOD, *self.stood(died, at(8_549, "released", session="8"), end)], TERMS), []
        )
        self.broken(*self.stood(died, at(8_551, "released", session="8"), end), part="ms late")

    def test_a_release_waits_for_a_connection_that_has_asked(self):
        gone, over_ = (
            at(400, "connection ended", director="n0", connection=0),
            self.ended(500, "release acknowledged"),
        )
        end = at(9_000, "told", node="z", state="SERVING")
        self.assertEqual(judge([*GOOD, *self.stood(gone, over_, end)], TERMS), [])
        self.broken(
            *self.stood(gone, over_, asked(3_000, "9", connection=1), answered(3_100, "9"), end),
            part="told never",
        )

    def test_what_stands_as_its_director_ends_is_lost_unless_that_was_killed(self):
        stops = at(600, "director ended", director="n0", status=0, fine=(0,))
        self.broken(*self.stood(stops), part="still stood")
        killed, ended = (
            at(99, "director killed", director="n0"),
            at(101, "director ended", director="n0", status=-9, fine=(-9,)),
        )
        self.assertEqual(judge([*GOOD, *self.stood(killed, ended)], TERMS), [])
        before = at(40, "director killed", director="n0")
        self.broken(*self.stood(before, ended), part="still stood")
        self.assertEqual(
            judge(
                [
                    *GOOD,
                    *self.stood(
                        at(600, "director killed", director="n0"),
                        at(610, "director ended", director="n0", status=-9, fine=(-9,)),
                    ),
                ],
                TERMS,
            ),
            [],
        )


class JudgedLimits(JudgeTest):
    """The budget of further attempts, and processors that are used up."""

    def further(self, number, at_ms):
        sessions = [f"f{n}" for n in range(number)]
        first = [record for name in sessions for record in (asked(0, name), answered(900, name))]
        tries = [record for name in sessions for record in (arrived(10, name), over_(20, name))]
        return [*first, *tries, *(arrived(at_ms, name, "b") for name in sessions)]

    def test_further_attempts_in_their_budget(self):
        budget = TERMS.budget
        allowed = int((budget.free + budget.share * 8) * 1.15 + 1) - 1  # the good day has one
        self.assertEqual(judge([*GOOD, *self.further(allowed, 300)], TERMS), [])
        found = judge([*GOOD, *self.further(allowed + 3, 300)], TERMS)
        self.assertEqual({broken.rule for broken in found}, {"budget"})
        self.assertEqual(judge([*GOOD, *self.further(9, 300)], TERMS._replace(budget=None)), [])

    def held(self, at_ms, cpu_ms):
        facts = {"descriptors": 9, "memory_mb": 9.0, "cpu_ms": cpu_ms}
        return at(at_ms, "held", director="n1", **facts)

    def test_a_processor_that_is_used_up(self):
        busy = [self.held(1_000.0 + n * 250, n * 245.0) for n in range(8)]
        self.assertEqual(judge([*GOOD, *busy], TERMS), [])
        self.broken(*busy, self.held(3_000.0, 8 * 245.0), part="spins")
        rests = self.held(2_900.0, 7 * 245.0)
        self.assertEqual(judge([*GOOD, *busy, rests, self.held(3_000.0, 1_760.0)], TERMS), [])


def over_(at_ms, session):
    """The end of an attempt that provably never ran."""
    return at(at_ms, "over", session=session, node="a", never_ran=True, lag=0.0)


if __name__ == "__main__":
    unittest.main()
