"""rehearse apart, in memory: edges and planners as programs of their own, planners killed and started again in a burst, one that lies, two at once.

The planners share one store, a file. A planner that is killed leaves its store as it stands; the next opens it under the next epoch.
"""
import os
import shutil
import tempfile
from typing import Callable

from laddergw.director.director import Director
from laddergw.lab.plant import Plant, between
from laddergw.lab.script import Trouble
from laddergw.lab.stage_memory import MemoryStage
from laddergw.planner.planner_client import PlannerClient
from laddergw.planner.plan import Plan
from laddergw.planner.server import Planner
from laddergw.store.planner_store import Store

PORT = 8300
AWAY_MS = (300.0, 2_500.0) # a planner that was killed is back after this
SETTLE_MS = 1_200.0        # planners run before the edges come
NO_PLANNER, ONE_PLANNER, TWO_PLANNERS = 0, 1, 2   # planners


def double_loads(plan: Plan) -> Plan:
    """A planner that lies by a factor of two."""
    return plan._replace(nodes={node: (2 * kb, plays) for node, (kb, plays) in plan.nodes.items()})


class PlannerOutageStage(MemoryStage):
    """See the module. `kills`: of the first planner, spread over the run; `plan_override`: what is done to each plan."""

    def __init__(self, plant: Plant, script: list[Trouble], planners: int = TWO_PLANNERS, kills: int = 0, plan_override: Callable[[Plan], Plan] | None = None, director_class=Director):
        super().__init__(plant, script, director_class)
        self.count, self.kills, self.plan_override = planners, kills, plan_override
        self.folder = tempfile.mkdtemp(prefix="laddergw-apart-")
        self.planners: dict[int, Planner] = {}
        self.planner_clients: dict[int, PlannerClient] = {}
        self.start_count = 0
        self.events: list[tuple] = []

    def run(self) -> list[tuple]:
        try:
            for number in range(self.count):
                self.start_planner(number, number == 0)
            self.world.run(self.world.now + SETTLE_MS)
            start = self.world.now
            for kill in range(self.kills):
                at = between(self.plant.seed, 2_000, self.plant.crowd.seconds * 1000, "planner", kill)
                self.loop.call_at(start + at, lambda kill=kill: self.kill_planner(kill % max(1, self.count)))
            return super().run()
        finally:
            shutil.rmtree(self.folder, ignore_errors=True)

    def summary(self) -> str:
        """What planners and edges did."""
        counts = {what: sum(1 for _, event, _ in self.events if event == what) for what in ("plan", "recovered", "leads", "fenced", "store fault")}
        return f"{self.start_count} starts of planners; " + ", ".join(f"{what} {count}" for what, count in counts.items()) + \
            f"; plans used by edges {sum(side.plans_used for side in self.planner_clients.values())}"

    def keys(self) -> tuple:
        return (("lab", b"rehearsal-key-of-planners"),)

    def start_planner(self, number: int, leads: bool) -> None:
        self.start_count += 1
        host = self.world.host(f"p{number}")
        others = tuple((f"p{other}", PORT) for other in range(self.count) if other != number)
        store = Store(os.path.join(self.folder, "store")) if leads else None
        planner = self.planners[number] = Planner(host, f"p{number}.{self.start_count}", (f"p{number}", PORT), store, self.keys(), leads, others, self.plant.seed + self.start_count,
                                                  watch=lambda what, **facts: self.events.append((self.world.now, what, facts)), clock=lambda: host.now)
        planner.plan_override = self.plan_override
        if not leads:                            # opened when it takes over: until then the store is the leader's
            planner.store_path = os.path.join(self.folder, "store")

    def kill_planner(self, number: int) -> None:
        host = self.world.hosts[f"p{number}"]
        if not host.alive:
            return
        host.kill()
        store = self.planners.pop(number).store
        if store is not None:
            store.db.close()                     # as the end of its process does
        self.record("planner down", self.world.now, number=number)
        away = between(self.plant.seed, *AWAY_MS, "away", number, self.start_count)
        self.loop.call_at(self.world.now + away, lambda: self.start_planner(number, True))

    def start_director(self, number: int) -> None:
        super().start_director(number)
        if self.count:
            self.planner_clients[number] = PlannerClient(self.directors[number], tuple((f"p{planner}", PORT) for planner in range(self.count)), self.keys())
