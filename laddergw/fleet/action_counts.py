"""Counts what a director carried out under the stand that was in force, in bounded memory, until a planner has it on its disk. Pure.

A turn is one stand's time in force at this process, numbered from 1 and never again: only the present turn's counts grow. Whatever a planner
acknowledged of earlier turns is dropped here; what nobody acknowledges is kept up to a bound, past which the oldest turns go and their actions are
counted as untold, so that an answer can say what it does not know.
"""
from collections import OrderedDict, deque
from typing import NamedTuple

from laddergw.fleet.versions import VersionSet

ADMITTED, SET_UP, SET_UP_RETRIED, PLAYING, DECLINED, FAILED, ENDED = "let in", "set-up", "set-up again", "playing", "declined", "failed", "ended"
ACTIONS = (ADMITTED, SET_UP, SET_UP_RETRIED, PLAYING, DECLINED, FAILED, ENDED)
MAX_TURNS = 256           # untold: minutes of a list that changes each second while no planner can be reached
MAX_KEYS_PER_TURN = 128            # of one turn: products by actions by stands that plays keep; past it they count under no product
MAX_TRACKED_PLAYS, MAX_STEPS_PER_PLAY = 2_048, 24   # plays whose way is kept, the latest ones; steps of one


class Turn(NamedTuple):
    """A stand in force since a time, the director's clock in ms."""
    number: int
    at_ms: float
    stand: str


class Key(NamedTuple):
    """What is counted apart. `kept`: the stand whose terms the play keeps, empty where it is the one in force."""
    turn: int
    kept: str
    product: str
    action: str


class Step(NamedTuple):
    """One action on a play's way."""
    at_ms: float
    action: str
    stand: str
    kept: str


class ActionCounts:
    """See the module."""

    def __init__(self):
        self.turns: deque[Turn] = deque()
        self.counts: dict[int, dict[Key, int]] = {}
        self.version_sets: dict[str, VersionSet] = {}
        self.play_steps: OrderedDict[str, list[Step]] = OrderedDict()
        self.dropped = self.acknowledged = 0

    @property
    def current_id(self) -> str:
        return self.turns[-1].stand if self.turns else ""

    def set_in_force(self, stand: VersionSet, now: float) -> bool:
        """From now on this stand is in force; False where it was already."""
        if self.current_id == stand.id:
            return False
        number = self.turns[-1].number + 1 if self.turns else 1
        self.turns.append(Turn(number, now, stand.id))
        self.counts[number], self.version_sets[stand.id] = {}, stand
        while len(self.turns) > MAX_TURNS:
            self.dropped += sum(self.counts.pop(self.turns.popleft().number).values())
        self.forget_stands()
        return True

    def record(self, play: str, product: str, kept: str, action: str, now: float) -> None:
        """An action was carried out; `kept`: the stand under which its play was let in."""
        turn = self.turns[-1]
        mine = self.counts[turn.number]
        key = Key(turn.number, "" if kept == turn.stand else kept, product, action)
        if key not in mine and len(mine) >= MAX_KEYS_PER_TURN:
            key = Key(turn.number, "", "", action)
        mine[key] = mine.get(key, 0) + 1
        way = self.play_steps.get(play)
        if way is None:
            way = self.play_steps[play] = []
            if len(self.play_steps) > MAX_TRACKED_PLAYS:
                self.play_steps.popitem(last=False)
        if len(way) < MAX_STEPS_PER_PLAY:
            way.append(Step(now, action, turn.stand, key.kept))

    def acknowledge(self, turn: int) -> None:
        """All counts of turns before this one are on a planner's disk."""
        self.acknowledged = max(self.acknowledged, turn)
        while len(self.turns) > 1 and self.turns[0].number < self.acknowledged:
            self.counts.pop(self.turns.popleft().number)
        self.forget_stands()

    def forget_stands(self) -> None:
        used = {turn.stand for turn in self.turns} | {key.kept for counts in self.counts.values() for key in counts}
        for stand in [stand for stand in self.version_sets if stand not in used]:
            del self.version_sets[stand]
