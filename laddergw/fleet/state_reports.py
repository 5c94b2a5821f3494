"""What a director reports of its version sets and counts, a part of each digest: the changes since the last digest of the same connection, everything on a new one.

Numbers of turns and counts only grow, so a part that is lost with its connection, doubled or out of order does no harm: the next connection begins with everything.
"""
import msgspec

from laddergw.fleet.rights import CLOSED, OPEN
from laddergw.fleet.action_counts import ACTIONS, ActionCounts, Key, Turn
from laddergw.fleet.versions import KINDS, Version, version_set

# Bounds of one part: twice what a director holds.
MAX_REPORTED_TURNS, MAX_REPORTED_COUNTS, MAX_REPORTED_SETS = 512, 65_536, 1_024
# Characters of one text of a part.
MAX_TEXT_CHARS = 600


class Part(msgspec.Struct, frozen=True, omit_defaults=True):
    """`turns`: number, time, id of the version set; `stands`: the versions of each set, by its id; `counts`: turn, kept, product, action, how many so far.

    `untold`: actions of turns that were dropped before any planner kept them; `alone_ms`: how long no planner could be reached before this connection; `without`: "open" or
    "closed" from a director that requests a right to admit plays, what it does without one; `over`: it is stopping and admits nothing any more; `takes`: kinds of which
    a file is accepted there; `came`: number, hash, outcome and reason of the last file a planner offered; `trouble`: what is wrong with the director's own limits file.
    """
    turns: tuple[tuple[int, float, str], ...] = ()
    stands: dict[str, tuple[tuple[str, int, str, str], ...]] = {}
    counts: tuple[tuple[int, str, str, str, int], ...] = ()
    untold: int = 0
    alone_ms: float = 0.0
    without: str = ""
    over: bool = False
    zone: int = 0
    takes: tuple[str, ...] = ()
    came: tuple[int, str, str, str] = (0, "", "", "")
    trouble: str = ""


class InvalidReport(ValueError):
    """A part that cannot be valid; the text says why."""


class ReportedState:
    """What has been reported on one connection."""

    def __init__(self):
        self.turn, self.counts, self.version_set_ids = 0, {}, set()

    def next_part(self, actions: ActionCounts, **more) -> Part:
        """Returns what has changed since the last part, and marks it as reported. `more`: the part's other fields."""
        turns = [turn for turn in actions.turns if turn.number > self.turn]
        counts = []
        for number, turn_counts in actions.counts.items():
            # The counts of a past turn no longer change, and are complete once reported.
            if number < self.turn and number in self.counts:
                continue
            before = self.counts.get(number, {})
            counts += [(*key, count) for key, count in turn_counts.items() if before.get(key) != count]
        self.counts = {number: dict(turn_counts) for number, turn_counts in actions.counts.items()}
        referenced = {turn.stand for turn in turns} | {row[1] for row in counts if row[1]}
        version_sets = {set_id: tuple(tuple(v) for v in actions.version_sets[set_id].versions) for set_id in sorted(referenced - self.version_set_ids) if set_id in actions.version_sets}
        self.version_set_ids |= version_sets.keys()
        if turns:
            self.turn = turns[-1].number
        return Part(tuple(tuple(turn) for turn in turns), version_sets, tuple(counts), actions.dropped, **more)


def parse_part(part: Part) -> tuple[list[Turn], list[tuple[Key, int]]]:
    """Returns the part's turns and counts. Raises InvalidReport."""
    if len(part.turns) > MAX_REPORTED_TURNS or len(part.counts) > MAX_REPORTED_COUNTS or len(part.stands) > MAX_REPORTED_SETS or part.untold < 0 or part.without not in ("", OPEN, CLOSED) or not 0 <= part.alone_ms < 1e15 or part.zone < 0 \
            or len(part.takes) > len(KINDS) or part.came[0] < 0 or max(map(len, (*part.came[1:], part.trouble))) > MAX_TEXT_CHARS:
        raise InvalidReport("more than a director holds")
    turns = [Turn(*turn) for turn in part.turns]
    if any(turn.number < 1 or not 0 <= turn.at_ms < 1e15 for turn in turns) or [t.number for t in turns] != sorted({t.number for t in turns}):
        raise InvalidReport("turns are not in ascending order, or a number or time is out of range")
    counts = [(Key(*row[:4]), row[4]) for row in part.counts]
    if any(count < 0 or key.turn < 1 or key.action not in ACTIONS for key, count in counts):
        raise InvalidReport("a count is negative, or of an unknown turn or action")
    for set_id, versions in part.stands.items():
        if any(version[0] not in KINDS for version in versions) or version_set(Version(*version) for version in versions).id != set_id:
            raise InvalidReport(f"version set {set_id[:20]!r} does not have the id of its versions")
    return turns, counts
