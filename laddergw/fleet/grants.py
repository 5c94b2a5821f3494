"""A director's side of a budget that the whole fleet shares: what was granted to it, what it spent, and what it requests. Does no input or output.

A grant is the right of one process to spend a number within any window. It lasts from when it was *requested*, on the director's own monotonic clock, and is spent without
asking anybody. A small part of it, the floor, lasts longer, for a director that is cut off. The answers of both planners are ordered by epoch and by the number of the
digest that they answer.
"""
import math
from collections import OrderedDict
from typing import NamedTuple

from laddergw.fleet.rights import LEASE_MS, MAX_PENDING_REQUESTS
from laddergw.machines.retry_budget import SlidingWindowCounter

# A grant that is large enough is renewed each second, a fifth of its lease.
RENEW_EVERY_DIGESTS = 4
# A grant is requested at once where this fraction of it is left, or where it exceeds what is wanted by this factor.
LOW_SHARE, EXCESS_FACTOR = 0.25, 1.25
# Most interruptions of a link are shorter.
FLOOR_LEASE_MS = 60_000.0
# Requested on top of what was wanted within the last window, so that a first need is met without asking.
SPARE, HEADROOM = 1, 1.25
# Of one director, over all files that it has had. Past them a budget is not granted.
MAX_BUDGETS = 4_096
MAX_NAME_CHARS = 200


class Row(NamedTuple):
    """One budget as a director reports it: the grant that it obeys, an upper bound of what it spent within a window, what it needs now, and what it wants in reserve."""
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
    """A planner's grant of one budget. `whole`: the fleet's total, which makes invalid grants detectable."""
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
        """Returns how many may be spent within a window that ends now."""
        return self.amount if now < self.until else self.floor if now < self.floor_until else 0

    def spend(self, now: float) -> bool:
        """Spends one and returns True, or returns False if the grant does not allow it."""
        self.wanted.add(now)
        if not self.may_spend(now):
            return False
        self.spent.add(now)
        return True

    def may_spend(self, now: float) -> bool:
        """Returns whether the grant allows one more."""
        return self.spent.upper_bound(now) + 1 <= self.right(now)

    def urgent(self, row: Row) -> bool:
        """Returns whether the grant is nearly spent while there is need, or exceeds what is wanted."""
        return row.need > 0 and row.amount - row.used <= LOW_SHARE * row.amount or row.amount > EXCESS_FACTOR * row.want + 1

    def row(self, name: str, now: float, stopping: bool) -> Row:
        """Returns the report of this budget. Only what has not expired is reported: what has may be another process's by now."""
        need = 0 if stopping else self.wanted.upper_bound(now)
        want = 0 if stopping else math.ceil(need * HEADROOM) + SPARE
        return Row(name, self.window_ms, *self.rank, self.right(now), self.floor if now < self.floor_until else 0, self.spent.upper_bound(now), need, want)


class GrantHolder:
    """All fleet budgets of one process. `issuer`: identity of the one store whose planners may grant; others are not obeyed. `on_draw`: called with each that is drawn."""

    def __init__(self, issuer: str):
        self.issuer, self.held, self.refused = issuer, {}, 0
        self.on_draw = lambda name, now: None
        self.all_grants: dict[tuple[str, float], HeldGrant] = {}
        self.requested: OrderedDict[int, float] = OrderedDict()

    def configure(self, windows: dict[str, float]) -> None:
        """Sets the budgets, by name with their windows in ms. One that existed before keeps what it spent then: a file that comes back must not make it forgotten."""
        for name, window_ms in windows.items():
            if (name, window_ms) not in self.all_grants and len(self.all_grants) < MAX_BUDGETS:
                self.all_grants[name, window_ms] = HeldGrant(window_ms)
        self.held = {name: self.all_grants[name, window_ms] for name, window_ms in windows.items() if (name, window_ms) in self.all_grants}

    def build_rows(self, number: int, now: float, stopping: bool = False) -> tuple[Row, ...]:
        """Returns the rows of the digest of that number. A process that is stopping wants nothing."""
        self.requested[number] = now
        while len(self.requested) > MAX_PENDING_REQUESTS:
            self.requested.popitem(last=False)
        return tuple(row for index, (name, held) in enumerate(self.held.items())
                     if held.urgent(row := held.row(name, now, stopping)) or (number + index) % RENEW_EVERY_DIGESTS == 0)

    def apply_grants(self, number: int, epoch: int, issuer: str, grants: list[Grant], now: float) -> None:
        """Applies the answer to the digest of that number. What is older by epoch or number, answers no pending request or is invalid changes nothing. The first answer of
        another planner gives no more than what holds now: it may answer a request from before its predecessor took part of the grant back."""
        if issuer != self.issuer or number not in self.requested:
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
            held.until = self.requested[number] + LEASE_MS
            held.floor_until = self.requested[number] + FLOOR_LEASE_MS

    def spend(self, name: str, now: float) -> bool:
        """Spends one and returns True, or returns False. Decides at once, whatever the planners do."""
        held = self.held.get(name)
        return held is not None and held.spend(now)

    def may_spend(self, name: str, now: float) -> bool:
        """Returns whether one could be spent now; it counts as wanted either way."""
        held = self.held.get(name)
        if held is not None:
            held.wanted.add(now)
        return held is not None and held.may_spend(now)

    def draw(self, name: str, now: float) -> None:
        """Spends one that `may_spend` has just allowed."""
        self.held[name].spent.add(now)
        self.on_draw(name, now)
