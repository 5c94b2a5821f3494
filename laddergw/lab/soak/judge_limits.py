"""Judges what directors may take: further attempts in their budget, processor time. No I/O."""

from collections import deque

from laddergw.lab.soak.terms import Budget
from laddergw.lab.soak.violation import RuleViolation

BUDGET_SLACK, BUDGET_MORE = 1.15, 1.0  # the budget grows by this, by the protocol page
SPINS_MS, SPINS_SHARE = 2_000.0, 0.95  # so long at this share of a processor


def further_attempts(records: list[tuple], budget: Budget | None) -> list[RuleViolation]:
    """In no window does a director send more further attempts than its budget allows."""
    if budget is None:
        return []
    director_of: dict[str, str] = {}
    asked: dict[str, deque[float]] = {}
    further: dict[str, deque[float]] = {}
    tried: set[str] = set()
    broken = []
    for at, what, facts in records:
        if what == "director starts":
            asked[facts["director"]], further[facts["director"]] = deque(), deque()
        elif what == "asked":
            director_of[facts["session"]] = facts["director"]
            asked.setdefault(facts["director"], deque()).append(at)
        elif what == "arrived" and facts["session"] not in tried:
            tried.add(facts["session"])
        elif what == "arrived" and (director := director_of.get(facts["session"])) is not None:
            spent = further.setdefault(director, deque())
            spent.append(at)
            taken = asked.setdefault(director, deque())
            for times in spent, taken:
                while times and times[0] <= at - budget.window_ms:
                    times.popleft()
            allowed = (budget.free + budget.share * len(taken)) * BUDGET_SLACK + BUDGET_MORE
            if len(spent) > allowed:
                what_was = f"{len(spent)} further attempts, {allowed:.1f} allowed: {director}"
                broken.append(RuleViolation("budget", what_was, facts["session"]))
    return broken


def spinning(records: list[tuple]) -> list[RuleViolation]:
    """No director uses up a processor for long."""
    since: dict[str, tuple[float, float]] = {}
    broken = []
    for at, what, facts in records:
        if what != "held" or "cpu_ms" not in facts:
            continue
        director, used = facts["director"], facts["cpu_ms"]
        begun, used_then = since.setdefault(director, (at, used))
        if used < used_then or used - used_then < SPINS_SHARE * (at - begun):
            since[director] = at, used
        elif at - begun >= SPINS_MS:
            broken.append(
                RuleViolation("limits", f"director {director} spins: {used - used_then:.0f} ms")
            )
            since[director] = at, used
    return broken
