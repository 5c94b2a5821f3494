"""Decides which planner leads: the one with the highest epoch. A standby takes the next epoch after it has seen no plan for long enough. No I/O; times are passed in, ms.

No election is needed: two planners that plan at once do no harm, since an edge follows the highest epoch only and a plan breaks no rule. What must not happen is that edges stay
without a plan for long, or alternate between two planners: each plan carries the epoch that was taken, and a planner that learns of a higher one becomes a standby.
"""
from typing import NamedTuple
from zlib import crc32

LEADS, STANDS_BY = "leads", "stands by"
LEADER_SILENCE_MS = 2_500.0 # before a takeover; shorter than a plan's lease, so that edges are not left without a plan
MAX_JITTER_MS = 800.0      # random part of the delay, so that two standbys do not take over at the same moment


class Step(NamedTuple):
    """The state from now on, and the epoch to take from the store before planning (0: none)."""
    state: str
    take: int = 0


class Standby:
    """Whether one of several planners leads or stands by."""

    def __init__(self, seed: int, epoch: int, now: float, leads: bool):
        self.seed, self.epoch, self.last_plan_at, self.draw_count = seed, epoch, now, 0
        self.state, self.highest = LEADS if leads else STANDS_BY, epoch
        self.takeover_delay = self.draw_delay()

    def draw_delay(self) -> float:
        """The next takeover delay, ms: pseudorandom from the seed, so that runs can be repeated."""
        self.draw_count += 1
        return LEADER_SILENCE_MS + MAX_JITTER_MS * crc32(b"%d %d" % (self.seed, self.draw_count)) / 2 ** 32

    def epoch_seen(self, epoch: int) -> None:
        """An edge has seen a plan of this epoch and accepts none of a lower one."""
        self.highest = max(self.highest, epoch)

    def plan_seen(self, epoch: int, now: float, age_ms: float = 0.0) -> Step:
        """A plan of this epoch was received here, or by an edge `age_ms` ago."""
        self.epoch_seen(epoch)
        if epoch >= self.epoch and not (epoch == self.epoch and self.state == LEADS):
            self.last_plan_at = max(self.last_plan_at, now - age_ms)
            if self.state == LEADS:              # another planner leads now
                self.state, self.takeover_delay = STANDS_BY, self.draw_delay()
        return Step(self.state)

    def fenced(self, now: float) -> None:
        """Another planner has the store: this one stands by, and may take the store back when the other falls silent."""
        self.state, self.last_plan_at, self.takeover_delay = STANDS_BY, now, self.draw_delay()

    def review(self, now: float) -> Step:
        """Checks whether this planner has to stand by or to take over."""
        if self.state == LEADS and self.highest > self.epoch:
            self.fenced(now)                     # no edge accepts this planner's plans: wait for a plan of the planner that has the higher epoch
        if self.state == STANDS_BY and now - self.last_plan_at >= self.takeover_delay:
            self.state, self.takeover_delay = LEADS, self.draw_delay()
            return Step(LEADS, self.highest + 1)
        return Step(self.state)

    def epoch_taken(self, epoch: int) -> None:
        """The store has assigned this epoch to this planner."""
        self.epoch = self.highest = max(epoch, self.highest)
