"""The judge of many processes itself: it sees each broken term, and nothing where all are kept."""

import unittest

from laddergw.lab.soak.judge import GONE_CASES, judge
from laddergw.lab.soak.terms import USUAL as TERMS


def asked(at, session, **more):
    return (
        at,
        "asked",
        {
            "session": session,
            "director": "n0",
            "wait_ms": 1_000.0,
            "product": "guide",
            "connection": 0,
            "lag": 0.0,
        }
        | more,
    )


def arrived(at, session, node="a", product="guide", lag=0.0):
    return at, "arrived", {"session": session, "node": node, "product": product, "lag": lag}


def over(at, session, node="a", never_ran=False):
    return at, "over", {"session": session, "node": node, "never_ran": never_ran, "lag": 0.0}


def answered(at, session, lag=0.0, answer="failed"):
    return at, "answered", {"session": session, "answer": answer, "lag": lag}


def told(at, node="a"):
    return at, "told", {"node": node, "state": "DRAINING", "lag": 0.0}


def at(when, what, **facts):
    return when, what, facts


GOOD = [
    asked(0, "1", product="paid"),
    arrived(20, "1", product="paid"),
    over(40, "1", never_ran=True),
    arrived(50, "1", "b", "paid"),
    answered(90, "1"),
    over(900, "1", "b"),
    asked(100, "2"),
    arrived(120, "2"),
    at(130, "left", session="2"),
    over(140, "2"),
    told(500),
    at(0, "director starts", director="n0"),
    at(300, "director ready", director="n0"),
    at(2_000, "director ended", director="n0", status=0, fine=(0,)),
    at(1_000, "started", node="c"),
    *(arrived(1_500 + n, f"{n + 10}", "c") for n in range(10)),
]


class Judged(unittest.TestCase):
    def broken(self, *more, part):
        found = judge([*GOOD, *more], TERMS)
        self.assertEqual(len(found), 1, found)
        self.assertIn(part, found[0].what)

    def test_a_good_day_breaks_nothing(self):
        self.assertEqual(judge(GOOD, TERMS), [])

    def test_each_broken_term_is_seen(self):
        self.broken(asked(0, "3"), part="without an answer")
        self.broken(
            asked(0, "3"), at(50, "closed without an answer", session="3"), part="without an answer"
        )
        self.broken(asked(0, "3"), answered(10, "3"), answered(20, "3"), part="answered 2 times")
        self.broken(asked(0, "3"), answered(1_501, "3"), part="answered 1501 ms after")
        self.broken(
            arrived(0, "3", "a", "paid"),
            over(10, "3"),
            arrived(20, "3", "b", "paid"),
            part="a second time",
        )
        self.broken(arrived(0, "3"), arrived(20, "3", "b"), part="out at b and at a")
        self.broken(arrived(801, "3"), part="after it was told to drain")
        self.broken(
            *(arrived(1_600 + n, f"{n + 30}", "c") for n in range(3)),
            part="over what chance explains",
        )
        self.broken(
            at(5, "director ended", director="n1", status=-6, fine=(0,)), part="ended with -6"
        )
        self.broken(
            at(5, "director ended", director="n1", status=-9, fine=(0,)), part="ended with -9"
        )
        self.broken(at(5, "trouble in a log", director="n1", line="Traceback"), part="Traceback")
        self.broken(at(5, "director starts", director="n1"), part="1 never ready")
        self.broken(
            at(5, "director starts", director="n1"),
            at(10_006, "director ready", director="n1"),
            part="the others after",
        )

    def test_who_has_gone_counts_from_the_third_case(self):
        cases = [
            record
            for n in range(GONE_CASES)
            for record in (
                asked(0, f"g{n}"),
                at(100, "left", session=f"g{n}"),
                arrived(201, f"g{n}", "d"),
            )
        ]
        self.broken(*cases, part="for who has gone")
        self.assertEqual(judge([*GOOD, *cases[3:]], TERMS), [])

    def test_what_lay_unread_here_is_nobodys_fault(self):
        """An answer and a set-up that this process read late are as old as they may be."""
        self.assertEqual(
            judge(
                [
                    *GOOD,
                    asked(0, "3"),
                    answered(1_600, "3", lag=100.0),
                    arrived(850, "4", lag=50.0),
                ],
                TERMS,
            ),
            [],
        )

    def test_an_end_read_in_the_turn_of_the_next_set_up(self):
        self.assertEqual(
            judge([*GOOD, arrived(0, "3"), arrived(20, "3", "b"), over(20, "3")], TERMS), []
        )

    def test_while_the_change_log_is_away_its_words_count_four_seconds_after(self):
        away = at(400, "log away")
        self.assertEqual(judge([*GOOD, away, told(450, "d"), arrived(4_690, "5", "d")], TERMS), [])
        self.broken(
            away, told(450, "d"), arrived(4_701, "5", "d"), part="after it was told to drain"
        )

    def test_a_change_just_after_the_change_log_is_back_counts_like_one_before(self):
        """Directors ask again a moment after it is back."""
        back = at(400, "log away"), at(1_200, "log back")
        self.assertEqual(
            judge([*GOOD, *back, told(1_250, "d"), arrived(4_690, "5", "d")], TERMS), []
        )
        self.broken(
            *back, told(1_250, "d"), arrived(4_701, "5", "d"), part="after it was told to drain"
        )
        self.broken(
            *back, told(4_401, "d"), arrived(4_702, "5", "d"), part="after it was told to drain"
        )

    def test_a_change_log_that_is_away_for_long_counts_from_its_return(self):
        back = at(400, "log away"), at(5_000, "log back")
        self.assertEqual(
            judge([*GOOD, *back, told(450, "d"), arrived(11_290, "5", "d")], TERMS), []
        )
        self.broken(
            *back, told(450, "d"), arrived(11_301, "5", "d"), part="after it was told to drain"
        )

    def stood(self, *more, text="from a"):
        """A session that stands at node a from 100 ms on, asked for on a connection that stays open."""
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

    def test_fields_pass_on_unchanged(self):
        sent = asked(0, "8", title="t", offer="o"), answered(500, "8")
        came = at(
            20, "arrived", session="8", node="a", product="guide", title="t", offer="o", lag=0.0
        )
        self.assertEqual(judge([*GOOD, *sent, came], TERMS), [])
        for name in "title", "offer", "product":
            self.broken(
                *sent, (20, "arrived", came[2] | {name: "x"}), part=f"changed on its way, {name}"
            )

    def test_what_may_have_run_once_is_not_called_harmless_to_try_again(self):
        sent = asked(0, "8", product="paid"), arrived(20, "8", product="paid")
        self.assertEqual(
            judge(
                [*GOOD, *sent, over(40, "8", never_ran=True), answered(50, "8", answer="declined")],
                TERMS,
            ),
            [],
        )
        self.broken(*sent, over(40, "8"), answered(50, "8", answer="declined"), part="may have run")

    def test_limits(self):
        self.broken(
            at(5, "held", director="n0", descriptors=TERMS.sockets + 1, memory_mb=10.0),
            part="descriptors",
        )
        self.broken(
            at(5, "held", director="n0", descriptors=10, memory_mb=TERMS.memory_mb + 1), part="MB"
        )


if __name__ == "__main__":
    unittest.main()
