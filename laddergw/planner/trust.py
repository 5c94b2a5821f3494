"""Decides whether an edge trusts its planner: the loads in plans are compared with the loads that the nodes report themselves. No I/O.

A node reports the load requested of its link every few seconds; a plan's sum arrives twice a second. If the two differ at most nodes, the planner is wrong, by a fault of its own or
because an edge reports wrong values; its plans are ignored until they agree again. A single node may differ: it may slow down, or carry load that no edge knows of.
"""
from collections import deque

MIN_RATIO, MAX_RATIO = 0.6, 1.6 # planned / reported load: rates vary by 15%, and the two are taken at different moments
MIN_LOAD_KB = 200.0        # kB per second; a smaller load is not compared
WINDOW_COMPARISONS = 24    # the last comparisons, over all nodes
MIN_COMPARISONS = 8
DISTRUST_SHARE = 0.6       # share of mismatches at which plans are ignored
RESTORE_SHARE = 0.3        # share of mismatches at which plans are used again


class Trust:
    """Whether one edge trusts its planner's plans."""

    def __init__(self):
        self.mismatches: deque[bool] = deque(maxlen=WINDOW_COMPARISONS)
        self.believed = True
        self.change_count = 0

    def compare(self, reported_kb: float, planned_kb: float) -> bool:
        """Compares a node's reported load with that of the plan in force, kB per second; True if plans are trusted now."""
        if max(reported_kb, planned_kb) >= MIN_LOAD_KB:
            self.mismatches.append(not MIN_RATIO <= planned_kb / max(reported_kb, 1e-9) <= MAX_RATIO)
            mismatch_share = sum(self.mismatches) / len(self.mismatches)
            if len(self.mismatches) >= MIN_COMPARISONS and (mismatch_share >= DISTRUST_SHARE if self.believed else mismatch_share <= RESTORE_SHARE):
                self.believed = not self.believed
                self.change_count += 1
        return self.believed
