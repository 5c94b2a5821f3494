"""Checks that viewers and media nodes agree on which plays are over. No I/O.

A play that stands at its node is not to be ended by its director without a reason, and what its
viewer was told is over is over at the node too, once that can be reached.
"""

import math
from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import NamedTuple

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
STOPS, DIRECTOR_ENDED = ("director told to stop", "director killed"), "director ended"

Spans = dict[str, list[list[float]]]


class ReleasedPlay(NamedTuple):
    """A play whose viewer was told that it is over. Times are in ms; those of no event infinite."""

    session: str
    node: str
    released_at: float
    cause: int | None
    # its end by the node itself, and its end there by whatever cause
    ended_at: float
    over_at: float
    # the spans in which its node was cut off, and those in which its director stopped
    cuts: Sequence[Sequence[float]]
    stops: Sequence[Sequence[float]]

    def reached_at(self) -> float:
        """Returns when its node could first be reached after the release."""
        return max([self.released_at, *(e for b, e in self.cuts if b <= self.released_at < e)])

    def goes_on_until(self) -> float:
        """Returns until when it may go on at its node.

        A director that has ended before the node is reached can tell it nothing.
        """
        reached_at = self.reached_at()
        if any(self.released_at - SLACK_MS <= ended <= reached_at for _, ended in self.stops):
            return math.inf
        return reached_at + REACHED_AGAIN_MS + SLACK_MS

    def was_ended_without_reason(self) -> bool:
        """Returns whether its director ended it by itself, though its node could be reached."""
        at = self.released_at
        is_stopping = any(stop <= at <= ended + SLACK_MS for stop, ended in self.stops)
        was_long_cut = any(b <= at <= e and at - b > MAX_KEPT_CUT_MS for b, e in self.cuts)
        return not (self.cause != INTERRUPTED or self.ended_at <= at or is_stopping or was_long_cut)


def check_standing_plays(records) -> list[RuleViolation]:
    """Checks the ends of running plays against those at their nodes."""
    end_of_trial = max((at for at, _, _ in records), default=0.0)
    delisted = first_times(records, "told", lambda fields: fields["state"] != "SERVING")
    violations = []
    for play in released_plays(records):
        if min(play.over_at, end_of_trial) > play.goes_on_until():
            what = f"goes on at {play.node}, over for its viewer: {play.session}"
            violations.append(RuleViolation("lost", what, play.session))
        is_delisted = delisted.get(play.node, math.inf) <= play.released_at
        if play.was_ended_without_reason() and not is_delisted:
            what = f"ended, though it stands at {play.node}: {play.session}"
            violations.append(RuleViolation("lost", what, play.session))
    return violations


def released_plays(records) -> Iterator[ReleasedPlay]:
    """Yields the plays whose viewers were told that they are over."""
    cuts, stops = cut_spans(records), stop_spans(records)
    director_of = {
        fields["session"]: fields["director"]
        for _, event, fields in records
        if event in ("asked", "asked again")
    }
    for session, events in played_sessions(records).items():
        released = next(
            ((at, f.get("cause")) for at, name, f in events if name == "released"), None
        )
        node = next((f["node"] for _, name, f in events if "node" in f), None)
        if released is None or node is None:
            continue
        ended_at = first_time(events, *NODE_ENDS)
        over_at = min(ended_at, first_time(events, TORN_DOWN))
        director = director_of.get(session, "")
        yield ReleasedPlay(
            session, node, *released, ended_at, over_at, cuts.get(node, ()), stops.get(director, ())
        )


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


def first_times(records, event: str, is_wanted) -> dict[str, float]:
    """Returns, by node, the time of its first record of an event."""
    found: dict[str, float] = {}
    for at, name, fields in records:
        if name == event and is_wanted(fields):
            found.setdefault(fields["node"], at)
    return found


def stop_spans(records) -> Spans:
    """Returns, by director, the spans from each stop or kill to the end of the process."""
    found: Spans = defaultdict(list)
    for at, event, fields in records:
        if event in STOPS:
            found[fields["director"]].append([at, math.inf])
        elif event == DIRECTOR_ENDED:
            spans = found[fields["director"]] or [[at, math.inf]]
            spans[-1][1] = min(at, spans[-1][1])
            found[fields["director"]] = spans
    return found
