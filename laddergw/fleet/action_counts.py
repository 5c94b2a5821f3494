"""Counts what a director did under each version set in force, in bounded memory, until a planner has the counts on its disk. Does no input or output.

A turn is the time during which one version set is in force at this process; turns are numbered from 1, and a number is never used again. Only the current turn's counts
grow. Earlier turns that a planner has acknowledged are dropped here. What nobody acknowledges is kept up to a bound, past which the oldest turns go and their actions are
counted as dropped, so that an answer can say what it does not know.
"""
from collections import OrderedDict, deque
from typing import NamedTuple

from laddergw.fleet.versions import VersionSet

ADMITTED, SET_UP, SET_UP_RETRIED, PLAYING, DECLINED, FAILED, ENDED = "let in", "set-up", "set-up again", "playing", "declined", "failed", "ended"
ACTIONS = (ADMITTED, SET_UP, SET_UP_RETRIED, PLAYING, DECLINED, FAILED, ENDED)
# Unacknowledged turns: minutes of a fleet list that changes each second while no planner can be reached.
MAX_TURNS = 256
# Keys of one turn: products by actions by version sets that plays keep. Past it actions count under no product.
MAX_KEYS_PER_TURN = 128
# The latest plays whose actions are listed, and the actions listed of each.
MAX_TRACKED_PLAYS, MAX_STEPS_PER_PLAY = 2_048, 24


class Turn(NamedTuple):
    """A version set in force since a time, ms of the director's clock. `stand`: the set's id."""
    number: int
    at_ms: float
    stand: str


class Key(NamedTuple):
    """What is counted separately. `kept`: id of the version set whose terms the play keeps, empty if it is the one in force."""
    turn: int
    kept: str
    product: str
    action: str


class Step(NamedTuple):
    """One action of a play. `stand`: id of the version set in force; `kept`: as in Key."""
    at_ms: float
    action: str
    stand: str
    kept: str


class ActionCounts:
    """The turns of one process and the counts of each. `dropped`: actions of turns that were discarded before any planner kept them."""

    def __init__(self):
        self.turns: deque[Turn] = deque()
        self.counts: dict[int, dict[Key, int]] = {}
        self.version_sets: dict[str, VersionSet] = {}
        self.play_steps: OrderedDict[str, list[Step]] = OrderedDict()
        self.dropped = self.acknowledged = 0

    @property
    def current_id(self) -> str:
        """The id of the version set in force, empty before the first."""
        return self.turns[-1].stand if self.turns else ""

    def set_in_force(self, version_set: VersionSet, now: float) -> bool:
        """Begins a turn with this version set; returns False if it is in force already."""
        if self.current_id == version_set.id:
            return False
        number = self.turns[-1].number + 1 if self.turns else 1
        self.turns.append(Turn(number, now, version_set.id))
        self.counts[number], self.version_sets[version_set.id] = {}, version_set
        while len(self.turns) > MAX_TURNS:
            self.dropped += sum(self.counts.pop(self.turns.popleft().number).values())
        self.drop_unused_version_sets()
        return True

    def record(self, play: str, product: str, kept: str, action: str, now: float) -> None:
        """Counts an action that was carried out. `kept`: id of the version set under which its play was admitted."""
        turn = self.turns[-1]
        turn_counts = self.counts[turn.number]
        key = Key(turn.number, "" if kept == turn.stand else kept, product, action)
        if key not in turn_counts and len(turn_counts) >= MAX_KEYS_PER_TURN:
            key = Key(turn.number, "", "", action)
        turn_counts[key] = turn_counts.get(key, 0) + 1
        steps = self.play_steps.get(play)
        if steps is None:
            steps = self.play_steps[play] = []
            if len(self.play_steps) > MAX_TRACKED_PLAYS:
                self.play_steps.popitem(last=False)
        if len(steps) < MAX_STEPS_PER_PLAY:
            steps.append(Step(now, action, turn.stand, key.kept))

    def acknowledge(self, turn: int) -> None:
        """Drops the turns before this one: a planner has all their counts on its disk."""
        self.acknowledged = max(self.acknowledged, turn)
        while len(self.turns) > 1 and self.turns[0].number < self.acknowledged:
            self.counts.pop(self.turns.popleft().number)
        self.drop_unused_version_sets()

    def drop_unused_version_sets(self) -> None:
        """Drops the version sets that no turn and no count refers to."""
        used = {turn.stand for turn in self.turns} | {key.kept for counts in self.counts.values() for key in counts}
        for set_id in [set_id for set_id in self.version_sets if set_id not in used]:
            del self.version_sets[set_id]
