"""The judge of soak trials: it finds each violation, and nothing where every rule is kept."""

import unittest

from laddergw.lab.soak.judge import MIN_LEFT_CASES, judge
from laddergw.lab.soak.terms import DEFAULT_TERMS as TERMS
from tests.soak_records import (
    COMPLIANT_RECORDS,
    JudgeTest,
    answered,
    arrived,
    asked,
    attempt_ended,
    draining,
    record,
)


class JudgeRulesTest(JudgeTest):
    """Records just inside and just outside of each rule."""

    def test_compliant_records_have_no_violation(self):
        self.assertEqual(judge(COMPLIANT_RECORDS, TERMS), [])

    def test_each_violation_is_found(self):
        self.assert_violation(asked(0, "3"), text="without an answer")
        self.assert_violation(
            asked(0, "3"),
            record(50, "closed without an answer", session="3"),
            text="without an answer",
        )
        self.assert_violation(
            asked(0, "3"), answered(10, "3"), answered(20, "3"), text="answered 2 times"
        )
        self.assert_violation(asked(0, "3"), answered(1_501, "3"), text="answered 1501 ms after")
        self.assert_violation(
            arrived(0, "3", "a", "paid"),
            attempt_ended(10, "3"),
            arrived(20, "3", "b", "paid"),
            text="a second time",
        )
        self.assert_violation(arrived(0, "3"), arrived(20, "3", "b"), text="open at b and at a")
        self.assert_violation(arrived(801, "3"), text="after it was told to drain")
        self.assert_violation(
            *(arrived(1_600 + n, f"{n + 30}", "c") for n in range(3)),
            text="over what chance explains",
        )
        self.assert_violation(
            record(5, "director ended", director="n1", status=-6, fine=(0,)), text="ended with -6"
        )
        self.assert_violation(
            record(5, "director ended", director="n1", status=-9, fine=(0,)), text="ended with -9"
        )
        self.assert_violation(
            record(5, "trouble in a log", director="n1", line="Traceback"), text="Traceback"
        )
        self.assert_violation(record(5, "director starts", director="n1"), text="1 never ready")
        self.assert_violation(
            record(5, "director starts", director="n1"),
            record(10_006, "director ready", director="n1"),
            text="the others after",
        )

    def test_late_attempts_for_viewers_that_left_count_from_the_third_one(self):
        cases = [
            case
            for n in range(MIN_LEFT_CASES)
            for case in (
                asked(0, f"g{n}"),
                record(100, "left", session=f"g{n}"),
                arrived(201, f"g{n}", "d"),
            )
        ]
        self.assert_violation(*cases, text="for viewers that have left")
        self.assertEqual(judge([*COMPLIANT_RECORDS, *cases[3:]], TERMS), [])

    def test_a_set_up_that_crossed_a_close_and_was_not_taken_again_is_not_lost(self):
        crossed_close = asked(0, "3"), record(1, "crossed a close", session="3", director="n0")
        self.assertEqual(
            judge([*COMPLIANT_RECORDS, *crossed_close, record(3, "not taken", session="3")], TERMS),
            [],
        )
        self.assert_violation(
            *crossed_close,
            record(3, "closed without an answer", session="3"),
            text="without an answer",
        )

    def test_time_unread_in_this_process_is_not_blamed_on_directors(self):
        """An answer and a set-up that this process read late are just within their limits."""
        self.assertEqual(
            judge(
                [
                    *COMPLIANT_RECORDS,
                    asked(0, "3"),
                    answered(1_600, "3", lag=100.0),
                    arrived(850, "4", lag=50.0),
                ],
                TERMS,
            ),
            [],
        )

    def test_an_attempts_end_read_in_the_same_turn_as_the_next_set_up(self):
        self.assertEqual(
            judge(
                [
                    *COMPLIANT_RECORDS,
                    arrived(0, "3"),
                    arrived(20, "3", "b"),
                    attempt_ended(20, "3"),
                ],
                TERMS,
            ),
            [],
        )

    def test_an_event_during_an_outage_of_the_change_log_counts_four_seconds_after_its_start(self):
        away = record(400, "log away")
        self.assertEqual(
            judge([*COMPLIANT_RECORDS, away, draining(450, "d"), arrived(4_690, "5", "d")], TERMS),
            [],
        )
        self.assert_violation(
            away, draining(450, "d"), arrived(4_701, "5", "d"), text="after it was told to drain"
        )

    def test_an_event_just_after_an_outage_counts_like_one_during_it(self):
        """Directors reconnect a moment after the change log is back."""
        outage = record(400, "log away"), record(1_200, "log back")
        self.assertEqual(
            judge(
                [*COMPLIANT_RECORDS, *outage, draining(1_250, "d"), arrived(4_690, "5", "d")], TERMS
            ),
            [],
        )
        self.assert_violation(
            *outage,
            draining(1_250, "d"),
            arrived(4_701, "5", "d"),
            text="after it was told to drain",
        )
        self.assert_violation(
            *outage,
            draining(4_401, "d"),
            arrived(4_702, "5", "d"),
            text="after it was told to drain",
        )

    def test_an_event_during_a_long_outage_counts_from_its_end(self):
        outage = record(400, "log away"), record(5_000, "log back")
        self.assertEqual(
            judge(
                [*COMPLIANT_RECORDS, *outage, draining(450, "d"), arrived(11_290, "5", "d")], TERMS
            ),
            [],
        )
        self.assert_violation(
            *outage,
            draining(450, "d"),
            arrived(11_301, "5", "d"),
            text="after it was told to drain",
        )

    def test_fields_are_passed_on_unchanged(self):
        request = asked(0, "8", title="t", offer="o"), answered(500, "8")
        set_up = record(
            20, "arrived", session="8", node="a", product="guide", title="t", offer="o", lag=0.0
        )
        self.assertEqual(judge([*COMPLIANT_RECORDS, *request, set_up], TERMS), [])
        for name in "title", "offer", "product":
            self.assert_violation(
                *request,
                (20, "arrived", set_up[2] | {name: "x"}),
                text=f"changed in transit, {name}",
            )

    def test_a_single_run_play_that_may_have_run_is_not_declined(self):
        request = asked(0, "8", product="paid"), arrived(20, "8", product="paid")
        self.assertEqual(
            judge(
                [
                    *COMPLIANT_RECORDS,
                    *request,
                    attempt_ended(40, "8", never_ran=True),
                    answered(50, "8", answer="declined"),
                ],
                TERMS,
            ),
            [],
        )
        self.assert_violation(
            *request,
            attempt_ended(40, "8"),
            answered(50, "8", answer="declined"),
            text="may have run",
        )

    def test_limits_of_descriptors_and_memory(self):
        self.assert_violation(
            record(5, "held", director="n0", descriptors=TERMS.sockets + 1, memory_mb=10.0),
            text="descriptors",
        )
        self.assert_violation(
            record(5, "held", director="n0", descriptors=10, memory_mb=TERMS.memory_mb + 1),
            text="MB",
        )


if __name__ == "__main__":
    unittest.main()
