"""A simulation of fleet budgets in memory at full size, without sockets: the program's own GrantHolder and GrantIssuer, messages between them, and faults drawn by seed.

Directors and planners have their own clocks, which differ by up to an hour and drift by up to 500 parts in a million. Messages are lost, duplicated, delayed and reordered; links are cut in
one direction or both; directors and planners freeze, are killed and restarted, also while another process of the same name still runs; a planner stalls between a decision and sending it; both
planners run, and the one that takes over the store fences the other; the store is restored from a backup. The checker knows nothing of grants: it has the true times of all spends, and counts the
most within any window.
"""
import heapq
from typing import Callable, Iterator
from zlib import crc32

from laddergw.fleet.grants import Grant, Row
from laddergw.fleet.grant_issuer import Budget
from laddergw.lab.budget_model import REQUEST_INTERVAL_MS, PLANNER_STALL_RATE, MAX_CLOCK_DRIFT, STORE, Clock, Director, SimulationSettings, Outcome, Planner, Implementations, max_within_window


class BudgetSimulation:
    """One run. `fault_script` schedules faults in place of the drawn ones."""

    def __init__(self, seed: int, settings: SimulationSettings = SimulationSettings(), implementations: Implementations = Implementations(), fault_script: Callable | None = None):
        self.seed, self.settings, self.implementations, self.draws = seed, settings, implementations, 0
        self.queue: list[tuple] = []
        self.event_count = self.process_count = 0
        self.now = 100_000.0
        self.store_epoch, self.backup = 0, 0
        self.whole = settings.whole
        self.link_cuts: dict[tuple[int, int], tuple[float, str]] = {}     # (director, planner) -> until, and in which direction: to, back or both
        self.directors = [self.start_director(number) for number in range(settings.directors)]
        self.planners = [Planner(self.clock()) for _ in range(settings.planners)]
        self.spends: list[float] = []
        self.requests: list[tuple[float, bool]] = []
        self.fault_script = fault_script

    def draw(self) -> float:
        """The next random number in [0, 1), from the seed and a counter. Hashed twice, since checksums of neighbouring values are alike."""
        self.draws += 1
        return crc32(b"%d" % (crc32(b"%d %d" % (self.seed, self.draws)) * 2_654_435_761 % 2 ** 32)) / 2 ** 32

    def between(self, low: float, high: float) -> float:
        """The next random number within these bounds."""
        return low + (high - low) * self.draw()

    def clock(self) -> Clock:
        """A drawn clock for a new process."""
        return Clock(self.between(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT), self.between(0.0, 3_600_000.0))

    def start_director(self, number: int) -> Director:
        """A new process of a director."""
        self.process_count += 1
        return Director(number, self.process_count, self.implementations, self.settings, self.clock())

    def schedule(self, ms: float, call: Callable[[], None]) -> None:
        """Calls it this many ms from now."""
        self.event_count += 1
        heapq.heappush(self.queue, (self.now + ms, self.event_count, call))

    # Planners

    def take_over_store(self, planner_index: int, min_epoch: int = 0) -> None:
        """A planner takes over the store under its next epoch; the previous holder is fenced."""
        planner = self.planners[planner_index]
        if planner.alive:
            self.store_epoch = planner.epoch = max(self.store_epoch + 1, min_epoch)
            planner.issuer = self.implementations.issuer(Budget("b", self.whole, self.settings.window_ms), planner.epoch, planner.clock.at(self.now))

    def handle_request(self, planner_index: int, process: str, number: int, row: Row, reply: Callable) -> None:
        """A director's request arrives at a planner, which answers with a grant where it may."""
        planner, now = self.planners[planner_index], self.planners[planner_index].clock.at(self.now)
        if planner.issuer is None or not planner.alive:
            return
        if self.implementations.fenced and planner.epoch != self.store_epoch:
            planner.issuer = None
            return
        if row.epoch > planner.epoch:
            return self.take_over_store(planner_index, row.epoch + 1)
        if planner.issuer.handle_request(process, number, row, now) and (grant := planner.issuer.grant(process, now)) is not None:
            epoch = planner.epoch
            self.send_or_stall(planner, lambda: reply(number, epoch, grant))

    def send_or_stall(self, planner: Planner, send: Callable[[], None]) -> None:
        """Sends at once, or after a stall between the decision and sending it."""
        if self.draw() < PLANNER_STALL_RATE * self.settings.fault_rate * REQUEST_INTERVAL_MS / 1000 / self.settings.directors:
            planner.frozen_until = max(planner.frozen_until, self.now + self.between(500, 15_000))
            self.schedule(planner.frozen_until - self.now, lambda: planner.alive and send())
        else:
            send()

    def deliver_to_planner(self, planner_index: int, call: Callable[[], None]) -> None:
        """Calls it at the planner once that is not frozen."""
        planner = self.planners[planner_index]
        if planner.frozen_until > self.now:
            return self.schedule(planner.frozen_until - self.now + 0.01, lambda: self.deliver_to_planner(planner_index, call))
        return call()

    # Directors

    def request_grants(self, number: int) -> None:
        """A director sends its request to each planner, at the pace of digests."""
        director = self.directors[number]
        self.schedule(REQUEST_INTERVAL_MS, lambda: self.request_grants(number))
        if not director.alive or director.frozen_until > self.now:
            return
        director.number += 1
        rows = director.grant_holder.build_rows(director.number, director.clock.at(self.now))
        if not rows:
            return
        row, = rows
        for planner_index in range(len(self.planners)):
            request_number = director.number
            self.send(number, planner_index, "to", lambda planner_index=planner_index: self.deliver_to_planner(planner_index, lambda: self.handle_request(
                planner_index, director.name, request_number, row, lambda answered, epoch, grant: self.send(number, planner_index, "back", lambda: self.deliver_to_director(director, answered, epoch, grant)))))

    def send(self, number: int, planner_index: int, direction: str, deliver: Callable[[], None]) -> None:
        """Delivers a message between a director and a planner late, twice or not at all, as drawn."""
        until, cut = self.link_cuts.get((number, planner_index), (0.0, ""))
        if (until > self.now and cut in (direction, "both")) or self.draw() < self.settings.loss:
            return
        delay = self.between(0.2, 5.0) if self.draw() >= self.settings.slow_messages[0] else self.between(10, self.settings.slow_messages[1])
        self.schedule(delay, deliver)
        if self.draw() < 0.01:
            self.schedule(delay + self.between(0, 4_000), deliver)

    def deliver_to_director(self, director: Director, number: int, epoch: int, grant: Grant) -> None:
        """Applies a grant once the director is not frozen."""
        if not director.alive:
            return
        if director.frozen_until > self.now:
            return self.schedule(director.frozen_until - self.now + 0.01, lambda: self.deliver_to_director(director, number, epoch, grant))
        return director.grant_holder.apply_grants(number, epoch, STORE, [grant], director.clock.at(self.now))

    def request_spend(self) -> None:
        """A drawn director asks its budget for one spend."""
        settings = self.settings
        self.schedule(self.between(0, 2_000 / settings.spend_rate), self.request_spend)
        busiest = int(self.now // 10_000) % settings.directors if settings.skew_shifts else 0
        number = busiest if self.draw() < settings.skew else int(self.draw() * settings.directors)
        director = self.directors[number]
        granted = director.alive and director.frozen_until <= self.now and director.grant_holder.spend("b", director.clock.at(self.now))
        self.requests.append((self.now, granted))
        if granted:
            self.spends.append(self.now)

    # Faults

    def inject_fault(self) -> None:
        """Injects a drawn fault and schedules the next."""
        self.schedule(self.between(0, 2_000 / max(self.settings.fault_rate, 1e-9)), self.inject_fault)
        number, planner_index, fault = int(self.draw() * self.settings.directors), int(self.draw() * len(self.planners)), int(self.draw() * 9)
        director, planner = self.directors[number], self.planners[planner_index]
        if fault == 0:
            director.alive = False
            self.schedule(self.between(0, 4_000), lambda: self.restart_director(number, director))
        elif fault == 1:     # a new process under the name of one that still runs
            self.directors[number] = self.start_director(number)
        elif fault == 2:
            director.frozen_until = self.now + self.between(500, 9_000)
        elif fault == 3:
            planner.frozen_until = self.now + self.between(500, 9_000)
        elif fault == 4:
            planner.alive = False
            self.schedule(self.between(0, 3_000), lambda: self.restart_planner(planner_index))
        elif fault == 5:
            self.take_over_store(planner_index)
        elif fault == 6:
            half = int(self.draw() * self.settings.directors)
            direction = ("to", "back", "both")[int(self.draw() * 3)]
            for other in range(half, self.settings.directors):
                self.link_cuts[other, planner_index] = self.now + self.between(1_000, 20_000), direction
        elif fault == 7:
            self.link_cuts[number, 0] = self.link_cuts[number, len(self.planners) - 1] = (self.now + self.between(2_000, 30_000), "both")
        elif self.draw() < 0.5:
            self.restore_backup(planner_index)

    def restore_backup(self, planner_index: int) -> None:
        """Restores the planners' store as of up to ten seconds ago, while no planner runs, and restarts them."""
        for planner in self.planners:
            planner.alive, planner.issuer = False, None
        self.store_epoch = self.backup
        self.schedule(500.0, lambda: [self.restart_planner(n) for n in range(len(self.planners))])

    def restart_planner(self, planner_index: int) -> None:
        """A new process of a planner takes over the store."""
        self.planners[planner_index] = Planner(self.clock())
        self.take_over_store(planner_index)

    def restart_director(self, number: int, old: Director) -> None:
        """Starts a director's next process, unless one has been started since."""
        if self.directors[number] is old:
            self.directors[number] = self.start_director(number)

    def save_backup(self) -> None:
        """Backs up the store every ten seconds."""
        self.schedule(10_000.0, self.save_backup)
        self.backup = self.store_epoch

    # The run

    def run(self) -> Outcome:
        """Runs the simulation and counts its spends."""
        end = self.now + self.settings.seconds * 1000
        self.take_over_store(0)
        for number in range(self.settings.directors):
            self.schedule(self.between(0, REQUEST_INTERVAL_MS), lambda number=number: self.request_grants(number))
        for call in self.request_spend, self.save_backup:
            self.schedule(1.0, call)
        if self.fault_script is not None:
            self.fault_script(self)
        elif self.settings.fault_rate:
            self.schedule(self.between(0, 20_000), self.inject_fault)
        started_at = self.now
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        max_in_window, at = max_within_window(self.spends, self.settings.window_ms)
        late_requests = [granted for when, granted in self.requests if when - started_at >= self.settings.seconds * 500]
        return Outcome(max_in_window, self.settings.whole, at - started_at, len(self.spends), len(self.requests), sum(late_requests), len(late_requests))


def run_seeds(seeds: Iterator[int], settings: SimulationSettings = SimulationSettings(), implementations: Implementations = Implementations()) -> Iterator[tuple[int, Outcome]]:
    """Runs each seed; yields it with its outcome."""
    for seed in seeds:
        yield seed, BudgetSimulation(seed, settings, implementations).run()
