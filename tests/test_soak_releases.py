"""The judge of releases: each end of what stood has its release in time."""

import unittest

from laddergw.lab.soak.judge import judge
from laddergw.lab.soak.terms import USUAL as TERMS
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


if __name__ == "__main__":
    unittest.main()
