"""Checks that viewers and media nodes agree on which plays are over. No I/O.

A play that stands at its node is not to be ended by its director without a reason, and what its
viewer was told is over is over at the node too, once that can be reached.
"""

import math
from collections import defaultdict
from collections.abc import Iterable

from laddergw.lab.soak.judge_releases import played_sessions
from laddergw.lab.soak.violation import SLACK_MS, RuleViolation

# A play that its viewer was told is over ends at its node this long after that can be reached.
REACHED_AGAIN_MS = 6_000.0
# A node that is cut off for no longer than this keeps its plays.
MAX_KEPT_CUT_MS = 6_000.0
# Cause of the release of a play that was interrupted.
INTERRUPTED = 41
# Events that end a play at its node, by itself or as its director says, and for its director.
NODE_ENDS = "ended by its node", "release acknowledged", "died with it"
TORN_DOWN = "torn down"
DIRECTOR_ENDS = "director told to stop", "director killed", "director ended"

Spans = dict[str, list[list[float]]]


def check_standing_plays(records) -> list[RuleViolation]:
    """Checks the ends of running plays against those at their nodes."""
    cuts, end_of_trial = cut_spans(records), max((at for at, _, _ in records), default=0.0)
    delisted = first_times(records, "told", lambda fields: fields["state"] != "SERVING")
    director_ends = times_by(records, DIRECTOR_ENDS, "director")
    director_of = {
        fields["session"]: fields["director"]
        for _, event, fields in records
        if event in ("asked", "asked again")
    }
    violations = []
    for session, events in played_sessions(records).items():
        released = next(
            ((at, f.get("cause")) for at, name, f in events if name == "released"), None
        )
        node = next((f["node"] for _, name, f in events if "node" in f), None)
        if released is None or node is None:
            continue
        released_at, cause = released
        ended_at = first_time(events, *NODE_ENDS)
        over_at = min(ended_at, first_time(events, TORN_DOWN))
        due = reached_at(released_at, cuts.get(node, ())) + REACHED_AGAIN_MS + SLACK_MS
        if min(over_at, end_of_trial) > due:
            violations.append(
                RuleViolation("lost", f"goes on at {node}, over for its viewer: {session}", session)
            )
        stopped = any(
            events[0][0] - SLACK_MS <= at <= released_at + SLACK_MS
            for at in director_ends.get(director_of.get(session, ""), ())
        )
        is_excused = (
            cause != INTERRUPTED
            or ended_at <= released_at
            or stopped
            or delisted.get(node, math.inf) <= released_at
            or was_long_cut(released_at, cuts.get(node, ()))
        )
        if not is_excused:
            violations.append(
                RuleViolation("lost", f"ended, though it stands at {node}: {session}", session)
            )
    return violations


def first_time(events, *names: str) -> float:
    """Returns the time of the first of some events of a session, or infinity."""
    return min((at for at, name, _ in events if name in names), default=math.inf)


def cut_spans(records) -> Spans:
    """Returns, by node, the spans in which it was cut off."""
    found: Spans = defaultdict(list)
    for at, event, fields in records:
        if event == "node cut off":
            found[fields["node"]].append([at, math.inf])
        elif event in ("node reached again", "node restarted") and found[fields["node"]]:
            found[fields["node"]][-1][1] = min(at, found[fields["node"]][-1][1])
    return found


def reached_at(at: float, cuts: Iterable[list[float]]) -> float:
    """Returns when a node can be reached from a time on."""
    return max([at, *(end for begin, end in cuts if begin <= at < end)])


def was_long_cut(at: float, cuts: Iterable[list[float]]) -> bool:
    """Returns whether a node has been cut off for longer than it keeps its plays."""
    return any(begin <= at <= end and at - begin > MAX_KEPT_CUT_MS for begin, end in cuts)


def first_times(records, event: str, is_wanted) -> dict[str, float]:
    """Returns, by node, the time of its first record of an event."""
    found: dict[str, float] = {}
    for at, name, fields in records:
        if name == event and is_wanted(fields):
            found.setdefault(fields["node"], at)
    return found


def times_by(records, events: tuple[str, ...], field: str) -> dict[str, list[float]]:
    """Returns the times of the given events by the value of a field."""
    found: dict[str, list[float]] = defaultdict(list)
    for at, name, fields in records:
        if name in events:
            found[fields[field]].append(at)
    return found
