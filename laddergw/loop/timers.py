"""Keeps what is to be called at which time: a heap and a hierarchical wheel behind one interface.

Both hand out calls in order of (time, order of adding), so a run does not depend on which is used.
Which one the
loops use, and why, stands in docs/loop.md with the figures of benchmarks/timers.py. Times are ms
with fractions.
"""

import heapq
import math
from collections.abc import Callable

TICK_MS = 1.0  # a wheel's slot: the loop turns no finer than this under load
SLOT_BITS = 6  # 64 slots a level: four levels reach 4.6 hours, all that we ever wait
LEVELS = 4
REAP_LEAST, REAP_PART = (
    1024,
    0.5,
)  # a heap is rebuilt when so many, and this part of it, are cancelled


class Timer:
    """A call to be made at a time; cancel() may be called at any moment, also after it was made."""

    __slots__ = ("callback", "order", "owner", "when")

    def __init__(self, when: float, order: int, callback: Callable[[], None], owner):
        self.when, self.order, self.callback, self.owner = when, order, callback, owner

    def cancel(self) -> None:
        if self.callback is not None:
            self.callback = None
            self.owner.dropped(self)

    def __lt__(self, other: "Timer") -> bool:
        return (self.when, self.order) < (other.when, other.order)


class HeapTimers:
    """Timers on a binary heap; cancelled ones are left in place and swept when they are many."""

    def __init__(self, now: float = 0.0):
        self.heap: list[tuple] = []
        self.added = self.cancelled = 0

    def __len__(self) -> int:
        return len(self.heap) - self.cancelled

    def add(self, when: float, callback: Callable[[], None]) -> Timer:
        self.added += 1
        timer = Timer(when, self.added, callback, self)
        heapq.heappush(self.heap, (when, self.added, timer))
        return timer

    def dropped(self, timer: Timer) -> None:
        self.cancelled += 1
        if self.cancelled > REAP_LEAST and self.cancelled > REAP_PART * len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].callback is not None]
            heapq.heapify(self.heap)
            self.cancelled = 0

    def next(self) -> float:
        """Time of the earliest timer; infinite where there is none."""
        while self.heap and self.heap[0][2].callback is None:
            heapq.heappop(self.heap)
            self.cancelled -= 1
        return self.heap[0][0] if self.heap else math.inf

    def due(self, now: float, most: int) -> list[Timer]:
        """Takes out at most `most` timers whose time has come, earliest first."""
        found = []
        while len(found) < most and self.next() <= now:
            found.append(heapq.heappop(self.heap)[2])
        return found


class WheelTimers:
    """Timers in slots of a tick each, coarser by 64 a level; a slot is spread over the finer ones
    when it is reached.
    """

    def __init__(self, now: float = 0.0):
        self.tick = int(now // TICK_MS)
        self.slots = [[{} for _ in range(1 << SLOT_BITS)] for _ in range(LEVELS)]
        self.filled = [0] * LEVELS  # entries a level, so that empty stretches are skipped
        self.ready: list[Timer] = []  # of ticks gone by, sorted
        self.added = self.alive = 0

    def __len__(self) -> int:
        return self.alive

    def add(self, when: float, callback: Callable[[], None]) -> Timer:
        self.added += 1
        self.alive += 1
        timer = Timer(when, self.added, callback, self)
        self.place(timer)
        return timer

    def where(self, when: float) -> tuple[int, int]:
        tick = min(int(when // TICK_MS), self.tick + (1 << SLOT_BITS * LEVELS) - 1)
        for level in range(LEVELS):
            shift = SLOT_BITS * level
            if (tick >> shift) - (self.tick >> shift) < 1 << SLOT_BITS:
                return level, (tick >> shift) & ((1 << SLOT_BITS) - 1)
        return LEVELS - 1, (tick >> SLOT_BITS * (LEVELS - 1)) & ((1 << SLOT_BITS) - 1)

    def place(self, timer: Timer) -> None:
        if timer.when // TICK_MS <= self.tick:
            heapq.heappush(self.ready, timer)
            timer.owner = self
            return
        level, slot = self.where(timer.when)
        self.slots[level][slot][timer.order] = timer
        self.filled[level] += 1

    def dropped(self, timer: Timer) -> None:
        self.alive -= 1  # it stays in its slot, empty, until the slot is reached

    def next(self) -> float:
        """Time of the earliest timer, or a lower bound within its slot; infinite where there is
        none.
        """
        while self.ready and self.ready[0].callback is None:
            heapq.heappop(self.ready)
        if self.ready:
            return self.ready[0].when
        if not self.alive:
            return math.inf
        for level in range(LEVELS):
            shift, base = SLOT_BITS * level, self.tick >> SLOT_BITS * level
            if self.filled[level]:
                for ahead in range(0 if level else 1, 1 << SLOT_BITS):
                    if self.slots[level][(base + ahead) & ((1 << SLOT_BITS) - 1)]:
                        return max(base + ahead << shift, self.tick + 1) * TICK_MS
        return math.inf

    def advance(self, tick: int) -> None:
        mask = (1 << SLOT_BITS) - 1
        while self.tick < tick:
            if not any(self.filled):
                self.tick = tick
                return
            step = 1
            if not self.filled[0]:  # jump to the end of this run of empty finest slots
                step = min(tick - self.tick, (1 << SLOT_BITS) - (self.tick & mask))
            self.tick += step
            for level in range(LEVELS - 1, 0, -1):
                shift = SLOT_BITS * level
                if self.tick & ((1 << shift) - 1) == 0:
                    self.spread(level, (self.tick >> shift) & mask)
            self.spread(0, self.tick & mask)

    def spread(self, level: int, slot: int) -> None:
        timers, self.slots[level][slot] = self.slots[level][slot], {}
        self.filled[level] -= len(timers)
        for timer in timers.values():
            if timer.callback is not None:
                self.place(timer)

    def due(self, now: float, most: int) -> list[Timer]:
        """Takes out at most `most` timers whose time has come, earliest first."""
        self.advance(int(now // TICK_MS))
        found = []
        while self.ready and len(found) < most and self.ready[0].when <= now:
            timer = heapq.heappop(self.ready)
            if timer.callback is not None:
                self.alive -= 1
                found.append(timer)
        return found
