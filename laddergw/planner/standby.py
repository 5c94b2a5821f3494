"""Decides which planner plans: the one with the highest epoch. A standby takes the next when it has heard nothing for long enough. Pure; time handed in, ms.

No vote is needed: two planners that plan at once do no harm, since an edge obeys the highest epoch only and a plan breaks no rule. What must not happen is that edges stay
without a plan for long, or go to and fro between two: an epoch that was taken is told with each plan, and a planner that hears of a higher one stands by.
"""
from typing import NamedTuple
from zlib import crc32

LEADS, STANDS_BY = "leads", "stands by"
SILENT_MS = 2_500.0        # of the one that leads: under the lease of its last plan, so that edges miss none
STRAY_MS = 800.0           # drawn on top, by each: two standbys do not take over in the same moment


class Step(NamedTuple):
    """What follows: the new state, and the epoch to take before planning goes on (0: none)."""
    state: str
    take: int = 0


class Standby:
    """One planner among several."""

    def __init__(self, seed: int, epoch: int, now: float, leads: bool):
        self.seed, self.epoch, self.heard_at, self.draws = seed, epoch, now, 0
        self.state, self.highest = LEADS if leads else STANDS_BY, epoch
        self.wait = self.draw()

    def draw(self) -> float:
        self.draws += 1
        return SILENT_MS + STRAY_MS * crc32(b"%d %d" % (self.seed, self.draws)) / 2 ** 32

    def knows(self, epoch: int) -> None:
        """An edge has seen a plan of this epoch at some time, and takes none of a lower one."""
        self.highest = max(self.highest, epoch)

    def heard(self, epoch: int, now: float, age_ms: float = 0.0) -> Step:
        """A plan of this epoch was seen, or an edge said that it had one so long ago."""
        self.knows(epoch)
        if epoch >= self.epoch and not (epoch == self.epoch and self.state == LEADS):
            self.heard_at = max(self.heard_at, now - age_ms)
            if self.state == LEADS:              # somebody else leads by now
                self.state, self.wait = STANDS_BY, self.draw()
        return Step(self.state)

    def fenced(self, now: float) -> None:
        """Another planner has the store: this one stands by, and may take it back when that one falls silent."""
        self.state, self.heard_at, self.wait = STANDS_BY, now, self.draw()

    def look(self, now: float) -> Step:
        if self.state == LEADS and self.highest > self.epoch:
            self.fenced(now)                     # no edge takes our plans: whoever has that epoch gets its time to show
        if self.state == STANDS_BY and now - self.heard_at >= self.wait:
            self.state, self.wait = LEADS, self.draw()
            return Step(LEADS, self.highest + 1)
        return Step(self.state)

    def took(self, epoch: int) -> None:
        """The store has given us this epoch."""
        self.epoch = self.highest = max(epoch, self.highest)
