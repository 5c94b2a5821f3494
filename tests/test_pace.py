"""The waiting room: how it follows nodes' answers, who is turned away first, and a storm's figures."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.machines import concurrency
from laddergw.machines.concurrency import AIMD, GRADIENT, OFF, ConcurrencyLimit, ConcurrencyLimits, at_limit
from laddergw.lab import storm
from tests.helpers import TraceTest


class Follows(TraceTest):
    def test_shares_as_nodes_slow_down_and_come_back(self):
        lines = []
        for kind in GRADIENT, AIMD:
            lines.append(f"# {kind}")
            node = ConcurrencyLimit(kind)
            for what, times, ms in (("quick", 60, 100.0), ("three times as slow", 20, 300.0), ("ten times", 10, 1_000.0), ("quick again", 60, 100.0)):
                for _ in range(times):
                    node.record_answer(ms)
                lines.append(f"{times} answers {what}: {node.limit:.1f} may wait")
            node.record_failure()
            lines.append(f"a failure: {node.limit:.1f}")
            for _ in range(9):
                node.record_failure()
            lines.append(f"nine more: {node.limit:.1f}")
        self.lines = lines
        self.assert_trace("pace", self)

    @settings(max_examples=80)
    @given(st.sampled_from((GRADIENT, AIMD)), st.lists(st.none() | st.floats(0.01, 1e5), max_size=200))
    def test_a_share_stays_within_its_bounds(self, kind, answers):
        node = ConcurrencyLimit(kind)
        for ms in answers:
            node.record_failure() if ms is None else node.record_answer(ms)
            self.assertTrue(concurrency.MIN_LIMIT <= node.limit <= concurrency.MAX_LIMIT)

    def test_who_goes_first(self):
        """Further tries before first ones, less worth before more; nobody while the room is off."""
        room = ConcurrencyLimits(AIMD)
        size = room.total_limit(range(3))
        self.assertEqual(size, 3 * concurrency.INITIAL_LIMIT)
        self.assertEqual(ConcurrencyLimits(OFF).total_limit(range(3)), float("inf"))
        turned = lambda waiting: [name for name, importance, tries in (("low again", 1, 2), ("low", 1, 1), ("high again", 3, 2), ("high", 3, 1)) if at_limit(waiting, size, importance, 3, tries)]
        self.assertEqual([turned(waiting) for waiting in (0, 10, 13, 16, 24)],
                         [[], ["low again"], ["low again", "low"], ["low again", "low", "high again"], ["low again", "low", "high again", "high"]])
        room.for_node(1).record_failure()
        self.assertEqual(room.total_limit(range(3)), 2.5 * concurrency.INITIAL_LIMIT)
        room.keep_only({2})
        self.assertEqual(room.by_node, {})
        room.for_node(2).record_failure()
        room.change_kind(GRADIENT)
        self.assertEqual((room.by_node[2].kind, room.by_node[2].limit), (GRADIENT, concurrency.INITIAL_LIMIT / 2))


class Storms(unittest.TestCase):
    def test_windows_and_recovery(self):
        windows = {at * 1_000.0: value for at, value in enumerate((0.9, 0.9, 0.0, 0.1, 0.9, 0.5, 0.88, 0.9, 0.9))}
        self.assertEqual(storm.recovery(windows, 0.9, 2_000.0), 4_000.0)
        self.assertEqual(storm.recovery(windows, 2.0, 2_000.0), float("inf"))


if __name__ == "__main__":
    unittest.main()
