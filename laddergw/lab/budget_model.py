"""The parts of a simulation of fleet budgets, and the count of spends within a window, which knows nothing of grants."""
from bisect import bisect_left
from typing import NamedTuple

from laddergw.fleet.grants import GrantHolder
from laddergw.fleet.grant_issuer import GrantIssuer

REQUEST_INTERVAL_MS, STORE = 250.0, "the-store"
# How often a planner stalls between a decision and sending it, relative to the rate of faults.
PLANNER_STALL_RATE = 0.1
MAX_CLOCK_DRIFT = 500e-6     # how far a clock's rate may differ from true time, as a fraction


class SimulationSettings(NamedTuple):
    """Settings of a simulation. Rates are per second, over all directors.

    `whole`: the budget's spends in a window, over the fleet; `spend_rate`: of requests to spend; `fault_rate`: of faults.
    """
    directors: int = 6
    whole: int = 24
    window_ms: float = 2_000.0
    seconds: float = 60.0
    spend_rate: float = 40.0
    fault_rate: float = 1.5
    planners: int = 2
    loss: float = 0.02
    slow_messages: tuple[float, float] = (0.05, 8_000.0)     # share of messages that are slow, and the longest delay, ms
    skew: float = 0.0     # share of the spends that one director requests
    skew_shifts: bool = False     # that director changes every ten seconds


class Implementations(NamedTuple):
    """The classes under test; a test passes ones with mistakes. `fenced`: a planner that lost the store stops granting."""
    grant_holder: type = GrantHolder
    issuer: type = GrantIssuer
    fenced: bool = True


class Clock:
    """A process's monotonic clock, which drifts from true time and starts elsewhere."""

    def __init__(self, drift: float, offset: float):
        self.rate, self.offset = 1 + drift, offset

    def at(self, now: float) -> float:
        """What this clock shows at the true time `now`, ms."""
        return now * self.rate + self.offset


class Director:
    """One process of a director: its grants, and whether it is alive or frozen."""
    def __init__(self, number: int, start_number: int, implementations: Implementations, settings: SimulationSettings, clock: Clock):
        self.name, self.clock, self.number, self.epoch = f"d{number}-{start_number}", clock, 0, 0
        self.grant_holder = implementations.grant_holder(STORE)
        self.grant_holder.configure({"b": settings.window_ms})
        self.frozen_until, self.alive, self.inbox = 0.0, True, []


class Planner:
    """One process of a planner: its issuer once it has taken over the store, and whether it is alive or frozen."""
    def __init__(self, clock: Clock):
        self.clock, self.epoch, self.issuer = clock, 0, None
        self.frozen_until, self.alive, self.inbox, self.outbox = 0.0, True, [], []


class Outcome(NamedTuple):
    """`max_in_window`: the most spends within any window, which began `at`; `spent`, `requested`: spends made and requested over the whole run."""
    max_in_window: int
    whole: int
    at: float
    spent: int
    requested: int
    late_spent: int     # spends made in the last half, to see how much of the budget is used once start-up is over
    late_requested: int              # and requested


def max_within_window(times: list[float], window_ms: float) -> tuple[int, float]:
    """The largest number of these times within any window of that length, and where that window begins."""
    times = sorted(times)
    return max(((bisect_left(times, start + window_ms) - index, start) for index, start in enumerate(times)), default=(0, 0.0))
