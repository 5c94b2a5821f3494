"""A small town whose directors have a planner, for tests of the fleet: lines of ours between them, a store, files of limits."""
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


class FleetTown(unittest.TestCase):
    """Directors behind lines that fail, and one planner with its store; `zones`: of directors, by number."""
    directors, bounds, zones = 2, "(without-planner closed)", {}

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.path = os.path.join(folder.name, "store")
        self.town = Cluster(directors=self.directors, bounds=self.bounds)
        self.planners = 0
        self.start_planner()
        self.lines, self.sides, self.files = {}, {}, {}
        for number in self.town.directors:
            line = FaultyLink(self.town.world.host(f"relay{number}"), f"d{number}>p0", (f"relay{number}", 1), lambda: ("p0", 8300), self.town.record)
            self.lines[number] = line
            self.join(number)
        self.town.run(1_500)

    def join(self, number):
        """The director's process tells the planner, and takes files over the line."""
        director = self.town.directors[number]
        director.house = director.house._replace(deployment=director.house.deployment._replace(zone=self.zones.get(number, 0)))
        self.sides[number] = side = PlannerClient(director, (self.lines[number].address,))
        path = os.path.join(self.folder, f"limits.{number}")
        if not os.path.exists(path):
            with open(path, "w") as stream:
                stream.write("(limits)")
        self.files[number] = LimitsFile(director.loop, path, InProcessCheck(director.house), director.change_limits, director.limits_refused, b"(limits)")
        side.audit.accept_files(self.files[number].bring)

    def strike(self, number, what, value=None):
        line = self.lines[number]
        line.loop.now = self.town.world.now
        line.fault(what, value)

    def kill_planner(self):
        self.town.world.hosts["p0"].kill()
        self.planner.store.db.close()

    def restart(self, number):
        """A director is killed, and begins anew under its number."""
        self.town.world.hosts[f"d{number}"].kill()
        self.town.start_director(number)
        self.join(number)

    def start_planner(self):
        self.planners += 1
        self.planner = Planner(self.town.world.host("p0"), f"p0.{self.planners}", ("p0", 8300), Store(self.path), (("k", b"key-of-the-small-town"),), clock=lambda: self.town.world.now)
        self.addCleanup(self.planner.store.db.close)

    def ask(self, number, **facts):
        ask = self.town.ask(number, key=f"v{self.town.world.now}", **facts)
        self.town.run(400)
        return ask.answer, ask.lines[0][1].get("reason")

    def question(self, what, name=""):
        return json.loads(self.planner.auditor.answer_question(wire.Ask(what, name)))
