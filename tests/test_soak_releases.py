"""The judge's rules on releases, on the retry budget and on processor time."""

import unittest

from laddergw.lab.soak.judge import judge
from laddergw.lab.soak.terms import DEFAULT_TERMS as TERMS
from tests.soak_records import COMPLIANT_RECORDS, JudgeTest, answered, arrived, asked, record


class JudgeReleasesTest(JudgeTest):
    """Records just inside and just outside of each time limit."""

    def running_session(self, *more, text="from a"):
        """Returns the records of a session that plays at node a from 100 ms on, requested on a
        connection that stays open.
        """
        return [
            asked(0, "8"),
            arrived(20, "8"),
            record(90, "made", session="8", node="a", text="from a"),
            record(100, "answered", session="8", answer="plays", text=text, lag=0.0),
            *more,
        ]

    def node_event(self, when, event="ended by its node"):
        return record(when, event, session="8", node="a", lag=0.0)

    def test_an_answer_that_no_node_made_is_found(self):
        self.assert_violation(
            *self.running_session(record(600, "released", session="8"), text="from"),
            text="no media node made",
        )

    def test_a_release_comes_within_a_second_of_its_end(self):
        acknowledged, end = (
            self.node_event(500, "release acknowledged"),
            record(9_000, "told", node="z", state="SERVING"),
        )
        self.assertEqual(
            judge(
                [
                    *COMPLIANT_RECORDS,
                    *self.running_session(
                        acknowledged, record(1_549, "released", session="8"), end
                    ),
                ],
                TERMS,
            ),
            [],
        )
        self.assert_violation(
            *self.running_session(acknowledged, record(1_551, "released", session="8"), end),
            text="51 ms late",
        )
        self.assert_violation(*self.running_session(acknowledged, end), text="released never")
        self.assert_violation(
            *self.running_session(self.node_event(500, "torn down"), end), text="released never"
        )

    def test_an_end_that_nobody_could_report_is_released_within_eight_seconds(self):
        died, end = (
            self.node_event(500, "died with it"),
            record(19_000, "told", node="z", state="SERVING"),
        )
        self.assertEqual(
            judge(
                [
                    *COMPLIANT_RECORDS,
                    *self.running_session(died, record(8_549, "released", session="8"), end),
                ],
                TERMS,
            ),
            [],
        )
        self.assert_violation(
            *self.running_session(died, record(8_551, "released", session="8"), end), text="ms late"
        )

    def test_a_release_waits_for_a_connection_that_has_sent_a_request(self):
        connection_closed, acknowledged = (
            record(400, "connection ended", director="n0", connection=0),
            self.node_event(500, "release acknowledged"),
        )
        end = record(9_000, "told", node="z", state="SERVING")
        self.assertEqual(
            judge(
                [*COMPLIANT_RECORDS, *self.running_session(connection_closed, acknowledged, end)],
                TERMS,
            ),
            [],
        )
        self.assert_violation(
            *self.running_session(
                connection_closed,
                acknowledged,
                asked(3_000, "9", connection=1),
                answered(3_100, "9"),
                end,
            ),
            text="released never",
        )

    def test_a_play_that_runs_as_its_director_ends_is_lost_unless_that_was_killed(self):
        stopped = record(600, "director ended", director="n0", status=0, fine=(0,))
        self.assert_violation(*self.running_session(stopped), text="still played")
        killed, director_end = (
            record(99, "director killed", director="n0"),
            record(101, "director ended", director="n0", status=-9, fine=(-9,)),
        )
        self.assertEqual(
            judge([*COMPLIANT_RECORDS, *self.running_session(killed, director_end)], TERMS), []
        )
        killed_earlier = record(40, "director killed", director="n0")
        self.assert_violation(
            *self.running_session(killed_earlier, director_end), text="still played"
        )
        self.assertEqual(
            judge(
                [
                    *COMPLIANT_RECORDS,
                    *self.running_session(
                        record(600, "director killed", director="n0"),
                        record(610, "director ended", director="n0", status=-9, fine=(-9,)),
                    ),
                ],
                TERMS,
            ),
            [],
        )


class JudgeLimitsTest(JudgeTest):
    """The retry budget, and processors that are used up."""

    def retried_sessions(self, count, at_ms):
        """Returns the records of sessions that are retried at a time after a refused attempt."""
        sessions = [f"f{n}" for n in range(count)]
        requests = [entry for name in sessions for entry in (asked(0, name), answered(900, name))]
        first_attempts = [
            entry for name in sessions for entry in (arrived(10, name), refused_attempt(20, name))
        ]
        return [*requests, *first_attempts, *(arrived(at_ms, name, "b") for name in sessions)]

    def test_retries_stay_within_their_budget(self):
        budget = TERMS.budget
        # One less, as the compliant records hold a retry.
        allowed = int((budget.free + budget.share * 8) * 1.15 + 1) - 1
        self.assertEqual(
            judge([*COMPLIANT_RECORDS, *self.retried_sessions(allowed, 300)], TERMS), []
        )
        found = judge([*COMPLIANT_RECORDS, *self.retried_sessions(allowed + 3, 300)], TERMS)
        self.assertEqual({violation.rule for violation in found}, {"budget"})
        self.assertEqual(
            judge(
                [*COMPLIANT_RECORDS, *self.retried_sessions(9, 300)], TERMS._replace(budget=None)
            ),
            [],
        )

    def usage(self, at_ms, cpu_ms):
        """Returns a sample of the resources that a director uses."""
        fields = {"descriptors": 9, "memory_mb": 9.0, "cpu_ms": cpu_ms}
        return record(at_ms, "held", director="n1", **fields)

    def test_a_processor_that_is_used_up_is_found(self):
        busy = [self.usage(1_000.0 + n * 250, n * 245.0) for n in range(8)]
        self.assertEqual(judge([*COMPLIANT_RECORDS, *busy], TERMS), [])
        self.assert_violation(*busy, self.usage(3_000.0, 8 * 245.0), text="spins")
        idle_sample = self.usage(2_900.0, 7 * 245.0)
        self.assertEqual(
            judge([*COMPLIANT_RECORDS, *busy, idle_sample, self.usage(3_000.0, 1_760.0)], TERMS), []
        )


def refused_attempt(at_ms, session):
    """Returns the record of the end of an attempt that provably never ran."""
    return record(at_ms, "over", session=session, node="a", never_ran=True, lag=0.0)


if __name__ == "__main__":
    unittest.main()
