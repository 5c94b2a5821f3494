"""Checks the limits on what directors use: the retry budget and processor time. No I/O."""

from collections import deque

from laddergw.lab.soak.terms import Budget
from laddergw.lab.soak.violation import RuleViolation

# The protocol page allows the budget this factor and this many attempts more.
BUDGET_TOLERANCE, BUDGET_EXTRA_ATTEMPTS = 1.15, 1.0
# A director spins if it uses this share of a processor for this long.
SPIN_MS, SPIN_SHARE = 2_000.0, 0.95


def check_retry_budget(records: list[tuple], budget: Budget | None) -> list[RuleViolation]:
    """Checks that in no window a director sends more retries than its budget allows."""
    if budget is None:
        return []
    director_of: dict[str, str] = {}
    requests_of: dict[str, deque[float]] = {}
    retries: dict[str, deque[float]] = {}
    attempted: set[str] = set()
    violations = []
    for at, event, fields in records:
        if event == "director starts":
            requests_of[fields["director"]], retries[fields["director"]] = deque(), deque()
        elif event == "asked":
            director_of[fields["session"]] = fields["director"]
            requests_of.setdefault(fields["director"], deque()).append(at)
        elif event == "arrived" and fields["session"] not in attempted:
            attempted.add(fields["session"])
        elif event == "arrived" and (director := director_of.get(fields["session"])) is not None:
            sent = retries.setdefault(director, deque())
            sent.append(at)
            requests = requests_of.setdefault(director, deque())
            for times in sent, requests:
                while times and times[0] <= at - budget.window_ms:
                    times.popleft()
            allowed = (
                budget.free + budget.share * len(requests)
            ) * BUDGET_TOLERANCE + BUDGET_EXTRA_ATTEMPTS
            if len(sent) > allowed:
                text = f"{len(sent)} retries, {allowed:.1f} allowed: {director}"
                violations.append(RuleViolation("budget", text, fields["session"]))
    return violations


def check_processor_use(records: list[tuple]) -> list[RuleViolation]:
    """Checks that no director uses up a processor for long."""
    since: dict[str, tuple[float, float]] = {}
    violations = []
    for at, event, fields in records:
        if event != "held" or "cpu_ms" not in fields:
            continue
        director, used = fields["director"], fields["cpu_ms"]
        since_ms, used_then = since.setdefault(director, (at, used))
        if used < used_then or used - used_then < SPIN_SHARE * (at - since_ms):
            since[director] = at, used
        elif at - since_ms >= SPIN_MS:
            violations.append(
                RuleViolation("limits", f"director {director} spins: {used - used_then:.0f} ms")
            )
            since[director] = at, used
    return violations
