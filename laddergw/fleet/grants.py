"""A director's side of a budget that is the whole fleet's: what it was granted, what it spent of it, what it asks for. Pure.

A grant is a right to spend so many within any window, to one process. It lasts from when it was *asked* for, on the director's own monotonic clock, and is spent without asking
anybody. A small part of it, the floor, lasts longer, for a director that is cut off. Both planners' words are ranked by epoch and the number of the digest that they answer.
"""
import math
from collections import OrderedDict
from typing import NamedTuple

from laddergw.fleet.rights import MAX_PENDING_REQUESTS, LEASE_MS
from laddergw.machines.retry_budget import SlidingWindowCounter

RENEW_EACH = 4             # digests: a grant that is enough is asked for anew each second, a fifth of its lease
LOW_PART, OVER_PART = 0.25, 1.25   # of it left, or so much more than wanted: asked at once
FLOOR_LEASE_MS = 60_000.0  # of a floor: most cuts of a line are shorter
SPARE, HEADROOM = 1, 1.25  # asked for on top of what was wanted within the last window: a first need is met without asking
BUDGETS_MOST = 4_096       # of one director, over all files that it had; past them a budget is not granted
NAME_MOST = 200            # letters


class Row(NamedTuple):
    """One budget as a director tells of it: the grant that it obeys, what it spent within a window from above, what came to be spent, and what it wants to have in hand."""
    name: str
    window_ms: float
    epoch: int
    number: int
    amount: int
    floor: int
    used: int
    need: int
    want: int


class Grant(NamedTuple):
    """What a planner grants of one budget. `whole`: of the fleet, so that nonsense is seen."""
    name: str
    whole: int
    amount: int
    floor: int
    window_ms: float


class HeldGrant:
    """One budget at one director's process."""

    def __init__(self, window_ms: float):
        self.window_ms, self.amount, self.floor, self.rank = window_ms, 0, 0, (0, 0)
        self.until = self.floor_until = -math.inf
        self.spent, self.wanted = SlidingWindowCounter(window_ms), SlidingWindowCounter(window_ms)

    def right(self, now: float) -> int:
        """So many may be spent within a window that ends now."""
        return self.amount if now < self.until else self.floor if now < self.floor_until else 0

    def spend(self, now: float) -> bool:
        self.wanted.add(now)
        if not self.may_spend(now):
            return False
        self.spent.add(now)
        return True

    def may_spend(self, now: float) -> bool:
        return self.spent.upper_bound(now) + 1 <= self.right(now)

    def urgent(self, row: Row) -> bool:
        """Near its end while there is need, or more than it wants."""
        return row.need > 0 and row.amount - row.used <= LOW_PART * row.amount or row.amount > OVER_PART * row.want + 1

    def row(self, name: str, now: float, stopping: bool) -> Row:
        """Only what still holds is told: what has ended may be somebody else's by now."""
        need = 0 if stopping else self.wanted.upper_bound(now)
        want = 0 if stopping else math.ceil(need * HEADROOM) + SPARE
        return Row(name, self.window_ms, *self.rank, self.right(now), self.floor if now < self.floor_until else 0, self.spent.upper_bound(now), need, want)


class GrantHolder:
    """All fleet budgets of one process. `issuer`: identity of the one store whose planners may grant; others are not obeyed."""

    def __init__(self, issuer: str):
        self.issuer, self.held, self.refused = issuer, {}, 0
        self.on_draw = lambda name, now: None      # told of each that is spent
        self.ever: dict[tuple[str, float], HeldGrant] = {}
        self.asked: OrderedDict[int, float] = OrderedDict()

    def configure(self, windows: dict[str, float]) -> None:
        """Budgets by name with their windows, ms. One that was there before goes on with what it spent then: a file that comes back must not make it forgotten."""
        for name, window_ms in windows.items():
            if (name, window_ms) not in self.ever and len(self.ever) < BUDGETS_MOST:
                self.ever[name, window_ms] = HeldGrant(window_ms)
        self.held = {name: self.ever[name, window_ms] for name, window_ms in windows.items() if (name, window_ms) in self.ever}

    def build_rows(self, number: int, now: float, stopping: bool = False) -> tuple[Row, ...]:
        """What goes out with the digest of that number. One that stops wants nothing."""
        self.asked[number] = now
        while len(self.asked) > MAX_PENDING_REQUESTS:
            self.asked.popitem(last=False)
        return tuple(row for place, (name, held) in enumerate(self.held.items())
                     if held.urgent(row := held.row(name, now, stopping)) or (number + place) % RENEW_EACH == 0)

    def apply_grants(self, number: int, epoch: int, issuer: str, grants: list[Grant], now: float) -> None:
        """An answer to the digest of that number; what is older by epoch or number, answers nothing, or makes no sense changes nothing. The first word of another planner
        gives no more than what holds at this moment: it may answer an asking of before its predecessor took some of it back."""
        if issuer != self.issuer or number not in self.asked:
            return
        for grant in grants:
            held = self.held.get(grant.name)
            if held is None or (epoch, number) <= held.rank or grant.window_ms != held.window_ms:
                continue
            if not 0 <= grant.floor <= grant.amount <= grant.whole:
                self.refused += 1
                continue
            amount, floor = grant.amount, grant.floor
            if 0 < held.rank[0] < epoch:
                amount, floor = min(amount, held.right(now)), min(floor, held.floor if now < held.floor_until else 0)
            held.rank, held.amount, held.floor = (epoch, number), amount, min(amount, floor)
            held.until = self.asked[number] + LEASE_MS
            held.floor_until = self.asked[number] + FLOOR_LEASE_MS

    def spend(self, name: str, now: float) -> bool:
        """Counts one and says True, or says False and counts nothing. At once, whatever planners do."""
        held = self.held.get(name)
        return held is not None and held.spend(now)

    def may_spend(self, name: str, now: float) -> bool:
        """Whether one could be spent at this moment; it is wanted, whatever comes of it."""
        held = self.held.get(name)
        if held is not None:
            held.wanted.add(now)
        return held is not None and held.may_spend(now)

    def draw(self, name: str, now: float) -> None:
        """What `may` allowed at this moment is spent."""
        self.held[name].spent.add(now)
        self.on_draw(name, now)
