"""A rehearsal in memory: real directors, stand-ins and viewers on one virtual clock. Same seed, same run."""
from typing import Callable

from laddergw.director.director import Director
from laddergw.terms.director_file import read
from laddergw.lab.scenario_player import ScenarioPlayer
from laddergw.lab.list_stand_in import ListStandIn
from laddergw.lab.node_stand_in import NodeStandIn, Rack
from laddergw.lab.deployment_model import DeploymentModel
from laddergw.lab.tap import tap
from laddergw.lab.viewers_stand_in import Viewers
from laddergw.loop.memory import MemoryNetwork

SETTLE_MS = 1_500.0        # for the fleet to be up and listed before the first viewer
TAIL_MS = 40_000.0         # maximum time for the last plays after the last arrival
PORT = 8100


class MemoryStage:
    """Stage in memory. `director_class` lets a test use a broken director."""

    def __init__(self, model: DeploymentModel, script: list, director_class=Director):
        self.model, self.director_class = model, director_class
        self.world = MemoryNetwork(model.seed)
        self.records: list[tuple] = []
        self.loop = self.world.host("stage")
        self.racks = [Rack(model.rack_kb) for _ in range(model.racks)]
        self.nodes: dict[int, NodeStandIn] = {}
        self.directors: dict[int, Director] = {}
        self.starts = {number: 0 for number in range(model.directors)}
        self.done = False
        self.list = ListStandIn(self.world.host("list"), ("list", 8200), model.list_lag_ms, model.seed, self.record)
        self.scenario = ScenarioPlayer(model, self, script, self.record)

    def record(self, what: str, now: float, **facts) -> None:
        """Keeps a record of something that happened."""
        self.records.append((now, what, facts))

    def run(self) -> list[tuple]:
        """Runs the whole rehearsal; returns the records in order of time."""
        self.scenario.start_fleet()
        for number in range(self.model.directors):
            self.scenario.directors_up.add(number)
            self.start_director(number)
        self.world.run(self.world.now + SETTLE_MS)
        addresses = {number: (f"d{number}", PORT) for number in range(self.model.directors)}
        self.scenario.schedule_events()
        viewers = Viewers(self.world.host("viewers"), self.model.crowd, addresses, self.model.seed, self.record, self.finished)
        end = self.world.now + self.model.crowd.seconds * 1000 + TAIL_MS
        while not self.done and self.world.now < end:
            self.world.run(self.world.now + 500.0)
        self.record("stage ended", self.world.now, done=self.done, under_way=viewers.under_way)
        self.records.sort(key=lambda record: record[0])
        return self.records

    def finished(self) -> None:
        """Called when the last play is over."""
        self.done = True

    def start_node(self, facts, incarnation: int, cold: bool, rack: int, port: int, ready: Callable) -> None:
        """Starts a node on a host of its own."""
        name = f"n{facts.node}.{incarnation}"
        host = self.world.host(name)
        node = self.nodes[facts.node] = NodeStandIn(host, facts, self.racks[rack], (name, 0), incarnation, self.model.seed,
                                                    self.record, cold)
        ready(node.address)

    def fault(self, node: int, what: str, value) -> None:
        """Sets a fault at a node; one that ends the node ends its host, too."""
        stand_in = self.nodes[node]
        stand_in.loop.now = max(stand_in.loop.now, self.world.now)
        stand_in.fault(what, value)
        if what in ("die", "vanish"):
            (stand_in.loop.kill if what == "die" else stand_in.loop.vanish)()

    def publish_list_entry(self, entry: dict) -> None:
        """Sets a node's entry in the fleet list."""
        self.list.loop.now = self.world.now
        self.list.change(entry)

    def set_list_unreachable(self, unreachable: bool) -> None:
        """Takes the list service out of reach, or back."""
        self.list.loop.now = self.world.now
        self.list.set_unreachable(unreachable)

    def set_list_lag(self, ms: float) -> None:
        """Sets the extra delay of list changes."""
        self.list.extra_lag = ms

    def start_director(self, number: int) -> None:
        """Starts the next process of a director."""
        self.starts[number] += 1
        source = f"d{number}.{self.starts[number]}"
        host = self.world.host(f"d{number}")
        settings = read(self.model.director_file(number, (f"d{number}", PORT), self.list.address, self.model.seed * 1000 + number * 10
                                                 + self.starts[number]), source)
        self.directors[number] = self.director_class(host, settings, wall=lambda: self.world.now, tap=tap(source, self.record))
        self.record("director up", self.world.now, number=number, source=source)

    def record_down(self, number: int, how: str) -> None:
        """Records the end of a director's process."""
        self.record("director down", self.world.now, number=number, source=f"d{number}.{self.starts[number]}", how=how)

    def kill_director(self, number: int) -> None:
        """Ends a director at once."""
        self.world.hosts[f"d{number}"].kill()
        self.record_down(number, "killed")

    def freeze_director(self, number: int, ms: float) -> None:
        """Stops a director's execution for a time."""
        self.world.hosts[f"d{number}"].freeze(ms)

    def stop_director(self, number: int) -> None:
        """Shuts a director down, and ends its host once it has finished."""
        director, host = self.directors[number], self.world.hosts[f"d{number}"]
        host.deliver_at(self.world.now, director.stop)

        def ended() -> None:
            if host.running:
                return self.loop.call_at(self.world.now + 50, ended)
            host.kill()
            self.record_down(number, "stopped")
        self.loop.call_at(self.world.now + 50, ended)
