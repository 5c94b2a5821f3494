"""Directors and planners with one mistake each in how they handle a budget of the fleet; the checker of spends must find every one."""
from laddergw.fleet import grant_issuer, grants
from laddergw.fleet.grants import GrantHolder, HeldGrant
from laddergw.fleet.grant_issuer import Charge, GrantIssuer, SentGrant
from laddergw.fleet.rights import LEASE_MS
from laddergw.lab.budget_model import Implementations


def holding(mistake=None, **grant_methods):
    """Returns rules for a director whose held grants have other methods. `mistake`: called after each answer, with the attributes of the held grant from before."""
    broken_grant = type("BrokenHeldGrant", (HeldGrant,), grant_methods)

    class Broken(GrantHolder):
        def configure(self, windows):
            super().configure(windows)
            for name, held in self.held.items():
                held.__class__ = broken_grant

        def apply_grants(self, number, epoch, issuer, answer, now):
            before = {name: dict(vars(held)) for name, held in self.held.items()}
            super().apply_grants(number, epoch, issuer, answer, now)
            if mistake is not None:
                for name, held in self.held.items():
                    mistake(self, held, before[name], number, epoch, answer[0])
    return Implementations(grant_holder=Broken)


def issuer(fenced=True, **issuer_methods):
    """Returns rules for a planner whose issuer has other methods."""
    return Implementations(issuer=type("BrokenIssuer", (GrantIssuer,), issuer_methods), fenced=fenced)


def charging(**charge_methods):
    """Returns rules for a planner whose charges have other methods."""
    broken_charge = type("BrokenCharge", (Charge,), charge_methods)

    class Broken(GrantIssuer):
        def handle_request(self, process, number, row, now):
            charge = self.charges.setdefault(process, Charge())
            charge.__class__ = broken_charge
            return super().handle_request(process, number, row, now)
    return Implementations(issuer=Broken)


def mark_answered(holding, held, before, number, epoch, grant):
    held.answered = held.rank != before["rank"]


def right_from_answer_time(held, now):
    # It takes the time of the answer instead of that of the request.
    if getattr(held, "answered", False):
        held.answered, held.until = False, now + LEASE_MS
    return HeldGrant.right(held, now)


def floor_lease_too_long(holding, held, before, number, epoch, grant):
    if held.rank != before["rank"]:
        held.floor_until = holding.requested[max(holding.requested)] + 3 * grants.FLOOR_LEASE_MS


def obey_older_grant(holding, held, before, number, epoch, grant):
    if (epoch, number) < held.rank and number in holding.requested:
        held.amount = max(held.amount, grant.amount)


def forget_spent(holding, held, before, number, epoch, grant):
    if held.rank != before["rank"]:
        held.spent = grants.SlidingWindowCounter(held.window_ms)


def keep_larger_amount(holding, held, before, number, epoch, grant):
    held.amount = max(held.amount, before["amount"])


def reports(**changes):
    """Returns rules for a director that reports other values in its rows."""
    return holding(row=lambda held, name, now, stopping: HeldGrant.row(held, name, now, stopping)._replace(**{key: value(held, now) for key, value in changes.items()}))


def charge_latest_only(self, process, number, row, now):
    accepted = GrantIssuer.handle_request(self, process, number, row, now)
    self.charges[process].sent = dict(list(self.charges[process].sent.items())[-1:])
    return accepted


def ignore_used(self, process, number, row, now):
    return GrantIssuer.handle_request(self, process, number, row._replace(used=0), now)


def grant_beyond_total(self, process, now):
    grant = GrantIssuer.grant(self, process, now)
    charge = self.charges.get(process)
    if grant is None or not self.is_settled(LEASE_MS, now):
        return grant
    amount = max(grant.amount, min(charge.want, self.targets.get(process, 0)))
    charge.sent[charge.number] = SentGrant(amount, grant.floor, now)
    return grant._replace(amount=amount)


def grant_without_charge(self, process, now):
    grant = GrantIssuer.grant(self, process, now)
    charge = self.charges.get(process)
    if grant is not None:
        charge.sent.pop(charge.number)
    return grant


def grant_whole_to_each(self, process, now):
    grant = GrantIssuer.grant(self, process, now)
    return grant and grant._replace(amount=min(self.charges[process].want, grant.whole))


def grant_floor_twice(self, process, now):
    grant = GrantIssuer.grant(self, process, now)
    return grant and grant._replace(floor=min(grant.amount, self.reserve()))


def amount_until_lease_end(self, now, window_ms):
    return max(self.floor(now, window_ms), *(one.amount for one in (self.before, *self.sent.values()) if now < one.at_ms + LEASE_MS), 0)


def amount_with_expired_grants(self, now, window_ms):
    """An expired grant counts again once another is sent: a fault that the checker found in the first version."""
    last = max((one.at_ms for one in self.sent.values()), default=self.before.at_ms)
    return max(self.used, self.before.amount, *(one.amount for one in self.sent.values()), 0) if now < last + grant_issuer.charge_duration_ms(LEASE_MS, window_ms) else self.floor(now, window_ms)


BROKEN = {
    "the lease counts from the answer": holding(mark_answered, right=right_from_answer_time), "the floor's lease is too long": holding(floor_lease_too_long),
    "a grant never ends": holding(right=lambda held, now: held.amount), "a floor never ends": holding(right=lambda held, now: held.amount if now < held.until else held.floor),
    "older grants are obeyed": holding(obey_older_grant), "a smaller grant is not obeyed": holding(keep_larger_amount), "a grant resets what was spent": holding(forget_spent),
    "it reports that it spent nothing": reports(used=lambda held, now: 0), "it reports expired grants as held": reports(amount=lambda held, now: held.amount),
    "it reports another grant than it obeys": reports(number=lambda held, now: held.rank[1] + 2), "it spends one too many": holding(may_spend=lambda held, now: held.spent.upper_bound(now) <= held.right(now)),
    "no waiting after a takeover": issuer(is_settled=lambda self, lease, now: True),
    "it waits out leases but not windows": issuer(is_settled=lambda self, lease, now: now >= self.began + LEASE_MS / 2), "two issuers": Implementations(fenced=False),
    "only the latest grant is charged": issuer(handle_request=charge_latest_only), "a share moves before its spends left the window": issuer(handle_request=ignore_used),
    "it grants more than is left": issuer(grant=grant_beyond_total),
    "it grants without charging": issuer(grant=grant_without_charge), "it grants the whole to each": issuer(grant=grant_whole_to_each), "it grants the floor twice": issuer(grant=grant_floor_twice),
    "unknown floors are not counted": issuer(unknown_floors=lambda self, now: 0), "a charge ends with the lease": charging(amount=amount_until_lease_end), "an expired charge counts again": charging(amount=amount_with_expired_grants),
    "floors are charged no longer than leases": charging(floor=lambda self, now, window: 0),
}
