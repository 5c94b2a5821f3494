"""Fleet budgets in memory at full size, without sockets: the program's own GrantHolder and GrantIssuer, messages between them, and all that can go wrong, drawn by seed.

Directors and planners have clocks of their own, apart by an hour and 500 parts in a million in pace. Messages are lost, doubled, late and out of order; lines are cut one way or both; directors
and planners stand still, are killed and begin anew, under old names too; a planner stands still between deciding and sending; both planners live, and whoever takes the store fences the other; the store
is set back. The checker knows nothing of grants: it has the true times of all spends, and counts the most within any window.
"""
import heapq
from typing import Callable, Iterator
from zlib import crc32

from laddergw.fleet.grants import Grant, Row
from laddergw.fleet.grant_issuer import Budget
from laddergw.lab.budget_model import ASK_MS, HOLDS, PACE, STORE, Clock, Director, SimulationSettings, Outcome, Planner, Implementations, max_within_window

class BudgetSimulation:
    """See the module."""

    def __init__(self, seed: int, kind: SimulationSettings = SimulationSettings(), rules: Implementations = Implementations(), fault_script: Callable | None = None):
        self.seed, self.kind, self.rules, self.draws = seed, kind, rules, 0
        self.queue: list[tuple] = []
        self.order = self.lives = 0
        self.now = 100_000.0
        self.store_epoch, self.backup = 0, 0
        self.whole = kind.whole
        self.cut: dict[tuple[int, int], tuple[float, str]] = {}          # line -> until, which way
        self.directors = [self.start_director(number) for number in range(kind.directors)]
        self.planners = [Planner(self.clock()) for _ in range(kind.planners)]
        self.spends: list[float] = []
        self.requests: list[tuple[float, bool]] = []
        self.fault_script = fault_script

    def draw(self) -> float:
        """By seed and count; mixed, since neighbours' checksums are alike."""
        self.draws += 1
        return crc32(b"%d" % (crc32(b"%d %d" % (self.seed, self.draws)) * 2_654_435_761 % 2 ** 32)) / 2 ** 32

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self.draw()

    def clock(self) -> Clock:
        return Clock(self.between(-PACE, PACE), self.between(0.0, 3_600_000.0))

    def start_director(self, number: int) -> Director:
        self.lives += 1
        return Director(number, self.lives, self.rules, self.kind, self.clock())

    def schedule(self, ms: float, call: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.queue, (self.now + ms, self.order, call))

    # Planners

    def take_over_store(self, place: int, least: int = 0) -> None:
        """The next epoch of the store: whoever had it is fenced out."""
        planner = self.planners[place]
        if planner.alive:
            self.store_epoch = planner.epoch = max(self.store_epoch + 1, least)
            planner.issuer = self.rules.issuer(Budget("b", self.whole, self.kind.window_ms), planner.epoch, planner.clock.at(self.now))

    def asked(self, place: int, process: str, number: int, row: Row, back: Callable) -> None:
        planner, now = self.planners[place], self.planners[place].clock.at(self.now)
        if planner.issuer is None or not planner.alive:
            return
        if self.rules.fenced and planner.epoch != self.store_epoch:
            planner.issuer = None
            return
        if row.epoch > planner.epoch:
            return self.take_over_store(place, row.epoch + 1)
        if planner.issuer.handle_request(process, number, row, now) and (grant := planner.issuer.grant(process, now)) is not None:
            epoch = planner.epoch
            self.hold(planner, lambda: back(number, epoch, grant))

    def hold(self, planner: Planner, send: Callable[[], None]) -> None:
        """It may stand still between what it decided and what it sends."""
        if self.draw() < HOLDS * self.kind.troubles * ASK_MS / 1000 / self.kind.directors:
            planner.frozen_until = max(planner.frozen_until, self.now + self.between(500, 15_000))
            self.schedule(planner.frozen_until - self.now, lambda: planner.alive and send())
        else:
            send()

    def at_planner(self, place: int, call: Callable[[], None]) -> None:
        planner = self.planners[place]
        if planner.frozen_until > self.now:
            return self.schedule(planner.frozen_until - self.now + 0.01, lambda: self.at_planner(place, call))
        return call()

    # Directors

    def tick(self, number: int) -> None:
        """Asks each planner, as digests go out."""
        director = self.directors[number]
        self.schedule(ASK_MS, lambda: self.tick(number))
        if not director.alive or director.frozen_until > self.now:
            return
        director.number += 1
        rows = director.holding.build_rows(director.number, director.clock.at(self.now))
        if not rows:
            return
        row, = rows
        for place in range(len(self.planners)):
            asked = director.number
            self.send(number, place, "to", lambda place=place: self.at_planner(place, lambda: self.asked(
                place, director.name, asked, row, lambda answered, epoch, grant: self.send(number, place, "back", lambda: self.at_director(director, answered, epoch, grant)))))

    def send(self, number: int, place: int, way: str, deliver: Callable[[], None]) -> None:
        until, cut = self.cut.get((number, place), (0.0, ""))
        if (until > self.now and cut in (way, "both")) or self.draw() < self.kind.loss:
            return
        late = self.between(0.2, 5.0) if self.draw() >= self.kind.slow[0] else self.between(10, self.kind.slow[1])
        self.schedule(late, deliver)
        if self.draw() < 0.01:
            self.schedule(late + self.between(0, 4_000), deliver)

    def at_director(self, director: Director, number: int, epoch: int, grant: Grant) -> None:
        if not director.alive:
            return
        if director.frozen_until > self.now:
            return self.schedule(director.frozen_until - self.now + 0.01, lambda: self.at_director(director, number, epoch, grant))
        return director.holding.apply_grants(number, epoch, STORE, [grant], director.clock.at(self.now))

    def request_spend(self) -> None:
        """One director wants one."""
        kind = self.kind
        self.schedule(self.between(0, 2_000 / kind.spends), self.request_spend)
        favourite = int(self.now // 10_000) % kind.directors if kind.shifts else 0
        number = favourite if self.draw() < kind.skew else int(self.draw() * kind.directors)
        director = self.directors[number]
        had = director.alive and director.frozen_until <= self.now and director.holding.spend("b", director.clock.at(self.now))
        self.requests.append((self.now, had))
        if had:
            self.spends.append(self.now)

    # Troubles

    def inject_fault(self) -> None:
        self.schedule(self.between(0, 2_000 / max(self.kind.troubles, 1e-9)), self.inject_fault)
        number, place, what = int(self.draw() * self.kind.directors), int(self.draw() * len(self.planners)), int(self.draw() * 9)
        director, planner = self.directors[number], self.planners[place]
        if what == 0:
            director.alive = False
            self.schedule(self.between(0, 4_000), lambda: self.restart(number, director))
        elif what == 1:                                       # a new process under the name of one that still runs
            self.directors[number] = self.start_director(number)
        elif what == 2:
            director.frozen_until = self.now + self.between(500, 9_000)
        elif what == 3:
            planner.frozen_until = self.now + self.between(500, 9_000)
        elif what == 4:
            planner.alive = False
            self.schedule(self.between(0, 3_000), lambda: self.planner_back(place))
        elif what == 5:
            self.take_over_store(place)
        elif what == 6:
            half = int(self.draw() * self.kind.directors)
            way = ("to", "back", "both")[int(self.draw() * 3)]
            for other in range(half, self.kind.directors):
                self.cut[other, place] = self.now + self.between(1_000, 20_000), way
        elif what == 7:
            self.cut[number, 0] = self.cut[number, len(self.planners) - 1] = (self.now + self.between(2_000, 30_000), "both")
        elif self.draw() < 0.5:
            self.back_up(place)

    def back_up(self, place: int) -> None:
        """The planner's disk of ten seconds ago, while no planner runs."""
        for planner in self.planners:
            planner.alive, planner.issuer = False, None
        self.store_epoch = self.backup
        self.schedule(500.0, lambda: [self.planner_back(n) for n in range(len(self.planners))])

    def planner_back(self, place: int) -> None:
        self.planners[place] = Planner(self.clock())
        self.take_over_store(place)

    def restart(self, number: int, old: Director) -> None:
        if self.directors[number] is old:
            self.directors[number] = self.start_director(number)

    def keep_backup(self) -> None:
        self.schedule(10_000.0, self.keep_backup)
        self.backup = self.store_epoch

    # The play

    def run(self) -> Outcome:
        end = self.now + self.kind.seconds * 1000
        self.take_over_store(0)
        for number in range(self.kind.directors):
            self.schedule(self.between(0, ASK_MS), lambda number=number: self.tick(number))
        for call in self.request_spend, self.keep_backup:
            self.schedule(1.0, call)
        if self.fault_script is not None:
            self.fault_script(self)
        elif self.kind.troubles:
            self.schedule(self.between(0, 20_000), self.inject_fault)
        begun = self.now
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        most, at = max_within_window(self.spends, self.kind.window_ms)
        late = [had for when, had in self.requests if when - begun >= self.kind.seconds * 500]
        return Outcome(most, self.kind.whole, at - begun, len(self.spends), len(self.requests), sum(late), len(late))


def run_seeds(seeds: Iterator[int], kind: SimulationSettings = SimulationSettings(), rules: Implementations = Implementations()) -> Iterator[tuple[int, Outcome]]:
    for seed in seeds:
        yield seed, BudgetSimulation(seed, kind, rules).run()
