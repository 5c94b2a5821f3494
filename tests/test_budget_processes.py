"""Fleet budgets with processes of the program and faults between them: spends taken from the edges' taps, counted within every window."""
import logging
import shutil
import signal
import tempfile
import unittest

from laddergw.lab import audit
from laddergw.lab.budget_processes import WHOLE, BudgetProcesses, storms
from laddergw.lab.plant import WARES, plant
from laddergw.lab.script import Trouble


class Stopped(BudgetProcesses):
    """The planner that grants is stopped for longer than a lease in the middle of a storm, and an edge is killed as it spends."""

    def let_them_come(self) -> None:
        super().let_them_come()
        self.loop.after(5_000, lambda: self.planners[0].send_signal(signal.SIGSTOP))
        self.loop.after(9_000, lambda: self.planners[0].send_signal(signal.SIGCONT))


class Processes(unittest.TestCase):
    def test_a_storm_planners_that_stop_and_lines_that_fail(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        folder = tempfile.mkdtemp(prefix="laddergw-budgets-")
        self.addCleanup(shutil.rmtree, folder, True)
        the_plant = plant(2, directors=3, nodes=6, rate=10, seconds=10, wares=tuple(ware._replace(length_ms=(2_000, 4_000)) for ware in WARES))
        stage = Stopped(the_plant, sorted(storms(the_plant) + [Trouble(6_000, "kill", 2), Trouble(7_000, "start", 2)]), 0, folder)
        records = stage.run()
        judged = audit.audit(the_plant, records)
        self.assertEqual((judged.without, judged.twice, judged.breaks, stage.verdict), (0, 0, [], []))
        said, over = stage.judged(records)
        self.assertFalse(over, said)
        drawn = [facts for _, what, facts in records if what == "budget drawn"]
        self.assertGreater(len(drawn), 5, said)
        self.assertGreater(len({facts["source"] for facts in drawn}), 1)
        row, = stage.shown["budgets"]
        self.assertEqual((row["whole"], row["charged"] <= WHOLE, len(row["held"]) >= 3), (WHOLE, True, True), row)
        self.assertEqual(stage.shown["issuer"], stage.issuer)


if __name__ == "__main__":
    unittest.main()
