"""A planner's side of a budget that is the whole fleet's: who is charged with how much, and what may be granted. Pure.

To each process is charged the most that it may have spent, or may still spend, within any window: the highest of the grants that it may obey and what it told that it had spent.
The sum of all charges is never over the whole, so no window holds more, wherever it begins. A charge falls only by what is known: a process told that it obeys a smaller grant
(what it had spent stays charged until it tells that it left the window), or a lease, a margin and a window have passed since it was last granted anything.

Who takes over knows nothing for sure: its store may be a backup. Until whatever its predecessor granted is over it grants nobody more than that process holds already, which the
sum of before had room for; so it needs no record of single grants, and a grant that was sent by a planner that stood still is too old when it comes, since it counts from the asking.
"""
import math
from typing import NamedTuple

from laddergw.fleet.fair_share import Need, target_shares
from laddergw.fleet.grants import FLOOR_LEASE_MS, Grant, Row
from laddergw.fleet.rights import MAX_PENDING_REQUESTS, LEASE_MS, MARGIN_MS

RESERVE_PART = 0.5         # of a whole, for floors: who is cut off keeps about half of what it would have
ACTIVE_MS = 2_500.0        # who asked within this takes part in a division
DIVIDE_MS = 250.0          # between divisions of one budget
TURN_MS = 2_000.0          # what is too small to divide goes to others after this
MARGIN_PART = 0.01         # of a lease on top of the margin: floors run long, clocks 500 parts in a million apart


class Budget(NamedTuple):
    """As the planner's file has it."""
    name: str
    whole: int
    window_ms: float


def charge_duration_ms(lease_ms: float, window_ms: float) -> float:
    """From when a grant was sent until nothing of it can be within a window any more."""
    return lease_ms * (1 + MARGIN_PART) + MARGIN_MS + window_ms


class Sent(NamedTuple):
    """A grant that went out, or one of a planner of before that a process told of, by when it was told."""
    amount: int
    floor: int
    at_ms: float


class Charge:
    """One process's, of one budget. Each grant that it may obey counts from when it was sent until it is over by itself: what has ended is not made good again by the next."""

    def __init__(self):
        self.sent: dict[int, Sent] = {}                      # by number
        self.before = Sent(0, 0, -math.inf)                  # of a planner of before, as it told
        self.used = self.need = self.want = 0
        self.holds = self.holds_floor = 0                    # as it told last
        self.number = 0                                      # of its last asking
        self.asked_ms = -math.inf

    def amount(self, now: float, window_ms: float) -> int:
        most = self.used if now < self.asked_ms + MARGIN_MS + window_ms else 0
        for grant in (self.before, *self.sent.values()):
            if grant.amount > most and now < grant.at_ms + charge_duration_ms(LEASE_MS, window_ms):
                most = grant.amount
        return max(most, self.floor(now, window_ms))

    def floor(self, now: float, window_ms: float) -> int:
        return max((grant.floor for grant in (self.before, *self.sent.values()) if now < grant.at_ms + charge_duration_ms(FLOOR_LEASE_MS, window_ms)), default=0)


class GrantIssuer:
    """One budget at the planner that keeps the journal. `began`: when it took over; `past_ms`, `past_whole`: the longest window and the highest whole that a planner of before may have
    granted under."""

    def __init__(self, budget: Budget, epoch: int, began: float, past_ms: float = 0.0, past_whole: int = 0):
        self.budget, self.epoch, self.began, self.past_ms, self.past_whole = budget, epoch, began, max(past_ms, budget.window_ms), max(past_whole, budget.whole)
        self.charges: dict[str, Charge] = {}
        self.targets: dict[str, int] = {}
        self.divided_ms, self.charged_total, self.floors_total, self.active, self.division_reason = -math.inf, 0, 0, 0, "nothing was divided yet"

    def set_budget(self, budget: Budget, now: float) -> None:
        """Another whole."""
        self.budget, self.divided_ms = budget, -math.inf

    def is_settled(self, lease_ms: float, now: float) -> bool:
        """Whether all that a planner of before granted under such a lease is over."""
        return now >= self.began + charge_duration_ms(lease_ms, self.past_ms)

    # What directors tell

    def handle_request(self, process: str, number: int, row: Row, now: float) -> bool:
        """A process asks; False where it makes no sense, or is older than what it told before, or is of an epoch past ours."""
        charge = self.charges.setdefault(process, Charge())
        if number <= charge.number or row.epoch > self.epoch or min(row.amount, row.floor, row.used, row.need, row.want, row.number) < 0 or row.window_ms != self.budget.window_ms:
            return False
        before = self.of(charge, now)
        charge.number, charge.asked_ms, charge.used, charge.need, charge.want = number, now, row.used, row.need, min(row.want, self.budget.whole)
        charge.holds, charge.holds_floor = row.amount, row.floor
        if row.epoch == self.epoch:
            charge.sent = {sent: grant for sent, grant in charge.sent.items() if sent == row.number or sent > max(row.number, number - MAX_PENDING_REQUESTS)}
            charge.before = Sent(0, 0, -math.inf)
        elif not self.is_settled(FLOOR_LEASE_MS, now):          # of a planner of before: its sum had room for it, as long as it lasts
            held = row.floor if self.is_settled(LEASE_MS, now) else max(row.amount, row.used)
            charge.before = Sent(held, row.floor, now)
        self.recharge(charge, before, now)
        return True

    def of(self, charge: Charge, now: float) -> tuple[int, int]:
        return charge.amount(now, self.budget.window_ms), charge.floor(now, self.budget.window_ms)

    def recharge(self, charge: Charge, before: tuple[int, int], now: float) -> None:
        amount, floor = self.of(charge, now)
        self.charged_total, self.floors_total = self.charged_total + amount - before[0], self.floors_total + floor - before[1]

    # Division

    def update(self, now: float) -> None:
        """Where it is due: charges as of now, those that are over go, and a division. In between sums only fall behind, never below."""
        if now - self.divided_ms < DIVIDE_MS:
            return
        self.divided_ms, self.charged_total, self.floors_total, self.active, silent, needs = now, 0, 0, 0, 0, []
        for process, charge in sorted(self.charges.items()):
            amount, floor = self.of(charge, now)
            self.charged_total, self.floors_total, asks = self.charged_total + amount, self.floors_total + floor, now - charge.asked_ms < ACTIVE_MS
            if asks:
                self.active += 1
                needs.append(Need(process, charge.want, amount, charge.need))
            elif amount:
                silent += amount
            elif now - charge.asked_ms >= ACTIVE_MS:
                del self.charges[process]
        self.divide(needs, silent, now)

    def divide(self, needs: list[Need], silent: int, now: float) -> None:
        """What is charged to the silent is not to be had; the rest is divided among who asks, each floor first."""
        floor = self.floor_of()
        needs = [need._replace(want=max(need.want, floor)) if need.want else need for need in needs]
        spare = max(0, self.budget.whole - silent - self.unknown_floors(now))
        self.targets = target_shares(spare, needs, int(now // TURN_MS))
        self.division_reason = f"{len(needs)} ask for {sum(need.want for need in needs)} of {spare}, {silent} with the silent"

    def reserve(self) -> int:
        return int(self.budget.whole * RESERVE_PART)

    def floor_of(self) -> int:
        return self.reserve() // max(1, self.active)

    def grant(self, process: str, now: float) -> Grant | None:
        """The answer to its last asking; it is charged as this returns. None for who has not asked at this moment."""
        charge = self.charges.get(process)
        if charge is None or charge.asked_ms != now:
            return None
        self.update(now)
        before = self.of(charge, now)
        target = self.targets.get(process, 0)
        if not self.is_settled(LEASE_MS, now):                  # it may have what it holds, and nobody more
            target = min(charge.want, charge.holds)
        amount = max(0, min(target, before[0] + max(0, self.budget.whole - self.charged_total - self.unknown_floors(now))))
        floor = min(amount, self.floor_of(), max(0, charge.holds_floor if not self.is_settled(FLOOR_LEASE_MS, now) else self.reserve() - self.floors_total + before[1]))
        charge.sent[charge.number] = Sent(amount, floor, now)
        self.recharge(charge, before, now)
        return Grant(self.budget.name, self.budget.whole, amount, floor, self.budget.window_ms)

    def unknown_floors(self, now: float) -> int:
        """What a planner of before may have granted to who is not heard: floors outlast the rest, and those that are told now were part of them."""
        return 0 if self.is_settled(FLOOR_LEASE_MS, now) else max(0, int(self.past_whole * RESERVE_PART) - self.floors_total)
