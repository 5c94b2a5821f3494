"""What a director tells of its stands and counts, a part of each digest: what changed since the last one on the same connection, all of it on a new one.

Numbers of turns and counts only grow, so a part that is lost with its connection, doubled or out of order does no harm: the next connection begins whole.
"""
import msgspec

from laddergw.fleet.rights import CLOSED, OPEN
from laddergw.fleet.action_counts import ACTIONS, Key, ActionCounts, Turn
from laddergw.fleet.versions import KINDS, Version, version_set

TURNS_TOLD, COUNTS_TOLD, STANDS_TOLD = 512, 65_536, 1_024      # of one part, at most: twice what a director holds
MAX_TEXT_CHARS = 600            # letters of one text


class Part(msgspec.Struct, frozen=True, omit_defaults=True):
    """`turns`: number, time, stand; `stands`: by id, the versions; `counts`: turn, kept, product, action, how many so far."""
    turns: tuple[tuple[int, float, str], ...] = ()
    stands: dict[str, tuple[tuple[str, int, str, str], ...]] = {}
    counts: tuple[tuple[int, str, str, str, int], ...] = ()
    untold: int = 0                                             # actions of turns that were dropped before any planner kept them
    alone_ms: float = 0.0                                       # before this connection, no planner was to be reached so long
    without: str = ""                                           # "open" or "closed": it asks for a right to let plays in, and what it does without one
    over: bool = False                                          # it stops: it lets nothing in any more
    zone: int = 0
    takes: tuple[str, ...] = ()                                 # kinds of which a file can be brought up there
    came: tuple[int, str, str, str] = (0, "", "", "")           # of what a planner wanted there: its number, hash, what came of it, why
    trouble: str = ""                                           # what speaks against the director's own file of limits


class InvalidReport(ValueError):
    """A part that cannot be; the text says why."""


class ReportedState:
    """What went out on one connection."""

    def __init__(self):
        self.turn, self.counts, self.stands = 0, {}, set()

    def next_part(self, stamps: ActionCounts, **more) -> Part:
        """What has changed since the last part, and counts as told by now; `more`: the part's other fields."""
        turns = [turn for turn in stamps.turns if turn.number > self.turn]
        counts = []
        for number, mine in stamps.counts.items():
            if number < self.turn and number in self.counts:    # an earlier turn's counts stand still once it is over and told
                continue
            before = self.counts.get(number, {})
            counts += [(*key, count) for key, count in mine.items() if before.get(key) != count]
        self.counts = {number: dict(mine) for number, mine in stamps.counts.items()}
        named = {turn.stand for turn in turns} | {row[1] for row in counts if row[1]}
        stands = {name: tuple(tuple(v) for v in stamps.version_sets[name].versions) for name in sorted(named - self.stands) if name in stamps.version_sets}
        self.stands |= stands.keys()
        if turns:
            self.turn = turns[-1].number
        return Part(tuple(tuple(turn) for turn in turns), stands, tuple(counts), stamps.dropped, **more)


def checked(part: Part) -> tuple[list[Turn], list[tuple[Key, int]]]:
    """Its turns and counts. Raises InvalidReport."""
    if len(part.turns) > TURNS_TOLD or len(part.counts) > COUNTS_TOLD or len(part.stands) > STANDS_TOLD or part.untold < 0 or part.without not in ("", OPEN, CLOSED) or not 0 <= part.alone_ms < 1e15 or part.zone < 0 \
            or len(part.takes) > len(KINDS) or part.came[0] < 0 or max(map(len, (*part.came[1:], part.trouble))) > MAX_TEXT_CHARS:
        raise InvalidReport("more than a director holds")
    turns = [Turn(*turn) for turn in part.turns]
    if any(turn.number < 1 or not 0 <= turn.at_ms < 1e15 for turn in turns) or [t.number for t in turns] != sorted({t.number for t in turns}):
        raise InvalidReport("turns that do not follow each other")
    counts = [(Key(*row[:4]), row[4]) for row in part.counts]
    if any(count < 0 or key.turn < 1 or key.action not in ACTIONS for key, count in counts):
        raise InvalidReport("counts of nothing")
    for name, versions in part.stands.items():
        if any(version[0] not in KINDS for version in versions) or version_set(Version(*version) for version in versions).id != name:
            raise InvalidReport(f"stand {name[:20]!r} is not made of what it names")
    return turns, counts
