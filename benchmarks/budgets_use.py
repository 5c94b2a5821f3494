"""Measures how much of a fleet's budget is used, compared with a planner that sees everything at once, and the cost of spends and of a planner's answers.

    PYTHONPATH=. .venv/bin/python benchmarks/budgets_use.py [seeds]

Runs the program's own GrantHolder and GrantIssuer over messages in memory (lab/budget_simulation.py) and measures the second half of 160 s. The same wants are compared with one exact
window over all spends (what a planner that sees everything at once would admit), with fixed equal shares, and with each director's own count, where each director may spend the
whole (what it admits exceeds the whole).
"""
import sys
import time
from collections import deque

from laddergw.fleet.grants import Grant, GrantHolder
from laddergw.fleet.grant_issuer import Budget, GrantIssuer
from laddergw.lab.budget_model import STORE, SimulationSettings
from laddergw.lab.budget_simulation import BudgetSimulation
from laddergw.machines.retry_budget import BudgetTerms, RetryBudgets

# Of a play; what comes before is not measured.
WARM_UP_SHARE = 0.5


def admitted_by_one_window(wants: list[float], whole: int, window_ms: float) -> int:
    """Returns how many of these wants one exact window admits."""
    spent: deque = deque()
    admitted = 0
    for at in wants:
        while spent and spent[0] <= at - window_ms:
            spent.popleft()
        if len(spent) < whole:
            spent.append(at)
            admitted += 1
    return admitted


class RecordedPlay(BudgetSimulation):
    """A play that records which director wanted when, and whether it spent."""

    def __init__(self, *given, **named):
        super().__init__(*given, **named)
        self.by: list[tuple[float, int, bool]] = []

    def request_spend(self) -> None:
        before, draws = len(self.requests), self.draws
        super().request_spend()
        if len(self.requests) > before:
            # Repeats the draw of the director.
            kept, self.draws = self.draws, draws + 1
            favourite = int(self.now // 10_000) % self.settings.directors if self.settings.skew_shifts else 0
            number = favourite if self.draw() < self.settings.skew else int(self.draw() * self.settings.directors)
            self.draws = kept
            self.by.append((self.now, number, self.requests[-1][1]))


def cut_half(play: BudgetSimulation) -> None:
    """Cuts half of the directors off from all planners for the last quarter of the play."""
    def cut() -> None:
        for number in range(play.settings.directors // 2):
            for place in range(len(play.planners)):
                play.link_cuts[number, place] = play.now + 1e9, "both"
    play.schedule(play.settings.seconds * 750, cut)


def measure(name: str, kind: SimulationSettings, seeds: int, trouble=None) -> None:
    """Prints the mean of several seeds for one kind of load."""
    rows = []
    for seed in range(1, seeds + 1):
        play = RecordedPlay(seed, kind, fault_script=trouble)
        begun = play.now
        found = play.run()
        share = 0.75 if trouble else WARM_UP_SHARE
        measured = [row for row in play.by if row[0] - begun >= kind.seconds * 1000 * share]
        best = admitted_by_one_window([at for at, _, _ in measured], kind.whole, kind.window_ms)
        static = sum(admitted_by_one_window([at for at, who, _ in measured if who == number], max(0, kind.whole // kind.directors), kind.window_ms) for number in range(kind.directors))
        own = sum(admitted_by_one_window([at for at, who, _ in measured if who == number], kind.whole, kind.window_ms) for number in range(kind.directors))
        rows.append((sum(admitted for *_, admitted in measured) / best, static / best, own / best, found.max_in_window / found.whole))
    mean = [sum(row[column] for row in rows) / len(rows) for column in range(3)]
    print(f"{name:34} fleet budget {mean[0]:.2f}  equal shares {mean[1]:.2f}  own counts {mean[2]:.2f} of one that sees all; most in a window {max(row[3] for row in rows):.3f} of the whole")


def measure_reuse(seeds: int) -> None:
    """Prints the time from a director's death until others use its share."""
    found = []
    for seed in range(1, seeds + 1):
        play = BudgetSimulation(seed, SimulationSettings(directors=12, whole=60, window_ms=2_000.0, seconds=140, spend_rate=60, fault_rate=0, skew=0.8))
        death = 100_000.0

        def kill(play: BudgetSimulation) -> None:
            play.schedule(death, lambda: setattr(play.directors[0], "alive", False))
            play.schedule(death, lambda: setattr(play, "settings", play.settings._replace(skew=0.0)))
        play.fault_script = kill
        play.run()
        rate = lambda begin: sum(1 for at in play.spends if begin <= at - 100_000.0 < begin + 1_000)
        found.append(next(second for second in range(int(death), 140_000, 250) if rate(second) >= 0.8 * 60 / 2) - death)
    print(f"a director's share is with others {sum(found) / len(found) / 1000:.1f} s after its death ({min(found) / 1000:.1f} to {max(found) / 1000:.1f}, {seeds} seeds)")


def measure_cost() -> None:
    """Prints the cost of a spend, and of a planner's answers to 230 directors."""
    holding, budgets, rounds = GrantHolder(STORE), RetryBudgets(), 200_000
    holding.configure({"b": 10_000.0})
    holding.build_rows(1, 0.0)
    holding.apply_grants(1, 1, STORE, [Grant("b", 10 ** 9, 10 ** 9, 0, 10_000.0)], 0.0)
    budgets.configure({"b": BudgetTerms(10 ** 9, 0.0, 10_000.0)})
    for name, call in (("a spend of a fleet budget", lambda: holding.spend("b", 1_000.0)), ("of a director's own", lambda: budgets.charge_retry(("b",), 1_000.0))):
        best = float("inf")
        for _ in range(5):
            began = time.perf_counter()
            for _ in range(rounds // 5):
                call()
            best = min(best, (time.perf_counter() - began) / (rounds // 5) * 1e6)
        print(f"{name}: {best:.2f} us")
    fleet = [GrantHolder(STORE) for _ in range(230)]
    names = {f"b{n}": 10_000.0 for n in range(20)}
    issuers = {name: GrantIssuer(Budget(name, 400, 10_000.0), 1, -1e9) for name in names}
    for holding in fleet:
        holding.configure(names)
    spent, longest = 0.0, 0.0
    for step in range(1, 21):
        for number, holding in enumerate(fleet):
            # Digests arrive spread over their interval.
            now = 250.0 * step + number
            holding.spend("b1", now)
            rows = holding.build_rows(step, now)
            began = time.perf_counter()
            grants = [issuers[row.name].grant(f"d{number}-1", now) for row in rows if issuers[row.name].handle_request(f"d{number}-1", step, row, now)]
            took = (time.perf_counter() - began) * 1000
            spent, longest = spent + took, max(longest, took)
            holding.apply_grants(step, 1, STORE, grants, now)
    print(f"230 directors, 20 budgets, four askings a second: planner {spent / 5:.0f} ms of CPU a second, longest answer {longest:.1f} ms")


if __name__ == "__main__":
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    base = SimulationSettings(directors=12, whole=240, window_ms=10_000.0, seconds=200, spend_rate=48, fault_rate=0)
    for load, spends in (("wanted twice over", 48), ("0.8 of it wanted", 19.2)):
        print(f"240 in 10 s, 12 directors, {load}:")
        kind = base._replace(spend_rate=spends)
        measure("  even", kind, count)
        measure("  one has half", kind._replace(skew=0.5), count)
        measure("  one has half, another each 10 s", kind._replace(skew=0.5, skew_shifts=True), count)
        measure("  half cut off for 50 s", kind, count, cut_half)
    measure("3 in 2 s for 12 directors", base._replace(whole=3, window_ms=2_000.0, spend_rate=6), count)
    measure("230 directors, 2,400 in 10 s", base._replace(directors=230, whole=2_400, spend_rate=480, seconds=180), 1)
    measure_reuse(count)
    measure_cost()
