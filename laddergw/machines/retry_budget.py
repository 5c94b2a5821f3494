"""Counters over sliding windows in constant memory, and retry budgets that use them.

No I/O; time is handed in.

A window is divided into buckets that are counted as a whole. The upper bound includes the bucket
that lies partly outside the window, the lower bound leaves it out, so that a budget that is kept by
these bounds is kept by exact counts, too. benchmarks/windows.py compares them with exact deques.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Of one window: a count is off by a twentieth of the window at most
BUCKETS = 20


class SlidingWindowCounter:
    """Counts of a window's buckets."""

    __slots__ = ("counts", "last_bucket", "width_ms")

    def __init__(self, window_ms: float):
        self.width_ms, self.counts, self.last_bucket = window_ms / BUCKETS, [0] * (BUCKETS + 1), 0

    def advance(self, now: float) -> int:
        """Empties the buckets that have left the window; returns the current bucket's number."""
        number = int(now // self.width_ms)
        for passed in range(max(self.last_bucket + 1, number - BUCKETS), number + 1):
            self.counts[passed % (BUCKETS + 1)] = 0
        self.last_bucket = max(self.last_bucket, number)
        return self.last_bucket

    def add(self, now: float, count: int = 1) -> None:
        """Counts events of this moment."""
        self.counts[self.advance(now) % (BUCKETS + 1)] += count

    def upper_bound(self, now: float) -> int:
        """Returns no less than the count of the window that ends now."""
        self.advance(now)
        return sum(self.counts)

    def lower_bound(self, now: float) -> int:
        """Returns no more than the count of the window that ends now."""
        number = self.advance(now)
        return sum(self.counts) - self.counts[(number + 1) % (BUCKETS + 1)]


class BudgetTerms(NamedTuple):
    """Retries allowed within a window: a number that is free, and a share of the admitted plays."""

    free: float
    share: float
    window_ms: float


class RetryBudgets:
    """Retry budgets of the operators' limits file by name, such as a route's or a tenant's.

    A retry is a further allocation of an admitted play, not a viewer's new attempt. The
    deployment's own budget is kept by the controller (control/plays.py).
    """

    def __init__(self):
        self.plays: dict[str, SlidingWindowCounter] = {}
        self.retries: dict[str, SlidingWindowCounter] = {}
        self.terms: dict[str, BudgetTerms] = {}
        # Grants of budgets that the whole fleet shares (fleet/grants.py); None: there are none
        self.fleet_grants = None

    def configure(self, terms: dict[str, BudgetTerms]) -> None:
        """Replaces the terms; counts are kept unless the window has changed."""
        for name, budget in terms.items():
            old = self.terms.get(name)
            if old is None or old.window_ms != budget.window_ms:
                self.plays[name], self.retries[name] = (
                    SlidingWindowCounter(budget.window_ms),
                    SlidingWindowCounter(budget.window_ms),
                )
        for name in [name for name in self.plays if name not in terms]:
            del self.plays[name], self.retries[name]
        self.terms = dict(terms)

    def record_play(self, names: Iterable[str], now: float) -> None:
        """Counts a play that was admitted in the budgets of these names."""
        for name in names:
            if name in self.plays:
                self.plays[name].add(now)

    def charge_retry(self, names: Iterable[str], now: float) -> str | None:
        """Charges a retry to the budgets of these names and returns None.

        Where a budget is spent, returns the name of the first such and charges nothing. What is
        over a director's own part of a budget is drawn from the fleet's grants. A budget
        that was lowered below what is spent allows nothing until its window has passed.
        """
        known, from_fleet = [name for name in names if name in self.terms], set()
        for name in known:
            budget = self.terms[name]
            if self.retries[name].upper_bound(now) + 1 > budget.free + budget.share * self.plays[
                name
            ].lower_bound(now):
                if self.fleet_grants is None or not self.fleet_grants.may_spend(name, now):
                    return name
                from_fleet.add(name)
        for name in known:
            self.fleet_grants.draw(name, now) if name in from_fleet else self.retries[name].add(now)
        return None
