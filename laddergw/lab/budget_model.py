"""What a play of fleet budgets is made of, and the count of spends within a window, which knows nothing of grants."""
from bisect import bisect_left
from typing import NamedTuple

from laddergw.fleet.grants import GrantHolder
from laddergw.fleet.grant_issuer import GrantIssuer

ASK_MS, STORE = 250.0, "the-store"
HOLDS = 0.1                # a planner stands still between deciding and sending, for each trouble
PACE = 500e-6              # clocks run so far apart


class SimulationSettings(NamedTuple):
    """What a play is made of. Rates are a second, over all."""
    directors: int = 6
    whole: int = 24
    window_ms: float = 2_000.0
    seconds: float = 60.0
    spends: float = 40.0
    troubles: float = 1.5
    planners: int = 2
    loss: float = 0.02
    slow: tuple[float, float] = (0.05, 8_000.0)     # part of the messages that take up to so long
    skew: float = 0.0                # part of the spends that one director wants
    shifts: bool = False             # who wants much changes every ten seconds


class Implementations(NamedTuple):
    """What plays; a test hands in mistakes."""
    holding: type = GrantHolder
    issuer: type = GrantIssuer
    fenced: bool = True


class Clock:
    """A process's monotonic clock, by the true time."""

    def __init__(self, pace: float, ahead: float):
        self.pace, self.ahead = 1 + pace, ahead

    def at(self, now: float) -> float:
        return now * self.pace + self.ahead


class Director:
    def __init__(self, number: int, life: int, rules: Implementations, kind: SimulationSettings, clock: Clock):
        self.name, self.clock, self.number, self.epoch = f"d{number}-{life}", clock, 0, 0
        self.holding = rules.holding(STORE)
        self.holding.configure({"b": kind.window_ms})
        self.frozen_until, self.alive, self.inbox = 0.0, True, []


class Planner:
    def __init__(self, clock: Clock):
        self.clock, self.epoch, self.issuer = clock, 0, None
        self.frozen_until, self.alive, self.inbox, self.outbox = 0.0, True, [], []


class Outcome(NamedTuple):
    """`most`: the most that any window held, and when that began; `spent`, `wanted`: over the play."""
    most: int
    whole: int
    at: float
    spent: int
    wanted: int
    late: int                        # spends in the last half, wanted and had: how much is put to use after all has begun
    late_wanted: int


def max_within_window(times: list[float], window_ms: float) -> tuple[int, float]:
    """The most of these that lie within any window of that length, and where that begins."""
    times = sorted(times)
    return max(((bisect_left(times, begin + window_ms) - place, begin) for place, begin in enumerate(times)), default=(0, 0.0))
