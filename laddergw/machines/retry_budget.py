"""Counts within a sliding window in constant memory, and budgets of further allocations made of
them. No I/O; time handed in.

A window is cut into parts that are counted whole. What is asked from above (`most`) counts the part
that is half out of the window, what is asked
from below (`least`) leaves it out, so that a budget kept by these counts is kept by exact ones.
Measured against exact deques in benchmarks/windows.py.
"""

from collections.abc import Iterable
from typing import NamedTuple

BUCKETS = 20  # of a window: a count is off by a twentieth of the window at most


class SlidingWindowCounter:
    """Counts by parts of a window, ms."""

    __slots__ = ("counts", "last", "part_ms")

    def __init__(self, window_ms: float):
        self.part_ms, self.counts, self.last = window_ms / BUCKETS, [0] * (BUCKETS + 1), 0

    def advance(self, now: float) -> int:
        """Empties the parts that time has left behind; the number of the present part."""
        number = int(now // self.part_ms)
        for past in range(max(self.last + 1, number - BUCKETS), number + 1):
            self.counts[past % (BUCKETS + 1)] = 0
        self.last = max(self.last, number)
        return self.last

    def add(self, now: float, count: int = 1) -> None:
        self.counts[self.advance(now) % (BUCKETS + 1)] += count

    def upper_bound(self, now: float) -> int:
        """No less than what came within the window."""
        self.advance(now)
        return sum(self.counts)

    def lower_bound(self, now: float) -> int:
        """No more than what came within the window."""
        number = self.advance(now)
        return sum(self.counts) - self.counts[(number + 1) % (BUCKETS + 1)]


class BudgetTerms(NamedTuple):
    """What is allowed: further allocations within a window, ms, and a share of the plays taken."""

    free: float
    share: float
    window_ms: float


class RetryBudgets:
    """Budgets by name, such as a route's or a tenant's.

    A change of what is allowed keeps what was counted, unless the window changed.
    """

    def __init__(self):
        self.taken: dict[str, SlidingWindowCounter] = {}
        self.further: dict[str, SlidingWindowCounter] = {}
        self.allowed: dict[str, BudgetTerms] = {}
        self.fleet_grants = None  # grants of budgets that are the whole fleet's (fleet/grants.py)

    def configure(self, allowed: dict[str, BudgetTerms]) -> None:
        for name, one in allowed.items():
            old = self.allowed.get(name)
            if old is None or old.window_ms != one.window_ms:
                self.taken[name], self.further[name] = (
                    SlidingWindowCounter(one.window_ms),
                    SlidingWindowCounter(one.window_ms),
                )
        for name in [name for name in self.taken if name not in allowed]:
            del self.taken[name], self.further[name]
        self.allowed = dict(allowed)

    def record_play(self, names: Iterable[str], now: float) -> None:
        """A play was let in."""
        for name in names:
            if name in self.taken:
                self.taken[name].add(now)

    def may_retry(self, names: Iterable[str], now: float) -> str | None:
        """Counts a further allocation and returns None, or the name of the first budget that is
        spent, and counts nothing. One lowered
        below what is spent lets nothing through until its window has passed."""
        held, drawn = [name for name in names if name in self.allowed], set()
        for name in held:
            one = self.allowed[name]
            if self.further[name].upper_bound(now) + 1 > one.free + one.share * self.taken[
                name
            ].lower_bound(now):
                if self.fleet_grants is None or not self.fleet_grants.may(name, now):
                    return name
                drawn.add(name)
        for name in held:
            self.fleet_grants.took(name, now) if name in drawn else self.further[name].add(now)
        return None
