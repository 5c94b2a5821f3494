"""A planner's side of budgets that are the fleet's: takes in what directors tell of them, answers with grants, tells operators. Decisions lie in fleet/grant_issuer.py.

Only the planner that has the store grants, and only as its own file names budgets. Which budgets it grants is in the journal before the first grant: whoever takes over knows the
longest window and the highest whole that there were.
"""
import msgspec

from laddergw.fleet.grant_issuer import ACTIVE_MS, Budget, GrantIssuer
from laddergw.fleet.grants import FLOOR_LEASE_MS
from laddergw.fleet.rights import LEASE_MS
from laddergw.planner import wire

BUDGETS = "budgets"        # of a record: name, whole, window, and the highest whole and longest window that ever were
encode = msgspec.msgpack.Encoder().encode


class BudgetGrants:
    """See the module. `auditor`: the journal and its planner's way to write."""

    def __init__(self, auditor):
        self.auditor, self.loop = auditor, auditor.loop
        self.budgets: tuple[Budget, ...] = ()
        self.issuers: dict[str, GrantIssuer] = {}
        self.past: dict[str, tuple[int, float]] = {}             # highest whole, longest window, by name
        self.written = False

    def taken_over(self, rows: list) -> None:
        """The store is ours, and what others granted is not known."""
        self.past = {name: (whole, window_ms) for name, _, _, whole, window_ms in rows}
        self.issuers, self.written = {}, False

    def configure(self, budgets: tuple[Budget, ...]) -> None:
        """The file read again. A new whole is divided at once; with another window, or new, a budget begins as after a takeover."""
        for budget in budgets:
            held = self.issuers.get(budget.name)
            if held is not None and held.budget.window_ms == budget.window_ms:
                held.set_budget(budget, self.loop.now)
            else:
                self.issuers.pop(budget.name, None)
        for name in self.issuers.keys() - {budget.name for budget in budgets}:
            del self.issuers[name]
        self.budgets, self.written = budgets, False

    def ready(self) -> bool:
        """Whether grants may go out: the store is ours, and what may be granted is in it."""
        if not self.budgets or not self.auditor.owns_journal():
            return False
        if not self.written:
            past = {b.name: (max(b.whole, self.past.get(b.name, (0, 0.0))[0]), max(b.window_ms, self.past.get(b.name, (0, 0.0))[1])) for b in self.budgets}
            past = self.past | past
            rows = [(*next(((b.name, b.whole, b.window_ms) for b in self.budgets if b.name == name), (name, 0, 0.0)), *most) for name, most in sorted(past.items())]
            self.written = self.auditor.guarded(lambda: self.auditor.ledger.append([encode([{BUDGETS: rows}])]))
            for budget in self.budgets if self.written else ():
                if budget.name not in self.issuers:
                    whole, window_ms = past[budget.name]
                    self.issuers[budget.name] = GrantIssuer(budget, self.auditor.ledger.store.epoch, self.loop.now, window_ms, whole)
            self.past = past if self.written else self.past
        return self.written

    def told(self, peer, frame: wire.DigestFrame) -> None:
        """A director's rows of one digest, answered in one frame."""
        if not frame.budgets or not self.ready():
            return
        name, now, grants = peer.remote.name, self.loop.now, []
        for row in frame.budgets:
            issuer = self.issuers.get(row.name)
            if issuer is not None and issuer.handle_request(name, frame.number, row, now) and (grant := issuer.grant(name, now)) is not None:
                grants.append(grant)
        if grants:
            store = self.auditor.ledger.store
            peer.send(wire.Granted(frame.number, store.epoch, store_identity(store), tuple(grants)))

    def shown(self) -> dict:
        """For operators: each budget, what is charged and to whom."""
        if not self.ready():
            return {"refused": "this planner grants no budgets: it does not keep the journal, or its file names none"}
        now, rows = self.loop.now, []
        for name, issuer in sorted(self.issuers.items()):
            issuer.update(now)
            window = issuer.budget.window_ms
            held = [{"process": process, "charged": charge.amount(now, window), "floor": charge.floor(now, window), "spent": charge.used, "needs": charge.need, "wants": charge.want,
                     "silent": now - charge.requested_ms >= ACTIVE_MS} for process, charge in sorted(issuer.charges.items())]
            rows.append({"budget": name, "whole": issuer.budget.whole, "window_ms": window, "charged": issuer.charged_total, "floors": issuer.floors_total, "reserve": issuer.reserve(),
                         "unknown": issuer.unknown_floors(now), "divided": issuer.division_reason, "held": held,
                         "waits_ms": max(0.0, issuer.began + (0.0 if issuer.is_settled(LEASE_MS, now) else 1.0) * (LEASE_MS + issuer.past_ms) - now),
                         "floors_known": issuer.is_settled(FLOOR_LEASE_MS, now)})
        return {"issuer": store_identity(self.auditor.ledger.store), "budgets": rows}


def store_identity(store) -> str:
    """Of a store, as directors' files name it."""
    return f"{store.identity:014x}"
