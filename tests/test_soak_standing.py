"""The judge's rules on plays that stand at their nodes, and on keyed products."""

from laddergw.lab.soak.judge import judge
from laddergw.lab.soak.terms import DEFAULT_TERMS as TERMS
from tests.soak_records import (
    COMPLIANT_RECORDS,
    JudgeTest,
    answered,
    arrived,
    asked,
    attempt_ended,
    record,
)

END = record(30_000, "told", node="z", state="SERVING")


class JudgeStandingTest(JudgeTest):
    """Records just inside and just outside of each limit."""

    def play(self, *more):
        """Returns the records of session 8, which plays at node d from 100 ms on."""
        return [
            asked(0, "8", director="n1"),
            arrived(20, "8", "d"),
            record(90, "made", session="8", node="d", text="from d"),
            record(100, "answered", session="8", answer="plays", text="from d", lag=0.0),
            *more,
            END,
        ]

    def node_event(self, when, event):
        """An event of node d on the session."""
        return record(when, event, session="8", node="d", lag=0.0)

    def released(self, when, cause=41):
        """The viewer is told that its play is over."""
        return record(when, "released", session="8", cause=cause)

    def assert_compliant(self, *more):
        """Checks that `more`, with the compliant records, has no violation."""
        self.assertEqual(judge([*COMPLIANT_RECORDS, *more], TERMS), [])

    def test_a_standing_play_is_not_ended(self):
        torn_down = self.node_event(5_500, "torn down")
        self.assert_violation(*self.play(self.released(5_500), torn_down), text="ended, though")
        ended = self.node_event(5_500, "ended by its node")
        self.assert_compliant(*self.play(ended, self.released(5_500)))
        self.assert_violation(*self.play(self.released(5_499), ended), text="ended, though")
        self.assert_compliant(*self.play(self.released(5_500, None), torn_down))
        stop = record(5_400, "director told to stop", director="n1")
        self.assert_compliant(*self.play(stop, self.released(5_500), torn_down))
        ended = record(5_400, "director ended", director="n1", status=0, fine=(0,))
        stop = record(5_300, "director told to stop", director="n1")
        self.assert_violation(
            *self.play(stop, ended, self.released(5_500), torn_down), text="ended, though"
        )

    def test_a_cut_of_six_seconds_is_not_an_end(self):
        cut, back = record(1_000, "node cut off", node="d"), self.node_event(9_500, "torn down")
        self.assert_violation(
            *self.play(cut, self.released(6_999), back), text="ended, though it stands at d"
        )
        self.assert_compliant(*self.play(cut, self.released(7_001), back))

    def test_what_its_viewer_was_told_is_over_ends_at_its_node(self):
        cut = record(1_000, "node cut off", node="d")
        reached = record(11_000, "node reached again", node="d")
        for at, is_late in (17_050, False), (17_051, True):
            events = self.play(cut, self.released(8_500), reached, self.node_event(at, "torn down"))
            if is_late:
                self.assert_violation(*events, text="goes on at d")
            else:
                self.assert_compliant(*events)
        # Its director ends before the node is reached, and can tell it nothing any more.
        stop = record(8_400, "director told to stop", director="n1")
        for ended_at, is_late in (10_999, False), (11_001, True):
            ended = record(ended_at, "director ended", director="n1", status=0, fine=(0,))
            events = self.play(cut, stop, self.released(8_500), ended, reached)
            if is_late:
                self.assert_violation(*events, text="goes on at d")
            else:
                self.assert_compliant(*events)


class JudgeKeyedTest(JudgeTest):
    """Retries of a product that is keyed by cell."""

    def judge_retries(self, *more):
        """Returns the violations of a play of the first product, keyed by cell."""
        keyed = TERMS.products[0]._replace(keyed_group="cell")
        terms = TERMS._replace(products=(keyed, *TERMS.products[1:]), budget=None)
        return judge([*COMPLIANT_RECORDS, asked(0, "9"), *more], terms)

    def attempt(self, at_ms, node, cell, never_ran=False):
        """Returns an attempt of session 9 that ends 10 ms later."""
        at, event, fields = arrived(at_ms, "9", node)
        ended = attempt_ended(at_ms + 10, "9", node, never_ran)
        return [(at, event, fields | {"cell": cell}), ended]

    def test_a_retry_stays_in_the_cell_of_the_attempt_that_may_have_run(self):
        refused, failed = self.attempt(20, "a", 0, True), self.attempt(40, "b", 1)
        end = answered(90, "9")
        self.assertEqual(self.judge_retries(*refused, *failed, *self.attempt(60, "c", 1), end), [])
        found = self.judge_retries(*refused, *failed, *self.attempt(60, "c", 0), end)
        self.assertEqual([violation.rule for violation in found], ["twice"])
        self.assertIn("outside its key's cell", found[0].what)

    def test_it_is_not_declined(self):
        declined = answered(90, "9", answer="declined")
        self.assertEqual(self.judge_retries(*self.attempt(20, "a", 0, True), declined), [])
        found = self.judge_retries(*self.attempt(20, "a", 0), declined)
        self.assertEqual([violation.rule for violation in found], ["dup"])
