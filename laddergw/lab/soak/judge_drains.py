"""Checks what is sent to draining media nodes, from when directors count as informed. No I/O."""

import math

from laddergw.lab.soak.violation import SLACK_MS, RuleViolation

# From this time after a director was told that a node drains, it sends the node nothing new.
MIN_DRAIN_NOTICE_MS = 250.0
# A change that an unreachable change log cannot send counts as told this long after the log became
# unreachable,
UNREACHABLE_NOTICE_MS = 4_000.0
# or, if the log was unreachable for longer than that, this long after it has the change and can be
# reached again.
RECONNECT_NOTICE_MS = 6_000.0


def notice_at(at: float, outages: list[list[float]]) -> float:
    """Returns when a change that the change log had at a time counts as told to directors.

    `outages` are the spans in which the log could not be reached. A change of an outage counts as
    told 4 s after the outage began, or 6 s after its end if the outage was longer than those 4 s.
    """
    for begins, ends in outages:
        if begins <= at < max(ends, begins + UNREACHABLE_NOTICE_MS):
            return (
                ends + RECONNECT_NOTICE_MS
                if begins + UNREACHABLE_NOTICE_MS < ends < math.inf
                else begins + UNREACHABLE_NOTICE_MS
            )
    return at


def check_drains(records, grace_ms: float) -> list[RuleViolation]:
    """Checks that a draining node is sent nothing new once directors count as told of the drain."""
    outages: list[list[float]] = []
    noticed_at: dict[str, float] = {}
    violations = []
    for at, event, _ in records:
        if event == "log away":
            outages.append([at, math.inf])
        elif event == "log back" and outages:
            outages[-1][1] = at
    for at, event, fields in records:
        if event == "told" and fields["state"] != "SERVING":
            noticed_at[fields["node"]] = min(
                noticed_at.get(fields["node"], math.inf), notice_at(at, outages)
            )
        elif (
            event == "arrived"
            and at - fields["lag"]
            > noticed_at.get(fields["node"], math.inf)
            + max(grace_ms, MIN_DRAIN_NOTICE_MS)
            + SLACK_MS
        ):
            since = at - noticed_at[fields["node"]]
            violations.append(
                RuleViolation(
                    "drain",
                    f"{fields['session']} to {fields['node']}, "
                    f"{since:.0f} ms after it was told to drain",
                    fields["session"],
                )
            )
    return violations
