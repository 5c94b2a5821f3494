"""Timers: a heap and a hierarchical timing wheel behind one interface.

Both return timers in the order of (time, order of adding), so a run does not depend on which one is
used. Which one the loops use, and why, is described in docs/loop.md with the figures of
benchmarks/timers.py. Times are ms with fractions.
"""

import heapq
import math
from collections.abc import Callable

TICK_MS = 1.0  # a slot of the wheel; turns of the loop come no closer than this under load
SLOT_BITS = 6  # 64 slots per level: four levels reach 4.6 hours, longer than any timer runs
LEVELS = 4
# a heap is rebuilt when more timers than this, and more than this share of it, are cancelled
REBUILD_MIN_CANCELLED, REBUILD_CANCELLED_SHARE = 1024, 0.5


class Timer:
    """A callback that is due at a time; cancel() may be called at any moment, also after the call.

    `callback` is None once the timer is cancelled or called.
    """

    __slots__ = ("callback", "order", "owner", "when")

    def __init__(self, when: float, order: int, callback: Callable[[], None], owner):
        self.when, self.order, self.callback, self.owner = when, order, callback, owner

    def cancel(self) -> None:
        """Has no effect once the timer is cancelled or called."""
        if self.callback is not None:
            self.callback = None
            self.owner.timer_cancelled(self)

    def __lt__(self, other: "Timer") -> bool:
        return (self.when, self.order) < (other.when, other.order)


class HeapTimers:
    """Timers on a binary heap; cancelled ones stay in it until many are, then it is rebuilt."""

    def __init__(self, now: float = 0.0):
        self.heap: list[tuple] = []
        self.added = self.cancelled = 0

    def __len__(self) -> int:
        return len(self.heap) - self.cancelled

    def add(self, when: float, callback: Callable[[], None]) -> Timer:
        """Adds a timer that is due at `when`."""
        self.added += 1
        timer = Timer(when, self.added, callback, self)
        heapq.heappush(self.heap, (when, self.added, timer))
        return timer

    def timer_cancelled(self, timer: Timer) -> None:
        """Counts a cancelled timer; rebuilds the heap when too many of them are in it."""
        self.cancelled += 1
        if (
            self.cancelled > REBUILD_MIN_CANCELLED
            and self.cancelled > REBUILD_CANCELLED_SHARE * len(self.heap)
        ):
            self.heap = [entry for entry in self.heap if entry[2].callback is not None]
            heapq.heapify(self.heap)
            self.cancelled = 0

    def next(self) -> float:
        """Time of the earliest timer; infinite if there is none."""
        while self.heap and self.heap[0][2].callback is None:
            heapq.heappop(self.heap)
            self.cancelled -= 1
        return self.heap[0][0] if self.heap else math.inf

    def due(self, now: float, limit: int) -> list[Timer]:
        """Removes and returns at most `limit` timers that are due, earliest first."""
        found = []
        while len(found) < limit and self.next() <= now:
            found.append(heapq.heappop(self.heap)[2])
        return found


class WheelTimers:
    """Timers in slots of one tick each, 64 times coarser per level; when a slot is reached, its
    timers move to the slots of the finer levels.
    """

    def __init__(self, now: float = 0.0):
        self.tick = int(now // TICK_MS)
        self.slots = [[{} for _ in range(1 << SLOT_BITS)] for _ in range(LEVELS)]
        self.entries = [0] * LEVELS  # per level, so that empty stretches are skipped
        self.ready: list[Timer] = []  # a heap of the timers whose tick has been reached
        self.added = self.pending = 0

    def __len__(self) -> int:
        return self.pending

    def add(self, when: float, callback: Callable[[], None]) -> Timer:
        """Adds a timer that is due at `when`."""
        self.added += 1
        self.pending += 1
        timer = Timer(when, self.added, callback, self)
        self.place(timer)
        return timer

    def slot_of(self, when: float) -> tuple[int, int]:
        """Level and slot of a time; times past the reach of the wheel go to its last slot."""
        tick = min(int(when // TICK_MS), self.tick + (1 << SLOT_BITS * LEVELS) - 1)
        for level in range(LEVELS):
            shift = SLOT_BITS * level
            if (tick >> shift) - (self.tick >> shift) < 1 << SLOT_BITS:
                return level, (tick >> shift) & ((1 << SLOT_BITS) - 1)
        return LEVELS - 1, (tick >> SLOT_BITS * (LEVELS - 1)) & ((1 << SLOT_BITS) - 1)

    def place(self, timer: Timer) -> None:
        """Puts a timer into its slot, or among the ready ones if its tick has been reached."""
        if timer.when // TICK_MS <= self.tick:
            heapq.heappush(self.ready, timer)
            timer.owner = self
            return
        level, slot = self.slot_of(timer.when)
        self.slots[level][slot][timer.order] = timer
        self.entries[level] += 1

    def timer_cancelled(self, timer: Timer) -> None:
        """Counts a cancelled timer; it stays in its slot until the slot is reached."""
        self.pending -= 1

    def next(self) -> float:
        """Time of the earliest timer, or a lower bound within its slot; infinite if there is
        none.
        """
        while self.ready and self.ready[0].callback is None:
            heapq.heappop(self.ready)
        if self.ready:
            return self.ready[0].when
        if not self.pending:
            return math.inf
        for level in range(LEVELS):
            shift, base = SLOT_BITS * level, self.tick >> SLOT_BITS * level
            if self.entries[level]:
                for ahead in range(0 if level else 1, 1 << SLOT_BITS):
                    if self.slots[level][(base + ahead) & ((1 << SLOT_BITS) - 1)]:
                        return max(base + ahead << shift, self.tick + 1) * TICK_MS
        return math.inf

    def advance(self, tick: int) -> None:
        """Moves on to a tick; the timers of the slots passed become ready."""
        mask = (1 << SLOT_BITS) - 1
        while self.tick < tick:
            if not any(self.entries):
                self.tick = tick
                return
            step = 1
            if not self.entries[0]:  # skip to the end of this run of empty finest slots
                step = min(tick - self.tick, (1 << SLOT_BITS) - (self.tick & mask))
            self.tick += step
            for level in range(LEVELS - 1, 0, -1):
                shift = SLOT_BITS * level
                if self.tick & ((1 << shift) - 1) == 0:
                    self.empty_slot(level, (self.tick >> shift) & mask)
            self.empty_slot(0, self.tick & mask)

    def empty_slot(self, level: int, slot: int) -> None:
        """Places the timers of a slot anew; cancelled ones are dropped."""
        timers, self.slots[level][slot] = self.slots[level][slot], {}
        self.entries[level] -= len(timers)
        for timer in timers.values():
            if timer.callback is not None:
                self.place(timer)

    def due(self, now: float, limit: int) -> list[Timer]:
        """Removes and returns at most `limit` timers that are due, earliest first."""
        self.advance(int(now // TICK_MS))
        found = []
        while self.ready and len(found) < limit and self.ready[0].when <= now:
            timer = heapq.heappop(self.ready)
            if timer.callback is not None:
                self.pending -= 1
                found.append(timer)
        return found
