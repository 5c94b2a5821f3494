"""rehearse budgets: edges that share a tenant's further allocations, planners, racks and viewers as processes; lines, planners and edges fail.

The judge takes each spend from the taps of the edges, with the one monotonic clock of this machine, and counts the most that any window held; it knows nothing of grants.
"""
import json

import apsw

from laddergw.lab.budget_parts import most_within
from laddergw.lab.fleet_processes import FleetProcesses
from laddergw.lab.deployment_model import DeploymentModel
from laddergw.lab.script import FaultEvent, temporary_fault
from laddergw.planner import wire

WHOLE, WINDOW_MS = 12, 2_000.0     # one for each of twelve: less than the retries of a storm want
STORM_EACH_MS, STORM_MS, STORM_PART = 8_000.0, 4_000.0, 0.6    # all nodes fail so much of what is asked
BUSY_MS = 2_000            # planners write to their store meanwhile
KILLS_LEFT_OUT = 10        # of the planners' kills one in so many: each takeover waits out what was granted before it
NAME = "tenant basin"
TEXT = f'(limits (defaults (attempts 3)) (tenant "basin" (budget (free {WHOLE}) (share 0) (window-ms {WINDOW_MS:g}) (scope fleet))) (route "/" (tenant "basin")))\n'


def storms(model: DeploymentModel) -> list[FaultEvent]:
    """All nodes fail most set-ups for a while, again and again: each failure may be tried again."""
    nodes, found, at = [node.node for node in model.nodes], [], 4_000.0
    while at < model.crowd.seconds * 1000:
        found += temporary_fault(nodes, "errors", at, STORM_MS, STORM_PART)
        at += STORM_EACH_MS
    return found


class BudgetProcesses(FleetProcesses):
    """See the module."""
    settle_ms = 9_000.0                # a planner waits out a lease, a margin and a window before it grants anything

    def __init__(self, model: DeploymentModel, script: list[FaultEvent], kills: int, *given, **named):
        super().__init__(model, script, kills // KILLS_LEFT_OUT, *given, **named)
        self.planner_more = f'(budget "{NAME}" (whole {WHOLE}) (window-ms {WINDOW_MS:g}))'
        self.shown, self.issuer = {}, ""

    def write_limits(self) -> None:
        for number in range(self.model.directors):
            with open(self.limits(number), "w") as stream:
                stream.write(TEXT)

    def director_file_text(self, number: int) -> str:
        """It names the store whose planners it takes grants of."""
        if not self.issuer:
            db = apsw.Connection(self.file("planner.store"), flags=apsw.SQLITE_OPEN_READONLY)
            db.set_busy_timeout(BUSY_MS)
            (identity,), = db.execute("SELECT value FROM facts WHERE name = 'identity'")
            db.close()
            self.issuer = f"{identity:014x}"
        return super().director_file_text(number).replace("(bounds", f'(issuer "{self.issuer}")\n (bounds', 1)

    def switch(self) -> None:
        """The file stays as it is."""

    def want(self) -> None:
        """Nothing is wanted."""

    def before_end(self) -> None:
        super().before_end()
        asked = [found for planner in self.places if (found := self.ask(planner, wire.Ask("budgets"))) and "budgets" in found]
        self.shown = asked[0] if asked else {}

    def judged(self, records: list[tuple]) -> tuple[list[str], bool]:
        """In lines, and whether any window held more than the whole."""
        spends = [now for now, what, facts in records if what == "budget drawn" and facts["budget"] == NAME]
        first = min((now for now, what, _ in records if what == "asked"), default=0.0)
        most, at = most_within(spends, WINDOW_MS)
        further = sum(1 for _, what, facts in records if what == "set-up written" and facts["number"])
        kept = self.shown.get("budgets", [{}])[0]
        return [self.told(), f"fleet budget: most in any window / whole {most / WHOLE:.3f} ({most} of {WHOLE} in {WINDOW_MS / 1000:g} s, from {(at - first) / 1000:.1f} s on); {len(spends)} spent of it, "
                f"{further} further set-ups written; at the end {json.dumps({key: kept.get(key) for key in ('charged', 'floors', 'unknown', 'divided')})}"], most > WHOLE
