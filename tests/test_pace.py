"""Adaptive concurrency limits: how they follow nodes' answers, which plays are rejected first, and the figures of a retry storm."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.machines import concurrency
from laddergw.machines.concurrency import AIMD, GRADIENT, OFF, ConcurrencyLimit, ConcurrencyLimits, at_limit
from laddergw.lab import storm
from tests.helpers import TraceTest


class Limits(TraceTest):
    def test_limits_as_nodes_slow_down_and_recover(self):
        lines = []
        for kind in GRADIENT, AIMD:
            lines.append(f"# {kind}")
            limit = ConcurrencyLimit(kind)
            for speed, times, ms in (("quick", 60, 100.0), ("three times as slow", 20, 300.0), ("ten times", 10, 1_000.0), ("quick again", 60, 100.0)):
                for _ in range(times):
                    limit.record_answer(ms)
                lines.append(f"{times} answers {speed}: {limit.limit:.1f} may wait")
            limit.record_failure()
            lines.append(f"a failure: {limit.limit:.1f}")
            for _ in range(9):
                limit.record_failure()
            lines.append(f"nine more: {limit.limit:.1f}")
        self.lines = lines
        self.assert_trace("pace", self)

    @settings(max_examples=80)
    @given(st.sampled_from((GRADIENT, AIMD)), st.lists(st.none() | st.floats(0.01, 1e5), max_size=200))
    def test_a_limit_stays_within_its_bounds(self, kind, answers):
        limit = ConcurrencyLimit(kind)
        for ms in answers:
            limit.record_failure() if ms is None else limit.record_answer(ms)
            self.assertTrue(concurrency.MIN_LIMIT <= limit.limit <= concurrency.MAX_LIMIT)

    def test_which_plays_are_rejected_first(self):
        """Retries before first attempts, less important plays before more important ones; none while the limits are off."""
        limits = ConcurrencyLimits(AIMD)
        total = limits.total_limit(range(3))
        self.assertEqual(total, 3 * concurrency.INITIAL_LIMIT)
        self.assertEqual(ConcurrencyLimits(OFF).total_limit(range(3)), float("inf"))
        rejected = lambda waiting: [name for name, importance, attempts in (("low again", 1, 2), ("low", 1, 1), ("high again", 3, 2), ("high", 3, 1)) if at_limit(waiting, total, importance, 3, attempts)]
        self.assertEqual([rejected(waiting) for waiting in (0, 10, 13, 16, 24)],
                         [[], ["low again"], ["low again", "low"], ["low again", "low", "high again"], ["low again", "low", "high again", "high"]])
        limits.for_node(1).record_failure()
        self.assertEqual(limits.total_limit(range(3)), 2.5 * concurrency.INITIAL_LIMIT)
        limits.keep_only({2})
        self.assertEqual(limits.by_node, {})
        limits.for_node(2).record_failure()
        limits.change_kind(GRADIENT)
        self.assertEqual((limits.by_node[2].kind, limits.by_node[2].limit), (GRADIENT, concurrency.INITIAL_LIMIT / 2))


class RetryStorm(unittest.TestCase):
    def test_recovery_from_windows_of_service(self):
        windows = {at * 1_000.0: value for at, value in enumerate((0.9, 0.9, 0.0, 0.1, 0.9, 0.5, 0.88, 0.9, 0.9))}
        self.assertEqual(storm.recovery(windows, 0.9, 2_000.0), 4_000.0)
        self.assertEqual(storm.recovery(windows, 2.0, 2_000.0), float("inf"))


if __name__ == "__main__":
    unittest.main()
