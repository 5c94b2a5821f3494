"""How much of a fleet's budget is put to use, beside one that sees all at once, and what a spend and a planner's answers cost.

    PYTHONPATH=. .venv/bin/python benchmarks/budgets_use.py [seeds]

The program's own GrantHolder and GrantIssuer over messages in memory (lab/budget_simulation.py), the second half of 160 s. Beside them, on the same wants: one window over all
spends, exact (what a planner that sees all at once would let through); equal shares that stay; and today's own counts, where each director holds the whole (what it lets through is over the whole).
"""
import sys
import time
from collections import deque

from laddergw.fleet.grants import Grant, GrantHolder
from laddergw.fleet.grant_issuer import Budget, GrantIssuer
from laddergw.lab.budget_model import STORE, SimulationSettings
from laddergw.lab.budget_simulation import BudgetSimulation
from laddergw.machines.retry_budget import BudgetTerms, RetryBudgets

HALF = 0.5


def oracle(wants: list[float], whole: int, window_ms: float) -> int:
    spent: deque = deque()
    had = 0
    for at in wants:
        while spent and spent[0] <= at - window_ms:
            spent.popleft()
        if len(spent) < whole:
            spent.append(at)
            had += 1
    return had


class Watched(BudgetSimulation):
    """Notes who wanted when."""

    def __init__(self, *given, **named):
        super().__init__(*given, **named)
        self.by: list[tuple[float, int, bool]] = []

    def request_spend(self) -> None:
        before, draws = len(self.requests), self.draws
        super().request_spend()
        if len(self.requests) > before:
            kept, self.draws = self.draws, draws + 1          # (the draw of who it was, again)
            favourite = int(self.now // 10_000) % self.kind.directors if self.kind.shifts else 0
            number = favourite if self.draw() < self.kind.skew else int(self.draw() * self.kind.directors)
            self.draws = kept
            self.by.append((self.now, number, self.requests[-1][1]))


def cut_half(play: BudgetSimulation) -> None:
    """Half of the directors reach no planner for the last quarter of the play."""
    def cut() -> None:
        for number in range(play.kind.directors // 2):
            for place in range(len(play.planners)):
                play.cut[number, place] = play.now + 1e9, "both"
    play.schedule(play.kind.seconds * 750, cut)


def measure(name: str, kind: SimulationSettings, seeds: int, trouble=None) -> None:
    rows = []
    for seed in range(1, seeds + 1):
        play = Watched(seed, kind, fault_script=trouble)
        begun = play.now
        found = play.run()
        share = 0.75 if trouble else HALF
        late = [row for row in play.by if row[0] - begun >= kind.seconds * 1000 * share]
        best = oracle([at for at, _, _ in late], kind.whole, kind.window_ms)
        static = sum(oracle([at for at, who, _ in late if who == number], max(0, kind.whole // kind.directors), kind.window_ms) for number in range(kind.directors))
        own = sum(oracle([at for at, who, _ in late if who == number], kind.whole, kind.window_ms) for number in range(kind.directors))
        rows.append((sum(had for *_, had in late) / best, static / best, own / best, found.most / found.whole))
    mean = [sum(row[column] for row in rows) / len(rows) for column in range(3)]
    print(f"{name:34} fleet budget {mean[0]:.2f}  equal shares {mean[1]:.2f}  own counts {mean[2]:.2f} of one that sees all; most in a window {max(row[3] for row in rows):.3f} of the whole")


def freed(seeds: int) -> None:
    """From a director's death to the use of its share by others."""
    found = []
    for seed in range(1, seeds + 1):
        play = BudgetSimulation(seed, SimulationSettings(directors=12, whole=60, window_ms=2_000.0, seconds=140, spends=60, troubles=0, skew=0.8))
        death = 100_000.0

        def kill(play: BudgetSimulation) -> None:
            play.schedule(death, lambda: setattr(play.directors[0], "alive", False))
            play.schedule(death, lambda: setattr(play, "kind", play.kind._replace(skew=0.0)))
        play.fault_script = kill
        play.run()
        rate = lambda begin: sum(1 for at in play.spends if begin <= at - 100_000.0 < begin + 1_000)
        found.append(next(second for second in range(int(death), 140_000, 250) if rate(second) >= 0.8 * 60 / 2) - death)
    print(f"a director's share is with others {sum(found) / len(found) / 1000:.1f} s after its death ({min(found) / 1000:.1f} to {max(found) / 1000:.1f}, {seeds} seeds)")


def cost() -> None:
    holding, budgets, rounds = GrantHolder(STORE), RetryBudgets(), 200_000
    holding.configure({"b": 10_000.0})
    holding.build_rows(1, 0.0)
    holding.apply_grants(1, 1, STORE, [Grant("b", 10 ** 9, 10 ** 9, 0, 10_000.0)], 0.0)
    budgets.configure({"b": BudgetTerms(10 ** 9, 0.0, 10_000.0)})
    for name, call in (("a spend of a fleet budget", lambda: holding.spend("b", 1_000.0)), ("of a director's own", lambda: budgets.may_retry(("b",), 1_000.0))):
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
            now = 250.0 * step + number          # (digests come spread over their pace)
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
    usual = SimulationSettings(directors=12, whole=240, window_ms=10_000.0, seconds=200, spends=48, troubles=0)
    for load, spends in (("wanted twice over", 48), ("0.8 of it wanted", 19.2)):
        print(f"240 in 10 s, 12 directors, {load}:")
        kind = usual._replace(spends=spends)
        measure("  even", kind, count)
        measure("  one has half", kind._replace(skew=0.5), count)
        measure("  one has half, another each 10 s", kind._replace(skew=0.5, shifts=True), count)
        measure("  half cut off for 50 s", kind, count, cut_half)
    measure("3 in 2 s for 12 directors", usual._replace(whole=3, window_ms=2_000.0, spends=6), count)
    measure("230 directors, 2,400 in 10 s", usual._replace(directors=230, whole=2_400, spends=480, seconds=180), 1)
    freed(count)
    cost()
