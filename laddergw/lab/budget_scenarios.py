"""Troubles of a play of fleet budgets that are staged and not drawn: each shows what chance seldom does."""
from laddergw.lab.budget_simulation import BudgetSimulation


def split(play: BudgetSimulation) -> None:
    """At 80 s the second planner takes the store; each half of the directors reaches one of the two alone."""
    def strike() -> None:
        play.take_over_store(1)
        for number in range(play.kind.directors):
            play.cut[number, 1 if number < play.kind.directors // 2 else 0] = play.now + 1e9, "both"
    play.schedule(80_000.0, strike)


def stand_stills(play: BudgetSimulation) -> None:
    """From 30 s on each director stands still in turn, for longer than a lease and a window, and wakes to what was granted before."""
    def strike(number: int) -> None:
        play.directors[number].frozen_until = play.now + 12_000.0
        play.schedule(5_000.0, lambda: strike((number + 1) % play.kind.directors))
    play.schedule(30_000.0, lambda: strike(0))


def long_cut(play: BudgetSimulation) -> None:
    """At 80 s all but two directors are cut off for longer than any lease."""
    def strike() -> None:
        for number in range(2, play.kind.directors):
            for place in range(len(play.planners)):
                play.cut[number, place] = play.now + 1e9, "both"
    play.schedule(80_000.0, strike)
