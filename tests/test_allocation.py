"""The life of one allocation as a trace, and its promises under any order of facts."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw import interface as face
from laddergw.machines.allocation import GONE, Allocation, AllocationActions
from laddergw.machines.play import PlayState, PlayTerms
from tests.helpers import TraceTest

FACTS = ("answered 201", "answered 201 unsound", "answered 503", "answered 409", "answered 500", "cut none", "cut part", "cut all",
         "timed out unwritten", "timed out written", "taken back", "viewer left", "moved", "node ended", "released ran",
         "released never ran", "lease over", "session lost", "sent")


def tell(a: Allocation, fact: str, now: float) -> AllocationActions:
    words = fact.split()
    if words[0] == "answered":
        return a.answered(now, int(words[1]), "unsound" not in words)
    if words[0] == "cut":
        return a.connection_lost({"none": 0, "part": 5, "all": 9}[words[1]], 9)
    if fact.startswith("timed out"):
        return a.timed_out(now, 9 if words[2] == "written" else 0, 9)
    return {"taken back": a.withdrawn, "viewer left": lambda: a.viewer_left(9, 9), "moved": a.moved,
            "node ended": lambda: a.node_ended(False), "released ran": lambda: a.released(True),
            "released never ran": lambda: a.released(False), "lease over": lambda: a.lease_expired(now),
            "session lost": a.session_lost, "sent": a.sent}[fact]()


class Drive:
    def __init__(self):
        self.lines = []

    def tell(self, what, *facts):
        """Each fact as (ms, text)."""
        self.lines.append(f"# {what}")
        a = Allocation("a", 0, 1, 5, 2, 0.0, 500.0)
        for now, fact in facts:
            step = tell(a, fact, now)
            does = [name.replace("_", " ") for name in ("playing", "confirm", "release", "drop_call") if getattr(step, name)]
            if step.ended:
                does.append(f"ended: {step.ended}")
            self.lines.append(f"{now:6.0f} {fact:22} {a.state:8} {', '.join(does) or '-'}")


class Life(TraceTest):
    def test_lives_of_allocations(self):
        d = Drive()
        d.tell("set up, played, the viewer leaves", (0, "sent"), (90, "answered 201"), (9_000, "viewer left"), (9_010, "released ran"))
        d.tell("refused: it never ran", (0, "sent"), (5, "answered 503"))
        d.tell("a time-out after a full write: out until its lease is over", (0, "sent"), (500, "timed out written"),
               (510, "lease over"), (560, "lease over"))
        d.tell("... or until the node acknowledges, which may say that it never ran", (0, "sent"), (500, "timed out written"),
               (505, "released never ran"))
        d.tell("... and an answer that comes meanwhile changes nothing", (0, "sent"), (500, "timed out written"),
               (520, "answered 201"), (525, "released ran"))
        d.tell("an answer too late to be confirmed is no play", (0, "sent"), (545, "answered 201"), (560, "lease over"))
        d.tell("no connection, or cut before its last byte: it never ran", (0, "cut part"))
        d.tell("cut after a full write: it may have run", (0, "sent"), (50, "cut all"), (560, "lease over"))
        d.tell("its node drains before a byte has left", (0, "taken back"))
        d.tell("its node drains after that: nothing to take back", (0, "sent"), (10, "taken back"))
        d.tell("node lost while it plays", (0, "sent"), (90, "answered 201"), (700, "session lost"))
        d.tell("a move: told only when the node has let go", (0, "sent"), (90, "answered 201"), (700, "moved"),
               (710, "lease over"), (1_700, "session lost"))
        d.tell("a viewer that leaves before the answer", (0, "sent"), (40, "viewer left"), (90, "answered 201"), (95, "released ran"))
        d.tell("an answer that cannot be read", (0, "sent"), (90, "answered 201 unsound"), (95, "released ran"))
        self.assert_trace("allocation", d)

    @settings(max_examples=400, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from(FACTS), st.floats(0, 400)), max_size=12))
    def test_any_order_of_facts(self, facts):
        """The end is told once and last; while a lease runs nothing ends but by a fact from the node or unwritten bytes."""
        a, now, ends, was_held = Allocation("a", 0, 1, 5, 2, 0.0, 500.0), 0.0, 0, False
        sure = {"answered 503", "answered 409", "answered 500", "cut none", "cut part", "timed out unwritten", "taken back",
                "node ended", "released ran", "released never ran", "session lost"}
        for fact, later in facts:
            now += later
            step = tell(a, fact, now)
            ends += step.ended is not None
            self.assertEqual(ends == 1, a.state == GONE)
            if step.playing:
                self.assertTrue(now < a.lease_ends_at and not was_held)
                was_held = True
            if step.ended and fact not in sure:
                self.assertEqual(fact, "lease over")
                self.assertTrue(now >= a.lease_ends_at and not was_held)
            if step.ended == face.NEVER_SENT:
                self.assertFalse(was_held)
        self.assertLessEqual(ends, 1)

    @given(st.floats(1, 1e4), st.floats(0, 1e4), st.floats(30, 5e3), st.floats(20, 500), st.integers(0, 4), st.floats(0, 500))
    def test_a_lease_ends_within_the_viewers_wait(self, wanted, wait, set_up, grace, sent, pause):
        terms = PlayTerms(set_up_ms=set_up, lease_ms=set_up + grace, attempts=3, backoff_ms=(pause, 2.0, 4 * pause))
        life = PlayState(terms, "safe", 100.0, wait, 40.0)
        life.attempts_made = sent
        a = life.allocate("a", 1, 5, 0, wanted, 100.0)
        before = life.requested_at + min(pause * 2 ** (sent - 1), 4 * pause) if sent else 100.0
        timeout = a.set_up_deadline - before
        self.assertLessEqual(a.lease_ends_at, max(life.deadline, 0) + 1e-6 if timeout > 0 else float("inf"))
        self.assertTrue(timeout <= wanted + 1e-6 and timeout <= set_up + 1e-6)
        self.assertEqual((life.attempts_made, life.attempts_exhausted()), (sent + 1, sent >= 2))

    def test_a_release_that_is_not_acknowledged(self):
        """It counts as over when the file's wait is, or its lease: whichever comes first."""
        for wait, over in ((100.0, 400.0), (1e9, 560.0)):
            a = Allocation("a", 0, 1, 5, 2, 0.0, 500.0, 60.0, wait)
            a.sent()
            self.assertTrue(a.connection_lost(9, 9).release)
            self.assertEqual(a.set_release_deadline(300.0), over)
            self.assertIsNone(a.lease_expired(over - 1).ended)
            self.assertEqual(a.lease_expired(over).ended, face.BROKEN)


if __name__ == "__main__":
    unittest.main()
