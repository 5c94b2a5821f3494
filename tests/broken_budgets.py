"""Directors and planners with one mistake each in how they keep a fleet's budget."""
from laddergw.fleet import grant_issuer, grants
from laddergw.fleet.grants import HeldGrant, GrantHolder
from laddergw.fleet.grant_issuer import Charge, GrantIssuer, Sent
from laddergw.fleet.rights import LEASE_MS
from laddergw.lab.budget_model import Implementations


def holding(mistake=None, **of_held):
    """A director whose budgets have other functions; `mistake(holding)` after each grant, with how the budget stood before."""
    made = type("BrokenHeld", (HeldGrant,), of_held)

    class Broken(GrantHolder):
        def configure(self, windows):
            super().configure(windows)
            for name, held in self.held.items():
                held.__class__ = made

        def apply_grants(self, number, epoch, issuer, told, now):
            before = {name: dict(vars(held)) for name, held in self.held.items()}
            super().apply_grants(number, epoch, issuer, told, now)
            if mistake is not None:
                for name, held in self.held.items():
                    mistake(self, held, before[name], number, epoch, told[0])
    return Implementations(holding=Broken)


def issuer(fenced=True, **of_issuer):
    return Implementations(issuer=type("BrokenIssuer", (GrantIssuer,), of_issuer), fenced=fenced)


def charging(**of_charge):
    """A planner that charges in another way."""
    made = type("BrokenCharge", (Charge,), of_charge)

    class Broken(GrantIssuer):
        def handle_request(self, process, number, row, now):
            charge = self.charges.setdefault(process, Charge())
            charge.__class__ = made
            return super().handle_request(process, number, row, now)
    return Implementations(issuer=Broken)


def from_the_answer(holding, held, before, number, epoch, grant):
    held.answered = held.rank != before["rank"]


def right_from_the_answer(held, now):
    if getattr(held, "answered", False):         # it looks at the clock after the answer
        held.answered, held.until = False, now + LEASE_MS
    return HeldGrant.right(held, now)


def floor_from_the_answer(holding, held, before, number, epoch, grant):
    if held.rank != before["rank"]:
        held.floor_until = holding.asked[max(holding.asked)] + 3 * grants.FLOOR_LEASE_MS


def older_too(holding, held, before, number, epoch, grant):
    if (epoch, number) < held.rank and number in holding.asked:
        held.amount = max(held.amount, grant.amount)


def forgets_its_past(holding, held, before, number, epoch, grant):
    if held.rank != before["rank"]:
        held.spent = grants.SlidingWindowCounter(held.window_ms)


def keeps_the_larger(holding, held, before, number, epoch, grant):
    held.amount = max(held.amount, before["amount"])


def tells(**changes):
    return holding(row=lambda held, name, now, stopping: HeldGrant.row(held, name, now, stopping)._replace(**{key: value(held, now) for key, value in changes.items()}))


def only_the_latest(self, process, number, row, now):
    taken = GrantIssuer.handle_request(self, process, number, row, now)
    self.charges[process].sent = dict(list(self.charges[process].sent.items())[-1:])
    return taken


def past_forgotten(self, process, number, row, now):
    return GrantIssuer.handle_request(self, process, number, row._replace(used=0), now)


def grants_over(self, process, now):
    grant = GrantIssuer.grant(self, process, now)
    charge = self.charges.get(process)
    if grant is None or not self.is_settled(LEASE_MS, now):
        return grant
    amount = max(grant.amount, min(charge.want, self.targets.get(process, 0)))
    charge.sent[charge.number] = Sent(amount, grant.floor, now)
    return grant._replace(amount=amount)


def grants_before_it_charges(self, process, now):
    grant = GrantIssuer.grant(self, process, now)
    charge = self.charges.get(process)
    if grant is not None:
        charge.sent.pop(charge.number)
    return grant


def whole_to_each(self, process, now):
    grant = GrantIssuer.grant(self, process, now)
    return grant and grant._replace(amount=min(self.charges[process].want, grant.whole))


def floor_lent_twice(self, process, now):
    grant = GrantIssuer.grant(self, process, now)
    return grant and grant._replace(floor=min(grant.amount, self.reserve()))


def until_the_lease(self, now, window_ms):
    return max(self.floor(now, window_ms), *(one.amount for one in (self.before, *self.sent.values()) if now < one.at_ms + LEASE_MS), 0)


def made_good_again(self, now, window_ms):
    """What has ended counts again once another is sent: found by the checker in the first version."""
    last = max((one.at_ms for one in self.sent.values()), default=self.before.at_ms)
    return max(self.used, self.before.amount, *(one.amount for one in self.sent.values()), 0) if now < last + grant_issuer.charge_duration_ms(LEASE_MS, window_ms) else self.floor(now, window_ms)


BROKEN = {
    "the lease counts from the answer": holding(from_the_answer, right=right_from_the_answer), "the floor's lease is longer than told": holding(floor_from_the_answer),
    "a grant never ends": holding(right=lambda held, now: held.amount), "a floor never ends": holding(right=lambda held, now: held.amount if now < held.until else held.floor),
    "older grants are obeyed, too": holding(older_too), "a smaller grant is not obeyed": holding(keeps_the_larger), "a grant makes its past forgotten": holding(forgets_its_past),
    "it tells that it spent nothing": tells(used=lambda held, now: 0), "it tells what has ended as if it held": tells(amount=lambda held, now: held.amount),
    "it tells a grant as obeyed that is not": tells(number=lambda held, now: held.rank[1] + 2), "it spends one more": holding(may_spend=lambda held, now: held.spent.upper_bound(now) <= held.right(now)),
    "no waiting after a takeover": issuer(is_settled=lambda self, lease, now: True),
    "waiting out leases without windows": issuer(is_settled=lambda self, lease, now: now >= self.began + LEASE_MS / 2), "two issuers": Implementations(fenced=False),
    "only the latest grant is charged": issuer(handle_request=only_the_latest), "a share moves and its past is forgotten": issuer(handle_request=past_forgotten),
    "more than is left": issuer(grant=grants_over),
    "granted, and not charged": issuer(grant=grants_before_it_charges), "the whole to each": issuer(grant=whole_to_each), "the floor lent twice": issuer(grant=floor_lent_twice),
    "unknown floors are not counted": issuer(unknown_floors=lambda self, now: 0), "a charge ends with the lease": charging(amount=until_the_lease), "an ended charge counts again": charging(amount=made_good_again),
    "floors are charged no longer than leases": charging(floor=lambda self, now, window: 0),
}
