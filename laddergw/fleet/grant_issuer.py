"""A planner's side of a budget that the whole fleet shares: how much each process is charged with, and what may be granted. Does no input or output.

Each process is charged with the most that it may have spent, or may still spend, within any window: the highest of the grants that it may obey and of what it reported as
spent. The sum of all charges never exceeds the total, so no window holds more, wherever it begins. A charge falls only by what is known: a process reported that it obeys a
smaller grant (what it had spent stays charged until it reports that it left the window), or a lease, a margin and a window have passed since it was last granted anything.

A planner that takes over knows nothing for certain: its store may be a backup. Until everything that its predecessor granted has expired, it grants nobody more than that
process holds already, which the previous sum had room for. So it needs no record of single grants. A grant that a stalled planner sent is too old when it arrives, since it
counts from the request.
"""
import math
from typing import NamedTuple

from laddergw.fleet.fair_share import Need, target_shares
from laddergw.fleet.grants import FLOOR_LEASE_MS, Grant, Row
from laddergw.fleet.rights import LEASE_MS, MARGIN_MS, MAX_PENDING_REQUESTS

# Fraction of a total that is kept for floors: a director that is cut off keeps about half of what it would have.
RESERVE_SHARE = 0.5
# A process that sent a request within this time takes part in a division.
ACTIVE_MS = 2_500.0
# Between divisions of one budget.
DIVIDE_MS = 250.0
# After this, what is too small to divide goes to other processes.
ROUND_MS = 2_000.0
# Fraction of a lease on top of the margin: floors run long, and clocks drift by 500 parts in a million.
MARGIN_SHARE = 0.01


class Budget(NamedTuple):
    """A budget as the planner's file has it."""
    name: str
    whole: int
    window_ms: float


def charge_duration_ms(lease_ms: float, window_ms: float) -> float:
    """Returns how long after a grant was sent something of it may still be within a window."""
    return lease_ms * (1 + MARGIN_SHARE) + MARGIN_MS + window_ms


class SentGrant(NamedTuple):
    """A grant that was sent, or one of a previous planner that a process reported, as of that report."""
    amount: int
    floor: int
    at_ms: float


class Charge:
    """The charge of one process, of one budget. Each grant that it may obey counts from when it was sent until it expires; one that has expired is not revived by the next."""

    def __init__(self):
        # By number of the digest that it answers.
        self.sent: dict[int, SentGrant] = {}
        # Of a previous planner, as the process reported it.
        self.before = SentGrant(0, 0, -math.inf)
        self.used = self.need = self.want = 0
        # By its last report.
        self.holds = self.holds_floor = 0
        # Of its last request.
        self.number = 0
        self.requested_ms = -math.inf

    def amount(self, now: float, window_ms: float) -> int:
        """Returns the most that the process may have spent, or may spend, within a window."""
        highest = self.used if now < self.requested_ms + MARGIN_MS + window_ms else 0
        for grant in (self.before, *self.sent.values()):
            if grant.amount > highest and now < grant.at_ms + charge_duration_ms(LEASE_MS, window_ms):
                highest = grant.amount
        return max(highest, self.floor(now, window_ms))

    def floor(self, now: float, window_ms: float) -> int:
        """Returns the highest floor that the process may hold."""
        return max((grant.floor for grant in (self.before, *self.sent.values()) if now < grant.at_ms + charge_duration_ms(FLOOR_LEASE_MS, window_ms)), default=0)


class GrantIssuer:
    """One budget at the planner that keeps the journal. `began`: when it took over; `past_ms`, `past_whole`: the longest window and the highest total under which a previous
    planner may have granted."""

    def __init__(self, budget: Budget, epoch: int, began: float, past_ms: float = 0.0, past_whole: int = 0):
        self.budget, self.epoch, self.began, self.past_ms, self.past_whole = budget, epoch, began, max(past_ms, budget.window_ms), max(past_whole, budget.whole)
        self.charges: dict[str, Charge] = {}
        self.targets: dict[str, int] = {}
        self.divided_ms, self.charged_total, self.floors_total, self.active, self.division_reason = -math.inf, 0, 0, 0, "nothing was divided yet"

    def set_budget(self, budget: Budget, now: float) -> None:
        """Applies another total; it is divided with the next request."""
        self.budget, self.divided_ms = budget, -math.inf

    def is_settled(self, lease_ms: float, now: float) -> bool:
        """Returns whether everything that a previous planner granted under such a lease has expired."""
        return now >= self.began + charge_duration_ms(lease_ms, self.past_ms)

    # Reports of directors

    def handle_request(self, process: str, number: int, row: Row, now: float) -> bool:
        """Takes in the request of a process; returns False if it is invalid, older than its last report, or of an epoch above ours."""
        charge = self.charges.setdefault(process, Charge())
        if number <= charge.number or row.epoch > self.epoch or min(row.amount, row.floor, row.used, row.need, row.want, row.number) < 0 or row.window_ms != self.budget.window_ms:
            return False
        before = self.amounts_of(charge, now)
        charge.number, charge.requested_ms, charge.used, charge.need, charge.want = number, now, row.used, row.need, min(row.want, self.budget.whole)
        charge.holds, charge.holds_floor = row.amount, row.floor
        if row.epoch == self.epoch:
            charge.sent = {sent: grant for sent, grant in charge.sent.items() if sent == row.number or sent > max(row.number, number - MAX_PENDING_REQUESTS)}
            charge.before = SentGrant(0, 0, -math.inf)
        # Of a previous planner: its sum had room for it, as long as it lasts.
        elif not self.is_settled(FLOOR_LEASE_MS, now):
            held = row.floor if self.is_settled(LEASE_MS, now) else max(row.amount, row.used)
            charge.before = SentGrant(held, row.floor, now)
        self.update_totals(charge, before, now)
        return True

    def amounts_of(self, charge: Charge, now: float) -> tuple[int, int]:
        """Returns the amount and the floor that are charged now."""
        return charge.amount(now, self.budget.window_ms), charge.floor(now, self.budget.window_ms)

    def update_totals(self, charge: Charge, before: tuple[int, int], now: float) -> None:
        """Replaces what a charge contributed to the totals before with what it amounts to now."""
        amount, floor = self.amounts_of(charge, now)
        self.charged_total, self.floors_total = self.charged_total + amount - before[0], self.floors_total + floor - before[1]

    # Division

    def update(self, now: float) -> None:
        """Recomputes the charges, drops expired ones and divides the budget, if that is due. In between, the totals are only late to fall, never too low."""
        if now - self.divided_ms < DIVIDE_MS:
            return
        self.divided_ms, self.charged_total, self.floors_total, self.active, silent, needs = now, 0, 0, 0, 0, []
        for process, charge in sorted(self.charges.items()):
            amount, floor = self.amounts_of(charge, now)
            self.charged_total, self.floors_total, is_active = self.charged_total + amount, self.floors_total + floor, now - charge.requested_ms < ACTIVE_MS
            if is_active:
                self.active += 1
                needs.append(Need(process, charge.want, amount, charge.need))
            elif amount:
                silent += amount
            elif now - charge.requested_ms >= ACTIVE_MS:
                del self.charges[process]
        self.divide(needs, silent, now)

    def divide(self, needs: list[Need], silent: int, now: float) -> None:
        """Divides what is not charged to silent processes among those that request, each floor first."""
        floor = self.floor_of_each()
        needs = [need._replace(want=max(need.want, floor)) if need.want else need for need in needs]
        spare = max(0, self.budget.whole - silent - self.unknown_floors(now))
        self.targets = target_shares(spare, needs, int(now // ROUND_MS))
        self.division_reason = f"{len(needs)} ask for {sum(need.want for need in needs)} of {spare}, {silent} with the silent"

    def reserve(self) -> int:
        """Returns how much of the total may be granted as floors."""
        return int(self.budget.whole * RESERVE_SHARE)

    def floor_of_each(self) -> int:
        """Returns the floor of each active process."""
        return self.reserve() // max(1, self.active)

    def grant(self, process: str, now: float) -> Grant | None:
        """Returns the answer to the last request of a process, and charges it. None for a process that has not sent a request at this moment."""
        charge = self.charges.get(process)
        if charge is None or charge.requested_ms != now:
            return None
        self.update(now)
        before = self.amounts_of(charge, now)
        target = self.targets.get(process, 0)
        # It may have what it holds, and nobody more.
        if not self.is_settled(LEASE_MS, now):
            target = min(charge.want, charge.holds)
        amount = max(0, min(target, before[0] + max(0, self.budget.whole - self.charged_total - self.unknown_floors(now))))
        floor = min(amount, self.floor_of_each(), max(0, charge.holds_floor if not self.is_settled(FLOOR_LEASE_MS, now) else self.reserve() - self.floors_total + before[1]))
        charge.sent[charge.number] = SentGrant(amount, floor, now)
        self.update_totals(charge, before, now)
        return Grant(self.budget.name, self.budget.whole, amount, floor, self.budget.window_ms)

    def unknown_floors(self, now: float) -> int:
        """Returns what a previous planner may have granted to processes that are not heard: floors outlast the rest, and those reported now were part of them."""
        return 0 if self.is_settled(FLOOR_LEASE_MS, now) else max(0, int(self.past_whole * RESERVE_SHARE) - self.floors_total)
