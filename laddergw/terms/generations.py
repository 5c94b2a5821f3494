"""Keeps the generations of the operators' limits file: the current one, and older ones while a play that began under them lasts. No I/O.

A file is checked completely and then put in force at once: plays that begin afterwards follow it, plays that are running keep their generation.
"""
from laddergw.terms.limits import Budget, Limits, LimitsEntry
from laddergw.machines.concurrency import OFF
from laddergw.machines.retry_budget import BudgetTerms


class Generation:
    """One version of the file that is or was in force; `plays` counts the running plays that began under it."""

    def __init__(self, number: int, limits: Limits, since_ms: float):
        self.number, self.limits, self.since_ms, self.plays = number, limits, since_ms, 0


class Generations:
    """The current and older generations; `switches` and `rejected` count changes and rejected files."""

    def __init__(self, limits: Limits, now: float):
        self.current = Generation(1, limits, now)
        self.older: dict[int, Generation] = {}
        self.switches = self.rejected = 0

    def begin_play(self) -> Generation:
        """Counts a play that begins under the current generation, and returns that generation."""
        self.current.plays += 1
        return self.current

    def end_play(self, generation: Generation) -> None:
        """Counts a play of a generation that has ended; an old generation is dropped with its last play."""
        generation.plays -= 1
        if not generation.plays:
            self.older.pop(generation.number, None)

    def switch(self, limits: Limits, now: float) -> Generation:
        """Puts new limits in force."""
        previous = self.current
        if previous.plays:
            self.older[previous.number] = previous
        self.current = Generation(previous.number + 1, limits, now)
        self.switches += 1
        return self.current


def budget_names(entries: tuple[LimitsEntry, ...], limits: Limits) -> tuple[str, ...]:
    """Names of the budgets that a play under these route entries draws on: the routes' own and their tenants'."""
    names = [entry.name for entry in entries if entry.budget is not None]
    for entry in entries:
        tenant = limits.tenants.get(entry.tenant) if entry.tenant else None
        if tenant is not None and tenant.budget is not None and tenant.name not in names:
            names.append(tenant.name)
    return tuple(names)


def budget_terms(limits: Limits) -> dict[str, BudgetTerms]:
    """The terms of all budgets of routes and tenants, by name."""
    entries = [entry for _, entry in limits.routes] + list(limits.tenants.values())
    return {entry.name: budget_terms_of(entry.budget) for entry in entries if entry.budget is not None}


def budget_terms_of(budget: Budget) -> BudgetTerms:
    """A budget's terms at this director. Of a fleet's budget only the share of its own plays is the director's; planners grant the rest."""
    return BudgetTerms(0.0 if budget.fleet else budget.free, budget.share, budget.window_ms)


def fleet_budget_windows(limits: Limits) -> dict[str, float]:
    """Windows, in ms, of the budgets that planners grant, by name."""
    return {entry.name: entry.budget.window_ms for entry in [entry for _, entry in limits.routes] + list(limits.tenants.values()) if entry.budget is not None and entry.budget.fleet}


def describe_changes(old: Limits, new: Limits) -> list[str]:
    """The differences, one line each, in the order of the new file; removed values come last."""
    before, after = flatten(old), flatten(new)
    lines = []
    for key, value in after.items():
        if key not in before:
            lines.append(f"+ {key} {value}")
        elif before[key] != value:
            lines.append(f"  {key} {before[key]} -> {value}")
    return lines + [f"- {key} {value}" for key, value in before.items() if key not in after]


def flatten(limits: Limits) -> dict[str, str]:
    """All values of a file as text, by a name in words such as "route /a/: connect-ms"."""
    values = {"cold-pace": format_value(limits.cold_pace.value)} if limits.cold_pace.source != "built in" else {}
    if limits.answer_margin is not None:
        values["answer-margin-ms"] = format_value(limits.answer_margin.value)
    if limits.adaptive != OFF:
        values["adaptive"] = limits.adaptive
    if limits.budget is not None:
        values["budget"] = format_value(limits.budget[:3])
    entries = ([limits.defaults] if limits.defaults else []) + [*limits.products.values(), *limits.tenants.values()] + [entry for _, entry in limits.routes]
    for entry in entries:
        name = " ".join((entry.name, *entry.products))
        values[name] = ""
        for field, sourced in entry.values.items():
            values[f"{name}: {field.replace('_', '-')}"] = format_value(sourced.value)
        for key, sourced in (("floor", entry.floor), ("seats", entry.seats)):
            if sourced is not None:
                values[f"{name}: {key}"] = format_value(sourced.value)
        if entry.budget is not None:
            values[f"{name}: budget"] = format_value(entry.budget[:3]) + (" of the fleet" if entry.budget.fleet else "")
        if entry.tenant is not None:
            values[f"{name}: tenant"] = entry.tenant
    return values


def format_value(value) -> str:
    """A number, or a tuple of numbers with spaces between them."""
    return " ".join(f"{number:g}" for number in value) if isinstance(value, tuple) else f"{value:g}"
