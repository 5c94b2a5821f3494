"""The waiting room: how it follows nodes' answers, who is turned away first, and a storm's figures."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.machines import pace
from laddergw.machines.pace import AIMD, GRADIENT, OFF, NodePace, Room, full
from laddergw.lab import storm
from tests.helpers import TraceTest


class Follows(TraceTest):
    def test_shares_as_nodes_slow_down_and_come_back(self):
        lines = []
        for kind in GRADIENT, AIMD:
            lines.append(f"# {kind}")
            node = NodePace(kind)
            for what, times, ms in (("quick", 60, 100.0), ("three times as slow", 20, 300.0), ("ten times", 10, 1_000.0), ("quick again", 60, 100.0)):
                for _ in range(times):
                    node.answered(ms)
                lines.append(f"{times} answers {what}: {node.limit:.1f} may wait")
            node.failed()
            lines.append(f"a failure: {node.limit:.1f}")
            for _ in range(9):
                node.failed()
            lines.append(f"nine more: {node.limit:.1f}")
        self.lines = lines
        self.assert_trace("pace", self)

    @settings(max_examples=80)
    @given(st.sampled_from((GRADIENT, AIMD)), st.lists(st.none() | st.floats(0.01, 1e5), max_size=200))
    def test_a_share_stays_within_its_bounds(self, kind, answers):
        node = NodePace(kind)
        for ms in answers:
            node.failed() if ms is None else node.answered(ms)
            self.assertTrue(pace.LEAST <= node.limit <= pace.MOST)

    def test_who_goes_first(self):
        """Further tries before first ones, less worth before more; nobody while the room is off."""
        room = Room(AIMD)
        size = room.size(range(3))
        self.assertEqual(size, 3 * pace.START)
        self.assertEqual(Room(OFF).size(range(3)), float("inf"))
        turned = lambda waiting: [name for name, importance, tries in (("low again", 1, 2), ("low", 1, 1), ("high again", 3, 2), ("high", 3, 1)) if full(waiting, size, importance, 3, tries)]
        self.assertEqual([turned(waiting) for waiting in (0, 10, 13, 16, 24)],
                         [[], ["low again"], ["low again", "low"], ["low again", "low", "high again"], ["low again", "low", "high again", "high"]])
        room.of(1).failed()
        self.assertEqual(room.size(range(3)), 2.5 * pace.START)
        room.forget({2})
        self.assertEqual(room.paces, {})
        room.of(2).failed()
        room.switch(GRADIENT)
        self.assertEqual((room.paces[2].kind, room.paces[2].limit), (GRADIENT, pace.START / 2))


class Storms(unittest.TestCase):
    def test_windows_and_recovery(self):
        windows = {at * 1_000.0: value for at, value in enumerate((0.9, 0.9, 0.0, 0.1, 0.9, 0.5, 0.88, 0.9, 0.9))}
        self.assertEqual(storm.recovery(windows, 0.9, 2_000.0), 4_000.0)
        self.assertEqual(storm.recovery(windows, 2.0, 2_000.0), float("inf"))


if __name__ == "__main__":
    unittest.main()
