"""The judge of many processes itself: it sees each broken term, and nothing where all are kept."""

import unittest

from laddergw.lab.soak.judge import GONE_CASES, judge
from laddergw.lab.soak.terms import DEFAULT_TERMS as TERMS
from tests.soak_records import GOOD, JudgeTest, answered, arrived, asked, at, over, told


class Judged(JudgeTest):
    """Records just inside and just outside of each rule."""

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

    def test_a_set_up_that_crossed_a_close_and_found_nobody_then_is_not_lost(self):
        crossed = asked(0, "3"), at(1, "crossed a close", session="3", director="n0")
        self.assertEqual(judge([*GOOD, *crossed, at(3, "not taken", session="3")], TERMS), [])
        self.broken(
            *crossed, at(3, "closed without an answer", session="3"), part="without an answer"
        )

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
