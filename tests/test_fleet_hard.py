"""Hard cases of the fleet with processes of the program: two under one name, a full disk, one that crashes on the wanted version, a restored store."""
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
from laddergw.lab.deployment_model import DEFAULT_PRODUCTS, build_deployment
from laddergw.lab.script import FaultEvent
from laddergw.planner import wire
from tests.fleet_commands import COMMAND_TIMEOUT_MS, CommandedFleet

# The number under which the second process of director TWINNED_DIRECTOR is known here.
TWIN, TWINNED_DIRECTOR = 100, 1
FULL_MS, FREE_MS, KILL_MS, BACK_MS = 1_500, 6_000, 3_000, 4_000
SOAK_S = "0.5"


class HardCases(CommandedFleet):
    """Plays the cases one after the other; plays continue through the first two."""

    def __init__(self, *given):
        # No link fails by itself.
        super().__init__(*given, faults=[])
        self.store_faults, self.crash_times = 0, []

    def switch_limits(self) -> None:
        """Leaves the limits as they are."""

    def request_rollout(self) -> None:
        """Wants nothing; the cases do."""

    # While plays continue

    def start_viewers(self) -> None:
        """Starts a second process under the name of a running one, to which viewers go too; later the planner's disk is full for a while, and an edge
        is killed and restarted meanwhile."""
        self.start_twin()
        self.wait(lambda: TWIN in self.addresses, COMMAND_TIMEOUT_MS, "the second process starts")
        super().start_viewers()
        self.loop.call_later(FULL_MS, lambda: self.limit_file_size(os.path.getsize(self.file("planner.store"))))
        self.loop.call_later(KILL_MS, lambda: self.scenario.apply_event(FaultEvent(0, "kill", 2)))
        self.loop.call_later(BACK_MS, lambda: self.scenario.apply_event(FaultEvent(0, "start", 2)))
        self.loop.call_later(FREE_MS, lambda: self.limit_file_size(resource.RLIM_INFINITY))

    def start_twin(self) -> None:
        """Starts a second process with the file of a running director."""
        real, self.starts[TWIN] = self.director_file_text, 0
        self.scenario.directors_up.add(TWIN)
        shutil.copy(self.limits_path(TWINNED_DIRECTOR), self.limits_path(TWIN))
        self.director_file_text = lambda number: real(TWINNED_DIRECTOR).replace('(listen "%s" %d)' % self.addresses[TWINNED_DIRECTOR], '(listen "127.0.0.1" 0)')
        self.start_director(TWIN)
        self.director_file_text = real

    def limit_file_size(self, size: int) -> None:
        """Limits the size of files that the planner that keeps the journal may write: its store cannot grow any more."""
        resource.prlimit(self.planners[0].pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    # After the plays

    def before_end(self) -> None:
        super().before_end()
        with open(self.file("planners.log")) as log:
            self.store_faults = sum('"store fault"' in line for line in log)
        self.command("versions", "--json")
        self.command("versions")
        self.command("verify")
        self.backup()
        self.crash_on_the_wanted_version()
        self.restore_store()

    def backup(self) -> None:
        """Copies the store."""
        source, target = apsw.Connection(self.file("planner.store"), flags=apsw.SQLITE_OPEN_READONLY), apsw.Connection(self.file("backup.store"))
        with target.backup("main", source, "main") as copy:
            while not copy.done:
                copy.step()
        source.close()
        target.close()

    def text(self, number: int) -> str:
        """Returns valid limits that differ by number."""
        return valid_text(self.model.seed, number, self.director_file) + f"\n; wanted {number}"

    def want_limits(self, number: int) -> None:
        """Wants the limits of a number."""
        with open(self.file(f"wanted{number}.terms"), "w") as stream:
            stream.write(self.text(number))
        self.command("want", "--soak", SOAK_S, "limits", self.file(f"wanted{number}.terms"))

    def rollout(self) -> dict:
        """Returns the rollout as the planner that has one reports it, or nothing."""
        found = [answer for planner in self.planners if (answer := self.ask(planner, wire.Ask("stragglers", "limits"))) and answer.get("want")]
        return found[0] if found else {}

    def crash_on_the_wanted_version(self) -> None:
        """Kills an edge each time that the wanted limits are in its file, and restarts it with its earlier file."""
        number, before, wanted = 2, pathlib.Path(self.limits_path(2)).read_text(), self.text(7)

        def check_file() -> None:
            if pathlib.Path(self.limits_path(number)).read_text() == wanted:
                self.crash_times.append(self.loop.now)
                self.kill_director(number)
                for path in self.limits_path(number), self.limits_path(number) + ".good":
                    pathlib.Path(path).write_text(before)
                self.start_director(number)
            if not self.finished:
                self.loop.call_later(20, check_file)
        self.finished = False
        check_file()
        self.want_limits(7)
        self.until(lambda: self.rollout().get("state") == "done" and any(row["cause"].startswith("was brought up") for row in self.rollout()["behind"]), "it is not sent a third time")
        self.command("stragglers")
        self.finished = True

    def restore_store(self) -> None:
        """Kills both planners and restarts them with the backup of the store, which has neither the version wanted since nor its number."""
        self.highest = self.rollout()["want"]["number"]
        for child in self.planners.values():
            child.kill()
            child.wait()
        shutil.copy(self.file("backup.store"), self.file("planner.store"))
        for number in sorted(self.planners):
            self.start_planner(number, number == 0)
        self.until(lambda: any((self.ask(planner, wire.Ask("verify")) or {}).get("kept") for planner in self.planners), "a planner keeps the journal")
        self.until(lambda: any("set back" in line for planner in self.planners for line in (self.ask(planner, wire.Ask("stragglers", "limits")) or {}).get("not_known", ())),
                   "a planner reports the restored journal")
        self.want_limits(9)
        self.until(lambda: self.rollout().get("state") == "done" and not self.rollout()["behind"], "all are on the next wanted version")
        self.number = self.rollout()["want"]["number"]
        self.kept = {number: pathlib.Path(self.limits_path(number)).read_text() == self.text(9) for number in self.scenario.directors_up}


class HardCasesTest(unittest.TestCase):
    def test_all_cases_in_order(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        folder = tempfile.mkdtemp(prefix="laddergw-hard-")
        self.addCleanup(shutil.rmtree, folder, True)
        the_plant = build_deployment(5, directors=3, nodes=6, rate=12, seconds=8, wares=tuple(ware._replace(length_ms=(1_000, 3_000)) for ware in DEFAULT_PRODUCTS))
        stage = HardCases(the_plant, [], 0, folder)
        records = stage.run()
        judged = audit.audit(the_plant, records)
        self.assertEqual((judged.without, judged.twice, judged.breaks, stage.verdict), (0, 0, [], []))
        self.assertGreater(stage.facts["answers"], 30)
        self.assertGreater(stage.store_faults, 0)                     # the full disk was logged; the counts above are complete
        rows = json.loads(stage.answers["versions --json"][1])["versions"]
        self.assertEqual(len({name for row in rows for name in row["directors"] if name.startswith(f"d{TWINNED_DIRECTOR}-")}), 2, rows)
        self.assertIn(f"2 processes run as d{TWINNED_DIRECTOR}: ", stage.answers["versions"][1])
        self.assertEqual(stage.answers["verify"][0], 0, stage.answers["verify"])
        self.assertEqual(len(stage.crash_times), 2)
        status, output = stage.answers["stragglers"]
        self.assertEqual((status, "was brought up and is not on it" in output, "d2-" in output), (1, True, True), output)
        self.assertGreater(stage.number, stage.highest)
        self.assertEqual(stage.kept, dict.fromkeys(range(3), True) | {TWIN: True})


if __name__ == "__main__":
    unittest.main()
