"""Scripted faults for simulations of fleet budgets: each stages what drawn faults seldom do."""
from laddergw.lab.budget_simulation import BudgetSimulation


def split_planners(simulation: BudgetSimulation) -> None:
    """At 80 s the second planner takes over the store, and each half of the directors reaches only one of the two planners."""
    def start_fault() -> None:
        simulation.take_over_store(1)
        for number in range(simulation.settings.directors):
            simulation.link_cuts[number, 1 if number < simulation.settings.directors // 2 else 0] = simulation.now + 1e9, "both"
    simulation.schedule(80_000.0, start_fault)


def freezes(simulation: BudgetSimulation) -> None:
    """From 30 s on each director in turn freezes for longer than a lease and a window, and wakes with what it was granted before."""
    def start_fault(number: int) -> None:
        simulation.directors[number].frozen_until = simulation.now + 12_000.0
        simulation.schedule(5_000.0, lambda: start_fault((number + 1) % simulation.settings.directors))
    simulation.schedule(30_000.0, lambda: start_fault(0))


def long_cut(simulation: BudgetSimulation) -> None:
    """At 80 s all but two directors are cut off from the planners for longer than any lease."""
    def start_fault() -> None:
        for number in range(2, simulation.settings.directors):
            for planner_index in range(len(simulation.planners)):
                simulation.link_cuts[number, planner_index] = simulation.now + 1e9, "both"
    simulation.schedule(80_000.0, start_fault)
