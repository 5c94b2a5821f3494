"""The state machine of one allocation: traces of typical courses, and its guarantees under any order of events."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw import interface
from laddergw.machines.allocation import GONE, Allocation, AllocationActions
from laddergw.machines.play import PlayState, PlayTerms
from tests.helpers import TraceTest

EVENTS = ("answered 201", "answered 201 unsound", "answered 503", "answered 409", "answered 500", "cut none", "cut part", "cut all",
         "timed out unwritten", "timed out written", "taken back", "viewer left", "moved", "node ended", "released ran",
         "released never ran", "lease over", "session lost", "sent")


def apply_event(allocation: Allocation, event: str, now: float) -> AllocationActions:
    """Calls the allocation's method for an event given as text."""
    words = event.split()
    if words[0] == "answered":
        return allocation.answered(now, int(words[1]), "unsound" not in words)
    if words[0] == "cut":
        return allocation.connection_lost({"none": 0, "part": 5, "all": 9}[words[1]], 9)
    if event.startswith("timed out"):
        return allocation.timed_out(now, 9 if words[2] == "written" else 0, 9)
    return {"taken back": allocation.withdrawn, "viewer left": lambda: allocation.viewer_left(9, 9), "moved": allocation.moved,
            "node ended": lambda: allocation.node_ended(False), "released ran": lambda: allocation.released(True),
            "released never ran": lambda: allocation.released(False), "lease over": lambda: allocation.lease_expired(now),
            "session lost": allocation.session_lost, "sent": allocation.sent}[event]()


class AllocationTrace:
    """Writes the course of allocations as lines of a trace."""

    def __init__(self):
        self.lines = []

    def record(self, title, *events):
        """Adds the course of one allocation under a title; each event is (ms, text)."""
        self.lines.append(f"# {title}")
        allocation = Allocation("a", 0, 1, 5, 2, 0.0, 500.0)
        for now, event in events:
            actions = apply_event(allocation, event, now)
            texts = [name.replace("_", " ") for name in ("playing", "confirm", "release", "drop_call") if getattr(actions, name)]
            if actions.ended:
                texts.append(f"ended: {actions.ended}")
            self.lines.append(f"{now:6.0f} {event:22} {allocation.state:8} {', '.join(texts) or '-'}")


class AllocationStates(TraceTest):
    def test_traces_of_allocations(self):
        trace = AllocationTrace()
        trace.record("set up, played, the viewer leaves", (0, "sent"), (90, "answered 201"), (9_000, "viewer left"), (9_010, "released ran"))
        trace.record("refused: it never ran", (0, "sent"), (5, "answered 503"))
        trace.record("a time-out after a full write: out until its lease is over", (0, "sent"), (500, "timed out written"),
               (510, "lease over"), (560, "lease over"))
        trace.record("... or until the node acknowledges, which may say that it never ran", (0, "sent"), (500, "timed out written"),
               (505, "released never ran"))
        trace.record("... and an answer that comes meanwhile changes nothing", (0, "sent"), (500, "timed out written"),
               (520, "answered 201"), (525, "released ran"))
        trace.record("an answer too late to be confirmed is no play", (0, "sent"), (545, "answered 201"), (560, "lease over"))
        trace.record("no connection, or cut before its last byte: it never ran", (0, "cut part"))
        trace.record("cut after a full write: it may have run", (0, "sent"), (50, "cut all"), (560, "lease over"))
        trace.record("its node drains before a byte has left", (0, "taken back"))
        trace.record("its node drains after that: nothing to take back", (0, "sent"), (10, "taken back"))
        trace.record("node lost while it plays", (0, "sent"), (90, "answered 201"), (700, "session lost"))
        trace.record("a move: told only when the node has let go", (0, "sent"), (90, "answered 201"), (700, "moved"),
               (710, "lease over"), (1_700, "session lost"))
        trace.record("a viewer that leaves before the answer", (0, "sent"), (40, "viewer left"), (90, "answered 201"), (95, "released ran"))
        trace.record("an answer that cannot be read", (0, "sent"), (90, "answered 201 unsound"), (95, "released ran"))
        self.assert_trace("allocation", trace)

    @settings(max_examples=400, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from(EVENTS), st.floats(0, 400)), max_size=12))
    def test_any_order_of_events(self, events):
        """The end is reported once and last; while a lease runs, only an event from the node or unwritten bytes end an allocation."""
        allocation, now, ends, was_held = Allocation("a", 0, 1, 5, 2, 0.0, 500.0), 0.0, 0, False
        certain_ends = {"answered 503", "answered 409", "answered 500", "cut none", "cut part", "timed out unwritten", "taken back",
                "node ended", "released ran", "released never ran", "session lost"}
        for event, later in events:
            now += later
            actions = apply_event(allocation, event, now)
            ends += actions.ended is not None
            self.assertEqual(ends == 1, allocation.state == GONE)
            if actions.playing:
                self.assertTrue(now < allocation.lease_ends_at and not was_held)
                was_held = True
            if actions.ended and event not in certain_ends:
                self.assertEqual(event, "lease over")
                self.assertTrue(now >= allocation.lease_ends_at and not was_held)
            if actions.ended == interface.NEVER_SENT:
                self.assertFalse(was_held)
        self.assertLessEqual(ends, 1)

    @given(st.floats(1, 1e4), st.floats(0, 1e4), st.floats(30, 5e3), st.floats(20, 500), st.integers(0, 4), st.floats(0, 500))
    def test_a_lease_ends_within_the_viewers_wait(self, wanted, wait, set_up, grace, sent, pause):
        terms = PlayTerms(set_up_ms=set_up, lease_ms=set_up + grace, attempts=3, backoff_ms=(pause, 2.0, 4 * pause))
        play = PlayState(terms, "safe", 100.0, wait, 40.0)
        play.allocations_made = sent
        allocation = play.allocate("a", 1, 5, 0, wanted, 100.0)
        due_at = play.requested_at + min(pause * 2 ** (sent - 1), 4 * pause) if sent else 100.0
        timeout = allocation.set_up_deadline - due_at
        self.assertLessEqual(allocation.lease_ends_at, max(play.deadline, 0) + 1e-6 if timeout > 0 else float("inf"))
        self.assertTrue(timeout <= wanted + 1e-6 and timeout <= set_up + 1e-6)
        self.assertEqual((play.allocations_made, play.allocations_exhausted()), (sent + 1, sent >= 2))

    def test_a_release_that_is_not_acknowledged(self):
        """The allocation counts as ended after the terms' wait for a release or with its lease, whichever comes first."""
        for release_ms, end in ((100.0, 400.0), (1e9, 560.0)):
            allocation = Allocation("a", 0, 1, 5, 2, 0.0, 500.0, 60.0, release_ms)
            allocation.sent()
            self.assertTrue(allocation.connection_lost(9, 9).release)
            self.assertEqual(allocation.set_release_deadline(300.0), end)
            self.assertIsNone(allocation.lease_expired(end - 1).ended)
            self.assertEqual(allocation.lease_expired(end).ended, interface.BROKEN)


if __name__ == "__main__":
    unittest.main()
