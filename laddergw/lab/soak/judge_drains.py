"""Judges what was sent to media nodes that drain, from when that counts as told. No I/O."""

import math

from laddergw.lab.soak.violation import SLACK_MS, RuleViolation

DRAIN_LEAST_MS = 250.0  # nothing new to a node so long after a director was told that it drains
UNTOLD_MS = 4_000.0  # what the change log cannot tell counts as told so long after it went away,
UNREACHED_MS = (
    6_000.0  # or so long after it had it and could be reached, where it stayed away for longer
)


def told_at(at: float, away: list[list[float]]) -> float:
    """When a change that discovery had at that time counts as told, by the spans in which it could
    not be reached: 4 s after such a
    span began, or 6 s after it could be reached again where that was later."""
    for begins, ends in away:
        if begins <= at < max(ends, begins + UNTOLD_MS):
            return (
                ends + UNREACHED_MS if begins + UNTOLD_MS < ends < math.inf else begins + UNTOLD_MS
            )
    return at


def drains(records, grace_ms: float) -> list[RuleViolation]:
    """Nothing new goes to a node that drains, once that counts as told."""
    away: list[list[float]] = []
    told: dict[str, float] = {}
    broken = []
    for at, what, _ in records:
        if what == "log away":
            away.append([at, math.inf])
        elif what == "log back" and away:
            away[-1][1] = at
    for at, what, facts in records:
        if what == "told" and facts["state"] != "SERVING":
            told[facts["node"]] = min(told.get(facts["node"], math.inf), told_at(at, away))
        elif (
            what == "arrived"
            and at - facts["lag"]
            > told.get(facts["node"], math.inf) + max(grace_ms, DRAIN_LEAST_MS) + SLACK_MS
        ):
            since = at - told[facts["node"]]
            broken.append(
                RuleViolation(
                    "drain",
                    f"{facts['session']} to {facts['node']}, "
                    f"{since:.0f} ms after it was told to drain",
                    facts["session"],
                )
            )
    return broken
