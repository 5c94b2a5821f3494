"""A planner's part of fleet budgets: receives the directors' reports on them, answers with grants, describes them to operators. fleet/grant_issuer.py decides.

Only the planner that has the store grants, and only budgets that its own file names. They are in the journal before the first grant, so that a planner that takes over knows the
longest window and the highest total that there were.
"""
import msgspec

from laddergw.fleet.grant_issuer import ACTIVE_MS, Budget, GrantIssuer
from laddergw.fleet.grants import FLOOR_LEASE_MS
from laddergw.fleet.rights import LEASE_MS
from laddergw.planner import wire

BUDGETS = "budgets"        # key of a record: rows of name, total, window, and the highest total and longest window so far
encode = msgspec.msgpack.Encoder().encode


class BudgetGrants:
    """All fleet budgets of a planner. `auditor`: has the journal and the way to write."""

    def __init__(self, auditor):
        self.auditor, self.loop = auditor, auditor.loop
        self.budgets: tuple[Budget, ...] = ()
        self.issuers: dict[str, GrantIssuer] = {}
        self.past_limits: dict[str, tuple[int, float]] = {}      # name -> (highest total, longest window)
        self.is_written = False

    def restore(self, rows: list) -> None:
        """Restores the past limits from the journal; this planner now owns the store and does not know what others granted."""
        self.past_limits = {name: (total, window_ms) for name, _, _, total, window_ms in rows}
        self.issuers, self.is_written = {}, False

    def configure(self, budgets: tuple[Budget, ...]) -> None:
        """Applies the budgets of the planner's file. A new total is divided at once; a new budget, or one with another window, starts as after a takeover."""
        for budget in budgets:
            issuer = self.issuers.get(budget.name)
            if issuer is not None and issuer.budget.window_ms == budget.window_ms:
                issuer.set_budget(budget, self.loop.now)
            else:
                self.issuers.pop(budget.name, None)
        for name in self.issuers.keys() - {budget.name for budget in budgets}:
            del self.issuers[name]
        self.budgets, self.is_written = budgets, False

    def may_grant(self) -> bool:
        """True if grants may be sent: this planner owns the journal, and the budgets are in it or could be written now."""
        if not self.budgets or not self.auditor.owns_journal():
            return False
        if not self.is_written:
            past_limits = {b.name: (max(b.whole, self.past_limits.get(b.name, (0, 0.0))[0]), max(b.window_ms, self.past_limits.get(b.name, (0, 0.0))[1])) for b in self.budgets}
            past_limits = self.past_limits | past_limits
            rows = [(*next(((b.name, b.whole, b.window_ms) for b in self.budgets if b.name == name), (name, 0, 0.0)), *limits) for name, limits in sorted(past_limits.items())]
            self.is_written = self.auditor.try_write(lambda: self.auditor.ledger.append([encode([{BUDGETS: rows}])]))
            for budget in self.budgets if self.is_written else ():
                if budget.name not in self.issuers:
                    total, window_ms = past_limits[budget.name]
                    self.issuers[budget.name] = GrantIssuer(budget, self.auditor.ledger.store.epoch, self.loop.now, window_ms, total)
            self.past_limits = past_limits if self.is_written else self.past_limits
        return self.is_written

    def digest_received(self, peer, frame: wire.DigestFrame) -> None:
        """Answers the budget rows of a director's digest with one frame of grants."""
        if not frame.budgets or not self.may_grant():
            return
        name, now, grants = peer.remote.name, self.loop.now, []
        for row in frame.budgets:
            issuer = self.issuers.get(row.name)
            if issuer is not None and issuer.handle_request(name, frame.number, row, now) and (grant := issuer.grant(name, now)) is not None:
                grants.append(grant)
        if grants:
            store = self.auditor.ledger.store
            peer.send(wire.Granted(frame.number, store.epoch, store_identity(store), tuple(grants)))

    def describe(self) -> dict:
        """Describes each budget to operators: what is charged, and to which process."""
        if not self.may_grant():
            return {"refused": "this planner grants no budgets: it does not keep the journal, or its file names none"}
        now, rows = self.loop.now, []
        for name, issuer in sorted(self.issuers.items()):
            issuer.update(now)
            window = issuer.budget.window_ms
            charges = [{"process": process, "charged": charge.amount(now, window), "floor": charge.floor(now, window), "spent": charge.used, "needs": charge.need, "wants": charge.want,
                        "silent": now - charge.requested_ms >= ACTIVE_MS} for process, charge in sorted(issuer.charges.items())]
            rows.append({"budget": name, "whole": issuer.budget.whole, "window_ms": window, "charged": issuer.charged_total, "floors": issuer.floors_total, "reserve": issuer.reserve(),
                         "unknown": issuer.unknown_floors(now), "divided": issuer.division_reason, "held": charges,
                         "waits_ms": max(0.0, issuer.began + (0.0 if issuer.is_settled(LEASE_MS, now) else 1.0) * (LEASE_MS + issuer.past_ms) - now),
                         "floors_known": issuer.is_settled(FLOOR_LEASE_MS, now)})
        return {"issuer": store_identity(self.auditor.ledger.store), "budgets": rows}


def store_identity(store) -> str:
    """The identity of a store, as directors' files write it."""
    return f"{store.identity:014x}"
