"""rehearse apart, in memory: edges and planners as separate programs. Planners are killed and restarted in bursts, one sends wrong plans, two run at once.

The planners share one store, a file. A killed planner leaves its store as it is; the next one opens it under the next epoch.
"""
import os
import shutil
import tempfile
from typing import Callable

from laddergw.director.director import Director
from laddergw.lab.deployment_model import DeploymentModel, draw_between
from laddergw.lab.script import FaultEvent
from laddergw.lab.stage_memory import MemoryStage
from laddergw.planner.planner_client import PlannerClient
from laddergw.planner.plan import Plan
from laddergw.planner.server import Planner
from laddergw.store.planner_store import Store

PORT = 8300
RESTART_DELAY_MS = (300.0, 2_500.0) # a killed planner is restarted after this
SETTLE_MS = 1_200.0        # planners run for this long before the edges start
NO_PLANNER, ONE_PLANNER, TWO_PLANNERS = 0, 1, 2


def double_loads(plan: Plan) -> Plan:
    """The plan of a faulty planner: twice the load of every node."""
    return plan._replace(nodes={node: (2 * kb, plays) for node, (kb, plays) in plan.nodes.items()})


class PlannerOutageStage(MemoryStage):
    """A rehearsal with planners. `kills`: how many kills, of the planners in turn, spread over the run; `plan_override` replaces each plan."""

    def __init__(self, model: DeploymentModel, script: list[FaultEvent], planners: int = TWO_PLANNERS, kills: int = 0, plan_override: Callable[[Plan], Plan] | None = None, director_class=Director):
        super().__init__(model, script, director_class)
        self.count, self.kills, self.plan_override = planners, kills, plan_override
        self.folder = tempfile.mkdtemp(prefix="laddergw-apart-")
        self.planners: dict[int, Planner] = {}
        self.planner_clients: dict[int, PlannerClient] = {}
        self.start_count = 0
        self.events: list[tuple] = []

    def run(self) -> list[tuple]:
        """Starts the planners, schedules their kills and runs the rehearsal."""
        try:
            for number in range(self.count):
                self.start_planner(number, number == 0)
            self.world.run(self.world.now + SETTLE_MS)
            start = self.world.now
            for kill in range(self.kills):
                at = draw_between(self.model.seed, 2_000, self.model.crowd.seconds * 1000, "planner", kill)
                self.loop.call_at(start + at, lambda kill=kill: self.kill_planner(kill % max(1, self.count)))
            return super().run()
        finally:
            shutil.rmtree(self.folder, ignore_errors=True)

    def summary(self) -> str:
        """What planners and edges did, in one line."""
        counts = {name: sum(1 for _, event, _ in self.events if event == name) for name in ("plan", "recovered", "leads", "fenced", "store fault")}
        return f"{self.start_count} starts of planners; " + ", ".join(f"{name} {count}" for name, count in counts.items()) + \
            f"; plans used by edges {sum(client.plans_used for client in self.planner_clients.values())}"

    def keys(self) -> tuple:
        """The keys that seal plans."""
        return (("lab", b"rehearsal-key-of-planners"),)

    def start_planner(self, number: int, leads: bool) -> None:
        """Starts a planner's next process; one that does not lead opens the store when it takes over."""
        self.start_count += 1
        host = self.world.host(f"p{number}")
        others = tuple((f"p{other}", PORT) for other in range(self.count) if other != number)
        store = Store(os.path.join(self.folder, "store")) if leads else None
        planner = self.planners[number] = Planner(host, f"p{number}.{self.start_count}", (f"p{number}", PORT), store, self.keys(), leads, others, self.model.seed + self.start_count,
                                                  watch=lambda what, **facts: self.events.append((self.world.now, what, facts)), clock=lambda: host.now)
        planner.plan_override = self.plan_override
        if not leads:     # until it takes over the store is the leader's
            planner.store_path = os.path.join(self.folder, "store")

    def kill_planner(self, number: int) -> None:
        """Kills a running planner and restarts it after a drawn delay."""
        host = self.world.hosts[f"p{number}"]
        if not host.alive:
            return
        host.kill()
        store = self.planners.pop(number).store
        if store is not None:
            store.db.close()     # as the end of its process does
        self.record("planner down", self.world.now, number=number)
        delay = draw_between(self.model.seed, *RESTART_DELAY_MS, "away", number, self.start_count)
        self.loop.call_at(self.world.now + delay, lambda: self.start_planner(number, True))

    def start_director(self, number: int) -> None:
        """Starts a director and its client of the planners."""
        super().start_director(number)
        if self.count:
            self.planner_clients[number] = PlannerClient(self.directors[number], tuple((f"p{planner}", PORT) for planner in range(self.count)), self.keys())
