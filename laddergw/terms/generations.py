"""Keeps the generations of the operators' file: one in force, older ones as long as a play that began under them lasts. No I/O.

A file is checked whole and then switched at one moment: plays that come from then on are under the new one, plays under way keep theirs.
"""
from laddergw.terms.limits import Budget, Limits, Row
from laddergw.machines.concurrency import OFF
from laddergw.machines.retry_budget import BudgetTerms


class Generation:
    """One file that was in force."""

    def __init__(self, number: int, limits: Limits, since: float):
        self.number, self.limits, self.since, self.plays = number, limits, since, 0


class Generations:
    """See the module."""

    def __init__(self, limits: Limits, now: float):
        self.current = Generation(1, limits, now)
        self.older: dict[int, Generation] = {}
        self.switches = self.refused = 0

    def take(self) -> Generation:
        """A play begins under what is in force."""
        self.current.plays += 1
        return self.current

    def drop(self, generation: Generation) -> None:
        """A play of it is over; an old one goes with its last."""
        generation.plays -= 1
        if not generation.plays:
            self.older.pop(generation.number, None)

    def switch(self, limits: Limits, now: float) -> Generation:
        old = self.current
        if old.plays:
            self.older[old.number] = old
        self.current = Generation(old.number + 1, limits, now)
        self.switches += 1
        return self.current


def budget_names(rows: tuple[Row, ...], limits: Limits) -> tuple[str, ...]:
    """The budgets that a play on these rows draws on: its routes' and their tenants'."""
    names = [row.name for row in rows if row.budget is not None]
    for row in rows:
        tenant = limits.tenants.get(row.tenant) if row.tenant else None
        if tenant is not None and tenant.budget is not None and tenant.name not in names:
            names.append(tenant.name)
    return tuple(names)


def allowed(limits: Limits) -> dict[str, BudgetTerms]:
    """All budgets of routes and tenants, by name."""
    rows = [row for _, row in limits.routes] + list(limits.tenants.values())
    return {row.name: as_allowed(row.budget) for row in rows if row.budget is not None}


def as_allowed(budget: Budget) -> BudgetTerms:
    """Of a fleet's budget the share of its own plays is the director's; the rest is granted."""
    return BudgetTerms(0.0 if budget.fleet else budget.free, budget.share, budget.window_ms)


def of_the_fleet(limits: Limits) -> dict[str, float]:
    """Windows of budgets that planners grant, ms, by name."""
    return {row.name: row.budget.window_ms for row in [row for _, row in limits.routes] + list(limits.tenants.values()) if row.budget is not None and row.budget.fleet}


def changes(old: Limits, new: Limits) -> list[str]:
    """What differs, a line each, in the order of the new file; what went last."""
    before, after = flat(old), flat(new)
    lines = []
    for key, value in after.items():
        if key not in before:
            lines.append(f"+ {key} {value}")
        elif before[key] != value:
            lines.append(f"  {key} {before[key]} -> {value}")
    return lines + [f"- {key} {value}" for key, value in before.items() if key not in after]


def flat(limits: Limits) -> dict[str, str]:
    """Every value of a file by its name in words."""
    found = {"cold-pace": show(limits.cold_pace.value)} if limits.cold_pace.source != "built in" else {}
    if limits.margin is not None:
        found["answer-margin-ms"] = show(limits.margin.value)
    if limits.adaptive != OFF:
        found["adaptive"] = limits.adaptive
    if limits.budget is not None:
        found["budget"] = show(limits.budget[:3])
    rows = ([limits.defaults] if limits.defaults else []) + [*limits.products.values(), *limits.tenants.values()] + [row for _, row in limits.routes]
    for row in rows:
        name = " ".join((row.name, *row.products))
        found[name] = ""
        for field, told in row.values.items():
            found[f"{name}: {field.replace('_', '-')}"] = show(told.value)
        for key, told in (("floor", row.floor), ("seats", row.seats)):
            if told is not None:
                found[f"{name}: {key}"] = show(told.value)
        if row.budget is not None:
            found[f"{name}: budget"] = show(row.budget[:3]) + (" of the fleet" if row.budget.fleet else "")
        if row.tenant is not None:
            found[f"{name}: tenant"] = row.tenant
    return found


def show(value) -> str:
    return " ".join(f"{one:g}" for one in value) if isinstance(value, tuple) else f"{value:g}"
