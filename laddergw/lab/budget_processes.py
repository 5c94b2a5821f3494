"""rehearse budgets: edges that share a tenant's further allocations, planners, racks and viewers as processes; lines, planners and edges fail.

The judge takes each spend from the taps of the edges, with the one monotonic clock of this machine, and counts the most that any window held; it knows nothing of grants.
"""
import json

import apsw

from laddergw.lab.budget_model import max_within_window
from laddergw.lab.fleet_processes import FleetProcesses
from laddergw.lab.plant import Plant
from laddergw.lab.script import Trouble, fault
from laddergw.planner import wire

BUDGET_WHOLE, WINDOW_MS = 12, 2_000.0     # one for each of twelve: less than the retries of a storm want
STORM_EACH_MS, STORM_MS, STORM_ERROR_SHARE = 8_000.0, 4_000.0, 0.6    # all nodes fail so much of what is asked
BUSY_MS = 2_000            # planners write to their store meanwhile
KILLS_LEFT_OUT = 10        # of the planners' kills one in so many: each takeover waits out what was granted before it
NAME = "tenant basin"
TEXT = f'(limits (defaults (attempts 3)) (tenant "basin" (budget (free {BUDGET_WHOLE}) (share 0) (window-ms {WINDOW_MS:g}) (scope fleet))) (route "/" (tenant "basin")))\n'


def error_storms(plant: Plant) -> list[Trouble]:
    """All nodes fail most set-ups for a while, again and again: each failure may be tried again."""
    nodes, found, at = [node.node for node in plant.nodes], [], 4_000.0
    while at < plant.crowd.seconds * 1000:
        found += fault(nodes, "errors", at, STORM_MS, STORM_ERROR_SHARE)
        at += STORM_EACH_MS
    return found


class BudgetProcesses(FleetProcesses):
    """See the module."""
    settle_ms = 9_000.0                # a planner waits out a lease, a margin and a window before it grants anything

    def __init__(self, plant: Plant, script: list[Trouble], kills: int, *given, **named):
        super().__init__(plant, script, kills // KILLS_LEFT_OUT, *given, **named)
        self.planner_more = f'(budget "{NAME}" (whole {BUDGET_WHOLE}) (window-ms {WINDOW_MS:g}))'
        self.budget_answer, self.issuer = {}, ""

    def write_limits(self) -> None:
        for number in range(self.plant.directors):
            with open(self.limits_path(number), "w") as stream:
                stream.write(TEXT)

    def house_text(self, number: int) -> str:
        """It names the store whose planners it takes grants of."""
        if not self.issuer:
            db = apsw.Connection(self.file("planner.store"), flags=apsw.SQLITE_OPEN_READONLY)
            db.set_busy_timeout(BUSY_MS)
            (identity,), = db.execute("SELECT value FROM facts WHERE name = 'identity'")
            db.close()
            self.issuer = f"{identity:014x}"
        return super().house_text(number).replace("(bounds", f'(issuer "{self.issuer}")\n (bounds', 1)

    def switch_limits(self) -> None:
        """The file stays as it is."""

    def request_rollout(self) -> None:
        """Nothing is wanted."""

    def before_end(self) -> None:
        super().before_end()
        asked = [found for planner in self.planner_addresses if (found := self.ask(planner, wire.Ask("budgets"))) and "budgets" in found]
        self.budget_answer = asked[0] if asked else {}

    def judge_budget(self, records: list[tuple]) -> tuple[list[str], bool]:
        """In lines, and whether any window held more than the whole."""
        spends = [now for now, what, facts in records if what == "budget drawn" and facts["budget"] == NAME]
        first = min((now for now, what, _ in records if what == "asked"), default=0.0)
        most, at = max_within_window(spends, WINDOW_MS)
        further = sum(1 for _, what, facts in records if what == "set-up written" and facts["number"])
        kept = self.budget_answer.get("budgets", [{}])[0]
        return [self.summary(), f"fleet budget: most in any window / whole {most / BUDGET_WHOLE:.3f} ({most} of {BUDGET_WHOLE} in {WINDOW_MS / 1000:g} s, from {(at - first) / 1000:.1f} s on); {len(spends)} spent of it, "
                f"{further} further set-ups written; at the end {json.dumps({key: kept.get(key) for key in ('charged', 'floors', 'unknown', 'divided')})}"], most > BUDGET_WHOLE
