"""The fleet's hard cases with processes of the program: two under one name, a disk that is full, one that dies of what is wanted, a store set back."""
import json
import logging
import os
import pathlib
import resource
import shutil
import signal
import tempfile
import unittest

import apsw

from laddergw.lab import audit
from laddergw.lab.limits import valid_text
from laddergw.lab.plant import WARES, plant
from laddergw.lab.script import Trouble
from laddergw.planner import wire
from tests.fleet_commands import COMMAND_MS, Commanding

TWIN, TWINS = 100, 1       # the number under which the second process of that director is known here
FULL_MS, FREE_MS, KILL_MS, BACK_MS = 1_500, 6_000, 3_000, 4_000
SOAK_S = "0.5"


class Hard(Commanding):
    """Each case in its turn; plays go on through the first two."""

    def __init__(self, *given):
        super().__init__(*given, faults=[])           # no line fails by itself
        self.faults_told, self.died = 0, []

    def switch_limits(self) -> None:
        """The limits stay as they are."""

    def request_rollout(self) -> None:
        """Nothing but what the cases want."""

    # While plays go on

    def let_them_come(self) -> None:
        """A second process under the name of one that runs, asked by viewers too; later the disk of the planner is full for a while, and an edge
        is killed and begun again meanwhile."""
        self.start_twin()
        self.wait(lambda: TWIN in self.addresses, COMMAND_MS, "the second process starts")
        super().let_them_come()
        self.loop.call_later(FULL_MS, lambda: self.disk(os.path.getsize(self.file("planner.store"))))
        self.loop.call_later(KILL_MS, lambda: self.conductor.strike(Trouble(0, "kill", 2)))
        self.loop.call_later(BACK_MS, lambda: self.conductor.strike(Trouble(0, "start", 2)))
        self.loop.call_later(FREE_MS, lambda: self.disk(resource.RLIM_INFINITY))

    def start_twin(self) -> None:
        real, self.starts[TWIN] = self.house_text, 0
        self.conductor.directors_up.add(TWIN)
        shutil.copy(self.limits_path(TWINS), self.limits_path(TWIN))
        self.house_text = lambda number: real(TWINS).replace('(listen "%s" %d)' % self.addresses[TWINS], '(listen "127.0.0.1" 0)')
        self.start_director(TWIN)
        self.house_text = real

    def disk(self, size: int) -> None:
        """The planner that keeps the journal may write files of so many bytes, and no longer ones: nothing more goes into its store."""
        resource.prlimit(self.planners[0].pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    # When they are over

    def before_end(self) -> None:
        super().before_end()
        with open(self.file("planners.log")) as log:
            self.faults_told = sum('"store fault"' in line for line in log)
        self.command("versions", "--json")
        self.command("versions")
        self.command("verify")
        self.backup()
        self.one_that_dies_of_it()
        self.set_back()

    def backup(self) -> None:
        source, target = apsw.Connection(self.file("planner.store"), flags=apsw.SQLITE_OPEN_READONLY), apsw.Connection(self.file("backup.store"))
        with target.backup("main", source, "main") as copy:
            while not copy.done:
                copy.step()
        source.close()
        target.close()

    def text(self, number: int) -> str:
        return valid_text(self.plant.seed, number, self.director_file) + f"\n; wanted {number}"

    def ask_for(self, number: int) -> None:
        with open(self.file(f"wanted{number}.terms"), "w") as stream:
            stream.write(self.text(number))
        self.command("want", "--soak", SOAK_S, "limits", self.file(f"wanted{number}.terms"))

    def rollout(self) -> dict:
        found = [said for planner in self.planners if (said := self.ask(planner, wire.Ask("stragglers", "limits"))) and said.get("want")]
        return found[0] if found else {}

    def one_that_dies_of_it(self) -> None:
        """The edge ends each time that what is wanted has gone into its file, and comes back with the file of before."""
        number, before, wanted = 2, pathlib.Path(self.limits_path(2)).read_text(), self.text(7)

        def look() -> None:
            if pathlib.Path(self.limits_path(number)).read_text() == wanted:
                self.died.append(self.loop.now)
                self.kill_director(number)
                for path in self.limits_path(number), self.limits_path(number) + ".good":
                    pathlib.Path(path).write_text(before)
                self.start_director(number)
            if not self.looked:
                self.loop.call_later(20, look)
        self.looked = False
        look()
        self.ask_for(7)
        self.until(lambda: self.rollout().get("state") == "done" and any(row["cause"].startswith("was brought up") for row in self.rollout()["behind"]), "it is not sent a third time")
        self.command("stragglers")
        self.looked = True

    def set_back(self) -> None:
        """Both planners die, and come back with the store of before: nothing in it of what was wanted since, nor of its number."""
        self.highest = self.rollout()["want"]["number"]
        for child in self.planners.values():
            child.kill()
            child.wait()
        shutil.copy(self.file("backup.store"), self.file("planner.store"))
        for number in sorted(self.planners):
            self.start_planner(number, number == 0)
        self.until(lambda: any((self.ask(planner, wire.Ask("verify")) or {}).get("kept") for planner in self.planners), "a planner keeps the journal")
        self.until(lambda: any("set back" in line for planner in self.planners for line in (self.ask(planner, wire.Ask("stragglers", "limits")) or {}).get("not_known", ())),
                   "that it was set back is said")
        self.ask_for(9)
        self.until(lambda: self.rollout().get("state") == "done" and not self.rollout()["behind"], "all are on what is wanted next")
        self.number = self.rollout()["want"]["number"]
        self.kept = {number: pathlib.Path(self.limits_path(number)).read_text() == self.text(9) for number in self.conductor.directors_up}


class HardCases(unittest.TestCase):
    def test_each_in_its_turn(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        folder = tempfile.mkdtemp(prefix="laddergw-hard-")
        self.addCleanup(shutil.rmtree, folder, True)
        the_plant = plant(5, directors=3, nodes=6, rate=12, seconds=8, wares=tuple(ware._replace(length_ms=(1_000, 3_000)) for ware in WARES))
        stage = Hard(the_plant, [], 0, folder)
        records = stage.run()
        judged = audit.audit(the_plant, records)
        self.assertEqual((judged.without, judged.twice, judged.breaks, stage.verdict), (0, 0, [], []))
        self.assertGreater(stage.facts["answers"], 30)
        self.assertGreater(stage.faults_told, 0)                     # the disk was full, and said so; the counts above are whole
        rows = json.loads(stage.answers["versions --json"][1])["versions"]
        self.assertEqual(len({name for row in rows for name in row["directors"] if name.startswith(f"d{TWINS}-")}), 2, rows)
        self.assertIn(f"2 processes run as d{TWINS}: ", stage.answers["versions"][1])
        self.assertEqual(stage.answers["verify"][0], 0, stage.answers["verify"])
        self.assertEqual(len(stage.died), 2)
        status, said = stage.answers["stragglers"]
        self.assertEqual((status, "was brought up and is not on it" in said, "d2-" in said), (1, True, True), said)
        self.assertGreater(stage.number, stage.highest)
        self.assertEqual(stage.kept, dict.fromkeys(range(3), True) | {TWIN: True})


if __name__ == "__main__":
    unittest.main()
