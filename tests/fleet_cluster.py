"""A cluster in memory whose directors have a planner, for tests of the fleet: faulty links between them, the planner's store, limits files."""
import json
import os
import tempfile
import unittest

from laddergw.director.limits_file import InProcessCheck, LimitsFile
from laddergw.lab.network_faults import FaultyLink
from laddergw.planner import wire
from laddergw.planner.planner_client import PlannerClient
from laddergw.planner.server import Planner
from laddergw.store.planner_store import Store
from tests.in_memory_cluster import Cluster


class FleetCluster(unittest.TestCase):
    """Directors behind faulty links, and one planner with its store; `zones`: of directors, by number."""
    directors, bounds, zones = 2, "(without-planner closed)", {}

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.path = os.path.join(folder.name, "store")
        self.cluster = Cluster(directors=self.directors, bounds=self.bounds)
        self.planners = 0
        self.start_planner()
        self.links, self.clients, self.files = {}, {}, {}
        for number in self.cluster.directors:
            link = FaultyLink(self.cluster.world.host(f"relay{number}"), f"d{number}>p0", (f"relay{number}", 1), lambda: ("p0", 8300), self.cluster.record)
            self.links[number] = link
            self.connect_planner(number)
        self.cluster.run(1_500)

    def connect_planner(self, number):
        """Makes a director report to the planner, and accept files from it."""
        director = self.cluster.directors[number]
        director.house = director.house._replace(deployment=director.house.deployment._replace(zone=self.zones.get(number, 0)))
        self.clients[number] = client = PlannerClient(director, (self.links[number].address,))
        path = os.path.join(self.folder, f"limits.{number}")
        if not os.path.exists(path):
            with open(path, "w") as stream:
                stream.write("(limits)")
        self.files[number] = LimitsFile(director.loop, path, InProcessCheck(director.house), director.change_limits, director.limits_refused, b"(limits)")
        client.audit.accept_files(self.files[number].bring)

    def inject_fault(self, number, what, value=None):
        """Applies a fault to the link between a director and the planner."""
        link = self.links[number]
        link.loop.now = self.cluster.world.now
        link.fault(what, value)

    def kill_planner(self):
        """Kills the planner's process; its store stays as it is."""
        self.cluster.world.hosts["p0"].kill()
        self.planner.store.db.close()

    def restart(self, number):
        """Kills a director and starts it anew under its number."""
        self.cluster.world.hosts[f"d{number}"].kill()
        self.cluster.start_director(number)
        self.connect_planner(number)

    def start_planner(self):
        """Starts a planner on the same store."""
        self.planners += 1
        self.planner = Planner(self.cluster.world.host("p0"), f"p0.{self.planners}", ("p0", 8300), Store(self.path), (("k", b"key-of-the-small-town"),), clock=lambda: self.cluster.world.now)
        self.addCleanup(self.planner.store.db.close)

    def request_play(self, number, **facts):
        """Requests a play of a director; returns the answer and its reason."""
        viewer = self.cluster.ask(number, key=f"v{self.cluster.world.now}", **facts)
        self.cluster.run(400)
        return viewer.answer, viewer.lines[0][1].get("reason")

    def ask_planner(self, what, name=""):
        """Returns the planner's answer to an operator's question."""
        return json.loads(self.planner.auditor.answer_question(wire.Ask(what, name)))
