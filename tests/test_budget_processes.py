"""Budgets of the fleet with processes of the program and faults between them: spends are read from the edges' taps and counted within every window."""
import logging
import pathlib
import shutil
import signal
import tempfile
import unittest
from collections import Counter

from laddergw.lab import audit
from laddergw.lab.planner_outage_processes import PLANNERS
from laddergw.lab.budget_processes import STORM_ERROR_SHARE, BUDGET_WHOLE, BudgetProcesses
from laddergw.lab.deployment_model import DEFAULT_PRODUCTS, build_deployment
from laddergw.lab.script import FaultEvent, temporary_fault


STORM_FROM_MS = 2_000
# Spends before the planner is stopped; the storm ends after the last fault, or after this long.
MIN_SPENDS, STORM_SECONDS = 6, 40
STOP_MS, KILL_MS, DOWN_MS, END_DELAY_MS = 4_000, 1_000, 1_000, 2_000


class StoppedPlanner(BudgetProcesses):
    """During a storm of retries, once at least two edges have spent, the granting planner is stopped, an edge is cut off from both planners with
    what it holds, and another is killed while it spends. All of them return, the storm continues, and then no more viewers come."""

    def start_viewers(self) -> None:
        super().start_viewers()
        self.start_faults()

    def start_faults(self) -> None:
        """Waits for enough spends, then schedules the faults."""
        spent = Counter(source for source in self.sources for _ in range(self.spends(source)))
        if len(spent) < 2 or spent.total() < MIN_SPENDS:
            self.loop.call_later(100, self.start_faults)
            return
        self.planners[0].send_signal(signal.SIGSTOP)
        for number in range(PLANNERS):
            self.network.by_ends["d0", f"p{number}"].fault("cut")
            self.loop.call_later(STOP_MS + DOWN_MS, lambda number=number: self.network.by_ends["d0", f"p{number}"].fault("heal"))
        self.loop.call_later(STOP_MS, lambda: self.planners[0].send_signal(signal.SIGCONT))
        self.loop.call_later(KILL_MS, lambda: self.scenario.apply_event(FaultEvent(0, "kill", 2)))
        self.loop.call_later(KILL_MS + DOWN_MS, lambda: self.scenario.apply_event(FaultEvent(0, "start", 2)))
        self.loop.call_later(STOP_MS + END_DELAY_MS, lambda: self.viewers.send_command(do="enough"))

    def spends(self, source: str) -> int:
        """Returns how many spends are in a process's tap."""
        path = pathlib.Path(self.file(f"{source}.jsonl"))
        return path.read_text().count('"budget drawn"') if path.exists() else 0


class BudgetProcessesTest(unittest.TestCase):
    def test_no_window_exceeds_the_total_with_stopped_planners_and_faulty_links(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        folder = tempfile.mkdtemp(prefix="laddergw-budgets-")
        self.addCleanup(shutil.rmtree, folder, True)
        the_plant = build_deployment(2, directors=3, nodes=6, rate=10, seconds=STORM_SECONDS, wares=tuple(ware._replace(length_ms=(2_000, 4_000)) for ware in DEFAULT_PRODUCTS))
        storm = temporary_fault([node.node for node in the_plant.nodes], "errors", STORM_FROM_MS, STORM_SECONDS * 1000, STORM_ERROR_SHARE)
        stage = StoppedPlanner(the_plant, storm, 0, folder)
        records = stage.run()
        judged = audit.audit(the_plant, records)
        self.assertEqual((judged.without, judged.twice, judged.breaks, stage.verdict), (0, 0, [], []))
        report, exceeded = stage.judge_budget(records)
        self.assertFalse(exceeded, report)
        drawn = [facts for _, what, facts in records if what == "budget drawn"]
        self.assertGreaterEqual(len(drawn), MIN_SPENDS, report)
        self.assertGreater(len({facts["source"] for facts in drawn}), 1)
        injected = [(facts["line"], facts["fault"]) for _, what, facts in records if what == "line fault"]
        self.assertLessEqual({(f"d0>p{number}", "cut") for number in range(PLANNERS)}, set(injected))
        row, = stage.budget_answer["budgets"]
        self.assertEqual((row["whole"], row["charged"] <= BUDGET_WHOLE, len(row["held"]) >= 3), (BUDGET_WHOLE, True, True), row)
        self.assertEqual(stage.budget_answer["issuer"], stage.issuer)


if __name__ == "__main__":
    unittest.main()
