"""A small cluster in memory for tests of directors: a fleet list, nodes, directors, and viewers whose requests a test makes one by one."""
import json

from laddergw.director.director import Director
from laddergw.terms.director_file import read
from laddergw.http.client import Pool
from laddergw.lab.list_stand_in import ListStandIn
from laddergw.lab.node_stand_in import NodeFacts, NodeStandIn, Rack
from laddergw.lab.tap import tap
from laddergw.lab.viewers_stand_in import LIMITS
from laddergw.loop.memory import MemoryNetwork

FILE = """(director (number {number}) (listen "d{number}" 80) (list "list" 80) (key k "key-of-the-small-town") {bounds}
 (deployment (directors {fleet}) (cells 2) (racks 2) (ladder 100 200 400) (rung-worth 0.3 0.6 1) (link-unit-kb 9000) (rack-kb 40000)
  (streams 20) (cold-from 0.5) (warm-ms 4000) (fall-multiple 2) (seen-after-ms 500) (allocations 3) (reports x0 x1)
  (product safe (importance 1)) (product paid (importance 2) (repeat paid) (floor 1))))"""


class ViewerRequest:
    """One viewer's request and the lines of its answer, each with its time in ms after the request."""

    def __init__(self, cluster, director, **facts):
        self.cluster, self.lines, self.ended, self.asked_at = cluster, [], None, cluster.world.now
        frame = {"key": "v", "product": "safe", "title": 1, "copies": 2, "wait_ms": 4_000} | facts
        self.call = cluster.pools[director].call("POST", "/v1/plays", json.dumps(frame).encode(), self.done, self.line)

    def line(self, line):
        if line is not None:
            self.lines.append((round(self.cluster.world.now - self.asked_at), json.loads(line)))

    def done(self, call):
        self.ended = call
        if call.status not in (None, 200) and call.body:
            self.lines.append((round(self.cluster.world.now - self.asked_at), json.loads(call.body)))

    @property
    def answer(self):
        return self.lines[0][1].get("answer") if self.lines else None

    @property
    def ms(self):
        return self.lines[0][0]


class Cluster:
    """Directors, nodes and a fleet list on a network in memory; `records` gathers what all of them record."""

    def __init__(self, nodes=2, directors=1, lag=(1.0, 1.0), cold=False, bounds="", director_class=Director):
        self.world, self.records = MemoryNetwork(9), []
        self.list = ListStandIn(self.world.host("list"), ("list", 80), lag, 1, self.record)
        self.nodes = {}
        self.rack = Rack(40_000)
        for number in range(1, nodes + 1):
            self.start_node(number, cold)
        self.viewer = self.world.host("viewer")
        self.pools, self.directors = {}, {}
        self.bounds, self.director_class, self.count = bounds, director_class, directors
        for number in range(directors):
            self.start_director(number)
            self.pools[number] = Pool(self.viewer, (f"d{number}", 80), LIMITS)
        # The limited rate after the directors' own start is over by then
        self.run(6_000)

    def record(self, what, now, **facts):
        """Adds a record of a director, a node or the list."""
        self.records.append((now, what, facts))

    def start_director(self, number):
        """Starts a director, or its successor after a kill."""
        text = FILE.format(number=number, bounds=self.bounds, fleet=max(2, self.count))
        self.directors[number] = self.director_class(self.world.host(f"d{number}"), read(text), wall=lambda: self.world.now,
                                                     tap=tap(f"d{number}.1", self.record))

    def start_node(self, number, cold=False, incarnation=1):
        """Starts a node, or its next incarnation, and adds it to the fleet list."""
        facts = NodeFacts(number, number % 2, 0, 1.0, 9_000, 20, (80, 80), 0.5, 4_000, 2.0, 1_000, 0, 0)
        host = self.world.host(f"n{number}.{incarnation}")
        self.nodes[number] = node = NodeStandIn(host, facts, self.rack, (host.name, 80), incarnation, 1, self.record, cold)
        self.entry = getattr(self, "entry", {})
        self.list_node(number, "ready", self.world.now if cold else None, incarnation)
        return node

    def list_node(self, number, state, started=None, incarnation=1):
        """Changes a node's entry in the fleet list."""
        node = self.nodes[number]
        self.list.loop.now = self.world.now
        self.list.change({"node": number, "cell": number % 2, "weight": 1.0, "state": state, "incarnation": incarnation, "kind": 0,
                          "zone": 0, "address": list(node.address), "started": started})

    def run(self, ms):
        """Advances the virtual clock."""
        self.world.run(self.world.now + ms)

    def fault(self, number, what, value=None):
        """Gives a node a fault; `die` and `vanish` also end its process."""
        node = self.nodes[number]
        node.loop.now = self.world.now
        node.fault(what, value)
        if what in ("die", "vanish"):
            (node.loop.kill if what == "die" else node.loop.vanish)()

    def ask(self, director=0, **facts):
        """Requests a play."""
        return ViewerRequest(self, director, **facts)

    def records_of(self, *names):
        """Records of these kinds, without their times."""
        return [(what, facts) for _, what, facts in self.records if what in names]
