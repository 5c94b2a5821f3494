"""Checks the set-ups sent to cold media nodes: the sum over all directors may not exceed what the
settings allow and chance explains. No I/O.
"""

import math
from collections import defaultdict

from laddergw.lab.soak.terms import Terms
from laddergw.lab.soak.violation import RuleViolation


def allowed_set_ups(now: float, started: float, terms: Terms) -> float:
    """Returns N: how many set-ups the settings allow a cold node in the window that ends now."""
    warmth = terms.cold_from + (1 - terms.cold_from) * min(
        max(now - terms.fall_ms / 2 - started, 0) / terms.warm_ms, 1
    )
    return terms.multiple * terms.streams / terms.warm_ms * warmth * terms.fall_ms


def cold_start_excess(records, terms: Terms) -> float:
    """Returns the largest excess of the set-ups of any window of the settings, at any node that is
    still cold, over N + 2 * sqrt(N) + 2.
    """
    started, sent, largest = {}, defaultdict(list), -math.inf
    for at, event, fields in records:
        if event == "started":
            started[fields["node"]] = at
        elif event == "arrived" and at - started.get(fields["node"], -math.inf) < terms.warm_ms:
            sent[fields["node"]].append(at)
            allowed = allowed_set_ups(at, started[fields["node"]], terms)
            largest = max(
                largest,
                sum(at - when < terms.fall_ms for when in sent[fields["node"]])
                - allowed
                - 2 * math.sqrt(allowed)
                - 2,
            )
    return largest


def check_cold_starts(records, terms: Terms) -> list[RuleViolation]:
    """Checks that no cold node is sent more set-ups than allowed and explained by chance."""
    excess = cold_start_excess(records, terms)
    return (
        [RuleViolation("failback", f"a cold node was sent {excess:.1f} over what chance explains")]
        if excess > 0
        else []
    )
