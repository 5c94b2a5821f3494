"""Keeps the generations of the operators' file: one in force, older ones as long as a play that began under them lasts. No I/O.

A file is checked whole and then switched at one moment: plays that come from then on are under the new one, plays under way keep theirs.
"""
from laddergw.terms.limits import Budget, Limits, LimitsEntry
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
        self.switches = self.rejected = 0

    def begin_play(self) -> Generation:
        """A play begins under what is in force."""
        self.current.plays += 1
        return self.current

    def end_play(self, generation: Generation) -> None:
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


def budget_names(entries: tuple[LimitsEntry, ...], limits: Limits) -> tuple[str, ...]:
    """The budgets that a play on these entries draws on: its routes' and their tenants'."""
    names = [entry.name for entry in entries if entry.budget is not None]
    for entry in entries:
        tenant = limits.tenants.get(entry.tenant) if entry.tenant else None
        if tenant is not None and tenant.budget is not None and tenant.name not in names:
            names.append(tenant.name)
    return tuple(names)


def budget_terms(limits: Limits) -> dict[str, BudgetTerms]:
    """All budgets of routes and tenants, by name."""
    entries = [entry for _, entry in limits.routes] + list(limits.tenants.values())
    return {entry.name: budget_terms_of(entry.budget) for entry in entries if entry.budget is not None}


def budget_terms_of(budget: Budget) -> BudgetTerms:
    """Of a fleet's budget the share of its own plays is the director's; the rest is granted."""
    return BudgetTerms(0.0 if budget.fleet else budget.free, budget.share, budget.window_ms)


def fleet_budget_windows(limits: Limits) -> dict[str, float]:
    """Windows of budgets that planners grant, ms, by name."""
    return {entry.name: entry.budget.window_ms for entry in [entry for _, entry in limits.routes] + list(limits.tenants.values()) if entry.budget is not None and entry.budget.fleet}


def describe_changes(old: Limits, new: Limits) -> list[str]:
    """What differs, a line each, in the order of the new file; what went last."""
    before, after = flatten(old), flatten(new)
    lines = []
    for key, value in after.items():
        if key not in before:
            lines.append(f"+ {key} {value}")
        elif before[key] != value:
            lines.append(f"  {key} {before[key]} -> {value}")
    return lines + [f"- {key} {value}" for key, value in before.items() if key not in after]


def flatten(limits: Limits) -> dict[str, str]:
    """Every value of a file by its name in words."""
    found = {"cold-pace": format_value(limits.cold_pace.value)} if limits.cold_pace.source != "built in" else {}
    if limits.answer_margin is not None:
        found["answer-margin-ms"] = format_value(limits.answer_margin.value)
    if limits.adaptive != OFF:
        found["adaptive"] = limits.adaptive
    if limits.budget is not None:
        found["budget"] = format_value(limits.budget[:3])
    entries = ([limits.defaults] if limits.defaults else []) + [*limits.products.values(), *limits.tenants.values()] + [entry for _, entry in limits.routes]
    for entry in entries:
        name = " ".join((entry.name, *entry.products))
        found[name] = ""
        for field, sourced in entry.values.items():
            found[f"{name}: {field.replace('_', '-')}"] = format_value(sourced.value)
        for key, sourced in (("floor", entry.floor), ("seats", entry.seats)):
            if sourced is not None:
                found[f"{name}: {key}"] = format_value(sourced.value)
        if entry.budget is not None:
            found[f"{name}: budget"] = format_value(entry.budget[:3]) + (" of the fleet" if entry.budget.fleet else "")
        if entry.tenant is not None:
            found[f"{name}: tenant"] = entry.tenant
    return found


def format_value(value) -> str:
    return " ".join(f"{one:g}" for one in value) if isinstance(value, tuple) else f"{value:g}"
